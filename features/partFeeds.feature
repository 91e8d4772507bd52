Feature: Event feeds of holders of prompt parts

    Scenario: A store that serves only its newest events is listed once
        Given a holder that is listed, with 40 parts of which its feed has the newest 4
        When its events are followed
        Then 40 parts are known after 1 list
        When it stores one more part
        Then 41 parts are known after 1 list

    Scenario: A store whose events reach back to its start is not listed
        Given a holder that is listed, with 4 parts of which its feed has the newest 4
        When its events are followed
        Then 4 parts are known after 0 lists

    Scenario: A store is listed again when events were missed
        Given a holder that is listed, with 40 parts of which its feed has the newest 4
        When its events are followed
        And it stores 9 parts at once
        Then 49 parts are known after 2 lists

    Scenario: A failed list is retried with the next events
        Given a holder that is listed, with 40 parts of which its feed has the newest 4
        And its first list fails
        When its events are followed
        Then 40 parts are known after 2 lists

    Scenario: An engine is not listed, since listing delays its work
        Given a holder that is not listed, with 40 parts of which its feed has the newest 4
        When its events are followed
        Then 4 parts are known after 0 lists
