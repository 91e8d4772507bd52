Feature: What is known of a send to an upstream

    Scenario Outline: An answer that does not arrive whole is lost
        Given an upstream that answers by <bytes> and then <end>
        When a "<kind>" request is sent to it
        Then the outcome is "<outcome>"

        Examples:
            | bytes                                | end     | kind         | outcome  |
            | a body without a length              | closes  | nonIdempotent | answered |
            | half a body without a length         | resets  | nonIdempotent | lost     |
            | half a body without a length         | resets-at-once | nonIdempotent | lost     |
            | half a body with a length            | closes  | nonIdempotent | lost     |
            | half a chunked body                  | closes  | nonIdempotent | lost     |
            | nothing                              | resets  | nonIdempotent | lost     |
            | an answer to another request         | waits   | nonIdempotent | lost     |
            | an answer without an id              | waits   | nonIdempotent | lost     |
            | bytes that are no answer             | closes  | nonIdempotent | lost     |
            | a rejection before it ran            | waits   | nonIdempotent | rejected |
            | a rejection of another instance      | waits   | nonIdempotent | rejected |
            | a failure with its seal              | waits   | nonIdempotent | answered |

    Scenario: A second answer on a kept connection is not taken for the next request's
        Given an upstream that sends each answer twice
        When two requests are sent to it one after the other
        Then each gets its own answer or none

    Scenario: A request whose connection is slow to open is not sent after it was given up
        Given an upstream whose connection opens in the same turn of the loop in which the send is given up
        When a "nonIdempotent" request is sent to it
        Then the outcome is "notSent"
        And the upstream has received no request

    Scenario: A request that must not run twice takes no connection that was idle for long
        Given an upstream that answers by a whole body and then waits
        When a "nonIdempotent" request follows another one after 400 ms
        Then two connections were opened

    Scenario: The caller leaves
        Given an upstream that answers by nothing and then waits
        When the caller of a "nonIdempotent" request leaves
        Then the outcome is "callerGone"
        And the upstream's connection is closed

    Scenario: A stream is passed on as whole events where it can go on elsewhere
        Given an upstream that answers by one event and a half and then resets
        When a resumable stream is sent to it
        Then the outcome is "lost"
        And the caller has one whole event with its id

    Scenario: A stream that ends within an event has not ended
        Given an upstream that answers by a stream that ends within an event and then closes
        When a resumable stream is sent to it
        Then the outcome is "lost"
