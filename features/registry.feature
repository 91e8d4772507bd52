Feature: The list of upstreams

    Scenario: Entries that expired during a store outage are kept for two seconds after it ends
        Given the list holds "u-1, u-2"
        When the store is unavailable from 1000 ms to 6000 ms
        And the list is read at 6000 ms without "u-1"
        Then the list holds "u-1, u-2" at 7900 ms
        And the list holds "u-2" at 8100 ms

    Scenario: An entry that is renewed in time is kept
        Given the list holds "u-1, u-2"
        When the store is unavailable from 1000 ms to 6000 ms
        And the list is read at 6000 ms without "u-1"
        And "u-1" is put at 7000 ms
        Then the list holds "u-1, u-2" at 9000 ms

    Scenario: An entry that is removed while the store is available is dropped at once
        Given the list holds "u-1, u-2"
        When "u-1" is removed at 1000 ms
        Then the list holds "u-2" at 1000 ms

    Scenario: A process that restarts under its id counts as a new one
        Given the list holds "u-1"
        When "u-1" is put with a later start
        Then the registry emits a restart of "u-1"
        When "u-1" is put with its first start
        Then the registry emits nothing more

    Scenario Outline: A malformed entry adds no upstream and removes none
        Given the list holds "u-1"
        When the entry of "u-1" becomes <entry>
        Then the list holds "u-1" at 100 ms

        Examples:
            | entry                                                                                           |
            | {}                                                                                              |
            | {"service":"adapt","address":7,"zone":"a","slots":8,"state":"ready"}                            |
            | {"service":"adapt","address":"10.0.0.1:80","zone":"a","slots":8,"state":"resting"}              |
            | {"service":"adapt","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","born":"soon"}  |
            | not JSON                                                                                        |

    Scenario: The configuration with the highest version is applied, in any order of arrival
        Then a configuration is applied only when its version is higher

    Scenario Outline: The longest matching prefix selects the route
        Given routes for "/a/", "/a/b/" and "/c/"
        Then the path "<path>" goes to "<route>"

        Examples:
            | path      | route |
            | /a/x      | /a/   |
            | /a/b/     | /a/b/ |
            | /a/b/c/d  | /a/b/ |
            | /a/bc     | /a/   |
            | /a        | none  |
            | /d/       | none  |
