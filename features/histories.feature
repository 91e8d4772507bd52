Feature: Histories of concurrent requests
    Several instances, a log, engines and services run on a virtual clock through crashes, pauses, partitions, lost,
    late, misdirected and duplicated answers, hung connections, log outages and truncation. Each history is checked.

    Scenario: Every request of 2,000 histories is answered completely and once, or refused truthfully
        When 2000 histories with seed 1 are checked
        Then no history violates a promise
        And the histories hold at least 50 of each of "answer, closed, claimUnavailable, outcomeUnknown, alreadyRunning"

    Scenario Outline: An injected fault is detected: <fault>
        When 2000 histories with seed 1 are checked with the injected fault "<fault>"
        Then a violation is found that says "<violation>"

        Examples:
            | fault               | violation            |
            | dispatchBeforeClaim | ran 2 times          |
            | truncationUnnoticed | ran 2 times          |
            | lostTakenAsNotSent  | ran 2 times          |
            | orderUnchecked      | was sent             |
            | otherSeedOnRetry    | got                  |
            | silentEnd           | ended with no answer |
