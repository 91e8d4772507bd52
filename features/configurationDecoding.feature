Feature: What cannot be decoded in a configuration costs no more than itself

    Scenario Outline: A field that cannot be decoded takes its default
        Given a configuration whose <field> is <value>
        When it is decoded
        Then its <field> counts as <result>
        And a problem is reported: <reported>

        Examples:
            | field                     | value                                       | result        | reported |
            | attempts of a route       | 0                                           | 1             | yes      |
            | target latency of a route | 0                                           | 1000          | yes      |
            | longest pause of a route  | "300"                                       | none          | yes      |
            | timeout of a route        | -1                                          | 30000         | yes      |
            | timeout of a route        | null                                        | 30000         | no       |
            | priority of a route       | null                                        | 0             | no       |
            | kind of a route           | 7                                           | nonIdempotent | yes      |
            | shares of a route         | [{"service":"adapt","weight":2},{"x":1}]    | adapt 2       | yes      |
            | shares of a route         | [{"x":1}]                                   | adapt 1       | yes      |
            | shares of a route         | null                                        | adapt 1       | no       |
            | keys of a customer        | ["key-clinic",7]                            | key-clinic    | yes      |
            | priority of a customer    | "first"                                     | none          | yes      |
            | isolation of a customer   | "yes"                                       | true          | no       |
            | quota of a customer       | -5                                          | none          | yes      |
            | quota of a customer       | "many"                                      | none          | yes      |
            | quota of a customer       | 0                                           | none          | no       |
            | quota of a customer       | 40                                          | 40 requests   | no       |
            | unit of a quota           | "litres"                                    | requests      | yes      |
            | unit of a quota           | "token_stream"                              | tokens        | no       |
            | burst of a quota          | -1                                          | 0             | yes      |
            | plain tokens of a quota   | "x"                                         | 0             | yes      |
            | readers of an engine      | 0                                           | 4             | yes      |
            | largest body              | "big"                                       | 4194304       | yes      |

    Scenario Outline: An item without its required fields is left out, and the others hold
        Given a configuration with one more <item> that is <value>
        When it is decoded
        Then it has as many of each item as before
        And a problem is reported: yes

        Examples:
            | item     | value                 |
            | route    | {"path_prefix":"/x/"} |
            | route    | "route"               |
            | service  | {}                    |
            | customer | {"api_keys":["k"]}    |

    Scenario: A configuration none of whose customers can be decoded is rejected, since requests would need no key
        Given a configuration whose customers are all malformed
        When it is decoded
        Then it is rejected
