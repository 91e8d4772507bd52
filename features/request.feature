Feature: Serving a request
    A request is answered completely, in order and once, or refused with its true outcome.

    Scenario Outline: A stream that is <fault> is resumed at the same engine
        Given a site of 1 daemons and 2 engines with short time limits
        And the next stream of every engine is <fault> after 5 events
        When the caller streams 20 tokens from daemon 1 with key "k-1"
        Then the caller has received the complete stream of 20 tokens
        And 1 generations ran over all engines

        Examples:
            | fault  |
            | cut    |
            | silent |

    Scenario: A stream resumes at another engine when its engine has stopped
        Given a site of 1 daemons and 2 engines with short time limits
        When the caller streams 40 tokens from daemon 1 with key "k-2" and the engine is closed after 5 events
        Then the caller has received the complete stream of 40 tokens
        And 2 generations ran over all engines

    Scenario: A retry at another entry gets the same stream
        Given a site of 2 daemons and 2 engines with short time limits
        When the caller streams 10 tokens from daemon 1 with key "k-3"
        And the caller streams 10 tokens from daemon 2 with key "k-3"
        Then both streams are equal
        And 1 generations ran over all engines

    Scenario: No engine accepts the request
        Given a site of 1 daemons and 1 engines with short time limits
        And every engine rejects requests as not run
        When the caller streams 5 tokens from daemon 1 with key "k-4"
        Then the answer is refused as "upstreamNotReached" with outcome "notRun" and a retry delay

    Scenario: A caller that disconnects cancels its stream at the engine
        Given a site of 1 daemons and 1 engines with short time limits
        When a caller without a key disconnects after the first event
        Then the engine receives a cancel

    Scenario: A retry that joins within the retry join window keeps the stream
        When the caller of a stream with a key disconnects
        Then the cancel is delayed by the retry join window
        And a reader that joined meanwhile prevents it

    Scenario: The deadline passes while the request is queued
        When the deadline passes before the request was sent
        Then it is refused as "deadlineBeforeSend" and its admission is completed with no tokens used

    Scenario: A caller disconnects while it waits for admission
        Then its wait is cancelled, and a slot that is granted later is released with no tokens used

    Scenario: Generated tokens are charged when the stream is interrupted
        When a stream is permanently interrupted after 7 events
        Then it is refused as "streamInterrupted" and its admission is completed with 7 output tokens

    Scenario: Heartbeats are ignored and replayed events are dropped
        Then the scanner delivers every event once for any split, heartbeats and replays with seed 1
        And the scanner rejects a missing event after any delivered event with seed 1

    Scenario: Outcomes of attempts
        Then no refusal says not run when an attempt may have run, for any attempts with seed 1

    Scenario: Retries are limited to a share of traffic
        Then 1000 failing requests with share 0.2 and reserve 10 are followed by at most 210 retries

    Scenario: Many requests at once to one upstream are all sent
        Then 300 calls to a service that never answers all reach it

    Scenario: A pause of the process is detected
        Then a pause detector reports a jump of 5000 ms once and no pause in steady time
