Feature: Logs never hold requests up

    Scenario: A reader that stalls costs lines, not time
        Given a log whose reader has stalled
        When 20000 lines are written to it
        Then the loop went on turning meanwhile
        And at most 65536 characters wait, and the lines left out are counted
        When the reader reads again
        Then it gets whole lines only, and the first one that follows left-out lines says how many

    Scenario: Lines of one event are bounded, and the next one says how many were left out
        When 500 lines of one event are written at once and one more after 10 s
        Then 400 lines are written and the last one says that 100 were left out
