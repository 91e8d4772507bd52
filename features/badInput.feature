Feature: Bad input
    Each kind of bad input gets its error kind and status, runs nothing, and the daemon keeps serving.

    Scenario Outline: <case>
        Given a site with 1 daemons and 1 engines
        When the caller sends <case>
        Then the answer has status <status> and contains "<kind>"
        And nothing was run
        When an OpenAI client streams 3 tokens from daemon 1
        Then the client received 3 tokens in order and the end

        Examples:
            | case                              | status | kind                    |
            | an oversized body                 | 413    | bodyTooLarge            |
            | broken JSON                       | 400    | malformedRequest        |
            | a body without messages           | 400    | malformedRequest        |
            | an unknown model                  | 404    | unknownModel            |
            | an unknown customer               | 401    | unknownCustomer         |
            | a wrong credential                | 401    | wrongCredential         |
            | a non-idempotent call without key | 400    | missingIdempotencyKey   |
            | a malformed idempotency key       | 400    | malformedIdempotencyKey |
            | a malformed deadline              | 400    | malformedRequest        |
            | too many headers                  | 431    | headersTooLarge         |
            | too long headers                  | 431    | headersTooLarge         |
            | a body that never ends            | 408    | slowSender              |
            | an unknown path                   | 404    | unknownRoute            |
            | an unknown service                | 404    | unknownService          |
