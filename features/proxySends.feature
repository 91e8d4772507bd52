Feature: The outcome of a send to an upstream

    Scenario Outline: An answer that does not arrive completely counts as lost
        Given an upstream that answers with <bytes> and then <end>
        When a "<kind>" request is sent to it
        Then the outcome is "<outcome>"

        Examples:
            | bytes                                             | end            | kind          | outcome  |
            | a body without a length                           | closes         | nonIdempotent | answered |
            | half a body without a length                      | resets         | nonIdempotent | lost     |
            | half a body without a length                      | resets-at-once | nonIdempotent | lost     |
            | half a body with a length                         | closes         | nonIdempotent | lost     |
            | half a chunked body                               | closes         | nonIdempotent | lost     |
            | half a chunked body and "Connection: close"       | closes         | nonIdempotent | lost     |
            | half a body with a length and "Connection: close" | closes         | nonIdempotent | lost     |
            | nothing                                           | resets         | nonIdempotent | lost     |
            | an answer to another request                      | waits          | nonIdempotent | lost     |
            | an answer without an id                           | waits          | nonIdempotent | lost     |
            | bytes that are no answer                          | closes         | nonIdempotent | lost     |
            | a rejection before it ran                         | waits          | nonIdempotent | rejected |
            | a rejection without an id                         | waits          | nonIdempotent | lost     |
            | a rejection of another instance                   | waits          | nonIdempotent | rejected |
            | a rejection of another instance without an id     | waits          | nonIdempotent | lost     |
            | a failure with its seal                           | waits          | nonIdempotent | answered |

    Scenario Outline: How an answer ended is reported with its framing and the state of its connection
        Given an upstream that answers with <bytes> and then <end>
        When a "nonIdempotent" request is sent to it
        Then the answer is reported as "<framing>" with its connection "<connection>"

        Examples:
            | bytes                        | end            | framing         | connection |
            | a complete body              | waits          | contentLength   | open       |
            | a body without a length      | closes         | connectionClose | closed     |
            | half a body without a length | resets         | connectionClose | reset      |
            | half a body without a length | resets-at-once | connectionClose | reset      |
            | half a body with a length    | closes         | contentLength   | closed     |
            | half a chunked body          | closes         | chunked         | closed     |

    Scenario Outline: A rejected request returns after the delay that the upstream states, if it is one
        Given an upstream that answers with a rejection that states a delay of "<stated>"
        When a "nonIdempotent" request is sent to it
        Then the request may return after "<delayMs>" ms

        Examples:
            | stated                        | delayMs |
            | 2                             | 2000    |
            | 0.25                          | 250     |
            |                               | none    |
            | soon                          | none    |
            | Fri, 04 Dec 2026 08:00:00 GMT | none    |

    Scenario: A second answer on a reused connection is not taken as the next request's
        Given an upstream that sends each answer twice
        When two requests are sent to it one after the other
        Then each gets its own answer or none

    Scenario: A request whose connection is slow to open is not sent after its connect timeout
        Given an upstream whose connection opens in the same event loop turn as the connect timeout
        When a "nonIdempotent" request is sent to it
        Then the outcome is "notSent"
        And the upstream has received no request

    Scenario: A request that must not run twice uses no connection that was idle for long
        Given an upstream that answers with a complete body and then waits
        When a "nonIdempotent" request follows another one after 400 ms
        Then two connections were opened

    Scenario: A connection that ended with its answer is not used again
        Given an upstream that answers with a body without a length or an announced close and then closes
        When a "nonIdempotent" request follows another one in the same turn of the event loop
        Then two connections were opened
        And the pool opened two connections

    Scenario: The caller disconnects
        Given an upstream that answers with nothing and then waits
        When the caller of a "nonIdempotent" request disconnects
        Then the outcome is "callerGone"
        And the upstream's connection is closed

    Scenario: A stream that can be resumed is forwarded in complete events
        Given an upstream that answers with one event and a half and then resets
        When a resumable stream is sent to it
        Then the outcome is "lost"
        And the caller has received one complete event with its id

    Scenario: A stream without length or chunks that is broken off within an event does not reach its caller as complete
        Given an upstream that answers with a stream that ends within an event and then closes
        When a stream that cannot be resumed is sent to it
        Then the outcome is "lost"
        And the caller's stream is not ended as complete

    Scenario: A stream that ends within an event is incomplete
        Given an upstream that answers with a stream that ends within an event and then closes
        When a resumable stream is sent to it
        Then the outcome is "lost"

    Scenario Outline: The end of a stream that cannot be resumed decides whether it is complete
        Given an upstream that answers with <bytes> and then <end>
        When a stream that cannot be resumed is sent to it
        Then the outcome is "<outcome>"

        Examples:
            | bytes                                                  | end            | outcome  |
            | a stream that ends after an event                      | closes         | finished |
            | a stream that ends after an event                      | resets         | lost     |
            | a stream that ends after an event                      | resets-at-once | lost     |
            | a stream whose lines end with CRLF                     | closes         | finished |
            | a stream whose lines end with CR                       | closes         | finished |
            | a stream that ends after a comment                     | closes         | finished |
            | a stream without events                                | closes         | lost     |
            | a stream of comments                                   | closes         | lost     |
            | a chunked stream without events                        | waits          | finished |
            | a chunked stream whose last chunk ends within an event | waits          | lost     |
            | a JSON document                                        | waits          | answered |

    Scenario: A random stream that is closed counts as complete only between two of its events
        Then 2000 random streams with seed 29 that are closed count as complete only between two events
        And the same check detects a splitter that ignores unfinished events
