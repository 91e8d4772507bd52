Feature: Queues at the engines of a large fleet

    Rule: Operators see whether an instance knew of a queue that it sent to

        Scenario Outline: A send that meets a queue is told beside what was believed
            When an upstream that was expected to have <expected> waiting requests states <stated>
            Then the queue that was met is "<met>"

            Examples:
                | expected | stated | met        |
                | 0        | 0      | none       |
                | 0        | 4      | unexpected |
                | 3        | 4      | expected   |

    Rule: Instances that know the same of engines do not overrun the one that looked best

        # The mean age of a statement in this fleet, in which each engine gets 6 requests a second; engines run 8 requests, of 200 ms each, at once.
        Scenario Outline: An engine without a queue gets no more requests on one statement than it can run
            Given 91 instances that heard the same of 63 engines 500 ms ago: requests wait at all but one
            When they get 340 requests within 900 ms, with prompts of <shared> shared and <own> own tokens
            Then each engine got at most 36 of them

            Examples:
                | shared | own  |
                | 6000   | 2900 |
                | 200    | 600  |

        Scenario: A request is placed at an engine that was not drawn when no other has room
            Given an instance of a large fleet to which 63 engines state 8 requests on 8 slots, but for "u-40", which states 0
            Then a request is placed on "u-40"
            And a preview has "u-40" as chosen

        Scenario: A preview tells which engines a request does not consider first
            Given an instance of a large fleet to which 63 engines state 3 requests on 8 slots, but for "u-40", which states 0
            Then a preview has at most 5 engines that are considered

    Rule: Short prompts begin beside long ones that fill the engines

        # A third of the engines is slower than the others, and other work slows some down for a while. Engines run 8 requests at once.
        Scenario Outline: Short prompts wait at no engine that is overrun while others have room
            When 88 instances before 63 engines get 460 long and 150 short prompts a second for 10 s, seed <seed>
            Then at least 80 % of the "short" prompts begin within 250 ms

            Examples:
                | seed |
                | 1    |
                | 2    |
                | 3    |

    Rule: An engine is full when the requests of all instances fill its memory

        # Guards against engines that are filled by instances of which each knows its own requests alone; they hold 20,000 tokens.
        Scenario Outline: What other instances have placed counts with the memory of the own requests
            Given an instance of a large fleet whose requests need 7000 tokens of an engine's memory
            When the engine states <running> running requests of other instances
            Then a request of 7000 tokens is placed there: "<isPlaced>"

            Examples:
                | running | isPlaced |
                | 0       | yes      |
                | 1       | yes      |
                | 2       | no       |
                | 5       | no       |
