Feature: Sends and retries of a request with opaque content

    Scenario Outline: The outcome of a send decides about a retry
        When the sends of a "<kind>" request end as "<outcomes>"
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
            | resumable stream | begunWithoutIds finished | 1 | cut               |
            | resumable stream | begun busy finished | 3     | finished           |
            | resumable stream | begun answered      | 2     | cut                |
            | resumable stream | begun failed        | 2     | cut                |
            | nonIdempotent    | busy busy busy busy busy busy | 5 | upstreamNotReached |

    Scenario: A stream resumes after the last event that the caller has received
        When the sends of a "resumable stream" request end as "begun finished"
        Then the second send resumes after event "7"

    Scenario: Without retry budget, a request that an upstream has received is not retried
        Given the retry budget is used up
        When the sends of a "idempotent" request end as "lost answered"
        Then it is sent 1 times and ends as "outcomeUnknown"

    Scenario: A refusal says why the request was not retried
        Given the retry budget is used up
        When the sends of a "nonIdempotent" request end as "busy"
        Then it is sent 1 times and ends as "upstreamNotReached"
        And its refusal says "the retry budget of its service is used up"

    Scenario: A request that may have run is not reported as "not run" when it cannot be placed again
        Given no upstream has free capacity after the first send
        When the sends of a "idempotent" request end as "lost"
        Then it is sent 1 times and ends as "outcomeUnknown"

    Scenario: Over random outcomes, refusals report the true outcome and no request runs too often
        Then over 3000 random histories with seed 11 no guarantee is violated
        And the same check detects a request core that retries lost sends

    Scenario: The retry budget holds over the fleet in any window
        Then 8 instances under random load with seed 5 stay within 0.2 of the requests and 56 retries in 10 s

    Scenario: A settings file that cannot be read is reported as a problem
        Then reading the settings from a missing file reports why

    # Guards against an instance that does not start because a settings file leaves fields out.
    Scenario: A settings file without values for what has a default is valid, and one with wrong values is not
        Then settings are valid with "seeds, region, beat_interval_ms, limits, bounds" left out, or empty
        And settings are valid with any of their bounds and limits left out, or empty
        And settings whose bound "grace_s" is a text are not valid

    Scenario: Decoders do not throw on arbitrary input
        Then 2000 random inputs with seed 3 make no decoder throw
