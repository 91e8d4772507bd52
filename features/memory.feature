Feature: What requests and answers hold stays within the memory of the process

    Scenario: Request bodies beyond the budget are refused, and returned memory is used again
        Given a budget of 1000 bytes for request bodies
        When bodies hold 400 and 500 bytes
        Then a body of 200 bytes finds no room
        When the body of 400 bytes is returned
        Then a body of 200 bytes finds room

    Scenario: Memory is collected when enough of it was returned
        Then 100 answers of 1 MB that are no longer held are collected 6 times

    Scenario: An answer that is not written out makes room for no other one
        Given a memory of 1000 bytes for answers, of which one that is not written out holds 700
        When an answer that is collected grows to 400 bytes
        Then only the answer that is collected is ended

    # Guards against uploads that take a process over its memory.
    Scenario: Uploads beyond the memory are refused at once, and the others are answered
        Given a platform with a process of an instance, whose upstreams answer once an upload is refused
        When 40 callers upload 4 MB each at once
        Then every upload is answered, some with 200 and some refused as "memoryFull"
        And the process has held at most 200 MB

    # Guards against memory that grows from flood to flood.
    Scenario: Answers without end, again and again, leave a process within its memory
        Given a platform with a process of an instance, whose upstreams send bodies without end
        When 8 times 24 requests are sent at once
        Then the process has held at most 200 MB

    # Guards against lists of cached prompt parts that take a process over its memory.
    Scenario: The parts that many holders report are bounded together, and the newest of each are kept
        When 40 holders report 20000 cached parts each
        Then 100000 of these parts are known, the newest 2500 of each holder

    # Guards against a cache store whose parts are forgotten because there are many engines with few.
    Scenario: A holder with many parts may use the room that others leave
        When 98 holders report 300 cached parts each, and one more reports 20000
        Then all of these parts are known

    Scenario: A heap is reported once each time it becomes nearly full
        When the use of a heap of 100 MB is 40, 76, 90, 70, 80, 50 and 77 MB
        Then it is reported at 76 and 77 MB

    # Guards against a body whose memory is used for another one.
    Scenario: Bodies in blocks that are used again keep their bytes
        Then over 100 random crowds of bodies with seed 62 each that was taken keeps its bytes
