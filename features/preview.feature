Feature: Where a request would go now, without sending it

    Scenario: A preview names the engine at which the request is then placed, and changes nothing
        Given a placer with engines "e-1, e-2, e-3" of which "e-2" has cached the shared parts
        When a request is previewed 20 times
        Then each preview says that it would be sent to "e-2"
        And no engine is in use and nothing waits
        And the request is then placed at "e-2"

    Scenario Outline: A preview says why an engine takes no request
        Given a placer with engines "e-1, e-2" of which "e-2" has cached the shared parts
        And engine "e-2" <condition>
        When a request is previewed 1 times
        Then each preview says that it would be sent to "e-1"
        And "e-2" is listed as "<state>"

        Examples:
            | condition     | state    |
            | is draining   | draining |
            | loads weights | loading  |
            | was replaced  | replaced |
            | is full       | full     |

    Scenario: A request for which no engine has room would wait
        Given a placer with engines "e-1" of which "e-1" has cached the shared parts
        And engine "e-1" is full
        When a request is previewed 1 times
        Then each preview says that it would wait

    Rule: Operators ask instances

        Background:
            Given a store with a configuration, two engines, a plain server and two instances on them

        Scenario: The command names the upstream, and nothing is sent
            When reedwardctl previews "letters.example/documents/7" for customer "clinic"
            Then the preview says "would be sent to i-3"
            And no upstream has received a request

        Scenario Outline: What cannot be previewed is said
            When reedwardctl previews "<request>" for customer "<customer>"
            Then it fails with "<reason>"

            Examples:
                | request                     | customer | reason      |
                | letters.example/unknown/7   | clinic   | no route    |
                | letters.example/documents/7 | nobody   | no customer |
