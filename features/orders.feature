Feature: Orders, leases and rollouts
    One holder at a time gives orders, loads stay bounded, and a rollout keeps engines in service.

    Scenario Outline: Under faults no two holders' orders cross and loads stay bounded, on engines of which <fences> fence
        Then 12 rollouts with random faults keep the rules on engines of which <fences> fence, with at most <loads> loads

        Examples:
            | fences | loads |
            | none   | 2     |
            | some   | 3     |

    Scenario: Pauses that outlast the lease
        Then 12 rollouts with pauses that outlast the lease keep the rules on engines that do not fence

    Scenario: A holder that does not check its clock is found out
        Then a holder that does not check its clock breaks the rules

    Scenario: A successor that does not wait is found out
        Then a successor that does not wait breaks the rules

    Scenario: A plan that ignores the bound on loads is found out
        Then a plan that ignores the bound on loads breaks the rules

    Scenario: A rollout keeps its share in service and requests reach engines that have the weights
        Given engines that serve a model with 6 upstreams
        When the model's weights version changes
        Then within 300 seconds every engine serves the new version and the old one is unloaded
        And the share of serving engines never fell below the model's
        And no request version was ever routed to an engine without it

    Scenario: A rollout goes on through a change of holder
        Given engines that serve a model with 6 upstreams
        When the model's weights version changes
        And the holder is stopped for good after 12 seconds
        Then within 300 seconds every engine serves the new version and the old one is unloaded
        And a second lease was taken
        And the share of serving engines never fell below the model's

    Scenario: A rollout is taken back half way
        Given engines that serve a model with 6 upstreams
        When the model's weights version changes
        And it changes back after 20 seconds
        Then within 300 seconds every engine serves the old version again

    Scenario: An engine that runs requests keeps its old weights
        Given engines that serve a model with 6 upstreams
        And engine 1 runs requests without end
        When the model's weights version changes
        And 120 seconds pass by
        Then engine 1 still has the old weights and gets no new request

    Scenario: An operator's order outlives the instance that took it
        Given engines that serve a model with 6 upstreams
        When an operator orders engine 2 to load version "v7"
        And the holder is stopped for good after 3 seconds
        And 60 seconds pass by
        Then engine 2 has version "v7" and the order is done

    Scenario Outline: An order to <action> is read back
        Given engines that serve a model with 6 upstreams
        When an operator orders engine 2 to <action>
        And 30 seconds pass by
        Then the order is done

        Examples:
            | action |
            | role   |
            | drain  |
            | unload |

    Scenario: An order that is never reached expires
        Given engines that serve a model with 6 upstreams
        And engine 2 is silent
        When an operator orders engine 2 to drain
        And 3700 seconds pass by slowly
        Then the order is expired

    Scenario: Weights that the store does not hold are not loaded
        Given engines that serve a model with 6 upstreams and a weight store without the new version
        When the model's weights version changes
        And 60 seconds pass by
        Then no engine was ordered anything

    Scenario: Without work nobody writes to the log
        Given engines that serve a model with 6 upstreams
        When 60 seconds pass by
        Then no lease was appended

    Scenario: A lease whose records are gone is waited out
        Then a view that lost its records waits at least 60 seconds before it takes the lease
        And a record that does not follow the last one does not count

    Scenario: The weight store is read seldom
        Then 1000 questions within a second read the weight store once, and a refused read backs off

    Scenario: A real engine is ordered through reedwardctl
        Given a fleet of 2 daemons that know each other
        When reedwardctl runs "--wait --model easy-read --weights v2 order load engine-1"
        Then it exits with 0 and prints "done"
        When reedwardctl runs "orders"
        Then it exits with 0 and prints "easy-read@v2"

    Scenario: Callers are served throughout a rollout on real sockets
        Given a fleet of 2 daemons that know each other
        When the model is changed to weights version "v2" by reedwardctl
        Then every completion is answered until and after an engine has exchanged its weights for "v2"
