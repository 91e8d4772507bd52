Feature: Explaining a request from log files alone

    Scenario: The lines of several instances are merged into one time line
        Given the log of "entry-1" has these lines
            | ms   | code   | fields                                                                                                  |
            | 100  | RW3006 | requestId=r-1 upstream=e-1 afterMs=2 weightsVersion=3 promptTokens=900 heldTokens=600 fetchedTokens=0   |
            | 140  | RW3007 | requestId=r-1 upstream=e-1 outcome=rejected status=503 reason=busy                                      |
            | 141  | RW3005 | requestId=r-1 reason=rejected                                                                           |
            | 150  | RW3006 | requestId=r-2 upstream=e-1 afterMs=2                                                                    |
            | 142  | RW3012 | requestId=r-1 upstream=e-1 framing=connectionClose connection=closed unfinishedBytes=3 isComplete=false  |
            | 900  | RW3002 | requestId=r-1 kind=overloaded status=503 outcome=notRun detail=full retryAfterMs=500                    |
        And the log of "entry-2" has these lines
            | ms   | code   | fields                                                                                                  |
            | 130  | RW5005 | upstream=e-9 change=removed                                                                             |
            | 1500 | RW3006 | requestId=r-1 upstream=e-2 afterMs=1                                                                    |
            | 1450 | RW2103 | engine=e-2 version=4                                                                                    |
            | 9000 | RW5005 | upstream=e-2 change=removed                                                                             |
        When reedwardctl explains request "r-1" from the logs
        Then the explanation has these sentences in order
            | entry-1 | sent to e-1 2 ms after it arrived; weights version 3; 600 of 900 prompt tokens believed kept there |
            | entry-1 | e-1 answered 503 and did not run it: busy                                                          |
            | entry-1 | may be sent again: rejected                                                                        |
            | entry-1 | the answer of e-1 (connectionClose) ended with its connection closed and 3 bytes of an unfinished event: it counts as incomplete |
            | entry-1 | refused with 503 overloaded (it has not run): full; the caller may return after 500 ms             |
            | entry-2 | e-2 was ordered to load weights version 4                                                          |
            | entry-2 | sent to e-2 1 ms after it arrived                                                                  |

    Scenario: A request that no log names is not found
        Given the log of "entry-1" has these lines
            | ms  | code   | fields                     |
            | 100 | RW3006 | requestId=r-1 upstream=e-1 |
        When reedwardctl explains request "r-9" from the logs
        Then the explanation is that no line names it

    Scenario: Lines that are no events are skipped and counted
        Given the log of "entry-1" has these lines
            | ms  | code   | fields                     |
            | 100 | RW3006 | requestId=r-1 upstream=e-1 |
        And the log of "entry-1" ends in a truncated line
        When reedwardctl explains request "r-1" from the logs
        Then one line was skipped

    Scenario: Every log event of a request has a sentence of its own
        Then every log event of requests is described by a sentence
