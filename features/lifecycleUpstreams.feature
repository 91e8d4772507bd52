Feature: Upstreams that leave
    Three seconds after an upstream leaves by any signal, no instance gives it new work.

    Scenario Outline: One instance learns from the <signal> and 3 s later all know
        Given 120 instances that share which upstreams leave
        When instance 7 learns from the <signal> that an upstream leaves
        And 3 s pass for the instances
        Then all 120 instances give the upstream no work
        And all 120 instances still give work to another upstream

        Examples:
            | signal        |
            | instance list |
            | engine        |

    Scenario: The catalogue says that an upstream leaves
        Given 120 instances that share which upstreams leave
        Then an upstream that leaves by the catalogue gets no work

    Scenario: The check finds news that waits for the next probe
        Given 120 instances that share which upstreams leave but do not hurry
        When instance 7 learns from the instance list that an upstream leaves
        And 3 s pass for the instances
        Then not all 120 instances give the upstream no work

    Scenario: An upstream that did not run a request is avoided while others remain
        Given 8 instances that share which upstreams leave
        Then an upstream that did not run a request is avoided for a while, but not when it is the last one

    Scenario: The instance list takes an engine out of service on every daemon
        Given a site with an instance list, 2 daemons and 2 engines
        When the instance list says that engine 1 leaves
        And 3 s pass on the site
        And each daemon streams 8 different prompts
        Then engine 1 ran no request and engine 2 ran 16

    Scenario: An engine's own word takes it out of service on every daemon
        Given a site with an instance list, 2 daemons and 2 engines
        When engine 1 says that it leaves
        And 3 s pass on the site
        And each daemon streams 8 different prompts
        Then engine 1 was not asked and engine 2 ran 16
