Feature: reedwardctl
    Operators check, compare, publish and watch the catalogue, and look up how a request was routed.

    Scenario Outline: The example catalogue <file> is valid
        When reedwardctl runs "validate <file>"
        Then it exits with 0 and prints "<count> entries are right"

        Examples:
            | file                    | count |
            | examples/lectura.json   | 21    |
            | examples/compagnon.json | 29    |

    Scenario Outline: A file with <fault> is refused
        Given a catalogue file with <fault>
        When reedwardctl runs "validate FILE"
        Then it exits with 2 and prints "<part>"

        Examples:
            | fault                          | part                          |
            | broken JSON                    | JSON                          |
            | an entry without an owner      | owner                         |
            | an upstream of a missing model | which is not in the catalogue |
            | two upstreams of one address   | has the address of upstream   |
            | an entry that appears twice    | stands twice                  |

    Scenario Outline: Wrong usage "<words>" is reported
        When reedwardctl runs "<words>"
        Then it exits with 2 and prints "<part>"

        Examples:
            | words         | part            |
            | fly           | unknown command |
            | validate      | expected        |
            | --base x diff | --base          |
            | --nothing     | nothing         |

    Scenario: An unreachable instance is reported
        When reedwardctl runs "--address 127.0.0.1:1 status"
        Then it exits with 1 and prints "reedwardctl"

    Scenario: A change is shown, published, and in force everywhere
        Given a fleet of 2 daemons that know each other
        And a catalogue file that changes the model
        When reedwardctl runs "diff FILE"
        Then it exits with 5 and prints "minimumServingShare: 0.5 -> 0.25"
        When reedwardctl runs "apply --wait FILE"
        Then it exits with 0 and prints "in force everywhere"
        When reedwardctl runs "diff FILE"
        Then it exits with 0 and prints "no differences"
        When reedwardctl runs "--json apply FILE"
        Then it exits with 0 and prints "outcome.:.done"
        When reedwardctl runs "status"
        Then it exits with 0 and prints "all 2 instances are at revision 2"
        When reedwardctl runs "status --customers"
        Then it exits with 0 and prints "town-hall +town-hall +standard +0/1000"
        When reedwardctl runs "--json status"
        Then it exits with 0 and prints "logContactAgeMs"

    Scenario: A lost race reports which change won and what differs
        Given a fleet of 2 daemons that know each other
        And a catalogue file that changes the model
        When reedwardctl runs "--author first apply FILE"
        Then it exits with 0 and prints "accepted"
        Given a catalogue file that changes the model differently
        When reedwardctl runs "--base 1 apply FILE"
        Then it exits with 3 and prints "is at revision 2 by change .* of first"
        And it prints "minimumServingShare: 0.25 -> 0.75"

    Scenario: Two operators apply at the same moment
        Given a fleet of 2 daemons that know each other
        When two operators apply different changes of the model at once
        Then one exits with 0 and the other with 3 and names the winner

    Scenario: Entries that the file does not name are removed on demand
        Given a fleet of 1 daemons that know each other
        And a catalogue file that lacks the plain service and its upstream
        When reedwardctl runs "diff FILE"
        Then it exits with 0 and prints "no differences"
        When reedwardctl runs "--prune apply FILE"
        Then it exits with 0 and prints "accepted"
        When reedwardctl runs "upstreams"
        Then it exits with 0 and does not print "booking"

    Scenario: A removal that leaves a dangling reference is refused
        Given a fleet of 1 daemons that know each other
        And a catalogue file that lacks the plain service
        When reedwardctl runs "--prune apply FILE"
        Then it exits with 2 and prints "which is not in the catalogue"

    Scenario: An upstream is drained and restored
        Given a fleet of 2 daemons that know each other
        When reedwardctl runs "drain --wait engine-1"
        Then it exits with 0 and prints "in force everywhere"
        When reedwardctl runs "upstreams --state"
        Then it exits with 0 and prints "leaving"
        And it prints "easy-read@v1"
        When reedwardctl runs "drain engine-1"
        Then it exits with 0 and prints "already"
        When reedwardctl runs "drain --undo engine-1"
        Then it exits with 0 and prints "accepted"
        When reedwardctl runs "drain engine-9"
        Then it exits with 7 and prints "not in the catalogue"

    Scenario: Changes and orders are refused while the log is down
        Given a fleet of 1 daemons that know each other
        And a catalogue file that changes the model
        When the platform's log goes down
        And reedwardctl runs "apply FILE"
        Then it exits with 1 and prints "notRun"
        When reedwardctl runs "order drain engine-1"
        Then it exits with 1 and prints "notRun"

    Scenario: How a request was routed, looked up at another instance
        Given a fleet of 2 daemons that know each other
        When a caller requests a completion from daemon 2
        And reedwardctl runs "why REQUEST"
        Then it exits with 0 and prints "attempt 1: engine-"
        And it prints "at entry-2"
        When reedwardctl runs "--json why no-such-request"
        Then it exits with 7 and prints "notFound"

    Scenario: Invalid orders are refused
        Given a fleet of 1 daemons that know each other
        When reedwardctl runs "order load engine-1"
        Then it exits with 2 and prints "needs a model"
        When reedwardctl runs "order drain booking-1"
        Then it exits with 2 and prints "not an engine"
        When reedwardctl runs "order explode engine-1"
        Then it exits with 2 and prints "action"

    Scenario: The documentation names every command and exit code
        Then docs/operating/reedwardctl.md names every command and exit code
