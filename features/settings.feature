Feature: Settings
    Settings are read from flags and environment variables and checked before anything starts.

    Scenario Outline: An invalid setting is reported
        When settings are read with <flags>
        Then the problem names "<setting>" and expects "<expected>"

        Examples:
            | flags                          | setting           | expected                          |
            | --listen nowhere               | --listen          | an IP address and a port          |
            | --listen localhost:80          | --listen          | an IP address and a port          |
            | --max-body-bytes 1             | --max-body-bytes  | an integer from 1024              |
            | --log-level loud               | --log-level       | debug                             |
            | --log-url ftp://10.0.0.1       | --log-url         | http or https                     |
            | --seeds 10.0.0.1:1,host        | --seeds           | an IP address and a port          |
            | --no-such-flag 1               | --no-such-flag    | Unknown option                    |

    Scenario: A missing required setting is reported
        When settings are read without a failure domain
        Then the problem names "--failure-domain" and expects "REEDWARD_FAILURE_DOMAIN"

    Scenario: A flag takes precedence over its environment variable
        When settings are read with --log-level warn
        Then the setting logLevel is "warn"

    Scenario: The daemon's own check ends with exit code 2
        When reedward is run with --check-settings and an invalid setting
        Then it exits with code 2 and prints "--entry-limit"
        And no secret is written

    Scenario: The daemon's own check ends with exit code 0
        When reedward is run with --check-settings and valid settings
        Then it exits with code 0 and prints "settings are valid"
        And no secret is written
