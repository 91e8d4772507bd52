Feature: A send is given up for its upstream's silence only when another send can replace it

    Scenario Outline: Every upstream is silent for 1500 ms, or only the first one
        Given a request whose route allows <attempts> runs, with a retry budget that is <budget>
        And <upstreams> upstreams, of which <silent> are silent
        When the upstream of the request says nothing for 1500 ms and then answers
        Then the request was sent <sends> times and is answered

        Examples:
            | attempts | budget  | upstreams | silent | sends |
            | 1        | left    | 3         | 3      | 1     |
            | 1        | left    | 3         | 1      | 1     |
            | 2        | used up | 3         | 1      | 1     |
            | 2        | left    | 1         | 1      | 1     |
            | 2        | left    | 3         | 3      | 1     |
            | 2        | left    | 3         | 1      | 2     |
