Feature: Which requests an ended engine implicates

    Scenario Outline: A request is implicated until its answer has begun for a while
        Given a request on an engine whose answer <progress>
        When the engine ends
        Then <count> requests are implicated

        Examples:
            | progress                                | count |
            | has no event                            | 1     |
            | had its first event 200 ms ago          | 1     |
            | had its first event 250 ms ago          | 0     |
            | is complete                             | 0     |
            | was given up by its caller              | 0     |

    Scenario: A lost answer on an engine that goes on implicates nothing
        Given a request on an engine whose answer has no event
        When its connection ends and the engine goes on
        And the engine ends
        Then 0 requests are implicated

    Scenario: A request that is sent again before it is known what became of its engine stays implicated there
        Given a request on an engine whose answer has no event
        When its connection ends and it is sent to another engine
        And the engine ends
        Then 1 requests are implicated

    Scenario: Requests on other engines are not implicated
        Given a request on an engine whose answer has no event
        When another engine ends
        Then 0 requests are implicated
        And the parts of 0 requests have been answered

    Scenario: A process that listens is told from one that is gone
        Given an address at which a process listens
        Then the address is found "listening"
        When the process ends
        Then the address is found "refused"
