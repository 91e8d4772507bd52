Feature: Answers that come while their request is still being written

    Scenario Outline: A part of an answer without a length is not the whole when it is reset under an upload (MIXED)
        Given an upstream that answers the head of an upload with <answer> and resets the connection <time>
        When uploads of 0.2, 2, 3.5 and 32 MB are sent to it, read and not read, on new and on kept connections
        Then each of them counts as lost

        Examples:
            | answer                                          | time        |
            | a body without a length                         | at once     |
            | a body without a length                         | after 5 ms  |
            | a body without a length                         | after 30 ms |
            | a body without a length                         | after 80 ms |
            | a body without a length and "Connection: close" | at once     |
            | a body without a length and "Connection: close" | after 5 ms  |
            | a body without a length and "Connection: close" | after 30 ms |
            | a body without a length and "Connection: close" | after 80 ms |
            | a body without a length in HTTP/1.0             | at once     |
            | a body without a length in HTTP/1.0             | after 5 ms  |
            | a body without a length in HTTP/1.0             | after 30 ms |
            | a body without a length in HTTP/1.0             | after 80 ms |
            | a status line without a reason                  | at once     |
            | a status line without a reason                  | after 5 ms  |
            | a status line without a reason                  | after 30 ms |
            | a status line without a reason                  | after 80 ms |
            | two events without a length                     | at once     |
            | two events without a length                     | after 5 ms  |
            | two events without a length                     | after 30 ms |
            | two events without a length                     | after 80 ms |
            | a head without a length                         | at once     |
            | a head without a length                         | after 5 ms  |
            | a head without a length                         | after 30 ms |
            | a head without a length                         | after 80 ms |
            | a 500 without a length                          | at once     |
            | a 500 without a length                          | after 5 ms  |
            | a 500 without a length                          | after 30 ms |
            | a 500 without a length                          | after 80 ms |

    Scenario Outline: An answer without a length is whole when its connection is closed in order under an upload
        Given an upstream that answers the head of an upload with <answer> and closes its side
        When uploads of 0.2, 2, 3.5 and 32 MB are sent to it, read and not read, on new and on kept connections
        Then each of them counts as <outcome>

        Examples:
            | answer                                          | outcome  |
            | a body without a length                         | answered |
            | a body without a length and "Connection: close" | answered |
            | a body without a length in HTTP/1.0             | answered |
            | a status line without a reason                  | answered |
            | two events without a length                     | finished |
            | a head without a length                         | answered |
            | a 500 without a length                          | answered |

    Scenario Outline: An upstream that reads an upload on after its answer gets the upload's own bytes (UNASKED)
        When an upload of <bytes> bytes is answered early, and another request is sent before the upstream reads on
        Then the upstream has received <bytes> bytes of the upload and then the other request

        Examples:
            | bytes    |
            | 200000   |
            | 2000000  |
            | 3500000  |
            | 32000000 |
