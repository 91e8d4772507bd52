Feature: Limits across the fleet
    No schedule of messages, losses, pauses, restarts and partitions lets the fleet admit more than a customer's limits.

    Scenario: No more than limit x time + burst is admitted under any faults
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        Then no customer of the fleet exceeds a limit in any run

    Scenario Outline: The check of limits catches <fault>
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        And the planted fault "<fault>"
        Then a customer of the fleet exceeds a limit in some run

        Examples:
            | fault             |
            | sameIncarnation   |
            | fastClock         |
            | clockStopsInPause |

    Scenario: Every request is admitted or refused
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        Then every request at an instance that lives on is decided by its deadline

    Scenario: The check of decisions catches timers that are lost in a pause
        Given any schedule of restarts, pauses, partitions, log outages, losses and delays
        And the planted fault "timersLostInPause"
        Then some request stays undecided in some run

    Scenario: A customer under its limit is not starved by one that floods
        Given any size of flood
        Then a customer under its limit has all requests admitted within 2 seconds

    Scenario: The check of starvation catches a customer that is charged for another
        Given any size of flood
        And the planted fault "oneAccount"
        Then a customer under its limit is starved in some run
