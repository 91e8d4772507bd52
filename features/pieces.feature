Feature: What is held of bytes that arrive in pieces follows the bytes, not the number of pieces

    Scenario Outline: Pieces of any size give the same result as one
        Then 200 bodies (seed 5601) for <reader> are read alike in pieces and in one

        Examples:
            | reader                       |
            | a buffer in blocks           |
            | an upload in chunks          |
            | an upload of a stated length |
            | an answer                    |
            | a stream of events           |
            | a stream of numbered events  |
            | the body of an answer        |
            | the answer to a call         |

    # Guards against a heap that is full of short pieces while the bytes are within their limits.
    Scenario Outline: Many short pieces take no object each
        Then 250000 pieces of one byte for <reader> make the heap grow by at most 1 MB

        Examples:
            | reader                       |
            | a buffer in blocks           |
            | an upload in chunks          |
            | an upload of a stated length |
            | an answer                    |
            | a stream of events           |
            | a stream of numbered events  |
            | the body of an answer        |
            | the answer to a call         |

    # Guards against sources of many pieces that make each turn as long as there are many of them.
    Scenario: Sources that have had their share go on one after another
        When 3 sources hand on 600 pieces each, as many as they may in a turn
        Then one source goes on in each turn, in the order "0 1 2 0 1 2"

    # Guards against an upload in short pieces that keeps the event loop from other connections.
    Scenario: A turn handles one read of an upload in short pieces
        Given a server of uploads of up to 1000000 bytes, which answers with 1 bytes
        When a caller uploads 400000 chunks of one byte
        Then the outcomes are "400000"
        And each turn handles the pieces of at most one read

    # Guards against a paused connection that is not read any more.
    Scenario: Requests behind uploads in short pieces are answered, whether these are taken or refused
        Given a server of uploads of up to 50000 bytes, which answers with 3000000 bytes
        When a caller sends uploads of 40000, 60000, 1 and 256 chunks of one byte on one connection, and then reads 3000000 bytes of each answer
        Then the outcomes are "40000, bodyTooLarge, 1, 256"

    # Guards against peers' calls that are kept in pieces.
    Scenario: A peer's call in short pieces takes no object for each
        Given a server of calls from peers
        When a peer sends a call behind 200000 spaces, each byte in a chunk of its own
        Then the heap has grown by at most 1 MB
        And the call is performed when it is complete

    # Guards against bodies that are read into memory before their sender is known.
    Scenario: A call without the secret is refused before its body has arrived, and closed when that is long
        Given a server of calls from peers
        When somebody without the secret begins a call of 8000000 bytes
        Then the call is refused as forbidden
        And its connection is closed although it sends on

    # Guards against answers to calls in short pieces that keep the event loop from other connections.
    Scenario: A call whose answer in short pieces never ends fails at its limit, and leaves turns to others
        Given a server that answers calls in chunks of one byte without end
        When it is called with a limit of 1000000 bytes for the answer
        Then the call has failed for "more bytes arrived than an answer may have"
        And the answer took at least 1000 turns of the event loop

    # Guards against a stream to a slow caller of which more waits in the connection with each pause.
    Scenario: What waits in the connection of a paused answer does not grow with the number of pauses
        Given an upstream whose answer has chunks of 1 KB without end
        When the answer is paused 400 times, each time after 16 KB
        Then at most 256 KB have waited in its connection
