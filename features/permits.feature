Feature: Permits for upstreams that state a rate limit
    One instance owns each limited upstream; its token bucket counts for the whole fleet.

    Scenario: The owner issues what the limit allows, the oldest ask first
        Given an owner of an upstream with 2 requests a second
        When 4 instances ask for 1 permit each at once
        Then 1 of them has got a permit, and the others know how long they wait
        And after 700 ms the first 3 have got one each
        And after 800 ms no more are granted to asks that were not repeated

    Scenario: Permits that are returned are issued again, once
        Given an owner of an upstream with 2 requests a second
        When 1 instance asks for 1 permit and returns it twice
        Then 1 permit can be issued at once to another instance, and no second one

    Scenario: An instance that has just become owner issues nothing until earlier permits and views have ended
        Given an instance that ranks first since the others left
        Then it issues nothing within the hold-off, and says so
        And it issues permits after it

    Scenario: A permit is used within its term from the ask, however late it arrives
        Given a holder whose owner answers an ask after 1200 ms
        Then the ask has ended and the permit does not count
        Given a holder whose owner answers an ask after 100 ms
        Then it can send 1 request within 1300 ms of its ask

    Scenario: A grant in the last moment of an ask still arrives
        Given an owner and an instance, 20 ms apart, and an upstream that the owner limits to 1 request a second
        When the instance asks 790 ms before the owner has the next permit
        Then the instance has the permit

    Scenario: A permit that nothing uses goes back to its owner
        Given a holder whose owner answers an ask after 100 ms
        When nothing is sent for 1200 ms
        Then the holder has returned 1 permit

    Scenario: No message is sent while no upstream is limited
        Given two instances without limited upstreams
        When 100 requests are placed at the first one
        Then it has sent no message about permits
