Feature: The platform's store comes back from an older copy
    What was written since the copy is gone and its offsets are given out again; the era in the store's answers rises.

    Background:
        Given a store with a configuration, two engines, a plain server and two instances on them

    Scenario: Weights are rolled out again after the claims of the lease were lost
        When the operator sets the target version to 2
        Then both engines have version 2
        When the store comes back without the claims of the rollout lease
        And the operator sets the target version to 3
        Then both engines have version 3
        And each order carries a higher fencing number than the orders of earlier claims

    Scenario: A record that took the offset of a lost one is read
        When the operator publishes configuration 4
        Then both instances have configuration 4
        When the store comes back without the last record of the operator
        And the operator publishes configuration 5 at once
        Then both instances have configuration 5

    Scenario: A configuration and target weights that the copy lacks stay in force
        When the operator publishes configuration 4
        And the operator sets the target version to 2
        Then both engines have version 2
        And both instances have configuration 4
        When the store comes back without the last 2 records of the operator
        Then both instances have reported the return
        When the operator publishes configuration 5 at once
        Then both instances have configuration 5
        And no instance has taken an older configuration or asked an engine for older weights

    Scenario: A store that states no usable era is used as before, and the log says so once
        Given the store states the era "soon"
        When the operator publishes configuration 4
        Then both instances have configuration 4
        When the store states no era
        And the operator publishes configuration 5
        Then both instances have configuration 5
        And each instance has logged each unusable era once

    Scenario: An instance that starts after the addresses of the others were lost finds them
        Given the instances read the addresses of the others for the last time
        When the store comes back without the addresses of the instances
        And a third instance starts that knows only the store
        Then the third instance lists all three
