Feature: A crowd that sends without an end, far over the limits, or more than it reads ends no process and shuts out no ordinary caller

    # Guards against memory of connections that wait to be read, which no limit on their number bounds.
    Scenario Outline: A process is within its memory and answers beside and after <clients> clients that send <form>
        Given a process of an instance that is allowed <megabytes> MB and <descriptors> descriptors
        When <clients> clients send <form>, stay, and come back when they are closed
        Then the process answers an ordinary request while they stay
        When the clients have left
        Then the process answers an ordinary request
        And the process lives, and has held at most <megabytes> MB and <descriptors> descriptors

        Examples:
            | clients | megabytes | descriptors | form                                             |
            | 250     | 140       | 2000        | bodies of 1 GB that are announced                |
            | 500     | 140       | 2000        | bodies of 20 KB without their last byte          |
            | 500     | 140       | 2000        | bodies of 300 bytes in chunks of 7 bytes         |
            | 250     | 140       | 2000        | bodies that wait to be continued                 |
            | 250     | 140       | 2000        | heads of which a byte came                       |
            | 250     | 140       | 2000        | bytes that are no request                        |
            | 500     | 140       | 2000        | endless empty lines                              |
            | 250     | 140       | 2000        | endless trailers                                 |
            | 250     | 140       | 2000        | endless bodies behind an unknown key             |
            | 250     | 140       | 2000        | endless bodies on an unknown route               |
            | 250     | 140       | 2000        | bodies of 4 MB without their last byte           |
            | 500     | 140       | 2000        | endless chunks of 1 byte                         |
            | 1500    | 200       | 4100        | in all ways and floods by turns                  |

        @known-red
        Examples:
            | clients | megabytes | descriptors | form                                             |
            | 250     | 140       | 900         | in all ways and floods by turns                  |
            | 500     | 140       | 2000        | in all ways and floods by turns                  |
            | 500     | 140       | 2000        | endless chunks of 64 KB                          |
            | 500     | 140       | 2000        | endless chunks with extensions of 4 KB           |
            | 250     | 140       | 2000        | a chunk of 4 GB                                  |
            | 150     | 140       | 2000        | 40 requests whose answers of 2 MB are not read   |
            | 150     | 140       | 2000        | 40 requests whose answers of 200 KB are not read |

    # Guards against requests of callers that have left, behind others on their connections.
    Scenario: Requests of clients that have left are not sent on
        Given a process of an instance that is allowed 140 MB and 2000 descriptors
        When 150 clients send 40 requests whose answers of 200 KB are not read, stay, and come back when they are closed
        When the clients have left
        Then the process answers an ordinary request
        And at most 100 more requests of them reach the upstream

    # Guards against refused requests that are read on as long as their callers send.
    Scenario Outline: A client whose request is refused and whose body has no end is closed
        Given a process of an instance that is allowed 140 MB and 2000 descriptors
        When a client sends <form>
        Then its connection is closed

        Examples:
            | form                                 |
            | endless bodies behind an unknown key |
            | endless bodies on an unknown route   |

    # Guards against connections that are closed since the body of a refused request is long.
    Scenario: A connection on which a request with a body within the limit is refused takes the next request
        Given a process of an instance that is allowed 140 MB and 2000 descriptors
        When a caller sends a body of 4000000 bytes on an unknown route and a request behind it
        Then each of them has 2 answers "404|200"

    # Guards against crowds at the other ports, which have no callers of their own.
    Scenario Outline: A process is within its memory and answers beside and after clients that send in all ways to the port of <port>
        Given a process of an instance that is allowed 140 MB and 2000 descriptors
        When 400 clients send in all ways and floods by turns to the port of <port>, stay, and come back when they are closed
        Then the process answers an ordinary request while they stay
        When the clients have left
        Then the process answers an ordinary request
        And the process has answered on the port of <port>
        And the process lives, and has held at most 140 MB and 2000 descriptors

        Examples:
            | port      |
            | readiness |
            | peers     |
            | entries   |
