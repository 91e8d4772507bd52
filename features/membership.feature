Feature: Membership
    Members find each other, notice who has crashed or leaves, and are not misled by pauses, lost calls and broken links.

    Background:
        Given a fleet of 24 members in 4 failure domains

    Scenario: A crashed member is offered to no caller after 10 s and is dead after 20 s
        When member 24 crashes
        And 10 s pass
        Then no running member offers member 24
        When 10 s pass
        Then every running member holds member 24 as "dead"
        And nobody else was accused

    Scenario: A member that leaves is known everywhere within 3 s
        When member 5 leaves
        And 3 s pass
        Then every running member holds member 5 as "leaving"
        And no running member offers member 5

    Scenario: A member that stops is known everywhere without suspicion
        When member 5 leaves
        And 3 s pass
        And member 5 stops
        And 10 s pass
        Then every running member holds member 5 as "dead"
        And nobody was accused

    Scenario: A process that was paused accuses nobody and contradicts the suspicion of itself
        When member 3 is paused for 4 s
        And 5 s pass
        Then member 3 accused nobody
        And member 3 noticed its pause
        And every running member holds member 3 as "alive"
        And nobody was declared dead

    Scenario: A process that was paused for long comes back
        When member 3 is paused for 60 s
        And 30 s pass
        Then member 3 accused nobody
        And every running member holds member 3 as "alive"
        And member 3 holds all members as "alive"

    Scenario: A suspect gets its full time again after a pause of the process that judges it
        When member 24 crashes
        And 5 s pass
        And members 1 to 23 are paused for 20 s
        Then nobody declared member 24 dead in the first second
        When 20 s pass
        Then every running member holds member 24 as "dead"

    Scenario: Failure domains that cannot reach each other do not make views flap
        When the links between failure domains 1 and 2 are cut
        And 120 s pass
        Then nobody was accused
        And no view changed

    Scenario: Links that carry one direction only do not make views flap
        When the links from failure domain 1 to failure domain 2 are cut
        And 120 s pass
        Then nobody was accused
        And no view changed

    Scenario: The check for flapping views finds relays that say nothing true
        When relays report every member as silent
        And the links between failure domains 1 and 2 are cut
        And 120 s pass
        Then somebody was accused

    Scenario: A member that is cut off accuses nobody and offers all entries
        When member 7 is cut off
        And 30 s pass
        Then member 7 accused nobody
        And member 7 has a doubtful view and offers 24 entries
        When the links are healed
        And 30 s pass
        Then every running member holds member 7 as "alive"
        And member 7 has no doubtful view

    Scenario: Two halves that lost each other for an hour find each other again
        When failure domains 1 and 2 are cut off from 3 and 4
        And 3600 s pass
        Then every running member holds 12 members as "alive"
        When the links are healed
        And 90 s pass
        Then every running member holds 24 members as "alive"

    Scenario: A restart raises the incarnation and replaces the earlier life
        When member 9 crashes
        And 2 s pass
        And member 9 is restarted
        And 20 s pass
        Then every running member holds member 9 as "alive"
        And the incarnation of member 9 has risen

    Scenario: Lost calls alone accuse nobody
        When 2 of 100 calls are lost
        And 300 s pass
        Then nobody was declared dead
        And nobody was accused

    Scenario: Payloads ride on probes and answers within their bound
        When 30 s pass
        Then every member received payloads of every other member
        And no payload beyond the bound arrived

    Scenario: Statements about a member give the same result in any order
        Then statements in any order give the same member
        And the check finds statements that are judged by their arrival
