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

    Scenario: An upstream that an older copy of the list lacks is kept until it had time to register again
        Given the list holds "u-1, u-2"
        When an older copy of the list is read at 1000 ms with "u-2"
        Then the list holds "u-1, u-2" at 2900 ms
        And the list holds "u-2" at 3100 ms

    Scenario: An upstream that an older copy of the list lacks stays when it registers again
        Given the list holds "u-1, u-2"
        When an older copy of the list is read at 1000 ms with "u-2"
        And "u-1" is put at 2000 ms
        Then the list holds "u-1, u-2" at 9000 ms

    Scenario: An older copy of the list does not bring back an upstream that has left, until it registers again
        Given the list holds "u-1, u-2"
        When "u-1" is removed at 500 ms
        And an older copy of the list is read at 1000 ms with "u-1, u-2"
        Then the list holds "u-2" at 1000 ms
        When "u-1" is put at 1500 ms
        Then the list holds "u-1, u-2" at 1500 ms

    Scenario: An older copy of the list brings a process that was started after the one that left
        Given the list holds "u-2"
        When an older copy of the list is read at 1000 ms with "u-1, u-2"
        Then the list holds "u-1, u-2" at 1000 ms

    Scenario Outline: What an older copy of the list says of a known process is merged with what is known
        Given the list holds "u-1"
        When "u-1" is put with state <known> and <knownOrders> orders
        And an older copy says of "u-1" that it has state <copied> and <copiedOrders> orders
        Then "u-1" has state <merged> and <mergedOrders> orders

        Examples:
            | known    | knownOrders | copied   | copiedOrders | merged   | mergedOrders |
            | draining | 3           | ready    | 3            | draining | 3            |
            | ready    | 3           | draining | 2            | draining | 3            |
            | ready    | 3           | ready    | 2            | ready    | 3            |
            | ready    | 2           | ready    | 3            | ready    | 3            |

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
