Feature: What an upstream's answer is worth to a request

    Scenario Outline: A refusal that is written once more without an id is no promise (REFUSED, TWICE)
        Given an upstream that writes <refusal> once more on a kept connection ahead of an answer
        When a <kind> follows on that connection, with at most <attempts> attempts
        Then its caller gets <answer> and it is sent to <others> other upstreams

        Examples:
            | refusal             | kind                              | attempts | answer | others |
            | a 503 without an id | request that must not run twice   | 2        | 502    | 0      |
            | a 429 without an id | request that must not run twice   | 2        | 502    | 0      |
            | a 421 without an id | request that must not run twice   | 2        | 502    | 0      |
            | a 400 without an id | request that must not run twice   | 2        | 502    | 0      |
            | a 503 with its id   | request that must not run twice   | 2        | 502    | 0      |
            | a 421 with its id   | request that must not run twice   | 2        | 502    | 0      |
            | a 503 without an id | stream that cannot be resumed     | 2        | 502    | 0      |
            | a 503 without an id | request that may be repeated      | 2        | 200    | 1      |
            | a 503 without an id | request that may be repeated      | 1        | 502    | 0      |
            | a 421 without an id | stream that can be resumed        | 2        | 200    | 1      |
            | a 503 without an id | stream that can be resumed        | 1        | 502    | 0      |

    Scenario Outline: Only events that go on continue a stream of which the caller has a part (ORDER, MIXED)
        Given an upstream whose stream <break> after its events 0, 1 and 2
        And a next upstream that answers with <form>
        When the caller asks for that stream
        Then the caller has the events <events> and its stream is <end>

        Examples:
            | break              | form                                               | events  | end   |
            | resets             | events 3 to 5                                      | 0 to 5  | whole |
            | ends in an event   | events 3 to 5                                      | 0 to 5  | whole |
            | resets             | events 3 to 5 whose lines end with CRLF            | 0 to 5  | whole |
            | resets             | events 3 to 5 without a stated type                | 0 to 5  | whole |
            | resets             | a comment and events 3 to 5                        | 0 to 5  | whole |
            | resets             | events 3 to 5 that end in the middle of event 6    | 0 to 5  | cut   |
            | resets             | events 0 to 5                                      | 0 to 2  | cut   |
            | ends in an event   | events 0 to 5                                      | 0 to 2  | cut   |
            | resets             | events 2 to 5                                      | 0 to 2  | cut   |
            | resets             | event 3 and then events 0 to 5                     | 0 to 3  | cut   |
            | resets             | events 10 to 12                                    | 0, 1, 2, 10, 11, 12 | whole |
            | resets             | events without ids                                 | 0 to 2  | cut   |
            | resets             | events whose ids are no numbers                    | 0 to 2  | cut   |
            | resets             | a 204                                              | 0 to 2  | cut   |
            | ends in an event   | a 204                                              | 0 to 2  | cut   |
            | resets             | a 200 without type and body                        | 0 to 2  | cut   |
            | resets             | an event stream of length 0                        | 0 to 2  | cut   |
            | resets             | an event stream without events, in chunks          | 0 to 2  | cut   |
            | resets             | an event stream of comments, in chunks             | 0 to 2  | cut   |
            | resets             | an HTML page                                       | 0 to 2  | cut   |
            | resets             | an HTML page without a stated type                 | 0 to 2  | cut   |
            | resets             | a JSON document                                    | 0 to 2  | cut   |
            | resets             | a 500 with a body                                  | 0 to 2  | cut   |
            | resets             | a 500 without a body                               | 0 to 2  | cut   |
            | resets             | a 500 with events 3 to 5                           | 0 to 2  | cut   |
            | resets             | a 404 in chunks                                    | 0 to 2  | cut   |
            | resets             | a 302                                              | 0 to 2  | cut   |
            | resets             | a 503 that states nothing                          | 0 to 2  | cut   |
            | resets             | a refusal with the id                              | 0 to 2  | cut   |
            | resets             | a refusal without an id                            | 0 to 2  | cut   |
            | resets             | half a head                                        | 0 to 2  | cut   |
            | resets             | events 3 to 5 with the id of another request       | 0 to 2  | cut   |
            | resets             | events 3 to 5 without an id of the request         | 0 to 2  | cut   |
            | resets             | events 3 to 5 without a seal                       | 0 to 2  | cut   |
            | resets             | events 3 to 5 with a content encoding              | 0 to 2  | cut   |
            | resets             | events 3 to 5 with a status of 600                 | 0 to 2  | cut   |
            | resets             | a status of 000                                    | 0 to 2  | cut   |

    Scenario: A stream of which the caller has a part goes on at a third upstream when the second begins again
        Given an upstream whose stream resets after its events 0, 1 and 2
        And a next upstream that answers with events 0 to 5
        And a next upstream that answers with events 3 to 5
        When the caller asks for that stream, with at most 3 attempts
        Then the caller has the events 0 to 5 and its stream is whole

    Scenario Outline: A caller that resumes a stream itself gets the upstream's own answer, whole
        Given an upstream for a caller that answers with <form>
        When the caller resumes a stream after event 2
        Then its caller gets the upstream's <status> with the body of <form>

        Examples:
            | form                                      | status |
            | events 3 to 5                             | 200    |
            | events 0 to 5                             | 200    |
            | a 204                                     | 204    |
            | a 200 without type and body               | 200    |
            | an event stream without events, in chunks | 200    |
            | a 404 in chunks                           | 404    |
            | an HTML page                              | 200    |
            | a 302                                     | 302    |

    Scenario Outline: A first answer reaches its caller as the upstream's own and whole, or not at all
        Given an upstream for a caller that answers with <form>
        When a <kind> is asked for by <method>
        Then its caller gets <answer>

        Examples:
            | form                                       | kind                            | method | answer        |
            | a 204                                      | stream that cannot be resumed   | POST   | 204 from it   |
            | a 204                                      | request that must not run twice | DELETE | 204 from it   |
            | a 200 without type and body                | stream that cannot be resumed   | POST   | 200 from it   |
            | an HTML page                               | stream that cannot be resumed   | POST   | 200 from it   |
            | a 500 with a body                          | stream that cannot be resumed   | POST   | 500 from it   |
            | a 302                                      | request that must not run twice | POST   | 302 from it   |
            | a 101                                      | request that must not run twice | POST   | 502 of our own |
            | a head that states 4 bytes                 | request that may be repeated    | HEAD   | 200 from it   |
            | a body that is longer than stated          | request that must not run twice | POST   | 200 from it   |
            | a body that is shorter than stated         | request that must not run twice | POST   | 502 of our own |
            | a body with two lengths                    | request that must not run twice | POST   | 502 of our own |
            | a body with a length and in chunks         | request that must not run twice | POST   | 502 of our own |
            | a body in chunks with trailers             | request that must not run twice | POST   | 200 from it   |
            | a success with two ids                     | request that must not run twice | POST   | 502 of our own |
            | a success without a seal                   | request that must not run twice | POST   | 502 of our own |
            | events 3 to 5 without a seal               | stream that cannot be resumed   | POST   | 502 of our own |
            | a success with a content encoding          | request that must not run twice | POST   | 502 of our own |
            | a success that states that it did not run  | request that must not run twice | POST   | 502 of our own |
            | a 503 that states nothing                  | request that must not run twice | POST   | 502 of our own |
            | a 429 that states nothing                  | stream that cannot be resumed   | POST   | 502 of our own |
            | a 503 that states nothing                  | request that may be repeated    | POST   | 503 from it   |
            | a refusal with the id                      | request that must not run twice | POST   | 503 of our own |
            | a status of 000                            | request that must not run twice | POST   | 502 of our own |
            | a status of 001                            | request that must not run twice | POST   | 502 of our own |
            | a status of 099                            | request that must not run twice | POST   | 502 of our own |
            | a status of 0                              | request that must not run twice | POST   | 502 of our own |
            | a status of 20                             | request that must not run twice | POST   | 502 of our own |
            | a status of 600                            | request that must not run twice | POST   | 502 of our own |
            | a status of 999                            | request that must not run twice | POST   | 502 of our own |
            | a status of 1000                           | request that must not run twice | POST   | 502 of our own |
            | a status of 000                            | request that may be repeated    | POST   | 502 of our own |
            | a status of 000                            | stream that cannot be resumed   | POST   | 502 of our own |
            | a status of 600                            | request that may be repeated    | POST   | 502 of our own |
            | a status of 600                            | stream that cannot be resumed   | POST   | 502 of our own |
            | a status of 999                            | request that may be repeated    | POST   | 502 of our own |
            | a status of 999                            | stream that cannot be resumed   | POST   | 502 of our own |
            | a status of 000 without a length           | request that must not run twice | POST   | 502 of our own |
            | a status of 600 without a length           | request that must not run twice | POST   | 502 of our own |
            | a status of 600 that states that it did not run | request that must not run twice | POST   | 502 of our own |
            | events 3 to 5 with a status of 600         | stream that cannot be resumed   | POST   | 502 of our own |
            | a status of 599                            | request that must not run twice | POST   | 599 from it    |
            | a status line without a reason             | request that must not run twice | POST   | 200 from it    |
            | events and no reason                       | stream that cannot be resumed   | POST   | 200 from it    |
            | an answer in HTTP/1.0                      | request that must not run twice | POST   | 200 from it    |
            | an answer in HTTP/1.2                      | request that must not run twice | POST   | 502 of our own |
            | an answer in HTTP/3.0                      | request that must not run twice | POST   | 502 of our own |

    Scenario Outline: An answer whose head is cut at any byte is neither a success nor a promise
        When the head of <answer> is cut at each byte and its connection <end>, for a <kind>
        Then each caller gets a 502 of our own

        Examples:
            | answer    | end            | kind                            |
            | a success | closes         | request that must not run twice |
            | a success | resets         | request that must not run twice |
            | a success | resets-at-once | request that may be repeated    |
            | a success | closes         | stream that can be resumed      |
            | a success | resets         | stream that can be resumed      |
            | a refusal | closes         | request that must not run twice |
            | a refusal | resets-at-once | stream that cannot be resumed   |
            | a refusal | closes         | request that may be repeated    |

    Scenario: Random events go through after a part only while their ids increase
        Then 1000 random continuations with seed 47 go through only while their ids increase
        And the same check detects a sequence that accepts the last event once more
