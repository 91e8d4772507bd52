Feature: Weights are rolled out by one holder at a time

    Scenario: Orders of two holders are apart, whatever fails
        Then over 300 random histories with seed 7 orders of two holders are at least 3000 ms apart
        And every fencing number was used by one holder
        And a lease without separation is found by the same check
        And a lease that counts time while its holder is paused is found by the same check

    Scenario Outline: Loading one engine
        When version 3 is loaded at an engine that <behaviour>
        Then the load ends as "<end>" after <orders> orders

        Examples:
            | behaviour                                       | end         | orders |
            | takes the order                                 | loaded      | 1      |
            | has the version                                 | loaded      | 0      |
            | is busy with another order first                | loaded      | 1      |
            | loses the order                                 | loaded      | 2      |
            | carries the unanswered order out late           | loaded      | 2      |
            | does not answer                                 | unreachable | 0      |
            | has seen a higher fence                         | fenced      | 1      |

    Scenario: The oldest weights are replaced first, a fifth of the engines at a time
        Then of 13 engines the 3 with the oldest weights are ordered
        And none is ordered while 3 are loading

    Scenario: Weights are outdated since the first newer ones were named
        Given versions named at 1000 ms, 4000 ms and 7000 ms
        Then version 1 is outdated since 1000 ms
        And the newest is not outdated
        And an age that a peer saw replaces an assumed one
