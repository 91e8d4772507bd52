Feature: Tables in the docs match the code
    The pages that list error kinds, log events and settings are compared with the code.

    Scenario: Error kinds
        Then the error page has one row for each error kind with its status, outcome and advice

    Scenario: Log events
        Then the log event page has one row for each log event with its code, level and message

    Scenario: Settings reference
        Then the settings page is the generated settings reference

    Scenario: A refusal that says "not run" never has a status that clients take for success
        Then every error kind has a status of 400 or more and a sentence that ends with a full stop

    Scenario: Metrics
        Then the metrics page has one row for each metric

    Scenario: Metrics of the router
        Then the router's metrics page has one row for each metric
