Feature: The life of a request with opaque content

    Scenario Outline: What a send's outcome allows
        When a "<kind>" request meets "<outcomes>"
        Then it is sent <sends> times and ends as "<end>"

        Examples:
            | kind             | outcomes            | sends | end                |
            | nonIdempotent    | answered            | 1     | answer 200         |
            | nonIdempotent    | notSent answered    | 2     | answer 200         |
            | nonIdempotent    | busy answered       | 2     | answer 200         |
            | nonIdempotent    | lost                | 1     | outcomeUnknown     |
            | nonIdempotent    | failed              | 1     | answer 500         |
            | nonIdempotent    | expired             | 1     | deadlineExceeded   |
            | idempotent       | lost answered       | 2     | answer 200         |
            | idempotent       | failed answered     | 2     | answer 200         |
            | idempotent       | failed failed       | 2     | answer 500         |
            | idempotent       | lost lost           | 2     | outcomeUnknown     |
            | stream           | lost                | 1     | outcomeUnknown     |
            | stream           | begun               | 1     | cut                |
            | resumable stream | begun finished      | 2     | finished           |
            | resumable stream | begun begun         | 2     | cut                |
            | resumable stream | begun busy finished | 3     | finished           |
            | nonIdempotent    | busy busy busy busy busy busy | 5 | upstreamNotReached |

    Scenario: A stream goes on behind the last event that the caller has
        When a "resumable stream" request meets "begun finished"
        Then the second send goes on behind event "7"

    Scenario: Without budget nothing is sent again that an upstream has received
        Given the retry budget is used up
        When a "idempotent" request meets "lost answered"
        Then it is sent 1 times and ends as "outcomeUnknown"

    Scenario: A refusal says why nothing was sent again
        Given the retry budget is used up
        When a "nonIdempotent" request meets "busy"
        Then it is sent 1 times and ends as "upstreamNotReached"
        And its refusal says "the retry budget of its service is used up"

    Scenario: No place after a send that may have run does not mean "not run"
        Given no upstream has room after the first send
        When a "idempotent" request meets "lost"
        Then it is sent 1 times and ends as "outcomeUnknown"

    Scenario: Over random outcomes, refusals tell the truth and nothing runs too often
        Then over 3000 random histories with seed 11 no promise is broken
        And a request core that repeats lost sends is found by the same check

    Scenario: The retry budget holds over the fleet in any window
        Then 8 instances under random load with seed 5 stay within 0.2 of the requests and 56 repeats in 10 s

    Scenario: Anything may come from outside
        Then 2000 random inputs with seed 3 make no decoder throw
