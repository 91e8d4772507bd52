Feature: Placement of requests

    Scenario: An upstream whose address is reused by another process gets no more requests
        Given idle engines "u-1, u-2"
        When a request to "u-1" is found to be misdirected
        Then 20 requests are all placed at "u-2"
        When the registry reports that "u-1" has restarted
        Then some of 20 requests are placed at "u-1"

    Scenario: An engine that loads weights gets no requests
        Given idle engines "u-1, u-2"
        When a peer reports that "u-1" is loading
        Then 20 requests are all placed at "u-2"

    Scenario: A draining upstream gets no requests
        Given idle engines "u-1, u-2"
        When the registry reports that "u-1" is draining
        Then 20 requests are all placed at "u-2"

    # Guards against streams that are cut although an engine is about to have the weights on which they may go on.
    Scenario Outline: A stream that has started waits for weights on which it may go on, until its deadline
        Given engines "u-1, u-2" whose weights have been outdated for 7000 ms, beyond the limit
        When a stream with a deadline of 12000 ms that has started is lost at "u-1" after <after> ms
        Then the stream waits
        When "u-2" has loaded the target weights <later> ms later
        Then the stream goes on at "u-2"

        Examples:
            | after | later |
            | 500   | 1000  |
            | 500   | 11000 |
            | 9000  | 2500  |

    Scenario: A stream that waits for weights in vain ends with its deadline
        Given engines "u-1, u-2" whose weights have been outdated for 7000 ms, beyond the limit
        When a stream with a deadline of 12000 ms that has started is lost at "u-1" after 9000 ms
        And 2990 ms more pass
        Then the stream waits
        When 20 ms more pass
        Then the stream is refused

    Scenario Outline: A stream does not wait where nothing has to go on, or no engine can
        Given engines "<engines>" whose weights have been outdated for 7000 ms, beyond the limit
        When a stream with a deadline of 12000 ms that <started> started is lost at "u-1" after 500 ms
        Then the stream is refused

        Examples:
            | engines  | started |
            | u-1, u-2 | has not |
            | u-1      | has     |

    Scenario: Outdated weights are used while answers on them are worth as much, then avoided, and refused past their limit
        Given idle engines "u-1, u-2"
        And "u-1" reports that it has cached the shared parts
        And the target weights version is 2 and "u-2" has loaded it
        Then 2 requests are all placed at "u-1"
        When 1500 ms have passed
        Then 2 requests are all placed at "u-2"
        When 5500 ms have passed
        And a request to "u-2" is found to be misdirected
        Then a request is refused as "noUpstream"

    Scenario: A request is placed where its shared prompt is cached
        Given idle engines "u-1, u-2, u-3"
        When "u-3" reports that it has cached the shared parts
        Then 1 request is placed at "u-3"

    Scenario: An engine that lacks the shared prompt fetches it from one that has cached it
        Given idle engines "u-1, u-2"
        When "u-1" reports that it has cached the shared parts
        And "u-1" is draining according to the registry
        Then a request is placed at "u-2" with the address of "u-1" as its source

    Scenario: Parts are not fetched from an engine that has loaded other weights since it prefilled them
        Given idle engines "u-1, u-2"
        And "u-1" reports that it has cached the shared parts
        And the target weights version is 2 and "u-1" has loaded it
        Then a request that avoids "u-1" is placed without a source

    Scenario: No request is placed beyond an engine's memory, and the waiting one is placed when memory is freed
        Given idle engines "u-1"
        When requests are placed until one waits
        Then the placed requests fit into the engine's memory
        When a placed request ends
        Then the waiting request is placed

    # Guards against capacity that stays taken for good when a caller uses an id for two requests at once.
    Scenario: Requests that have the same id free the capacity that each of them took
        Given idle engines "u-1"
        When 2 requests with the same id are placed, and both end
        Then nothing of "u-1" is in use

    Scenario: A waiting request is refused at once when it cannot be placed in time
        Given idle engines "u-1"
        When requests are placed until one waits
        And 3000 ms have passed
        Then the waiting request is refused as "overloaded"

    Scenario: A request with too little time left is refused and not sent
        Given idle engines "u-1"
        Then a request with 10 ms left is refused as "deadlineTooShort"

    Scenario: A prompt that no engine can hold is refused at once, also when all engines are busy
        Given idle engines "u-1"
        When requests are placed until one waits
        Then a request with a prompt of 20001 tokens is refused as "noUpstream"

    Scenario: Instances that place on delayed reports from each other do not overcommit an engine
        Given 8 instances that report their use to each other every 300 ms
        When each of them places a request every 20 ms at one engine that all see as idle
        Then the engine's memory is not overcommitted before the reports arrive

    Scenario: The most urgent request is placed first
        Given idle engines "u-1"
        When requests are placed until one waits
        And a request of priority 0 waits behind one of priority 2
        And a placed request ends
        Then the request of priority 0 is placed before that of priority 2

    Scenario: A request that can still be on time is placed before one that is already late
        Given idle engines "u-1"
        When requests are placed until one waits
        And 200 ms have passed
        And one more request waits
        And a placed request ends
        Then the newest request is placed and the one before it waits

    Scenario: A waiting stream is refused before its caller times out
        Given idle engines "u-1"
        When requests with a deadline of 15000 ms are placed until one waits
        And 2300 ms have passed
        Then the waiting request is refused as "overloaded"

    Scenario: Under a load that does not fit, callers who cannot be served learn it while they have time to come back
        Given an engine with room for two requests that answers each in 200 ms
        When a request arrives every 50 ms for 6 s
        Then from second 1 on, each refused caller has at least half of its time left
        And of 6 s of capacity at least 95 % is used
        And from second 2 on each answer is on time

    Scenario: A short excess over the capacity is queued, so that the capacity is used
        Given an engine with room for two requests that answers each in 200 ms
        When a request arrives every 50 ms for 1 s
        Then of 1 s of capacity at least 95 % is used

    Scenario: Callers of a short excess that fits once it has ended are not refused
        Given an engine with room for two requests that answers each in 200 ms
        When a request arrives every 50 ms for 1 s
        Then no caller is refused

    Scenario: Callers of a longer excess are answered within their deadline when they come back once as advised
        Given an engine with room for two requests that answers each in 200 ms
        And refused callers come back once after the delay of their refusal
        When a request arrives every 50 ms for 2 s
        Then no caller is refused

    Scenario: Instances that place at the same moment have a part that most prompts begin with prefilled by one engine
        Given 7 instances with 6 idle engines that know nothing of each other's requests
        When each of them places a prompt that begins with the same part and goes on with one of its own
        Then all of these prompts are placed at one engine

    Scenario: Peers are told at once which parts an engine is about to prefill
        Given 7 instances with 6 idle engines that tell each other what is about to be prefilled
        When each of them in turn places a prompt with the same shared parts
        Then all of these prompts are placed at one engine
        And the parts were reported once

    Scenario: Reports of prefills stay within their budget of bytes, however many there are
        Given a reporter of prefills whose reports take 2000 bytes each
        When 40 prefills begin every second for 10 s
        Then at most 96000 bytes were sent
        And at least 90000 bytes were sent

    Scenario: A part is fetched only from an engine that has prefilled it
        Given idle engines "u-1, u-2, u-3"
        When a prompt is sent to an engine and its answer has not begun
        Then a prompt with the same parts that avoids this engine is placed without a source
        When the answer of the first engine begins
        Then a prompt with the same parts that avoids both engines has the first one as its source

    Scenario: Instances that place on delayed reports do not all queue at the first engine that has new weights
        Given 7 instances with 6 engines of which only "u-1" has the target weights
        When each of them places 3 prompts of 3000 uncached tokens before any report arrives
        Then "u-1" is to prefill at most what it prefills in 600 ms at 38.4 tokens a ms

    Scenario: Choosing the sources of all engines at once gives the sources that each would choose by itself
        Then over 500 random sets of holders with seed 7 every engine has the same source

    Scenario: Instances of a large fleet do not all choose the same engines
        Given 195 instances of a large fleet with 82 idle engines
        When each of them places a prompt that begins with one of 4 parts and goes on with one of 2467
        Then no engine gets more than 12 of them

    Scenario: Instances of a large fleet place the same shared prompt on the same engine
        Given 24 instances of a large fleet with 82 idle engines
        When each of them in turn places a prompt with the same shared parts
        Then all of these prompts are placed at one engine
