Feature: Answers to callers

    Scenario Outline: A stream that is aborted does not look complete to a caller of <version>
        Given a caller of <version> that has received a part of a stream
        When its stream is aborted
        Then its answer is not complete

        Examples:
            | version  |
            | HTTP/1.0 |
            | HTTP/1.1 |
