Feature: Rate limits that upstreams state
    Upstreams state, change and end limits for all instances together, beside restarts, pauses, cuts, lost and late messages,
    on a virtual clock.

    Scenario: Upstreams get no more requests than the limits that they have stated, over all instances
        When 40 histories of upstreams with rate limits are played from seed 1
        Then no history breaks a promise about rate limits
