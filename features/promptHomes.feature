Feature: Homes of shared prompts

    # Guards against prompts that are prefilled at as many engines as there are instances.
    Scenario: All instances name the same homes, in whichever order they know the engines
        Then 200 drawn lists of engines give the same homes on every instance

    Scenario: The loss of an engine moves only the prompts that it led, to the engine that came next
        Given 63 engines and 500 prompts
        When engine 7 is lost
        Then only its prompts move, each to the engine that came next
        When engine 7 is back
        Then no prompt has moved

    Scenario: An instance that does not know of an engine agrees on all prompts that others do not lead there
        Given 63 engines and 500 prompts
        Then an instance that misses engine 7 names the same first home for all prompts of other engines

    Scenario: A prompt keeps its home when weights are rolled out
        Given 20 engines in a fleet of 91 instances
        Then 40 prompts have the same first home before and after half of the engines have newer weights

    Scenario Outline: A prompt gets as many homes as its demand needs, and no more
        Given 63 engines and requests that each occupy an engine for <work> ms
        When each of <instances> instances has got <rate> requests a second, <part> of them for one prompt, for 60 s
        Then the prompt has <homes> homes and an ordinary prompt has 1

        Examples:
            | instances | rate | part | work | homes |
            | 88        | 4.6  | 0.0  | 60   | 1     |
            | 88        | 4.6  | 0.2  | 60   | 8     |
            | 88        | 4.6  | 0.2  | 2    | 1     |
            | 380       | 4.6  | 0.2  | 60   | 32    |

    Scenario: One request of a rare prompt is no sign of a large demand
        Given 3700 engines and requests that each occupy an engine for 100 ms
        When an instance of 380 has got 2000 requests for as many prompts
        Then each of these prompts has 1 home

    Scenario: Instances that see different samples of the requests agree on most homes when the demand jumps
        Given 63 engines and requests that each occupy an engine for 60 ms
        When 30 instances of 88 draw requests of which 0.15 are for one prompt, beginning after 20 s
        Then after 40 s their lists of homes are nested, and differ by one step at most
        And 60 s after the jump has ended all of them have given up at least half of the homes

    Scenario: The number of homes is steady while the estimate moves about a step
        Then an estimate that moves between 3.6 and 4.4 changes the number of homes once

    # Guards against a number that each request changes to and fro, and logs twice.
    Scenario: The number of homes is steady while few engines have the weights
        Given 63 engines in a fleet of 91 instances
        When one of them alone has newer weights, and 200 of 300 requests placed there are for one prompt
        Then the number of homes has only risen, and the log names each change once

    Scenario: Prompts that begin alike share a few engines when few prompts do, and all engines when many do
        Given 64 engines in service
        When an instance has got 4000 requests with 100 first parts
        Then the prompts of one first part are led by 2 to 8 engines
        When an instance has got 4000 requests with 3 first parts
        Then the prompts of one first part are led by 40 engines or more

    Scenario: A home that is full spills to the same next engine on every instance
        Given 20 engines in a fleet of 91 instances
        Then 40 requests that were rejected by their home are placed at one and the same engine by 5 instances

    Scenario: Load decides among the homes and beyond them
        Given 20 engines in a fleet of 91 instances
        When an instance has placed large prompts at the home of a prompt until it is full
        Then the prompt is placed at the engine that comes next, and the log says so

    Scenario: An engine looks for parts in the store that keeps the prompt, and writes them there
        Given 20 engines in a fleet of 91 instances
        And cache stores in "north, south" whose events other instances read
        Then 40 requests name the same store as source and as target on 5 instances
        And about half of the prompts are kept by each store

    Scenario: A short prompt has a home, but its parts are not looked up
        Given 20 engines in a fleet of 91 instances
        And cache stores in "north, south" whose events other instances read
        Then a prompt with 511 shared tokens is placed without a source, and one with 512 with a source

    # Guards against prefills at engines that had the parts once: memory holds the requests of a few seconds.
    Scenario: An engine that is believed to have the parts looks in the store too
        Given 20 engines in a fleet of 91 instances
        And cache stores in "north, south" whose events other instances read
        When an instance has placed a prompt, and its answer has begun
        Then the next request for the prompt goes to the same engine, with the same store as source and no target

    Scenario: Without a store, an engine that is no home looks for parts at the home
        Given 20 engines in a fleet of 91 instances
        Then 40 requests that were rejected by their home name it as source

    Scenario: A store counts as reachable while an instance hears that it answers
        When a store answered 400 ms ago according to a heartbeat
        Then 16 instances count it as reachable for 1500 ms more, and not after 1700 ms
        And older news changes nothing, and odd news does no harm

    Scenario: A fleet with more cache stores than one heartbeat names
        Given heartbeats that name 21 and 100 cache stores, as a newer build might send
        Then of the first all stores count as reachable, and of the second 64
        And neither heartbeat is rejected

    # Guards against a large fleet in which news of a store is out of date before all instances have it.
    Scenario Outline: News of a store reaches all instances of a large fleet in time
        Then <instances> instances hear of a store from its 9 readers in 99 of 100 moments, and of its end within <end> ms

        Examples:
            | instances | end  |
            | 16        | 2000 |
            | 91        | 2300 |
            | 380       | 5000 |
