Feature: Draining of upstreams
    Three seconds after any signal that an upstream is leaving, no instance gives it new work.

    Scenario Outline: One instance learns from the <signal> and 3 s later all instances know
        Given 120 instances that share drain signals
        When instance 7 learns from the <signal> that an upstream is leaving
        And 3 s pass for the instances
        Then all 120 instances give the upstream no work
        And all 120 instances still give work to another upstream

        Examples:
            | signal        |
            | instance list |
            | engine        |

    Scenario: The catalogue marks an upstream as leaving
        Given 120 instances that share drain signals
        Then an upstream that the catalogue marks as leaving gets no work

    Scenario: The check detects an update that waits for the next probe
        Given 120 instances that share drain signals but do not send them at once
        When instance 7 learns from the instance list that an upstream is leaving
        And 3 s pass for the instances
        Then not all 120 instances give the upstream no work

    Scenario: An upstream that did not run a request is avoided while others remain
        Given 8 instances that share drain signals
        Then an upstream that did not run a request is avoided for a while, but not when it is the last one

    Scenario: The instance list takes an engine out of service on every daemon
        Given a site with an instance list, 2 daemons and 2 engines
        When the instance list reports engine 1 as leaving
        And 3 s pass on the site
        And each daemon streams 8 different prompts
        Then engine 1 ran no request and engine 2 ran 16

    Scenario: An engine's own report takes it out of service on every daemon
        Given a site with an instance list, 2 daemons and 2 engines
        When engine 1 reports that it is leaving
        And 3 s pass on the site
        And each daemon streams 8 different prompts
        Then engine 1 received no request and engine 2 ran 16
