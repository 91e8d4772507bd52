Feature: What is decoded from an answer takes memory by its values and records, not by its bytes

    # Guards against a heap that is filled by the many empty values of a short text.
    Scenario Outline: An answer of 4 MB with <values> values of the form <form> is <result>
        When an answer of 4 MB has <values> values of the form <form>
        Then it is <result>

        Examples:
            | form                     | values  | result      |
            | {}                       | 1398101 | none        |
            | [[]]                     | 838860  | none        |
            | ["s","part-00001",1,"m"] | 160000  | none        |
            | ["s","part-00001",1,"m"] | 40000   | taken whole |
            | "1,2:3[4{\\",5,6,7,8,9" | 160000  | taken whole |

    # Guards against a heap that is filled by the many empty records of one read.
    Scenario: A read of a topic takes some of many empty records, and the next read goes on after them
        Given a store whose topic has 1000000 empty records
        When the topic is read twice
        Then each read has taken 20000 records, the second one after those of the first

    # Guards against a heap that is filled by pages without end.
    Scenario Outline: A read of all keys of a topic fails when its pages never end
        Given a store whose topic has pages without end, with <keys> keys of <bytes> bytes each
        When all keys of the topic are read
        Then the read has failed after at most <pages> pages

        Examples:
            | keys | bytes  | pages |
            | 500  | 10     | 201   |
            | 4    | 200000 | 22    |
            | 1    | 10     | 1001  |
