Feature: A crowd of clients that stop short and stay ends no process and shuts out no ordinary caller

    # Guards against crowds that take the memory of the machine or that keep ordinary callers out.
    Scenario Outline: A process is within its limits and answers beside and after <clients> clients that send <form>
        Given a process of an instance that is allowed 140 MB and 900 descriptors
        When <clients> clients send <form>, stay, and come back when they are closed
        Then the process answers an ordinary request while they stay
        When the clients have left
        Then the process answers an ordinary request
        And the process lives, and has held at most 140 MB and 900 descriptors

        Examples:
            | clients | form                                                  |
            | 60      | bodies of 3.9 MB in chunks of 7 bytes                 |
            | 60      | bodies of 3.9 MB in chunks of 1 byte                  |
            | 60      | short requests that are not read, one after the other |
            | 250     | bodies of 30 KB in chunks of 7 bytes                  |
            | 250     | bodies of 300 bytes in chunks of 7 bytes              |
            | 250     | a chunk of 4 MB of which 64 KB come                   |
            | 250     | heads without their end                               |
            | 250     | nothing                                               |
            | 60      | bodies of 3.9 MB in chunks of 64 KB                   |
            | 60      | requests whose answers of 2 MB are not read           |

    # Guards against crowds that send in different ways at the same time.
    @known-red
    Scenario: A process is within its limits and answers beside and after clients that send in all ways
        Given a process of an instance that is allowed 140 MB and 900 descriptors
        When 250 clients send in all ways by turns, stay, and come back when they are closed
        Then the process answers an ordinary request while they stay
        When the clients have left
        Then the process answers an ordinary request
        And the process lives, and has held at most 140 MB and 900 descriptors

    # Guards against limits on crowds that cut a slow caller within the limits.
    Scenario: A caller that sends its head and its body in short pieces with pauses is answered in calm
        Given a process of an instance that is allowed 140 MB and 900 descriptors
        When a slow caller sends 20 KB in 100 pieces, 50 ms apart
        Then this caller is answered with the upstream's answer

    # Guards against slices of uploads with many line ends that are closed because they wait for their turns.
    Scenario: Uploads with many line ends are all answered in calm
        Given a process of an instance that is allowed 140 MB and 900 descriptors
        When 120 callers upload 100 KB each in lines of 40 bytes at once
        Then each of them has 1 answer "200"

    # Guards against pipelined requests that are cut in calm while they run.
    Scenario: Requests that are sent behind others on their connections are all answered in calm
        Given a process of an instance that is allowed 140 MB and 900 descriptors
        When 24 callers send 40 short requests each on one connection at once
        Then each of them has 40 answers "200|503"
