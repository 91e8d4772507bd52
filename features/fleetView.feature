Feature: The fleet as its instances see it

    Scenario Outline: Instances of any number know each other, and a failed one is noticed
        Given <count> instances that start together and know <contacts> addresses each
        When they exchange heartbeats for 8 s, of which 1 in 50 is lost
        Then each of them knows all others
        When they exchange heartbeats for 20 s, of which 1 in 50 is lost
        Then no instance was taken for failed
        When one instance ends without a word
        Then all others have noticed within <noticed> s

        Examples:
            | count | contacts | noticed |
            | 8     | 3        | 2       |
            | 24    | 3        | 4       |
            | 90    | 3        | 5       |
            | 195   | 3        | 7       |

    Scenario Outline: The bytes that an instance sends do not grow with the fleet
        Given <count> instances that start together and know 3 addresses each
        When they exchange heartbeats for 8 s, of which 1 in 50 is lost
        And they exchange heartbeats for 10 s, of which 1 in 50 is lost
        Then each of them has sent at most 13000 bytes a second lately

        Examples:
            | count |
            | 24    |
            | 195   |

    Scenario: A planned stop reaches instances that hear of it through others
        Given 90 instances that start together and know 3 addresses each
        When they exchange heartbeats for 8 s, of which 1 in 50 is lost
        And one instance says that it is leaving
        And they exchange heartbeats for 3 s, of which 1 in 50 is lost
        Then all others know that it is leaving

    Scenario: An older incarnation is not brought back by a relay
        Given an instance that knows the second incarnation of another
        When a heartbeat relays the first incarnation as seen just now
        Then the second incarnation is known, seen no later than before

    Scenario: Ages survive their encoding and are never rounded down
        Then any ages that are encoded are decoded as the same or less than 20 ms more
        And any text is decoded into ages without an error
