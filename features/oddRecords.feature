Feature: One odd record costs nobody an answer

    # Guards against connections of callers that close because an upstream's record names an impossible address.
    Scenario Outline: Callers are answered while an upstream's record is odd
        Given a store with a configuration, two engines, a plain server and two instances on them
        When an upstream's record has the <field> <value>
        Then 40 plain calls and 20 streams are answered by the sound upstreams

        Examples:
            | field   | value                   |
            | address | "127.0.0.1:65536"       |
            | address | "127.0.0.1:99999"       |
            | address | "999.1.1.1:80"          |
            | address | "0.0.0.0:1"             |
            | address | "255.255.255.255:80"    |
            | slots   | 9007199254740991        |
            | models  | nested 100000 times     |

    # Guards against heartbeats that reach no instance behind an impossible address.
    Scenario Outline: Instances find each other while the topic of instances holds an odd address
        Given a store whose topic of instances holds <address>
        And a configuration, two engines, a plain server and two instances without contacts on it
        Then both instances are listed

        Examples:
            | address              |
            | "127.0.0.1:99999"    |
            | nested 100000 times  |

    # Guards against a timer that fires at once, and sums that are not finite, for numbers that are too large.
    Scenario Outline: Callers are answered while the operator's configuration holds an odd number
        Given a store with a configuration, two engines, a plain server and two instances on them
        When the configuration's <field> becomes <value>
        Then 40 plain calls and 20 streams are answered by the sound upstreams

        Examples:
            | field                        | value               |
            | routes.1.timeout_ms          | 1e308               |
            | routes.1.traffic_split       | [{"service":"portal","weight":1e308},{"service":"portal","weight":1e308}] |
            | services.0.engine            | nested 100000 times |
            | services.1.kv_store_addr     | "127.0.0.1:99999"   |
            | limits.idle_timeout_ms       | 1e308               |

    Scenario Outline: Odd records of the lease and of versions leave the rollout possible
        Given a store with a configuration, two engines, a plain server and two instances on them
        When the topic "<topic>" gets the record <value>
        And the operator sets the target version to 2
        Then both engines load version 2 on one order each from the same holder

        Examples:
            | topic | value                                    |
            | lease | {"instance":"x","era":9007199254740991}  |
            | lease | nested 100000 times                      |
            | versions | {"model":"easy-read","version":-5}    |

    Scenario: Odd values anywhere make no decoder throw
        Then odd values in every field of records and messages make no decoder throw
