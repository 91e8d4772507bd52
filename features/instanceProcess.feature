Feature: The process of an instance starts whatever meets it meanwhile

    # Guards against an instance that reports to be ready and never listens, because its address was still in use.
    Scenario Outline: An instance is ready only once every listener listens
        Given a platform, and a process that holds the <listener> address of an instance
        When the instance is started
        Then it is neither ready nor on its entry list
        When the address is free again
        Then it is ready, on its entry list, and answers a caller

        Examples:
            | listener  |
            | caller    |
            | readiness |
            | peer      |
            | directory |
            | heartbeat |

    # Guards against signals that end a process which still loads.
    Scenario: A change of settings that is announced while the program is loaded does not end it
        Given a platform
        When the instance is started and gets SIGHUP as soon as it receives signals
        Then it is ready, on its entry list, and answers a caller

    Scenario: An order to stop that comes while the program is loaded ends it at once
        Given a platform
        When the instance is started and gets SIGTERM as soon as it receives signals
        Then it ends with code 0

    # Guards against an exit that waits for the reader of the log, and against a process that kills itself instead.
    Scenario Outline: An instance whose log <state> ends by itself when it is told to stop
        Given a platform whose log of an instance <state>
        When the instance is started
        Then it is ready, on its entry list, and answers a caller
        When it refuses 3000 requests
        And its process is told to stop
        Then it has ended before it would be killed
        And it ends with code 0

        Examples:
            | state                       |
            | nobody reads                |
            | is full from the start      |
            | has been closed by a reader |
            | goes to a full device       |

    # Guards against an instance that ends because it meets a settings file that is being written.
    Scenario Outline: An instance waits for a settings file that is <state>
        Given a platform, and a settings file that is <state>
        When the instance is started
        And the settings file is completed after it receives signals
        Then it is ready, on its entry list, and answers a caller

        Examples:
            | state          |
            | missing        |
            | empty          |
            | partly written |

    # Guards against an instance that ends because its settings come late.
    Scenario: An instance whose settings file stays missing for long says so and serves once it is there
        Given a platform, and a settings file that is missing
        When the instance is started
        And the settings file is completed after its log says RW1011
        Then it is ready, on its entry list, and answers a caller

    # Guards against an instance that ends because its program is being replaced while it starts.
    Scenario: An instance whose program cannot be loaded for a while serves once it can
        Given a platform, and a program of which a part is missing
        When the instance is started
        And the part is put back after it receives signals
        Then it is ready, on its entry list, and answers a caller
