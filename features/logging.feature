Feature: Logging never blocks requests

    Scenario: A stalled reader loses lines but delays nothing
        Given a log whose reader has stalled
        When 20000 lines are written to it
        Then the event loop kept running meanwhile
        And at most 65536 characters are queued, and the dropped lines are counted
        When the reader reads again
        Then it gets complete lines only, and the first one after dropped lines reports their number

    Scenario: The rate of lines of one event is limited, and the next line reports how many were dropped
        When 500 lines of one event are written at once and one more after 10 s
        Then 400 lines are written and the last one reports that 100 were dropped

    # Guards against a process that takes its last lines for unwritten, and kills itself, because it did not run for a while.
    Scenario: Lines that were written while the process did not run count as written
        When the last lines of a log are written while the process does not run until their time is over
        Then they count as written

    # Guards against a log that stays silent after its reader was replaced, and against lost lines that nobody counts.
    Scenario: Lines that the reader's end lost are counted, and a new reader gets the next ones
        Given a log whose reader has closed its end
        When 100 lines are written to it
        Then all 100 lines are counted as dropped
        When a new reader opens the log and one more line is written
        Then it gets one line, which reports that 100 were dropped
