Feature: Connections that callers keep are closed only while no request is on them

    # Guards against requests that an upstream runs although an answer before theirs closes their connection.
    Scenario Outline: A sound request behind one whose refusal closes their connection reaches no upstream
        Given a process of an instance whose idle timeout is 15000 ms
        When a caller pipelines a request with <fault> and a sound one
        Then the upstream has run 0 requests

        Examples:
            | fault                    |
            | a body that is too large |
            | no id                    |

    # Guards against callers that use a connection for as long as the instance states and find it closed.
    Scenario: An idle connection stays open for longer than the instance states
        Given a process of an instance whose idle timeout is 1500 ms
        When a caller uses its connection
        Then the connection stays open for at least 200 ms beyond the time that the answer states

    # Guards against connections that close by the limit that was in force when they became idle.
    Scenario: A connection that became idle before the idle timeout was raised stays open
        Given a process of an instance whose idle timeout is 1000 ms
        When a caller uses its connection
        And the operator raises the idle timeout to 15000 ms
        And 3000 ms later the caller uses its connection
        Then the caller was answered with 200, 200
