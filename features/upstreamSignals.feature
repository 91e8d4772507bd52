Feature: What upstreams state in their answers about the requests that they want

    Rule: On the complete path, over loopback

        Background:
            Given a store with a configuration, two engines, a plain server and two instances on them

        Scenario: No further request is sent to an upstream that has stated that it leaves, by any instance
            Given the plain server states "server-leaving: 1" in its answers
            When 2 plain calls are sent through the first instance
            Then the plain server has got 1 request
            And the caller is refused because no upstream is available
            When all instances have learned what the plain server states
            And 1 plain call is sent through the second instance
            Then the plain server has got 1 request

        Scenario: An upstream that rejects a request with Retry-After gets none from the same instance until then
            Given the plain server rejects requests with "retry-after: 60"
            When 3 plain calls are sent through the first instance
            Then the plain server has got 1 request
            And the caller is told to come back after 2 s or more
            When 1 plain call is sent through the second instance
            Then the plain server has got 2 requests

        Scenario: A malformed statement neither stops requests nor is forgotten
            Given the plain server states "server-limit: -1" in its answers
            When 3 plain calls are sent through the first instance
            Then the plain server has got 3 requests
            And one malformed statement is logged

        Scenario: A load whose pace is absurd is used without the pace, and logged
            Given the plain server states "server-load: 3,0,8,1000000000" in its answers
            When 3 plain calls are sent through the first instance
            Then the plain server has got 3 requests
            And one malformed statement is logged

    Rule: Decoding

        Scenario Outline: Rate limits in answers
            When an answer states "<value>" as its rate limit
            Then it is decoded as <result>

            Examples:
                | value     | result    |
                | 2.3       | 2.3       |
                | 0         | 0         |
                | .5        | 0.5       |
                | 1000      | 1000      |
                |           | malformed |
                | -1        | malformed |
                | +1        | malformed |
                | 1e3       | malformed |
                | NaN       | malformed |
                | 2,3       | malformed |
                | 2;3       | malformed |
                | 99999999  | malformed |

        Scenario: A rate limit that is stated twice is malformed
            When an answer states two rate limits
            Then it is decoded as malformed

    Rule: Which of two answers counts

        Scenario Outline: Answers that cross
            Given an upstream stated <first> in an answer to a request of <sent1> ms that arrived at <arrived1> ms
            When it states <second> in an answer to a request of <sent2> ms that arrives at <arrived2> ms
            Then its rate limit is <result> then

            Examples: the second request was sent after the first answer had arrived
                | first | sent1 | arrived1 | second | sent2 | arrived2 | result |
                | 2     | 0     | 100      | 8      | 100   | 300      | 8      |
                | 2     | 0     | 100      | none   | 150   | 300      | ending |

            Examples: they crossed, so that the lower one counts
                | first | sent1 | arrived1 | second | sent2 | arrived2 | result |
                | 2     | 0     | 100      | 8      | 50    | 300      | 2      |
                | 2     | 0     | 100      | none   | 50    | 300      | 2      |
                | 8     | 0     | 100      | 2      | 50    | 90       | 2      |

            Examples: the second one is older
                | first | sent1 | arrived1 | second | sent2 | arrived2 | result |
                | 8     | 200   | 300      | 2      | 50    | 150      | 8      |

        Scenario: After the end of a limit the rate rises before it is free
            Given an upstream stated 2 in an answer to a request of 0 ms that arrived at 100 ms
            When it states none in an answer to a request of 200 ms that arrives at 300 ms
            Then 1000 ms after it the rate is 4 requests a second
            And 4000 ms after it the rate is free

        Scenario: A limit of zero still lets a request through now and then, which can tell its end
            Given an upstream stated 0 in an answer to a request of 0 ms that arrived at 100 ms
            Then a request every 30 s is allowed

    Rule: Operators

        Background:
            Given a store with a configuration, two engines, a plain server and two instances on them

        Scenario: reedwardctl lists what upstreams have stated
            Given the plain server states "server-limit: 0.5" in its answers
            When 1 plain call is sent through the first instance
            Then reedwardctl lists a rate limit of 0.5 at the first instance, told to "entry-1"

    Rule: What refused callers are told

        Scenario Outline: When to come back while no upstream takes a request
            Given a placer whose upstreams are <upstreams>
            When a request is placed
            Then it is refused at once, to come back after <delay> ms

            Examples:
                | upstreams                             | delay |
                | none                                  | 500   |
                | leaving                               | 500   |
                | pausing for 3000 ms                   | 3000  |
                | pausing for 3000 ms, leaving          | 500   |
                | pausing for 3000 ms and for 900 ms    | 900   |
                | pausing for 90000 ms                  | 10000 |
