Feature: Routing and the cache view
    The cache view never reports a block that an engine may not hold and stays within its memory, and routing meets its
    targets on a simulated site. Every check is shown to fail on an injected fault.

    Scenario: No hint crosses customer, version, adapter, incarnation or gap
        Then no interleaving of sends, answers, events, gaps and crashes makes a correct view report a foreign block
        But an interleaving makes a view that ignores incarnations report a foreign block
        And an interleaving makes a view that ignores gaps report a foreign block
        And an interleaving makes a view whose chains ignore the scope report a foreign block

    Scenario: No stream exceeds the memory bound
        Then no stream of hints makes a view of 262144 bytes hold more than 262144 bytes
        But a stream makes a view of 1048576 bytes hold more than 262144 bytes
        And no stream of sends makes a hint payload longer than 4096 bytes
        And no view gives a digest longer than 16384 bytes

    Scenario: A digest restores the hints of a restarted instance, but not those of a restarted engine
        Given an instance that holds hints of an engine
        Then a restarted instance that applies its digest finds the same holders
        But a restarted instance that knows a newer incarnation of the engine finds none

    Scenario: Reading of an event stream with gaps backs off, longer each time
        Then the events of an upstream are not read for 15 s after a gap, and for 30 s after the next one

    Scenario: A hot prefix spreads over more upstreams under load, and over fewer when the load falls
        Given a router with 13 upstreams
        When 4 requests a second of one prefix arrive for 20 s
        Then its cases have 1 preferred upstream
        When 200 requests a second of one prefix arrive for 20 s
        Then its cases have at least 4 preferred upstreams
        When 4 requests a second of one prefix arrive for 60 s
        Then its cases have 1 preferred upstream

    Scenario: A prompt shorter than one block is routed and no block is reported to peers
        Given a router with 13 upstreams
        When a prompt shorter than one block arrives
        Then no block is reported to peers

    Scenario Outline: Targets of <preset> on a simulated site
        When the site of <preset> runs with reedward, leastLoaded, rendezvous and oracle
        Then the hit rate of reedward is at least 0.95 of the oracle's
        And the wasted tokens of reedward are under half of leastLoaded's
        When the site of <preset> runs with 30 % of events lost
        Then the hit rate is within 3 points of that without loss
        When the site of <preset> runs with reports 5 s old
        Then the p99 time to first token is below that of leastLoaded without the lag
        But leastLoaded with reports 5 s old misses that bound

        Examples:
            | preset    |
            | lectura   |
            | compagnon |
