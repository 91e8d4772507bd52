Feature: Even load on statements that are a little old

    Rule: What upstreams state is decoded once, and what is malformed has a safe default

        Scenario Outline: The load in the head of an answer
            When an upstream states its load as "<stated>"
            Then its decoded load is "<decoded>" and <malformed> statement is malformed

            Examples:
                | stated            | decoded                     | malformed |
                | 3,1,8             | 3 running, 1 waiting, 8     | no        |
                | 3,1,8,170         | 3 running, 1 waiting, 8 1.7 | no        |
                | 3, 1, 8, 70.5     | 3 running, 1 waiting, 8 0.705 | no      |
                | 3,1,8,0           | 3 running, 1 waiting, 8     | one       |
                | 3,1,8,1000000000  | 3 running, 1 waiting, 8     | one       |
                | 3,1,8,fast        | 3 running, 1 waiting, 8     | one       |
                | 3,1,8,-50         | 3 running, 1 waiting, 8     | one       |
                | 3,1,0             | none                        | one       |
                | 3,1               | none                        | one       |
                | 1000000000,1,8    | none                        | one       |
                | 3,1,8 and 4,1,8   | none                        | one       |

    Rule: The estimate knows the own requests exactly, and old statements say less and less

        Scenario: A statement of another instance is corrected by the own requests since
            Given the loads of 4 upstreams, of which requests stay 200 ms
            And a peer relays that upstream 1 had 5 requests 100 ms ago
            When this instance sends 2 requests to upstream 1
            Then upstream 1 is estimated to have between 5 and 7 requests, with a deviation above 0.5

        Scenario: A statement to this instance counts its own requests once
            Given the loads of 4 upstreams, of which requests stay 200 ms
            When this instance sends 3 requests to upstream 1
            And upstream 1 states 4 requests to this instance
            Then upstream 1 is estimated to have between 3.99 and 4.01 requests, with a deviation below 0.01

        Scenario: Requests of a new process count while those of the one before end
            Then own requests at an upstream that was replaced are known of 150 ms ago

        Scenario: Old statements give way to what is expected of any upstream
            Given the loads of 4 upstreams, of which requests stay 200 ms
            And a peer relays that upstream 1 had 20 requests 100 ms ago
            And a peer relays each 100 ms for 2 seconds that upstreams 2 to 4 have 4 requests
            Then upstream 1 is estimated to have between 3.5 and 5 requests, with a deviation above 1.5

        Scenario: Where nothing is stated any more, no load is expected
            Given the loads of 4 upstreams, of which requests stay 200 ms
            And a peer relays that upstream 1 had 20 requests 100 ms ago
            When 8 seconds pass without a statement
            Then upstream 1 is estimated to have between 0 and 0.1 requests, with a deviation below 0.1

        # Guards against one faulty upstream that makes all upstreams of its service look full.
        Scenario Outline: An absurd statement about one upstream closes no other one
            Given the loads of 12 upstreams, of which requests stay 200 ms
            And a peer relays each 100 ms for 2 seconds that upstreams 1 to 12 have 3 requests
            When 1 second passes without a statement
            And <statement>
            Then for 8 seconds upstreams 2 to 12 are estimated to have fewer requests than slots

            Examples:
                | statement                                              |
                | upstream 1 states 999999 requests to this instance     |
                | a peer relays that upstream 1 had 999999 requests 0 ms ago |

        Scenario: An upstream that ended is forgotten
            Given the loads of 4 upstreams, of which requests stay 200 ms
            And a peer relays that upstream 1 had 20 requests 100 ms ago
            When upstream 1 is replaced by a new process
            Then nothing stated about upstream 1 is known

        Scenario: How long a pace holds is learned
            Given the loads of 4 upstreams, of which requests stay 200 ms
            When upstream 1 states a pace that jumps between 0.5 and 2 at random each 100 ms
            And upstream 2 states a pace of 2 at all times
            Then half a second later upstream 1 is estimated at a pace between 0.9 and 1.6
            And half a second later upstream 2 is estimated at a pace between 1.95 and 2.05

    Rule: In a large fleet statements are relayed in bounded bytes

        Scenario Outline: Instances know the load of each upstream after a short time
            Given <instances> instances that relay the loads of <upstreams> upstreams with each heartbeat
            When each upstream answers 6 requests a second for 6 seconds, each of a random instance
            Then the known statements are at most <age> ms old in the mean
            And no heartbeat has more of them than its plan allows

            Examples:
                | instances | upstreams | age  |
                | 16        | 12        | 1000 |
                | 91        | 67        | 1000 |

        Scenario: What cannot be decoded changes nothing
            Then over 200 random texts with seed 5 a relay that is malformed adds no statement of an unknown upstream

    Rule: Instances that choose at the same moment on the same statements do not all choose the same upstream

        Scenario Outline: Load on statements of <age> ms
            Given <instances> instances before 4 plain upstreams of different speed whose pace jumps, with statements <age> ms old
            When their capacity is used to 0.6, with seed 7
            Then the busiest upstream has at most 1.25 of the mean
            And fewer requests wait than if each instance counted its own requests alone

            Examples:
                | instances | age   |
                | 91        | 100   |
                | 91        | 1000  |
                | 380       | 1000  |

        Scenario: One instance is cut off from its peers
            Given 91 instances before 4 plain upstreams of different speed whose pace jumps, with statements 400 ms old
            When their capacity is used to 0.6, with seed 7, and one instance hears nothing of the others
            Then the busiest upstream has at most 1.25 of the mean
            And the instance that hears nothing has placed requests on every upstream

        Scenario: A full upstream is avoided as long as another one has room
            Given two plain upstreams with 6 slots, of which the first states 6 running and 3 waiting requests
            Then of 100 requests at that moment at most 2 are placed on the first

        # Guards against requests that wait until they are refused beside an upstream that has long been free.
        Scenario: A waiting request is placed as an old statement fades, also without a heartbeat
            Given one plain upstream of a small fleet that stated its pace, 6 running and 3 waiting requests
            When a request waits and no event happens
            Then it is placed within 1500 ms

        Scenario: A prompt goes to the engine that has it in its cache unless waiting there takes longer
            Given two engines of which "u-2" is home to a prompt and has its shared parts in its cache
            Then a request is placed on "u-2" while "u-2" states 0 waiting requests
            And a request is placed on "u-1" while "u-2" states 8 waiting requests

        Scenario: Upstreams that state nothing are chosen as before
            Then over 100 random lists with seed 3 candidates without a load are ranked by requests and failure domain

    Rule: Operators see how old and how even the known load is

        Scenario: Spread of the load
            Then the summary of the loads of upstreams with 2, 2 and 8 requests has a spread of 2
