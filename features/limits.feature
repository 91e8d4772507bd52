Feature: Limits across the fleet
    No schedule of messages, losses, pauses, restarts and partitions lets the fleet admit more than a customer's limits.

    Scenario: No more than limit x time + burst is admitted under any faults
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        Then no customer of the fleet exceeds a limit in any run

    Scenario Outline: The check of limits catches <fault>
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        And the injected fault "<fault>"
        Then a customer of the fleet exceeds a limit in some run

        Examples:
            | fault             |
            | sameIncarnation   |
            | fastClock         |
            | clockStopsInPause |

    Scenario: Shards that standbys hold through a log outage are never used twice
        Given any schedule of instances that stop and restart while the log is down
        Then no customer of the fleet exceeds a limit in any run

    Scenario: The check of limits catches an instance that does not query its standbys for its shards
        Given any schedule of instances that stop and restart while the log is down
        And the injected fault "standbysNotAsked"
        Then a customer of the fleet exceeds a limit in some run

    Scenario: All instances restart in turn while the log is down and keep serving within the limits
        Given a fleet whose log goes down after every instance has served
        When all instances stop and restart one after the other
        Then every instance admits its own requests again

    Scenario: A standby that stops as well hands over the shards that it holds
        Given a fleet whose log goes down after every instance has served
        When the standby of instance 1 stops while instance 1 is down
        Then no quota shard is lost when both are back

    Scenario: An instance that restarts while the log is down is not ready before its standbys have answered
        Given an instance that starts while the log is down and whose shards "entry-2" may hold as standby
        Then its shards are not settled
        When "entry-2" answers that it holds them
        Then its shards are settled

    Scenario: An instance does not wait for a standby that never answers
        Given an instance that starts while the log is down and whose shards "entry-2" may hold as standby
        When 2000 ms pass without an answer
        Then its shards are settled

    Scenario: Every request is admitted or refused
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        Then every request at an instance that keeps running is decided by its deadline

    Scenario: The check of decisions catches timers that are lost in a pause
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        And the injected fault "timersLostInPause"
        Then some request stays undecided in some run

    Scenario: A customer under its limit is not starved by one that floods
        Given any size of flood
        Then a customer under its limit has all requests admitted within 2 seconds

    Scenario: The check of starvation catches a customer that is charged for another
        Given any size of flood
        And the injected fault "oneAccount"
        Then a customer under its limit is starved in some run

    Scenario: Readers of the shard log agree on every state that the log still covers
        Given any shard log with checkpoints
        Then every reader that knows the state has the ledger of a reader of the complete log

    Scenario: The check of readers catches a log that hides dropped records
        Given any shard log with checkpoints
        But the log hides that it has dropped records
        Then some reader has a different ledger

    Scenario: A long prompt does not block short requests of another customer
        Given an instance with 1 slot that is busy
        When "town-hall" sends 4 requests of 3000 tokens
        And "clinic" sends 4 requests of 100 tokens
        And the slot serves one request after the other
        Then the requests of "clinic" were all admitted before the second one of "town-hall"

    Scenario: A request that cannot meet its deadline is refused at once with a retry time
        Given an instance with 1 slot that is busy
        When the slot has served 1000 tokens in the last second
        And "town-hall" sends 4 requests of 3000 tokens
        And "town-hall" sends a request of 100 tokens with 500 ms to its deadline
        Then the last request is refused at once as "deadlineTooShort" with a retry time

    Scenario: A request larger than the burst is refused at once
        Given an instance with 1 slot that is busy
        When "town-hall" sends a request of 90000 tokens with 10000 ms to its deadline
        Then the last request is refused at once as "promptTokensLimited" without a retry time

    Scenario: Overload sheds the lowest class and spares a customer within its share
        Given an instance with 1 slot that is busy
        When "archive" sends 20 requests of 3000 tokens
        And "town-hall" sends 4 requests of 3000 tokens
        Then requests of "archive" were refused as "overloaded" and none of "town-hall"
