Feature: The entry list
    Any instance tells callers which entries to use: near ones first, few for a small customer, none that leave.

    Scenario: The caller's failure domain comes first and another one is named beside it
        Given a view of 40 members in 4 failure domains
        Then the list for a caller in each failure domain begins there and names 4 entries
        And each list also names an entry of another failure domain

    Scenario: A customer's lists name few entries, and customers are spread over all
        Given a view of 40 members in 4 failure domains
        Then 1 customer with 20 answers is told at most 4 entries
        And 200 customers with 1 answer each are told all 40 entries, the busiest at most 3 times the mean

    Scenario: A large customer is spread over as many entries as its traffic needs
        Given a view of 40 members in 4 failure domains
        Then a customer that needs 20 entries is told 20 over 400 answers

    Scenario: Every instance gives the same set and version
        Given a view of 40 members in 4 failure domains
        Then the version does not depend on the order in which members are known
        And the version changes when a member of the set leaves

    Scenario: Leaving and suspect members are left off
        Given a view of 40 members in 4 failure domains
        When 10 members are "leaving" and 10 are "suspect"
        Then no customer is told one of them

    Scenario: A doubtful view offers more
        Given a view of 8 members in 4 failure domains
        When 0 members are "leaving" and 6 are "suspect"
        Then the view offers 2 entries when it is sure and 8 when it is doubtful

    Scenario: A view in which all leave still offers entries
        Given a view of 8 members in 4 failure domains
        When 8 members are "leaving" and 0 are "suspect"
        Then the view offers 4 entries when it is sure and 8 when it is doubtful

    Scenario: Any view
        Then for any view the list has no dead, no double and no missing entry
        And the check finds a list that leaves out suspects in a doubtful view
