Feature: Settings
    Settings are read from flags and environment variables and checked before anything starts.

    Scenario Outline: A wrong setting is named
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

    Scenario: A required setting that is missing is named
        When settings are read without a failure domain
        Then the problem names "--failure-domain" and expects "REEDWARD_FAILURE_DOMAIN"

    Scenario: A flag goes before its environment variable
        When settings are read with --log-level warn
        Then the setting logLevel is "warn"

    Scenario: The daemon's own check ends with exit code 2
        When reedward is run with --check-settings and a wrong setting
        Then it exits with code 2 and names "--entry-limit"
        And no secret is written

    Scenario: The daemon's own check ends with exit code 0
        When reedward is run with --check-settings and right settings
        Then it exits with code 0 and names "settings are valid"
        And no secret is written
