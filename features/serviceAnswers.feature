Feature: Answers of plain services on the product's own interface

    Scenario Outline: An answer without a length is complete only if its connection was closed in order
        Given a service that answers without a length and then <end>
        When the answer is collected
        Then it is <verdict>

        Examples:
            | end                    | verdict    |
            | closes                 | complete   |
            | resets                 | incomplete |
            | resets-at-once         | incomplete |
