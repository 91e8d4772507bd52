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

    Scenario: A clean history of stops
        Given a clean history of stops
        Then the stops break no promise

    Scenario Outline: The check of stops finds that <event>
        When in the history of stops <event>
        Then the stops break only the promise "<promise>"

        Examples:
            | event                                                                 | promise |
            | a stream sent early was cut before the last sixth of the grace period | LOST    |
            | a stream sent late was cut at the end of the grace period             | LOST    |
            | a stream sent early was cut at the end, its upstream had finished     | LOST    |
            | a stream sent early was cut at the end, its upstream was left before  | LOST    |
            | a stream sent early was cut at the end and had never run              | LOST    |
            | a stream sent early was cut before the last sixth, which its caller saw within it | LOST |
            | a stream was cut at an instance that was not told to stop             | LOST    |
            | a stream was cut just before its deadline                             | LOST    |
            | an earlier run was broken off and the last one cut                    | LOST    |
            | a run was cut after one that was broken off and is listed later       | LOST    |
            | a request whose answer never ends was cut without a status            | LOST    |
            | a stream was cut that went on after an answer without end             | LOST    |
            | a request was reset unread 300 ms after its last byte                 | LOST    |
            | a stream went on while the upstream before was at work                | TWICE   |
            | a stream that may run once waited at an upstream and ran at another   | TWICE   |
            | a process held more memory than it may                                | MEMORY  |
            | a stream looked complete without its last event                       | ORDER   |
            | a stream arrived in time and began on old weights after the limit     | VERSION |

    # Guards against requests that reached their deadline and were counted as lost.
    Scenario Outline: The check of stops excuses that <event>
        When in the history of stops <event>
        Then the stops break no promise

        Examples:
            | event                                                                   |
            | a stream sent early was cut at the end while its upstream worked        |
            | a stream sent early was cut at the end, which its caller saw 80 ms late |
            | a stream was cut at its deadline                                 |
            | a stream was cut at its route's timeout                          |
            | a stream was cut since its upstream broke off                    |
            | a stream whose upstream's answer never ends was cut              |
            | a request was reset unread 150 ms after its last byte            |
            | a request was reset unread, which its caller saw 400 ms late     |
            | a request was refused at the door                                |
            | a request was not sent completely                                |
            | a stream went on when its upstream before had broken off         |
            | a stream that waited on old weights was withdrawn before it began   |
            | a stream that can go on waited at an upstream and ran at another |

    Scenario: A loss comes with its trace
        When in the history of stops a stream sent early was cut before the last sixth of the grace period
        Then the stops break only the promise "LOST"
        And its trace names the attempt, its times and its run
