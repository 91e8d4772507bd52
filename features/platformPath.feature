Feature: The complete path on the platform, over loopback

    Background:
        Given a store with a configuration, two engines, a plain server and two instances on them

    Scenario: Requests are served and the entry list contains both instances
        When a caller requests the entry list from the first instance
        Then both instances are listed
        When a caller streams a request through the second instance
        Then it gets both events and the engine's seal
        And the engine got the customer, its own id, the version and a salt, and no key
        When a caller sends a plain call through the first instance
        Then it gets the plain server's answer

    Scenario Outline: Status of unauthorized, malformed and spoofed requests
        When a caller sends <request>
        Then it is answered <status>

        Examples:
            | request                                   | status |
            | a request without a key                   | 401    |
            | a request with an unknown key             | 401    |
            | a request to an unknown path              | 404    |
            | a request with a body that is too large   | 413    |
            | a request with a length and an encoding   | 400    |
            | a request that sets the system's headers  | 200    |

    Scenario Outline: A refusal is logged with the request's id
        When a caller sends <request>
        Then the log records that the request was refused as "<kind>"

        Examples:
            | request                                   | kind            |
            | a request with an unknown key             | unknownCustomer |
            | a request to an unknown path              | unknownRoute    |
            | a request with a body that is too large   | bodyTooLarge    |

    Scenario: A customer over its quota is refused as not run, with a time to wait, until its quota is raised
        When the operator limits the customer to 0.01 requests a second
        Then a plain call is eventually refused as over its quota
        When the operator limits the customer to 1000 requests a second
        Then a plain call is eventually served

    Scenario: New weights are rolled out by one holder, and requests then use them
        When the operator sets the target version to 2
        Then both engines load version 2 on one order each from the same holder
        And the orders let the engines continue their running requests
        When a caller streams a request through the second instance
        Then the engine receives requests for version 2

    Scenario: An instance that receives no update about new weights learns them from the engines
        Given the store becomes unavailable
        And both engines load version 2 on orders of another holder
        Then a caller's stream is eventually served with version 2

    Scenario: A draining server gets no more requests, and an outage of the store changes nothing
        When the plain server reports that it is draining
        Then a plain call is refused as not run within a second
        When the store becomes unavailable
        And a caller streams a request through the second instance
        Then it gets both events and the engine's seal

    Scenario: An instance that starts during a store outage loads its state from a peer
        When the store becomes unavailable
        And a third instance starts
        Then the third instance is ready
        When a caller streams a request through the third instance
        Then it gets both events and the engine's seal

    # Guards against requests that count for ever because Node.js reports no end of them.
    Scenario: Requests behind another one on a connection that closes are over
        When a caller sends 3 requests at once on one connection, and closes it
        Then the first instance has no request in progress

    Scenario: A draining instance leaves the entry list at once and still serves requests that arrive
        When the first instance starts to drain
        Then the second instance lists only itself
        And the first instance still serves and closes the connection

    # Guards against requests that are sent on after their callers have left.
    Scenario: Requests whose callers have left before they are read are not sent on
        When 5 callers send a plain call to the first instance and leave at once
        And a caller sends a plain call through the first instance
        Then no request of the callers that left is sent to an upstream
