Feature: Clients that send request after request on a connection take little memory

    # Guards against one read of requests that are all in progress at once.
    Scenario: Requests on one connection are read as earlier ones end, and answered in order
        Given a server that keeps at most 16 requests of a connection in progress
        When a caller sends 20000 requests on one connection
        Then at most 2500 of them are in progress
        And all are answered in their order once they are released

    # Guards against clients that send request after request to the metrics port and read nothing.
    Scenario: Requests for metrics whose answers are not read leave a process within its memory
        Given a process of an instance whose metrics are read
        When 6 clients that read nothing send requests for metrics for 3 s
        Then the process has answered for its readiness, and has held at most 200 MB

    # Guards against many connections each of which sends thousands of requests in one read.
    Scenario Outline: Many connections of requests that are not read leave a process within its memory on the port of <port>
        Given a process of an instance whose metrics are read
        When 100 clients that read nothing send requests to the port of <port> for 2 s
        Then the process has answered for its readiness, and has held at most 200 MB

        Examples:
            | port      |
            | readiness |
            | peers     |
            | entries   |
            | callers   |
