Feature: A confirmed configuration is in force on every instance that is in touch with the store

    Scenario: A version confirmed while connections to the store went silent is in force once the instances are in touch again
        When all connections of 3 instances to the store go silent right after a version, and another one is confirmed then
        Then each instance that is in touch has every version that was confirmed 2000 ms before

    Scenario: A read does not wait at an offset of an older copy after its connection was lost
        When 3 instances lose their connections while the store comes back from a copy that has grown to their offset
        Then each instance that is in touch has every version that was confirmed 2000 ms before

    Scenario: A read on a connection that has gone silent fails at its time limit, and the next one uses a new connection
        Given a client of the store that waits for the next record behind a network element
        When its open connections go silent and a record is appended
        Then the read fails for lack of an answer
        And the next read returns the record on a new connection

    Scenario: A read of all keys does not rely on a connection that has been idle
        Given a client of the store that has read all keys behind a network element
        When its open connections go silent and a record is appended
        Then a read of all keys returns the record on a new connection

    Scenario: Versions are in force in time beside random troubles of the store and of the connections to it
        Then over 150 random histories with seed 29, each instance in touch has every version confirmed 2000 ms before and never goes back
        And the same check detects instances that take the stable window for 9000 ms

    Scenario: Instances that copy the state of a reader have it in time, whatever happens to the readers
        Then over 40 random histories of a fleet with seed 32, each instance in touch has every version confirmed 2000 ms before and never goes back

    Scenario: While all readers are cut off from the store, the others read it themselves
        When all readers of a fleet of 16 are cut off from the store, and a version is confirmed then
        Then each instance that is in touch has every version that was confirmed 2000 ms before
        And the same check detects instances that rely on readers whatever the age of their state

    Scenario: A few instances read the store for all
        Then 24 instances read the operator's records under 0.3 times a second each

    Scenario: A copy that was under way during a pause of the process is not taken for new
        Given an instance that copies the state of a peer while its process is paused
        When the answer arrives after the pause
        Then neither the configuration nor the upstreams count as known
        When the next copy arrives without a pause
        Then both count as read 140 ms ago, of which the request took 100 ms
