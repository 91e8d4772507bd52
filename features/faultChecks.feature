Feature: Checks of the fault run
    Each check of a fault run can fail: a history with one injected violation fails the check of that promise only.

    Scenario: A clean history
        Given a clean history of a fault run
        Then no promise is violated

    Scenario Outline: <violation>
        Given a clean history of a fault run
        When the history is changed so that <violation>
        Then only the promise "<promise>" is violated

        Examples:
            | violation                                   | promise                               |
            | a run used another customer's cache scope   | cache scope                           |
            | a run used the cache scope of older weights | cache scope                           |
            | a stream ended silently                     | streams whole and in order            |
            | a stream lost an event                      | streams whole and in order            |
            | a retry got a different booking answer      | one answer per key                    |
            | a restarted daemon never became ready       | restart serves at once                |
            | a caller got the answer to another request  | own answer                            |
            | a request refused as not run was run        | "not run" is true                     |
            | a booking ran twice                         | at most once                          |
            | a leaving engine got work after 4 s         | leaving upstream gets no new work     |
            | a planned stop reset a request              | planned stop cuts nothing             |
            | a change was in force only after 5 s        | configuration in force, never reverts |
            | a change was never in force on one daemon   | configuration in force, never reverts |
            | a daemon went back to an older revision     | configuration in force, never reverts |
