Feature: An upstream that sends bytes without end is cut off

    Scenario Outline: A send whose answer never ends is lost, and its connection is closed
        Given an upstream that sends <bytes> without end
        When a caller's <kind> request is sent to it
        Then the send is lost before its deadline
        And the upstream counts as failing
        And it has sent at most 48 MB when its connection is closed
        And nothing of the answer is held

        Examples:
            | bytes                        | kind             |
            | one line of a head           | non-idempotent   |
            | lines of a head              | non-idempotent   |
            | informational heads          | non-idempotent   |
            | a status line                | non-idempotent   |
            | a status line                | stream           |
            | a chunk's extension          | non-idempotent   |
            | a chunk's extension          | stream           |
            | trailers                     | non-idempotent   |
            | bytes that are no answer     | non-idempotent   |
            | a body without framing       | non-idempotent   |
            | a body in chunks             | non-idempotent   |
            | an event                     | stream           |
            | an event                     | resumable stream |
            | an event in lines            | resumable stream |

    Scenario: When the answers in progress hold too much together, the largest one is ended
        Given a memory of 1000 bytes for answers in progress
        When answers hold 300, 500 and 100 bytes, and the smallest one grows to 250
        Then only the answer of 500 bytes is ended
        And 550 bytes are held

    Scenario: An event is searched once, whatever its length and the sizes of its chunks
        Then over 500 random streams with seed 31 the splitter finds the same events as a search of the whole stream

    Scenario Outline: A read of <what> fails at its limit when the answer never ends
        Given a server that answers every call with a body without end
        When <what> is read from it
        Then the read has failed, and not for lack of time
        And it has sent at most 48 MB when its connection is closed

        Examples:
            | what                    |
            | a topic of the store    |
            | the parts of a holder   |
            | the state of an engine  |
            | the state of a peer     |
            | JSON of an outside call |

    Scenario Outline: A read of <what> fails before its time limit when <bytes> never ends
        Given an upstream that sends <bytes> without end
        When <what> is read from it
        Then the read has failed, and not for lack of time
        And it has sent at most 48 MB when its connection is closed

        Examples:
            | what                   | bytes               |
            | a topic of the store   | a status line       |
            | a topic of the store   | a chunk's extension |
            | the parts of a holder  | a status line       |
            | the parts of a holder  | a chunk's extension |
            | the state of an engine | a status line       |
            | the state of a peer    | a status line       |
