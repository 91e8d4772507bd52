Feature: Prompts that end engines
    Engines end when they begin to write an answer on a part of a prompt, at several instances, beside restarts, pauses
    and lost messages, on a virtual clock; in other histories they end for other reasons.

    @known-red
    Scenario: Requests with a part that ends engines are held back in time
        When 30 histories of parts that end engines are played from seed 1
        Then no history breaks a promise about parts that end engines

    Scenario: Few requests reach engines after five have ended, and no sound part is held back
        When 30 histories of parts that end engines are played from seed 1
        Then no history has late sends or a sound part that is held back

    Scenario: No sound part is held back when engines end for other reasons
        When 30 histories of engines that end for other reasons are played from seed 1
        Then no history breaks a promise about parts that end engines
        And at least 200 engines have ended

    Scenario: Nothing is asked again about a suspected part while no further engine ends
        Given an instance in charge with another one that has answered nothing
        When two engines end under different requests with one part, and nothing else happens for 20 s
        Then the other one was asked at most 2 times

    # Guards against harmful prompt parts that reach upstreams again once all processes were killed.
    Scenario: The quarantine outlasts the end of all instances
        Given an instance that keeps its quarantine in a store, and whose part "style" is held
        When all instances end, and a new one starts on the store
        Then the new instance holds the part "style"
        When the part is lifted, and another new instance starts on the store
        Then it holds no part
