Feature: Orders, leases and rollouts
    One holder at a time gives orders, loads stay bounded, and a rollout keeps engines in service.

    Scenario Outline: Under faults the orders of two holders never interleave and loads stay bounded, on engines of which <fences> fence
        Then 12 rollouts with random faults keep the invariants on engines of which <fences> fence, with at most <loads> loads

        Examples:
            | fences | loads |
            | none   | 2     |
            | some   | 3     |

    Scenario: Pauses that outlast the lease
        Then 12 rollouts with pauses that outlast the lease keep the invariants on engines that do not fence

    Scenario: A holder that does not check its clock is detected
        Then a holder that does not check its clock violates the invariants

    Scenario: A successor that does not wait is detected
        Then a successor that does not wait violates the invariants

    Scenario: A plan that ignores the bound on loads is detected
        Then a plan that ignores the bound on loads violates the invariants

    Scenario: A rollout keeps its share in service and requests reach engines that have the weights
        Given engines that serve a model with 6 upstreams
        When the model's weights version changes
        Then within 300 seconds every engine serves the new version and the old one is unloaded
        And the share of serving engines never fell below the model's
        And no request version was ever routed to an engine without it

    Scenario: A rollout continues after a change of holder
        Given engines that serve a model with 6 upstreams
        When the model's weights version changes
        And the holder is permanently stopped after 12 seconds
        Then within 300 seconds every engine serves the new version and the old one is unloaded
        And a second lease was acquired
        And the share of serving engines never fell below the model's

    Scenario: A rollout is reverted halfway
        Given engines that serve a model with 6 upstreams
        When the model's weights version changes
        And it changes back after 20 seconds
        Then within 300 seconds every engine serves the old version again

    Scenario: An engine that runs requests keeps its old weights
        Given engines that serve a model with 6 upstreams
        And engine 1 runs requests continuously
        When the model's weights version changes
        And 120 seconds pass
        Then engine 1 still has the old weights and gets no new request

    Scenario: An operator's order outlives the instance that accepted it
        Given engines that serve a model with 6 upstreams
        When an operator orders engine 2 to load version "v7"
        And the holder is permanently stopped after 3 seconds
        And 60 seconds pass
        Then engine 2 has version "v7" and the order is done

    Scenario Outline: An order to <action> is confirmed by the engine's state
        Given engines that serve a model with 6 upstreams
        When an operator orders engine 2 to <action>
        And 30 seconds pass
        Then the order is done

        Examples:
            | action |
            | role   |
            | drain  |
            | unload |

    Scenario: An order to an unresponsive engine expires
        Given engines that serve a model with 6 upstreams
        And engine 2 is unresponsive
        When an operator orders engine 2 to drain
        And 3700 seconds pass without observation
        Then the order is expired

    Scenario: Weights that the store does not hold are not loaded
        Given engines that serve a model with 6 upstreams and a weight store without the new version
        When the model's weights version changes
        And 60 seconds pass
        Then no engine received an order

    Scenario: Without work no lease is written to the log
        Given engines that serve a model with 6 upstreams
        When 60 seconds pass
        Then no lease was appended

    Scenario: A lease whose records are lost is treated as held until it must have expired
        Then a view that lost its records waits at least 60 seconds before it treats the lease as expired
        And a record that does not follow the last one is ignored

    Scenario: Reads of the weight store are cached and back off
        Then 1000 lookups within a second read the weight store once, and a refused read backs off

    Scenario: A real engine is ordered through reedwardctl
        Given a fleet of 2 daemons that know each other
        When reedwardctl runs "--wait --model easy-read --weights v2 order load engine-1"
        Then it exits with 0 and prints "done"
        When reedwardctl runs "orders"
        Then it exits with 0 and prints "easy-read@v2"

    Scenario: Callers are served throughout a rollout on real sockets
        Given a fleet of 2 daemons that know each other
        When the model is changed to weights version "v2" by reedwardctl
        Then every completion is answered before and after an engine has swapped its weights for "v2"
