Feature: Pieces of one upstream's answer keep nobody else from being served

    # Guards against reads of thousands of short pieces during which no other connection is read.
    Scenario: One turn of the event loop serves a bounded number of an answer's pieces
        Given an upstream that has sent a stream of 20000 short events
        When a caller that takes everything receives 10000 of them
        Then at most 1000 of them were handled in one turn

    # Guards against reading on at each resumption of an answer that is paused again soon.
    Scenario: An answer whose caller takes one piece a turn is read no further than its buffer
        Given an upstream that has sent a stream of 200000 short events
        When a caller that takes one piece a turn receives 500 of them
        Then at most 256 KB of the answer have been read and not handled

    # Guards against failures of the HTTP client, whose answers then never end, when a paused connection ends.
    Scenario Outline: An answer without a length that is paused when its connection <ends> has an outcome
        Given an upstream that sends 1 event without a length and <ends>
        When a caller that takes nothing more receives 1 of them
        And the connection of the answer has ended
        And that caller takes more
        Then the send has the outcome "<outcome>"

        Examples:
            | ends   | outcome  |
            | closes | finished |
            | resets | lost     |

    # Guards against a request that waits on a connection that was paused for the answer before it.
    Scenario: A connection that was paused at the end of an answer serves the next request
        Given an upstream that answers each request with 1 event and keeps the connection
        When a caller that takes nothing more receives 1 of them
        And the send has the outcome "finished"
        And another request is sent to it
        Then both were sent on one connection, and the second one is finished
