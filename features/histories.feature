Feature: Histories of concurrent requests
    Several instances, a log, engines and services run on a virtual clock through crashes, pauses, partitions, lost, late,
    crossed and repeated answers, silent connections, log outages and truncation. Each history is checked.

    Scenario: Every request of 2,000 histories is answered whole and once, or refused truthfully
        When 2000 histories with seed 1 are checked
        Then no history violates a promise
        And the histories hold at least 50 of each of "answer, closed, claimUnavailable, outcomeUnknown, alreadyRunning"

    Scenario Outline: A planted fault is found: <fault>
        When 2000 histories with seed 1 are checked with the fault "<fault>" planted
        Then a violation is found that says "<violation>"

        Examples:
            | fault               | violation            |
            | dispatchBeforeClaim | ran 2 times          |
            | truncationUnnoticed | ran 2 times          |
            | lostTakenAsNotSent  | ran 2 times          |
            | orderUnchecked      | was sent             |
            | otherSeedOnRetry    | got                  |
            | silentEnd           | ended with no answer |
