Feature: No run begins on outdated weights after the limit, however late its first event

    Background:
        Given an instance that serves callers, and an engine with version 1 that keeps requests waiting

    # Guards against runs that begin after the limit since only their sends kept it.
    Scenario Outline: A send that has not begun is withdrawn before the limit
        When version 2 is named <named> ms after the start of the instance
        And a caller sends a <request> <sent> ms after its start
        And the engine answers <answer>
        Then the engine's connection is closed within <limit> ms of the start
        And the caller gets status 502

        Examples:
            | request                          | named | sent  | answer  | limit |
            | stream                           | 5000  | 11000 | nothing | 13000 |
            | stream                           | 5000  | 11000 | a head  | 13000 |
            | stream                           | 5000  | 4000  | nothing | 13000 |
            | stream that may be resumed       | 5000  | 11000 | nothing | 13000 |

    # Guards against runs on old weights that wait at their engine when the instance counts as in touch again.
    Scenario: A version of unknown age binds what an instance has sent right after its start
        When a caller sends a stream 1000 ms after its start
        And it learns 1200 ms after its start of version 2 without its age
        Then the engine's connection is closed within 3000 ms of the start
        And the caller gets status 502

    Scenario: A version of unknown age binds what an instance has sent before a pause or a time without the store
        When a caller sends a stream 1000 ms after its start
        And its process or its reads of the store go on 10000 ms after its start
        And it learns 10500 ms after its start of version 2 without its age
        Then the engine's connection is closed within 13000 ms of the start
        And the caller gets status 502

    # Guards against limits that are long beside the window, in which an assumed age let runs begin beyond it.
    Scenario Outline: An assumed age leaves a part of the window whatever the limits are
        Then runs on weights of unknown age begin and are placed within a window of <window> ms, with a limit of <limit> ms

        Examples:
            | window | limit |
            | 3000   | 8000  |
            | 4000   | 10000 |
            | 3000   | 20000 |

    Scenario: A version that was named earlier than assumed binds what was sent before
        When version 2 is named 4000 ms after the start of the instance
        And a caller sends a stream 5000 ms after its start
        And a peer tells 5100 ms after its start that version 2 was named 7900 ms before
        Then the engine's connection is closed within 5200 ms of the start
        And the caller gets status 502

    Scenario: A withdrawn stream that may be resumed goes on at an engine with the target weights
        When version 2 is named 5000 ms after the start of the instance
        And a caller sends a stream that may be resumed 11000 ms after its start
        And the engine answers a head
        And an engine with version 2 joins
        Then the engine's connection is closed within 13000 ms of the start
        And the caller gets the whole stream of the other engine

    Scenario: A run that has begun in time goes on
        When version 2 is named 5000 ms after the start of the instance
        And a caller sends a stream 11000 ms after its start
        And the engine answers an event
        Then the engine's connection is open 13000 ms after the start
        When the engine ends the stream
        Then the caller gets the whole stream of the engine
        And the line of the request's end states when its stream started

    # Guards against streams that a leaving instance cuts.
    Scenario: An instance that leaves withdraws nothing
        When version 2 is named 5000 ms after the start of the instance
        And a caller sends a stream 11000 ms after its start
        And the instance is told to stop 11500 ms after its start
        Then the engine's connection is open 13000 ms after the start
        When the engine answers an event
        And the engine ends the stream
        Then the caller gets the whole stream of the engine

    # Guards against requests that may run only once and lose their answer at an engine that is known to begin late.
    Scenario Outline: Engines that begin late get no request on outdated weights that can't be placed again
        When a caller sends a stream 1000 ms after its start
        And the engine begins and ends it <begin> ms after its start
        And version 2 is named 5000 ms after the start of the instance
        And a caller sends a <request> 10500 ms after its start
        Then the engine has got <requests> requests

        Examples:
            | begin | request                    | requests |
            | 4000  | stream                     | 1        |
            | 4000  | stream that may be resumed | 2        |
            | 1100  | stream                     | 2        |

    # Guards against streams that are cut because their last run is withdrawn at an engine that is known to begin late.
    Scenario Outline: A stream that has started goes on at outdated weights only if it begins there in time
        When a caller sends a stream 1000 ms after its start
        And the engine begins and ends it <begin> ms after its start
        And version 2 is named 5000 ms after the start of the instance
        And a caller sends a stream that may be resumed 9500 ms after its start
        And the engine answers an event 10000 ms after the start and breaks off 10500 ms after it
        And another engine with version 1 joins 10200 ms after the start
        Then the other engine with version 1 has got <requests> request

        Examples:
            | begin | requests |
            | 4000  | 0        |
            | 1100  | 1        |

    Scenario: A stream that has started and finds only outdated weights goes on at an engine with the target weights
        When a caller sends a stream 1000 ms after its start
        And the engine begins and ends it 4000 ms after its start
        And version 2 is named 5000 ms after the start of the instance
        And a caller sends a stream that may be resumed 9500 ms after its start
        And the engine answers an event 10000 ms after the start and breaks off 10500 ms after it
        And another engine with version 1 joins 10200 ms after the start
        Then the other engine with version 1 has got 0 requests
        When an engine with version 2 joins
        Then the caller gets the event of the engine and the rest of the newer one

    Scenario: The lines of a send tell for how long its weights have been outdated
        When version 2 is named 5000 ms after the start of the instance
        And a caller sends a stream 11000 ms after its start
        Then the engine's connection is closed within 13000 ms of the start
        And the line of the send states that its weights had been outdated for 6000 ms, as observed
        And a line states that the send was withdrawn at 7200 ms with no head, and why
        And the caller gets status 502

    Scenario: The line of a send tells that the age of a version is assumed
        When it learns 900 ms after its start of version 2 without its age
        And a caller sends a stream 1000 ms after its start
        Then the engine's connection is closed within 3000 ms of the start
        And the line of the send states that its weights had been outdated for 5650 ms, as assumed
