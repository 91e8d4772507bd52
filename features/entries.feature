Feature: The entry list
    An instance lists entries for a caller: its failure domain first, few for a small customer, none that is leaving.

    Scenario: The caller's failure domain comes first and another one is listed as well
        Given a view of 40 members in 4 failure domains
        Then the list for a caller in each failure domain begins there and names 4 entries
        And each list also names an entry of another failure domain

    Scenario: A customer's lists name few entries, and customers are spread over all
        Given a view of 40 members in 4 failure domains
        Then 1 customer with 20 answers receives at most 4 entries
        And 200 customers with 1 answer each receive all 40 entries, the busiest at most 3 times the mean

    Scenario: A large customer is spread over as many entries as its traffic needs
        Given a view of 40 members in 4 failure domains
        Then a customer that needs 20 entries receives 20 over 400 answers

    Scenario: Every instance gives the same set and version
        Given a view of 40 members in 4 failure domains
        Then the version does not depend on the order in which members are known
        And the version changes when a member of the set leaves

    Scenario: Leaving and suspect members are left out
        Given a view of 40 members in 4 failure domains
        When 10 members are "leaving" and 10 are "suspect"
        Then no customer receives one of them

    Scenario: A degraded view lists more entries
        Given a view of 8 members in 4 failure domains
        When 0 members are "leaving" and 6 are "suspect"
        Then the view lists 2 entries when it is healthy and 8 when it is degraded

    Scenario: A view in which all members are leaving still lists entries
        Given a view of 8 members in 4 failure domains
        When 8 members are "leaving" and 0 are "suspect"
        Then the view lists 4 entries when it is healthy and 8 when it is degraded

    Scenario: Any view
        Then for any view the list has no dead, no duplicate and no missing entry
        And the check detects a list that leaves out suspects in a degraded view
