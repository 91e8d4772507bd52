Feature: Queues at the engines of a large fleet

    Rule: Operators see whether an instance knew of a queue that it sent to

        Scenario Outline: A send that meets a queue is told beside what was believed
            When an upstream that was expected to have <expected> waiting requests states <stated>
            Then the queue that was met is "<met>"

            Examples:
                | expected | stated | met        |
                | 0        | 0      | none       |
                | 0        | 4      | unexpected |
                | 3        | 4      | expected   |
