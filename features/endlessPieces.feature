Feature: A process doesn't end, and answers its other callers, while short pieces arrive without end

    # Guards against a heap that is filled by many short pieces within the limits of bytes.
    Scenario Outline: Requests are answered beside an upstream that sends <form> without end
        Given a process of an instance before a sound upstream and one that sends <form> without end
        When 4 times 24 requests are sent to the endless upstream, and 8 to the sound one beside and after each
        Then the process has held at most 200 MB
        And the endless upstream has received requests
        And all requests to the sound upstream are answered with its answer

        Examples:
            | form                   |
            | a body in large blocks |
            | events without framing |

        Examples:
            | form                              |
            | a body in chunks of one byte      |
            | a rejection in chunks of one byte |
            | line ends, one a chunk            |
            | comments, one a chunk             |
            | events, one a chunk               |
            | one byte behind long extensions   |

    # Guards against a heap that one caller fills by an upload within the limits.
    Scenario: Requests are answered beside an upload in chunks of one byte
        Given a process of an instance before a sound upstream
        When 4 uploads of 3900000 bytes in chunks of one byte are sent in turn, and 8 requests beside and after each
        Then the process has held at most 200 MB
        And each upload is answered
        And all requests to the sound upstream are answered with its answer

    # Guards against a heap that is filled by answers that nobody reads.
    Scenario: Requests are answered beside readers of metrics that read no answer
        Given a process of an instance before a sound upstream
        When 6 connections request metrics without end and read nothing
        And 8 requests to the sound upstream are sent 8 times, each 500 ms after the former
        Then the process has held at most 200 MB
        And all requests to the sound upstream are answered with its answer

    # Guards against callers that lose requests, and processes that end, when sources without end come in series.
    Scenario: Callers lose nothing while upstreams and the store answer without end
        Then 3 processes break no promise and hold at most 200 MB while answers never end, with seed 1
