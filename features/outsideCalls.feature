Feature: What an instance takes from the answers to its own calls was said by them

    Background:
        Given a server that an instance calls

    Scenario: An answer that stops early is none
        When 400 answers drawn with seed 4701 stop after some of their bytes
        Then no call has taken what was not said

    Scenario: An answer without a length that is reset is none
        When every answer without a length is reset after its last byte
        Then no call has taken what was not said

    Scenario: An answer that no call has is none
        When every call gets each answer that no call has
        Then no call has taken what was not said

    Scenario: The answer to another call is none
        When every call gets the answer to each other call
        Then no call has taken what was not said

    Scenario: An answer that is written once more belongs to no call
        When each call gets the earlier answer on its connection once more, ahead of its own or behind the earlier one
        Then no call has taken what was not said

    Scenario: An answer that comes too late belongs to no later call
        When each call gets the answer to the call before it, which came too late
        Then no call has taken what was not said

    Scenario: A page of newest records that comes twice does not count twice
        When a read of all newest records gets its first page once more
        Then no call has taken what was not said

    Scenario: An empty page of newest records is not the last one while more follow
        When a page of newest records is empty though more follow
        Then no call has taken what was not said

    Scenario: A topic whose records were read is not empty when the store does not know it
        When the store no longer knows a topic whose records were read
        Then no call has taken what was not said
