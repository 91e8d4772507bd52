Feature: The whole path on the platform, over loopback

    Background:
        Given a store with a configuration, two engines, a plain server and two instances on them

    Scenario: Requests are served and the list of entries names both instances
        When a caller asks the first instance for the entries
        Then both instances are named
        When a caller streams a request through the second instance
        Then it gets both events and the engine's seal
        And the engine got the customer, its own id, the version and a salt, and no key
        When a caller sends a plain call through the first instance
        Then it gets the plain server's answer

    Scenario Outline: What a caller may not do
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

    Scenario Outline: A refusal is found in the log by the request's id
        When a caller sends <request>
        Then the log says for the request that it was refused as "<kind>"

        Examples:
            | request                                   | kind            |
            | a request with an unknown key             | unknownCustomer |
            | a request to an unknown path              | unknownRoute    |
            | a request with a body that is too large   | bodyTooLarge    |

    Scenario: New weights are rolled out by one holder, and requests follow
        When the operator names version 2
        Then both engines have version 2 by orders of one holder with one order each
        When a caller streams a request through the second instance
        Then the engine was asked for version 2

    Scenario: An instance that hears nothing of new weights learns them from the engines
        Given the store goes away
        And both engines take version 2 by orders of somebody else
        Then a caller's stream is served with version 2 in the end

    Scenario: A draining server gets no more requests, and an outage of the store changes nothing
        When the plain server says that it drains
        Then a plain call is refused as not run within a second
        When the store goes away
        And a caller streams a request through the second instance
        Then it gets both events and the engine's seal

    Scenario: An instance that starts without the store takes its state from a peer
        When the store goes away
        And a third instance starts
        Then the third instance is ready
        When a caller streams a request through the third instance
        Then it gets both events and the engine's seal

    Scenario: An instance that leaves is off the list at once and serves what still comes
        When the first instance is told to leave
        Then the second instance names only itself
        And the first instance still serves and closes the connection
