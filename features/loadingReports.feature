Feature: Reports of engines that load weights

    Scenario: Changes of a moment are reported together, the first one at once
        Given an instance that reports which engines load
        When 23 engines begin to load at once and end 10 ms after one another
        Then the first report names 23 engines
        And at most 5 reports were sent, the last of which names none

    Scenario: A report that is not repeated ends
        Given an instance that has heard that "u-1" and "u-2" load
        When nothing is heard for 2000 ms
        Then no engine is taken for loading

    Scenario: A report that arrives late changes nothing
        Given an instance that has heard that "u-1" and "u-2" load
        When a report arrives that none loads, and then an earlier one that "u-3" loads
        Then no engine is taken for loading

    Scenario: A restarted instance is heard again
        Given an instance that has heard that "u-1" and "u-2" load
        When the next incarnation of the sender reports for the first time that "u-3" loads
        Then "u-3" alone is taken for loading
