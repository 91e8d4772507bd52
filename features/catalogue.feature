Feature: The catalogue
    Every instance holds the same fold of the log, and its offset only rises.

    Scenario: Any two folds to the same offset are equal
        Then 300 random histories fold to the same catalogue however they are paged and snapshotted
        And a fold that loses the applied change ids at a snapshot is detected

    Scenario: No interleaving of snapshot, peer, truncation and tail lowers an offset
        Then 500 random interleavings never lower an offset and always hold the fold of a prefix
        And an adoption that accepts older catalogues is detected
        And a replica that skips truncated records is detected

    Scenario: A snapshot is restored unchanged from the log
        Then 50 random catalogues are restored equal from the records of their snapshot
        And a snapshot with a missing part is rejected

    Scenario: A truncated log is never mistaken for an empty one
        Given a log with 4 changes whose first 2 are truncated
        When an instance follows it for 3 seconds
        Then it is not loaded and has event "catalogueGap" once
        When it adopts a peer's catalogue of all 4 changes
        Then it is loaded at offset 4

    Scenario: A snapshot bridges a truncated log
        Given a log with 4 changes whose first 2 are truncated
        And a snapshot of the first 3 changes on the log followed by a malformed one
        When an instance follows it for 3 seconds
        Then it is loaded at offset 4
        And it has event "catalogueBridged" once

    Scenario: An empty log that was read counts as loaded
        Given a log with 0 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        Then it is loaded at offset 0

    Scenario: A partially read log is not in force
        Given a log with 1500 changes whose first 0 are truncated
        And the log goes down after one page
        When an instance follows it for 3 seconds
        Then it is not loaded and has event "logUnreachable" once
        When the log is up for 3 seconds
        Then it is loaded at offset 1500

    Scenario: The last catalogue stays in force during a log outage
        Given a log with 4 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        And the log is down for 60 seconds
        Then it is loaded at offset 4
        And its log contact is at least 55 seconds old
        When the log is up for 3 seconds
        And a change is appended and 2 seconds pass
        Then it is loaded at offset 5

    Scenario: A log that ends before the catalogue's offset changes nothing
        Given a log with 2 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        And it adopts a peer's catalogue of all 4 changes
        And the log is up for 3 seconds
        Then it is loaded at offset 4
        And it has event "logBehind" once

    Scenario: Malformed records are rejected by a numbered event
        Given a log with 2 changes whose first 0 are truncated
        And malformed records on the log
        When an instance follows it for 3 seconds
        Then it is loaded at offset 8
        And it has event "catalogueMalformed" 6 times

    Scenario: A lost append answer is resolved by the change id
        Given a log with 1 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        And a change is applied and the answer of its append is lost
        Then the change is accepted and appears once in the log
        When the same change is applied again
        Then the change is accepted and appears once in the log

    Scenario: A change that was appended twice is applied once
        Given a log with 1 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        And the same change is appended twice
        Then its entry has the revision of the first append
        And it has event "catalogueRepeated" once

    Scenario: Of two changes from the same base the first in the log wins
        Given a log with 1 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        And two changes of one entry from the same base are applied
        Then one is accepted and the other is answered with the winner's revision

    Scenario: A change that leaves a dangling reference is not appended
        Given a log with 1 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        And an upstream of an unknown model is applied
        Then the change is malformed and appears 0 times in the log
        When the model of a known upstream is removed
        Then the change is malformed and appears 0 times in the log

    Scenario: A change during a log outage is refused as not run
        Given a log with 1 changes whose first 0 are truncated
        When an instance follows it for 3 seconds
        And the log is down for 1 seconds
        And a change is applied
        Then the change is notRun and appears 0 times in the log

    Scenario: One of several instances writes the snapshot before retention ends
        Given a log with 4 changes whose first 0 are truncated
        And 8 instances that maintain snapshots with a retention of 60 minutes
        When 180 minutes pass
        Then a snapshot was written at least every 30 minutes
        And at most 20 snapshots were written

    Scenario: A snapshot is written after many changes
        Given a log with 1000 changes whose first 0 are truncated
        And 8 instances that maintain snapshots with a retention of 60 minutes
        When 15 minutes pass
        Then the newest snapshot has offset 1000

    Scenario: A start reads the snapshot instead of a long log
        Given a log with 1500 changes whose first 0 are truncated
        And a snapshot of the first 1400 changes on the log followed by a malformed one
        When an instance follows it for 3 seconds
        Then it is loaded at offset 1500
        And it has event "catalogueAdvanced" 100 times
