Feature: An answer to a call of an instance has a status

    Scenario Outline: An answer whose status is none is no answer to a call of an instance (MIXED)
        When an instance calls a server that answers with <form>
        Then the call <outcome>

        Examples:
            | form                             | outcome     |
            | a status of 000                  | has failed  |
            | a status of 000 without a length | has failed  |
            | a status of 099                  | has failed  |
            | a status of 600                  | has failed  |
            | a status of 600 without a length | has failed  |
            | a status of 999                  | has failed  |
            | a status of 1000                 | has failed  |
            | a status of 599                  | is answered |
            | a status line without a reason   | is answered |
