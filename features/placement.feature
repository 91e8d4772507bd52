Feature: Where requests are placed

    Scenario: An upstream whose address another process has gets no more requests
        Given engines "u-1, u-2" that run nothing
        When "u-1" is found replaced
        Then 20 requests are all placed at "u-2"
        When the registry says that "u-1" has started again
        Then some of 20 requests are placed at "u-1"

    Scenario: An engine that loads weights gets no requests
        Given engines "u-1, u-2" that run nothing
        When a peer tells that "u-1" is loading
        Then 20 requests are all placed at "u-2"

    Scenario: A draining upstream gets no requests
        Given engines "u-1, u-2" that run nothing
        When the registry says that "u-1" is draining
        Then 20 requests are all placed at "u-2"

    Scenario: Outdated weights are avoided, and refused past their limit
        Given engines "u-1, u-2" that run nothing
        And weights version 2 is named and "u-2" has it
        Then 2 requests are all placed at "u-2"
        When 7000 ms have passed
        And "u-2" is found replaced
        Then a request is refused as "noUpstream"

    Scenario: A request goes where its shared prompt is kept
        Given engines "u-1, u-2, u-3" that run nothing
        When "u-3" tells that it keeps the shared parts
        Then 1 request is placed at "u-3"

    Scenario: An engine that lacks the shared prompt fetches it from one that keeps it
        Given engines "u-1, u-2" that run nothing
        When "u-1" tells that it keeps the shared parts
        And "u-1" is draining by the registry
        Then a request is placed at "u-2" with the address of "u-1" as its source

    Scenario: No request is placed beyond an engine's memory, and the waiting one is placed when room is made
        Given engines "u-1" that run nothing
        When requests are placed until one waits
        Then the placed requests fit into the engine's memory
        When a placed request ends
        Then the waiting request is placed

    Scenario: A waiting request is refused at once when it cannot be placed in time
        Given engines "u-1" that run nothing
        When requests are placed until one waits
        And 3000 ms have passed
        Then the waiting request is refused as "overloaded"

    Scenario: A request whose time is over is refused and not sent
        Given engines "u-1" that run nothing
        Then a request with 10 ms left is refused as "deadlineTooShort"

    Scenario: Instances that place by late news of each other do not overfill an engine
        Given 8 instances that tell each other their use every 300 ms
        When each of them places a request every 20 ms at one engine that all see empty
        Then the engine's memory is not taken more than once before the news arrives

    Scenario: The most urgent request is placed first
        Given engines "u-1" that run nothing
        When requests are placed until one waits
        And a request of priority 0 waits behind one of priority 2
        And a placed request ends
        Then the request of priority 0 is placed before that of priority 2

    Scenario: A request that can still be on time goes before one that is late already
        Given engines "u-1" that run nothing
        When requests are placed until one waits
        And 200 ms have passed
        And one more request waits
        And a placed request ends
        Then the request that came last is placed and the one before it waits

    Scenario: A stream that waits is refused before its caller gives it up
        Given engines "u-1" that run nothing
        When requests with a deadline of 15000 ms are placed until one waits
        And 2300 ms have passed
        Then the waiting request is refused as "overloaded"
