Feature: Callers that read late have all of their answer

    # Guards against answers that are cut because the instance's process ends, or resets a connection, before they were read.
    Scenario Outline: What an instance has answered reaches a caller that reads late, also when it stops
        Given a process of an instance before an upstream with answers of <kilobytes> KB
        When a caller that reads nothing for 3 s sends a request <sent>
        Then it has the whole answer of <kilobytes> KB, and the process ends within its grace period

        Examples:
            | kilobytes | sent                                         |
            | 1000      | before it is to stop                         |
            | 7500      | before it is to stop                         |
            | 1000      | after it is to stop                          |
            | 1000      | after it is to stop and another at once      |
            | 1000      | after it is to stop and another after 500 ms |
