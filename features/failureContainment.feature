Feature: An exception ends neither a periodic duty nor a feed, and no request stays without an end

    Scenario: A topic is followed further after a receiver of its records has thrown
        Given a topic whose next record makes its receiver throw
        When a record follows it
        Then both records have been received
        And the exception has been reported

    Scenario: A holder's events are followed further after their receiver has thrown
        Given a holder of parts whose first events make their receiver throw
        When its events are followed for a while
        Then later events have been received
        And the exception has been reported

    Scenario: An action that throws is repeated
        When an action that throws the first time is repeated every 100 ms for 350 ms
        Then it has run 3 times

    Scenario: A change reaches the other listeners when one of them throws
        When a configuration comes into force while the first of two listeners throws
        Then the second listener was called
        And the exception has been reported

    Scenario: A request one of whose steps cannot be performed ends once with an error
        When the handler of an effect throws, and resumes the steps later
        Then the steps have ended once, with the error
