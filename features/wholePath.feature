Feature: The complete path
    A prompt of nested levels goes over HTTP through an entry to an engine, and its answer comes back complete.

    Scenario: An OpenAI client streams a chat completion
        Given a site with 2 daemons and 2 engines
        When an OpenAI client streams 20 tokens from daemon 1
        Then the client received 20 tokens in order and the end

    Scenario: An OpenAI client gets a buffered completion
        Given a site with 2 daemons and 2 engines
        When an OpenAI client asks daemon 2 for a completion of 12 tokens
        Then the client received 12 tokens

    Scenario: A second daemon sends the same prefix to the same engine
        Given a site with 2 daemons and 2 engines
        When an OpenAI client streams 4 tokens from daemon 1
        And an OpenAI client streams 4 tokens from daemon 2
        Then one engine ran 2 requests and the second one found its prefix cached

    Scenario: Models and entries are listed
        Given a site with 2 daemons and 1 engines
        When the caller gets "/v1/models" from daemon 1
        Then the answer has status 200 and contains "easy-read"
        When the caller gets "/v1/entries?customer=clinic" from daemon 1 until it lists 2 entries
        Then the answer has status 200 and contains "lifetimeMs"

    Scenario: A plain service is called
        Given a site with 1 daemons and 1 engines
        When the caller gets "/services/booking/seats?ferry=7" from daemon 1
        Then the answer has status 200 and contains "/seats?ferry=7"

    Scenario: Health, readiness and metrics are served
        Given a site with 1 daemons and 1 engines
        When the caller gets "/healthz" from daemon 1
        Then the answer has status 200 and contains "ok"
        When the caller gets "/readyz" from daemon 1
        Then the answer has status 200 and contains "true"
        When the caller gets "/metrics" from daemon 1
        Then the answer has status 200 and contains "reedward_requests_total"
