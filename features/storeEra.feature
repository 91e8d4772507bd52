Feature: The era of the platform's store

    Scenario Outline: Answers are judged by the era that they state
        Given answers of the store that state the eras "<stated>"
        Then they are <judged>
        And the era is <era>
        And the events are "<events>"

        Examples:
            | stated                      | judged                               | era | events                  |
            | 3, 3                        | accepted, accepted                   | 3   | known                   |
            | 3, 4                        | accepted, accepted                   | 4   | known returned          |
            | 3, 4, 3, 3                  | accepted, accepted, ignored, ignored | 4   | known returned rejected |
            | 3, missing, missing, 3      | accepted, accepted, accepted, accepted | 3 | known rejected          |
            | 3, malformed, malformed     | accepted, accepted, accepted         | 3   | known rejected          |
            | missing, malformed          | accepted, accepted                   | 0   | rejected rejected       |
            | missing, 5                  | accepted, accepted                   | 5   | rejected known          |
