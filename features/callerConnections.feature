Feature: Connections of callers leave descriptors and memory for everything else

    Scenario Outline: The number of connections of callers follows from what the platform allows a process
        Then a process with <descriptors> descriptors and <memory> MB keeps at most <connections> connections

        Examples:
            | descriptors | memory | connections |
            | 4100        | 200    | 1800        |
            | 4200        | 350    | 1850        |
            | 8192        | 602    | 3846        |
            | 8192        | 178    | 1898        |
            | 100         | 200    | 1           |

    # Guards against callers' idle connections that take the last descriptors, so that no upstream can be reached.
    Scenario: Callers that keep connections take no descriptors from the requests of others
        Given a process of an instance that is allowed 700 descriptors
        When 400 callers send a request one after the other and keep their connections
        Then each of them was answered with 200
        And the process has at most 200 descriptors open

    Scenario: Of the idle connections the one that is idle longest is closed, and none with a request
        Given at most 8 connections of callers, of which 6 are open
        When connections 2, 1 and 3 have each had a request, and connection 4 has one in progress
        And 3 more are opened
        Then connections 2, 1 and 3 are being closed

    # Guards against requests that are discarded because their connection counts as idle until they are read.
    Scenario: Of the idle connections none is closed on which a request has arrived
        Given at most 8 connections of callers, of which 6 are open
        When connections 2, 1 and 3 have each had a request, and connection 4 has one in progress
        And 3 more are opened while a request that has arrived on connection 2 is not read yet
        Then connection 2 stays open

    # Guards against requests that are reset with their connection because its timer runs before it is read.
    Scenario: An idle connection whose timeout passes is closed only if no request has arrived on it
        Given at most 8 connections of callers, of which 6 are open
        When connections 2, 1 and 3 have each had a request, and connection 4 has one in progress
        And the idle timeout of connection 2 passes while a request that has arrived on it is not read yet
        And the idle timeout of connection 1 passes
        Then connection 2 stays open
        And connection 1 is being closed

    # Guards against requests that have their refusal when their connection is already closed to it.
    Scenario: When a stop closes all connections, one with a request in progress closes only after its answer
        Given at most 8 connections of callers, of which 4 are open
        When connections 2, 1 and 3 have each had a request, and connection 4 has one in progress
        And all of them are to be closed
        Then connections 2, 1 and 3 are being closed
        And connection 4 closes once its request is over

    # Guards against requests that are lost or garbled because their connections were accepted before they are read.
    Scenario: Connections that are held back are read as a whole once they are let through
        Given an HTTP server with a gate that holds back new connections
        When 12 callers send a part of a request, 2 of which reset their connection, and the gate opens
        Then 10 callers have their answers
        And a new connection is read at once
