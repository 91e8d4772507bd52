Feature: A request's life
    A request is answered whole, in order and once, or refused with a true outcome.

    Scenario Outline: A stream that is <fault> is joined again at the same engine
        Given a site of 1 daemons and 2 engines with short time limits
        And the next stream of every engine is <fault> after 5 events
        When the caller streams 20 tokens from daemon 1 with key "k-1"
        Then the caller has the whole stream of 20 tokens
        And 1 generations ran over all engines

        Examples:
            | fault  |
            | cut    |
            | silent |

    Scenario: A stream goes on at another engine when its engine is gone
        Given a site of 1 daemons and 2 engines with short time limits
        When the caller streams 40 tokens from daemon 1 with key "k-2" and the engine is closed after 5 events
        Then the caller has the whole stream of 40 tokens
        And 2 generations ran over all engines

    Scenario: A repeat at another entry gets the same stream
        Given a site of 2 daemons and 2 engines with short time limits
        When the caller streams 10 tokens from daemon 1 with key "k-3"
        And the caller streams 10 tokens from daemon 2 with key "k-3"
        Then both streams are equal
        And 1 generations ran over all engines

    Scenario: No engine is left
        Given a site of 1 daemons and 1 engines with short time limits
        And every engine refuses as not run
        When the caller streams 5 tokens from daemon 1 with key "k-4"
        Then the answer is refused as "upstreamNotReached" with outcome "notRun" and a time to come back

    Scenario: A caller that goes cancels its stream at the engine
        Given a site of 1 daemons and 1 engines with short time limits
        When a caller without key leaves after the first event
        Then the engine is told to cancel

    Scenario: A retry that joins within the stated time keeps the stream
        When the caller of a stream with a key leaves
        Then the cancel waits for the stated time
        And a reader that joined meanwhile prevents it

    Scenario: The deadline passes while the request waits for its turn
        When the deadline passes before the request was sent
        Then it is refused as "deadlineBeforeSend" and its admission is settled with nothing used

    Scenario: A caller goes while it waits for admission
        Then its wait is cancelled, and a slot that is granted later is given back with nothing used

    Scenario: Tokens that were generated are settled when the stream is interrupted
        When a stream is cut for good after 7 events
        Then it is refused as "streamInterrupted" and its admission is settled with 7 output tokens

    Scenario: Heartbeats are passed over and events that come again are left out
        Then the scanner delivers every event once for any split, heartbeats and replays with seed 1
        And the scanner rejects a missing event after any delivered event with seed 1

    Scenario: Outcomes of attempts
        Then no refusal says not run when an attempt may have run, for any attempts with seed 1

    Scenario: Retries are bounded to a share of traffic
        Then 1000 failing requests with share 0.2 and reserve 10 are followed by at most 210 retries

    Scenario: Many requests at once to one upstream are all sent
        Then 300 calls to a service that never answers all reach it

    Scenario: A pause of the process is noticed
        Then a pause detector reports a jump of 5000 ms once and no pause in steady time
