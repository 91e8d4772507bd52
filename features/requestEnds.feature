Feature: Each request that an instance reads has an end that is counted

    Background:
        Given an instance before an upstream that holds back its answers to some requests

    # Guards against requests whose connection ends and of which neither a line nor a metric tells.
    Scenario Outline: A request ends once, whatever its caller does
        When the caller of an instance <does>
        Then the requests that the instance read ended as "<ends>"

        Examples:
            | does                                                       | ends                             |
            | reads its answer                                           | answered written                 |
            | sends a request to an unknown path                         | unknownRoute written             |
            | closes its connection with the last byte of its request    | callerGone                       |
            | closes its connection while an upstream has its request    | callerGone                       |
            | closes its connection within its body                      | callerGone                       |
            | sends two requests at once and closes its connection       | callerGone, callerGone           |
            | closes its connection within a second request              | callerGone                       |
            | resets its connection before it has read a long answer     | answered                         |
            | has a request at an upstream when the instance stops       | outcomeUnknown written           |
            | has sent half of its body when the instance stops          | stopping written                 |

    # Guards against a request that has run and whose caller gets the refusal of what it sent behind it.
    Scenario: What is no request does not spoil the answer to the request before it
        When the caller of an instance sends a request, and bytes that are no request behind it
        Then its connection has one answer, of status 200
        And the requests that the instance read ended as "answered written"

    # Guards against stops of which nobody can tell what was in progress, and when.
    Scenario: A stop tells at each of its phases how much time is left and what is open
        When the caller of an instance has a request at an upstream when the instance stops
        Then the instance tells of the phases "leaving 1, refusing 1, closing 0, ended 0" with the time that is left

    Scenario: A request that is sent while the instance leaves says so
        Then the line of a request that is sent 1200 ms after the order to stop of 8000 ms says how long the instance has

    # Guards against requests behind others that go on, and are counted, until the process ends: Node.js closes only the first response.
    Scenario: All requests of a connection end when their caller closes it
        Given a server of the product's own interface whose requests wait
        When a caller sends 5 requests on one connection and closes it
        Then all 5 of them end, since the caller has gone, and none is counted
