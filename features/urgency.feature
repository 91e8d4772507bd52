Feature: Urgent requests, patient ones, and many customers on too little room

    # Engines run 8 requests at once. A second time after a refusal is the last one. Rates are requests a second of the fleet.

    Scenario Outline: Urgent requests are on time beside twice as many patient ones as usual, which are served, too
        Given <fleet>
        When callers come for 12 s, with a peak from second 3 to 9:
            | kind    | customer | priority | rate | peak | tokens | hold | aim  | deadline |
            | urgent  | clinic   | 0        | 40   | 1    | 800    | 200  | 500  | 5000     |
            | patient | clinic   | 2        | 11   | 2    | 800    | 1500 | 1500 | 12000    |
        Then at least 95 % of the "urgent" requests begin within their aim
        And at least 80 % of the "patient" requests begin within their aim
        And at least 95 % of the "patient" requests are served
        And from second 4 to 9 at least 90 % of the engines' capacity is used

        Examples:
            | fleet                                                                    |
            | 1 instance before 4 engines                                              |
            | 4 instances before 4 engines                                             |
            | 4 instances before 4 engines that do not tell each other what they place |
            | 8 instances before 4 engines that do not tell each other what they place |

    Scenario: Urgent requests are on time although an instance sees none of its peers
        Given 4 instances before 4 engines, of which the first sees no peers
        When callers come for 12 s, with a peak from second 3 to 9:
            | kind    | customer | priority | rate | peak | tokens | hold | aim  | deadline |
            | urgent  | clinic   | 0        | 40   | 1    | 800    | 200  | 500  | 5000     |
            | patient | clinic   | 2        | 11   | 2    | 800    | 1500 | 1500 | 12000    |
        Then at least 90 % of the "urgent" requests begin within their aim
        And at least 95 % of the "patient" requests are served

    Scenario: Urgent requests are on time although an engine leaves beside a burst
        Given 4 instances before 5 engines
        And one of the engines begins to leave after 4 s
        When callers come for 12 s, with a peak from second 3 to 9:
            | kind    | customer | priority | rate | peak | tokens | hold | aim  | deadline |
            | urgent  | clinic   | 0        | 40   | 1    | 800    | 200  | 500  | 5000     |
            | patient | clinic   | 2        | 11   | 2    | 800    | 1500 | 1500 | 12000    |
        Then at least 90 % of the "urgent" requests begin within their aim
        And at least 95 % of the "patient" requests are served

    Scenario: A customer at six times its usual does not push out the others
        Given 1 instance before 4 engines
        When callers come for 12 s, with a peak from second 3 to 9:
            | kind | customer | priority | rate | peak | tokens | hold | aim | deadline |
            | read | large    | 1        | 12   | 6    | 800    | 400  | 500 | 5000     |
            | read | clinic   | 1        | 12   | 1    | 800    | 400  | 500 | 5000     |
            | read | school   | 1        | 12   | 1    | 800    | 400  | 500 | 5000     |
            | read | council  | 1        | 12   | 1    | 800    | 400  | 500 | 5000     |
        Then at least 95 % of the requests of "clinic" begin within their aim
        And at least 95 % of the requests of "school" begin within their aim
        And at least 95 % of the requests of "council" begin within their aim
        And at least 80 % of the requests of "large" are served
        And from second 4 to 9 at least 90 % of the engines' capacity is used

    Scenario: Patient requests are not left without service by urgent ones beyond the capacity, nor served better than these
        Given 1 instance before 2 engines
        When callers come for 12 s, with a peak from second 3 to 9:
            | kind    | customer | priority | rate | peak | tokens | hold | aim  | deadline |
            | urgent  | clinic   | 0        | 40   | 3    | 800    | 200  | 500  | 5000     |
            | patient | clinic   | 2        | 8    | 1    | 800    | 200  | 1500 | 12000    |
        Then at least 60 % of the "patient" requests are served
        And a larger part of the "urgent" requests than of the "patient" ones begins within its aim

    Scenario: Nothing is held back from patient requests while no urgent ones come
        Given 1 instance before 4 engines
        When callers come for 6 s, with a peak from second 3 to 4:
            | kind    | customer | priority | rate | peak | tokens | hold | aim  | deadline |
            | patient | clinic   | 2        | 20   | 1    | 800    | 600  | 1500 | 12000    |
        Then all of the "patient" requests begin at once

    Scenario Outline: Urgent requests are tried although patient ones are owed a turn and kept back
        When urgent requests nearly fill the upstreams while <patient> patient ones wait
        Then no urgent request waits beside an idle slot, and none is refused

        Examples:
            | patient |
            | 7       |
            | 8       |
            | 20      |

    Scenario: Slots are left to urgent requests at upstreams that state their load
        Given urgent requests arrive of which one is about to come to an upstream
        Then a patient request may take an upstream that states 6 requests on 8 slots: "yes"
        And a patient request may take an upstream that states 7 requests on 8 slots: "no"

    Scenario: Urgent requests of long ago keep no patient ones back
        Given an upstream that took urgent requests until 600 s ago and 5 patient ones since
        Then a patient request may take an upstream with 1 of 8 slots in use: "yes"

    Scenario: A customer whose requests fit nowhere does not keep others from being tried
        Given 9 requests of "clinic" that fit nowhere wait before one of "school"
        Then the one that fits is placed by the next dispatch

    Scenario: A few patient requests get a retry beside many urgent ones, but no more than there are
        Given a retry budget of a fifth of the requests of which 98 are of priority 0 and 2 of priority 2
        When 50 requests of priority 2 ask for a retry
        Then 1 of them get one
        When 50 requests of priority 0 ask for a retry
        Then 11 of them get one
        When 50 requests of priority 2 ask for a retry
        Then 0 of them get one

    Scenario: A customer that could not be placed for long does not keep others waiting afterwards
        Given requests of "clinic" fit nowhere while 40 of "school" are placed
        When all of them fit
        Then of the next 10 placed at least 3 are of "school"

    Scenario: When many requests are rejected at once, patient ones leave retries to the urgent ones
        Given a retry budget of a fifth of the requests of which 20 are of priority 0 and 30 of priority 2
        When 50 requests of priority 2 ask for a retry
        Then 3 of them get one
        When 50 requests of priority 0 ask for a retry
        Then 3 of them get one

    Scenario Outline: A customer's priority goes before its routes', which rank the customer's own requests
        Given routes of priorities "0, 2" and customers of priorities "<customers>"
        Then requests rank as "<order>"

        Examples:
            | customers | order                               |
            | none      | none/0, none/2                      |
            | 1         | none/0, 1/0, 1/2, none/2            |
            | 0, 1      | 0/0, 0/2, 1/0, 1/2                  |
