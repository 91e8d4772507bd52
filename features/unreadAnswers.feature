Feature: What waits to be written is bounded in memory, however short its pieces are

    # Guards against pieces of a stream that are each kept as a write of their own.
    Scenario: Pieces that arrive while a write is in progress are written as one
        Given a caller's connection whose stream has begun
        When 1000 pieces of the stream arrive in one turn, and it ends
        Then the caller has all of them in order, in at most 4 chunks

    Scenario: A caller that reads late has all of a stream in order, and little of it waits meanwhile
        Then over 20 random streams with seed 47 a caller that reads late has every byte, and at most 128 KB wait

    # Guards against callers that read nothing and together take a process over its memory.
    Scenario: When unread streams hold too much together, the largest one is ended and the others go on
        Given a memory of 150000 bytes for what waits to be written
        When the streams of 5 callers that read nothing are written until they wait
        Then the stream of at least 1 caller was ended, and that of another one goes on
        And what waits to be written is at most 150000 bytes

    Scenario: A stream in answer to a HEAD request ends without a body
        Given a caller's connection whose stream to a HEAD request has begun
        When 1000 pieces of the stream arrive in one turn, and it ends
        Then the caller has the head alone, and the stream holds nothing
