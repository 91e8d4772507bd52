Feature: What a leaving instance does with the requests that callers send through it

    # Guards against requests that a leaving instance takes because earlier ones of their route were short.
    Scenario Outline: A request that arrives late is taken only if its deadline lies before the end, however short others were
        Given a proxy with a grace period of 8000 ms and 2 upstreams of 1 slot
        And a "<kind>" request that its upstream answers at once
        When the proxy is told to stop
        And 3000 ms later a "<kind>" request with a deadline of <deadline> ms arrives
        Then <result>

        Examples:
            | kind          | deadline | result                                   |
            | stream        | 5000     | the caller is told that it has not run   |
            | idempotent    | 12000    | the caller is told that it has not run   |
            | nonIdempotent | 12000    | the caller is told that it has not run   |
            | stream        | 4000     | an upstream answers it                   |
            | nonIdempotent | 4000     | an upstream answers it                   |

    # Guards against streams that end because their instance refuses to place them again while it leaves.
    Scenario Outline: A stream that breaks off at its upstream while its instance leaves goes on at another one
        Given a proxy with a grace period of 8000 ms and 2 upstreams of 1 slot
        And a "stream" request with a deadline of 15000 ms whose first event the caller has
        When the proxy is told to stop
        And <after> ms later its upstream breaks off
        Then another upstream goes on after the first event, and the caller has the whole stream

        Examples:
            | after |
            | 3000  |
            | 7000  |

    # Guards against "not run" for a request that an upstream has received.
    Scenario Outline: A request that may have run is never told "not run" by the stop
        Given a proxy with a grace period of 8000 ms and 1 upstream of 1 slot
        And a "<kind>" request with a deadline of 15000 ms that its upstream has received
        When the proxy is told to stop
        And 3000 ms later its upstream <does>
        And the end of the answers passes
        Then the caller is told that it is not known whether it has run

        Examples:
            | kind          | does           |
            | nonIdempotent | breaks off     |
            | nonIdempotent | writes nothing |
            | idempotent    | breaks off     |
            | idempotent    | writes nothing |

    # Guards against "not run" for a request that an upstream has received and that waits for another one.
    Scenario: A request that may have run and waits to be sent again is never told "not run" by the stop
        Given a proxy with a grace period of 8000 ms and 2 upstreams of 1 slot
        And a "nonIdempotent" request with a deadline of 15000 ms that its upstream has received
        And a "idempotent" request with a deadline of 15000 ms that its upstream has received
        When the proxy is told to stop
        And 3000 ms later its upstream breaks off
        And the end of the answers passes
        Then the caller is told that it is not known whether it has run

    # Guards against requests that wait at a leaving instance until they can only be cut.
    Scenario: A queued request whose deadline lies after the end is refused as not run
        Given a proxy with a grace period of 8000 ms and 1 upstream of 1 slot
        And a "nonIdempotent" request with a deadline of 15000 ms that its upstream has received
        And a "nonIdempotent" request with a deadline of 15000 ms that waits
        When the proxy is told to stop
        And 2700 ms pass
        Then the caller is told that it has not run

    # Guards against requests that a leaving instance gives up although it could still serve them.
    Scenario: A queued request whose deadline lies before the end waits on
        Given a proxy with a grace period of 8000 ms and 1 upstream of 1 slot
        And a "nonIdempotent" request with a deadline of 15000 ms that its upstream has received
        And a "nonIdempotent" request with a deadline of 7000 ms that waits
        When the proxy is told to stop
        And 3000 ms pass
        And the upstream answers the first request
        Then an upstream answers it

    # Guards against a second send that a leaving instance takes on because earlier requests were short.
    Scenario Outline: A request that its upstream has rejected is sent again only if its deadline lies before the end
        Given a proxy with a grace period of 8000 ms and 2 upstreams of 1 slot
        And a "nonIdempotent" request that its upstream answers at once
        And a "nonIdempotent" request with a deadline of <deadline> ms that its upstream has received
        When the proxy is told to stop
        And 2700 ms later its upstream rejects it
        Then <result>

        Examples:
            | deadline | result                                 |
            | 15000    | the caller is told that it has not run |
            | 7000     | an upstream answers it                 |

    # Guards against requests that are taken by when they began to arrive and not by when they could be sent.
    Scenario Outline: A request that is still being received at the order to stop is decided on when its body is complete
        Given a proxy with a grace period of 8000 ms and 2 upstreams of 1 slot
        And a "nonIdempotent" request that its upstream answers at once
        And a "nonIdempotent" request with a deadline of <deadline> ms of whose body half has arrived
        When the proxy is told to stop
        And 3000 ms later the rest of its body arrives
        Then <result>

        Examples:
            | deadline | result                                 |
            | 12000    | the caller is told that it has not run |
            | 7000     | an upstream answers it                 |

    Scenario: A request whose body is not complete at the end of the answers is refused as not run
        Given a proxy with a grace period of 8000 ms and 1 upstream of 1 slot
        And a "nonIdempotent" request with a deadline of 12000 ms of whose body half has arrived
        When the proxy is told to stop
        And the end of the answers passes
        Then the caller is told that it has not run

    # Guards against requests that are lost because the answer to the one before on their connection closes it.
    Scenario: A request that was read behind another on its connection is answered although the instance leaves
        Given a proxy with a grace period of 8000 ms and 2 upstreams of 1 slot
        And two "nonIdempotent" requests with a deadline of 6000 ms on one connection that upstreams have received
        When the proxy is told to stop
        And the upstreams answer both
        Then the connection has two answers, of which only the last one announces that it closes
