Feature: When connections or memory run short, those that make the least progress yield

    Scenario Outline: Of connections that are received the one with the fewest bytes for its time yields
        Given connections that began <began> ms ago and have sent <sent> bytes
        Then the connection that yields is number <number>

        Examples:
            | began         | sent           | number |
            | 400, 800, 900 | 400, 100, 4000 | 2      |
            | 900, 800, 20  | 0, 0, 0        | 1      |
            | 10, 90, 40    | 0, 5000, 20    | 2      |

    # Guards against newcomers that yield to a crowd because they have sent nothing yet.
    Scenario: One that has just begun never yields while another one has had its time
        Then over 300 random crowds with seed 59 no connection that began in the last 249 ms yields beside an older one

    Scenario: A body that is behind its pace yields to others, and one that is complete or at the pace does not
        Given a budget of 1000 bytes for bodies that arrive, of which body 1 holds 600 bytes and body 2 holds 300
        When 1000 ms have passed, in which 20 bytes of body 1 and 200000 bytes of body 2 have arrived
        Then body 3 finds room for 700 bytes, since body 1 was refused
        And body 4 finds no room for 100 bytes

    Scenario: A complete body keeps its room
        Given a budget of 1000 bytes for bodies that arrive, of which body 1 holds 600 bytes and body 2 holds 300
        When body 1 is complete
        And 1000 ms have passed, in which 0 bytes of body 1 and 200000 bytes of body 2 have arrived
        Then body 3 finds no room for 200 bytes

    # Guards against uploads at their pace that hold all of the memory, so that every ordinary request is refused.
    Scenario: Small bodies find room beside large ones that hold their share
        Given a budget of 1000000 bytes for bodies that arrive, of which body 1 holds 500000 bytes and body 2 holds 370000
        Then body 3 finds no room for 200000 bytes
        And 20 small bodies of 5000 bytes find room

    # Guards against ordinary answers that are lost because others are not read.
    Scenario: A small answer is collected beside large ones that hold their share
        Given a memory of 1000000 bytes for answers with one of 500000 bytes that was made 100 ms ago and one of 370000 made 100 ms ago
        When 2 answers are collected and grow to 100000 and to 50000 bytes
        Then of them only the one of 100000 bytes is ended

    # Guards against ordinary answers that are lost because one large answer uses what one alone may.
    Scenario: A small answer is collected beside one that exceeds the limit alone
        Given a memory of 1000000 bytes for answers with one of 500000 bytes that was made 100 ms ago and one of 600000 made 100 ms ago
        When another answer is collected and grows to 500 bytes
        Then no answer is ended

    # Guards against answers that nobody reads and that keep all others out of the memory.
    Scenario: An answer that is not read for seconds yields to others, and one that was just made does not
        Given a memory of 1000 bytes for answers with one of 400 bytes that was made 2500 ms ago and one of 300 made 1500 ms ago
        When another answer is collected and grows to 500 bytes
        Then of the answers only that of 400 bytes is ended

    Scenario Outline: The memory is divided by what the program leaves
        Then of <memory> MB at most <bodies> MB are for bodies and <answers> MB for answers

        Examples:
            | memory | bodies | answers |
            | 100    | 12     | 12      |
            | 178    | 33     | 16      |
            | 200    | 42     | 21      |
            | 602    | 193    | 96      |

    Scenario: What is planned and the program fit into the memory from 125 MB on
        Then for each memory from 125 to 1000 MB the plan leaves 96 MB for the program

    # Guards against silent connections that keep callers out.
    Scenario: When connections run short and none is idle, the oldest that has sent nothing is closed
        Given at most 8 connections of callers, of which 6 are open
        When 260 ms have passed for them
        And 1 more is opened that has a request at once
        Then connection 1 is closed and the others stay open

    # Guards against newcomers that are closed before their head can have come, while there are places.
    Scenario: While there are places, no connection is closed that has just begun
        Given at most 16 connections of callers, of which 12 are open
        When each of them has a request in progress
        And 3 more are opened
        Then none is closed

    # Guards against answers that are lost because the next body on their connection is not complete yet.
    Scenario: A connection with a request that runs before one that is received stays
        Given at most 8 connections of callers, of which 6 are open
        When each of them has a request in progress and one that is received
        And 260 ms have passed for them
        And 1 more is opened that has a request at once
        Then none is closed

    # Guards against answers that are cut because their request ran long.
    Scenario: An answer that was just made stays although its request ran for seconds
        Given at most 8 connections of callers, of which 6 are open
        When each of them has a request in progress
        And 2100 ms have passed for them
        And the answer on connection 1 is made
        And 1 more is opened that has a request at once
        Then none is closed

    # Guards against answers that are cut while their connection is closed behind them.
    Scenario: A connection that is being closed keeps the time for its answer
        Given at most 8 connections of callers, of which 7 are open
        When connection 1 is being closed behind an answer that is not sent
        And 1 more is opened that has a request at once
        Then none is closed

    # Guards against bodies that are refused although the newcomer finds no room either.
    Scenario: Bodies that are behind do not yield in vain
        Given a budget of 1000 bytes for bodies that arrive, of which body 1 holds 600 bytes and body 2 holds 300
        When body 1 is complete
        And 1000 ms have passed, in which 0 bytes of body 1 and 20 bytes of body 2 have arrived
        Then body 3 finds no room for 500 bytes

    # Guards against steady readers that are cut, and against memory that is written off but still held.
    Scenario: Answers that are being read or wait behind others stay, and one that is evicted counts until it is closed
        Given a memory of 1000 bytes for answers with 300 bytes that are read, 300 behind another and 300 that are not read
        When 2500 ms pass, and another answer is collected and grows to 200 bytes
        Then only the one that is not read is ended, and 1100 bytes are counted
        When its holding shrinks to 200 bytes and is closed
        Then another collected answer of 300 bytes is ended, since the limit counts all others

    # Guards against bodies and answers within the configuration that a small process can never take.
    Scenario Outline: One body and one answer alone may use what they may use without a crowd
        Then with <memory> MB one body finds room for <body> MB, and beside it none for another of 30 MB
        And with <memory> MB one answer may grow to <answer> MB, and beside it none to another 12 MB

        Examples:
            | memory | body | answer |
            | 100    | 32   | 16     |
            | 128    | 40   | 20     |
            | 200    | 64   | 32     |
