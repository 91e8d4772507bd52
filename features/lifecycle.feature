Feature: Lifecycle of the daemon
    A planned stop aborts nothing, a restarted daemon serves at once, and one without a catalogue runs nothing.

    Scenario: A planned stop waits until old entry lists have expired and running requests have ended
        Given a lifecycle with entry lists of 10 s and a stop bound of 180 s
        And 2 requests are running
        When the stop begins
        And the lifecycle runs for 10 s
        Then its state is "leaving" and the fleet was notified
        When the lifecycle runs for 4 s
        Then its state is "draining" and idle connections were closed
        When the lifecycle runs for 60 s
        And 1 requests end
        Then its state is "draining" and idle connections were closed
        When 1 requests end
        Then its state is "stopped" and 0 requests were aborted
        And no abort was announced

    Scenario: Requests that the stop bound will abort are reported beforehand
        Given a lifecycle with entry lists of 10 s and a stop bound of 60 s
        And 2 requests are running
        When the stop begins
        And the lifecycle runs for 51 s
        Then 2 requests were reported 10 s before they would be aborted
        When the lifecycle runs for 10 s
        Then its state is "stopped" and 2 requests were aborted

    Scenario: A stop without requests ends when old entry lists have expired
        Given a lifecycle with entry lists of 10 s and a stop bound of 180 s
        When the stop begins
        And the lifecycle runs for 14 s
        Then its state is "stopped" and 0 requests were aborted

    Scenario: A planned stop under load aborts nothing on real sockets
        Given a site with entry lists of 500 ms, 3 daemons and 2 engines
        When callers with entry lists of daemon 1 stream through its planned stop
        Then every stream was complete and daemon 1 has stopped
        And some streams began after the stop had begun and some ended after the lists had expired
        And the callers' new entry lists do not name daemon 1

    Scenario: The check of a planned stop detects a stop that does not wait
        Given a site with entry lists of 500 ms, 3 daemons and 2 engines
        When callers with entry lists of daemon 1 stream through its unplanned stop
        Then some stream was not complete

    Scenario: All daemons are restarted one after the other while the log is down
        Given a site with entry lists of 500 ms, 3 daemons and 2 engines
        When the log goes down
        And every daemon is restarted in turn
        Then every daemon is ready
        And every restarted daemon restored its state from a peer

    Scenario: All daemons serve after they were restarted one after the other while the log is down
        Given a site with entry lists of 500 ms, 3 daemons and 2 engines
        When the log goes down
        And every daemon is restarted in turn
        Then every daemon is ready and streams 5 tokens

    Scenario: All daemons are restarted at once while the log is up
        Given a site with entry lists of 500 ms, 3 daemons and 2 engines
        When all daemons are restarted at once
        Then every daemon is ready and streams 5 tokens

    Scenario: Without log and peers nothing is run
        Given a site with entry lists of 500 ms, 1 daemons and 1 engines
        When the log goes down
        And all daemons are restarted at once without waiting
        And the caller sends an unknown customer
        Then the answer has status 503 and contains "noCatalogue"
        And the answer has status 503 and contains "notRun"
