Feature: Membership
    Members discover each other, detect crashes and departures, and are not misled by pauses, lost calls and cut links.

    Background:
        Given a fleet of 24 members in 4 failure domains

    Scenario: A crashed member is in no entry list after 10 s and is dead after 20 s
        When member 24 crashes
        And 10 s pass
        Then no running member lists member 24 as an entry
        When 10 s pass
        Then every running member sees member 24 as "dead"
        And no other member was accused

    Scenario: A leaving member is known to all members within 3 s
        When member 5 leaves
        And 3 s pass
        Then every running member sees member 5 as "leaving"
        And no running member lists member 5 as an entry

    Scenario: A stopped member is known to all members without suspicion
        When member 5 leaves
        And 3 s pass
        And member 5 stops
        And 10 s pass
        Then every running member sees member 5 as "dead"
        And no member was accused

    Scenario: A process that was paused accuses no member and refutes the suspicion of itself
        When member 3 is paused for 4 s
        And 5 s pass
        Then member 3 accused no member
        And member 3 detected its pause
        And every running member sees member 3 as "alive"
        And no member was declared dead

    Scenario: A process that was paused for a long time rejoins
        When member 3 is paused for 60 s
        And 30 s pass
        Then member 3 accused no member
        And every running member sees member 3 as "alive"
        And member 3 sees all members as "alive"

    Scenario: A suspect gets its full time-out again after a pause of the process that suspects it
        When member 24 crashes
        And 5 s pass
        And members 1 to 23 are paused for 20 s
        Then no member declared member 24 dead in the first second
        When 20 s pass
        Then every running member sees member 24 as "dead"

    Scenario: A member that has stopped suspects no one any more
        Given the suspicion timers of a member
        When the member stops and a probe that it had sent fails
        Then no suspicion expires within 60 s

    Scenario: Failure domains that cannot reach each other do not make views flap
        When the links between failure domains 1 and 2 are cut
        And 120 s pass
        Then no member was accused
        And no view changed

    Scenario: Links that carry one direction only do not make views flap
        When the links from failure domain 1 to failure domain 2 are cut
        And 120 s pass
        Then no member was accused
        And no view changed

    Scenario: The check for flapping views detects relays that report false results
        When relays report every member as unresponsive
        And the links between failure domains 1 and 2 are cut
        And 120 s pass
        Then some member was accused

    Scenario: An isolated member accuses no member and lists all entries
        When member 7 is isolated
        And 30 s pass
        Then member 7 accused no member
        And member 7 has a degraded view and lists 24 entries
        When the links are restored
        And 30 s pass
        Then every running member sees member 7 as "alive"
        And member 7 has no degraded view

    Scenario: Two halves of a fleet that was partitioned for an hour merge again
        When failure domains 1 and 2 are partitioned from 3 and 4
        And 3600 s pass
        Then every running member sees 12 members as "alive"
        When the links are restored
        And 90 s pass
        Then every running member sees 24 members as "alive"

    Scenario: A restart raises the incarnation and replaces the earlier process
        When member 9 crashes
        And 2 s pass
        And member 9 is restarted
        And 20 s pass
        Then every running member sees member 9 as "alive"
        And the incarnation of member 9 has increased

    Scenario: Lost calls alone lead to no accusation
        When 2 of 100 calls are lost
        And 300 s pass
        Then no member was declared dead
        And no member was accused

    Scenario: Payloads are piggybacked on probes and answers within their size limit
        When 30 s pass
        Then every member received payloads of every other member
        And no payload above the size limit arrived

    Scenario: Updates about a member give the same result in any order
        Then updates in any order give the same member
        And the check detects updates that are applied in the order of arrival
