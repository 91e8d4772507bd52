Feature: Calls that may run at most once
    A call to a plain service that must not be retried is claimed on the log before it is sent.

    Background:
        Given a site of 2 daemons and 1 engines with short time limits

    Scenario: A retry at another entry gets the same answer
        When the booking "a" is sent to daemon 1
        And the booking "a" is sent to daemon 2
        And the booking "a" is sent to daemon 1
        Then all answers have status 200 and are equal
        And the service ran 1 bookings

    Scenario: Calls with one key at two entries at once
        When the booking "b" is sent to all daemons at once
        Then all answers have status 200 and are equal
        And the service ran 1 bookings

    Scenario: The log loses the answers of appends
        Given the log loses the answers of 3 appends
        When the booking "c" is sent to daemon 1
        And the booking "c" is sent to daemon 2
        Then all answers have status 200 and are equal
        And the service ran 1 bookings

    Scenario: The log is down
        Given the log is down
        When the booking "d" is sent to daemon 1
        Then the last answer is refused as "claimUnavailable" with outcome "notRun"
        And the service ran 0 bookings
        Given the log is up again
        When the booking "d" is sent to daemon 2
        Then the last answer has status 200
        And the service ran 1 bookings

    Scenario: The service's answer is lost
        Given the service has the fault "loseAnswer"
        When the booking "e" is sent to daemon 1
        Then the last answer is refused as "outcomeUnknown" with outcome "unknown"
        Given the service has no fault
        When the booking "e" is sent to daemon 2
        Then the last answer is refused as "outcomeUnknown" with outcome "unknown"
        And the service ran 1 bookings

    Scenario: The service did not run the call, so its key can be claimed again
        Given the service has the fault "refuse"
        When the booking "f" is sent to daemon 1
        Then the last answer is refused as "upstreamNotReached" with outcome "notRun"
        Given the service has no fault
        When the booking "f" is sent to daemon 2 until it is not refused as "alreadyRunning"
        Then the last answer has status 200
        And the service ran 1 bookings

    Scenario: A key that was used for another call
        When the booking "g" is sent to daemon 1
        And another booking is sent to daemon 2 with the key of "g"
        Then the last answer is refused as "keyReused" with outcome "notRun"
        And the service ran 1 bookings

    Scenario: An answer that is too large for the log
        When a booking "h" of 20000 characters is sent to daemon 1
        And a booking "h" of 20000 characters is sent to daemon 1
        Then all answers have status 200 and are equal
        When a booking "h" of 20000 characters is sent to daemon 2 until it is not refused as "alreadyRunning"
        Then the last answer is refused as "alreadyRun" with outcome "run"
        And the service ran 1 bookings

    Scenario: An instance that stops appends the ends of its calls to the log
        When the booking "i" is sent to daemon 1
        And daemon 1 is stopped
        And the booking "i" is sent to daemon 2
        Then all answers have status 200 and are equal
        And the service ran 1 bookings

    Scenario Outline: A key that <case>
        When a booking is sent to daemon 1 with a key that <case>
        Then the last answer is refused as "<kind>" with outcome "<outcome>"
        And the service ran 0 bookings

        Examples:
            | case                     | kind                    | outcome |
            | holds no issue time      | malformedIdempotencyKey | notRun  |
            | was issued in the future | malformedIdempotencyKey | notRun  |
            | is a day old             | keyExpired              | unknown |

    Scenario: Claims are refused for keys that are older than the retained records
        When a claim manager reads a log whose first retained record was written at 1000 s
        Then it refuses a key that was issued at 1050 s and claims one that was issued at 1061 s
