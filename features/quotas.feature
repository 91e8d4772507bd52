Feature: Quotas of customers over all instances
    Customers use no more than their quotas allow, summed over all instances, beside partitions, kills, pauses, restarts of all, lost
    messages and changed quotas, on a virtual clock.

    Scenario Outline: No customer passes its quota
        When <histories> histories of quotas are played on <instances> instances from seed 1
        Then no customer has used more than its quota allows

        Examples:
            | instances | histories |
            | 2         | 12        |
            | 24        | 6         |
            | 91        | 1         |

    Scenario Outline: No customer passes its quota with requests that exceed what one owner may grant
        When <histories> histories of quotas with requests that exceed a part's capacity are played on <instances> instances from seed 1
        Then no customer has used more than its quota allows

        Examples:
            | instances | histories |
            | 2         | 12        |
            | 24        | 6         |

    Scenario Outline: Customers get what their quotas allow
        When customers ask <instances> instances for more and for less than their quotas <while>
        Then those that ask for more get at least <share> of their rate
        And at most <refused> in 100 requests of the others are refused

        Examples:
            | instances | while                                       | share | refused |
            | 1         | without failures                            | 0.95  | 1       |
            | 2         | without failures                            | 0.95  | 1       |
            | 24        | without failures                            | 0.95  | 1       |
            | 24        | while half of the instances are cut off     | 0.6   | 25      |
            | 24        | while three in ten instances end and return | 0.6   | 25      |
            | 24        | while all instances end and return          | 0.6   | 25      |

    Scenario: A customer that asks for six times its quota takes nothing from the others
        When customers ask 24 instances for more and for less than their quotas without failures
        Then 99 in 100 requests inside their quotas wait at most 100 ms

    Scenario: A lowered quota binds within a window, and a raised one is used soon
        When the quotas of 24 instances are changed by a factor of 0.2
        Then customers that ask for more get between 0.15 and 0.22 of their earlier rate from 8 s after the change
        When the quotas of 24 instances are changed by a factor of 2
        Then customers that ask for more get between 1.5 and 2.2 of their earlier rate from 8 s after the change

    Scenario Outline: What did not run is given back, once, and no more than the bucket would still hold
        Given a bucket of 100 at 10 a second that is full
        When 60 are taken and given back after <after> s with <taken> taken meanwhile
        Then the bucket holds <level>

        Examples:
            | after | taken | level |
            | 0     | 0     | 100   |
            | 2     | 0     | 100   |
            | 2     | 30    | 70    |
            | 2     | 59    | 41    |

    Scenario Outline: A request is charged before it is sent, and given back only when no upstream has run it
        When a request of a customer with a quota ends with <outcome>
        Then its charge was given back <times> times

        Examples:
            | outcome                 | times |
            | an answer               | 0     |
            | a lost answer           | 0     |
            | rejections              | 1     |
            | a refused placement     | 1     |
            | a caller that has left  | 1     |

    Scenario Outline: What a request counts as in a quota of 1000 tokens a second and a burst of 500
        When a request states the token counts <counts>
        Then it counts as <cost>, and its count is reported as malformed: <reported>

        Examples:
            | counts            | cost | reported |
            | 800,100           | 900  | no       |
            | none              | 200  | no       |
            | 0,0               | 0    | no       |
            | 999999999999,1    | 8500 | no       |
            | 9999999999999,1   | 200  | yes      |
            | -5,10             | 200  | yes      |
            | 800               | 200  | yes      |
            | many              | 200  | yes      |
            | 800,100 and 1,1   | 200  | yes      |

    Scenario: A configuration that is copied from a peer has the quotas
        When a configuration with a quota of 40 requests a second is copied from a peer
        Then its customer's quota is 40 requests a second

    Scenario: A request over its quota is refused as not run, with the time after which it may come back
        When a request of a customer with a quota is refused by the quota
        Then its caller is told "quotaSpent" with 1500 ms to wait, and it was not placed

    Scenario Outline: A message about quotas that is held up or comes from an earlier process prolongs no pledge
        Given an owner to which 3 of 4 instances have pledged
        When <what>
        Then the owner grants a share of <share>

        Examples:
            | what                                              | share |
            | nothing happens                                   | 0.75  |
            | 4 s pass without pledges                          | 0     |
            | a pledge arrives that answers a receipt of 4 s ago | 0     |
            | the owner forgets everything after a pause        | 0     |
            | a pledger states that 6 instances may run         | 0.5   |
            | the owner leaves                                  | 0     |

    Scenario Outline: A share is never pledged twice, also when an owner is replaced
        Given an instance that has pledged its share to the three owners of a pool
        When its first owner <event>
        Then within <seconds> s the next owner is pledged its part, and the instance never pledges more than its share

        Examples:
            | event                         | seconds |
            | gives the pledge up and leaves | 1       |
            | ends without a word           | 6       |
            | does not answer any more      | 8       |

    Scenario Outline: Instances that leave keep granting quotas while no other instance serves
        When the instances of the fleet are <states>
        Then quotas may be owned by <owners>

        Examples:
            | states                      | owners           |
            | serving, leaving, serving   | entry-1, entry-3 |
            | leaving                     | entry-1          |
            | leaving, leaving, starting  | entry-1, entry-2 |
            | starting                    | none             |

    Scenario Outline: An instance keeps buckets only of the quotas of which it grants a share
        Given an owner to which 3 of 4 instances have pledged
        When <what>
        Then the owner keeps <count> buckets

        Examples:
            | what                    | count |
            | nothing happens         | 1     |
            | 4 s pass without pledges | 0     |
            | the owner leaves        | 0     |

    Scenario Outline: A customer's name may have any length
        When an ask names a customer of <length> characters
        Then its owner reads the ask

        Examples:
            | length |
            | 0      |
            | 2000   |

    Scenario Outline: A request that its quota refuses earns no retries
        When a request is <end>
        Then <count> requests count for retries

        Examples:
            | end                                             | count |
            | refused by its quota                            | 0     |
            | charged, and refused for want of an upstream    | 1     |

    Scenario: A return that arrives twice is credited once
        Given an owner to which 3 of 4 instances have pledged
        When a grant of 20000 is returned to it twice
        Then it grants 20000 once more
