Feature: An instance that is told to stop loses no request

    # Guards against streams that a leaving instance takes because earlier ones were short, and cuts before their deadline.
    Scenario Outline: A leaving instance takes what it can promise, and refuses the rest at once
        Given an instance with a grace period of 8000 ms
        When it is told to stop
        Then a request with a deadline of <deadline> ms that arrives <after> ms later is <result>

        Examples:
            | deadline | after | result  |
            | 12000    | 2600  | taken   |
            | 12000    | 2700  | refused |
            | 5000     | 2500  | taken   |
            | 5000     | 2700  | refused |
            | 4000     | 3500  | taken   |
            | 4000     | 3501  | refused |
            | 3000     | 4400  | taken   |
            | 1000     | 6400  | taken   |
            | 1000     | 6600  | refused |

    # Guards against requests that wait at a leaving instance until they can only be cut.
    Scenario Outline: A request that was taken before the order waits only while it can be promised
        Given an instance with a grace period of 8000 ms
        When it is told to stop
        Then a request with a deadline of <deadline> ms that came 1000 ms before waits after <after> ms: <result>

        Examples:
            | deadline | after | result |
            | 15000    | 2600  | yes    |
            | 15000    | 2700  | no     |
            | 8000     | 7400  | yes    |

    # Guards against streams whose upstream broke off and whose leaving instance closes them although they could go on.
    Scenario Outline: What may have run is placed again as long as the instance finishes requests
        Given an instance with a grace period of 8000 ms
        When it is told to stop
        Then a request with a deadline of 15000 ms that may have run is placed again after <after> ms: <result>

        Examples:
            | after | result |
            | 2700  | yes    |
            | 7400  | yes    |

    # Guards against a successor that is asked to come back while no instance is there.
    Scenario: A refused caller is told when an instance takes its request
        Given an instance with a grace period of 8000 ms
        When it is told to stop
        Then a request that is refused 2700 ms later is sent to another instance after 100 ms
        When no other instance serves
        Then a request that is refused 2700 ms later is to come back after 6300 ms

    # Guards against answers that are cut because the process ends before they are written out.
    Scenario: The process ends when the last answer is written out, or just before it would be killed
        Given an instance with a grace period of 8000 ms
        When it is told to stop
        Then with 0 requests in progress it refuses requests from 3600 ms on
        And with 1 request in progress it refuses requests from 7500 ms on
        And with 1 request in progress and its connection open it closes connections from 7760 ms on and ends at 7920 ms
        And the last lines of its log have until 7950 ms

    Scenario: A second order to stop changes nothing
        Given an instance with a grace period of 8000 ms
        When it is told to stop
        And it is told to stop once more 3000 ms later
        Then with 1 request in progress it refuses requests from 7500 ms on

    # Guards against a rollout that stands still because its holder left within it.
    Scenario: An instance that sends orders goes on until its rollout is done
        Given an instance with a grace period of 8000 ms
        When it is told to stop while it sends the orders of a rollout
        Then with 0 requests in progress it refuses requests from 7500 ms on

    Scenario: An instance that callers can't know ends at once
        Given an instance with a grace period of 8000 ms
        And it has never been ready
        When it is told to stop
        Then with 0 requests in progress it refuses requests from 0 ms on

    # Guards against requests that lie unread in a process without processor time, and are reset when it goes on.
    Scenario: A request that arrives while the leaving process does not run is answered before connections close
        When an instance stops and its process does not run for 500 ms just before it closes connections
        Then each request that arrived in that time was read before connections closed

    # Guards against connections that wait unaccepted in a process without processor time, and are reset when it goes on.
    Scenario: Requests on many new connections are read although the process did not run when they came
        Given a listener whose process does not run while 40 callers connect and send a request
        When what has arrived is read
        Then the requests of 40 callers were received

    # Guards against connections that are reset because a turn that had begun before counts as one in which none waited.
    Scenario: None waits only after a whole turn without a new connection
        Given a listener whose process does not run while 40 callers connect and send a request
        When what has arrived is read from within the turn that accepts the first connection
        Then no connection waits only once 40 are accepted

    # Guards against a stop that goes on reading new connections until its process is killed with requests in progress.
    Scenario: Callers that connect again and again hold up no end of a stop
        When an instance with a request in progress stops while callers connect in each turn of 20 ms
        Then it answers, closes its connections and ends in this order before it would be killed

    # Guards against connections that wait unaccepted in a process that runs again only when it has to close them.
    Scenario: Connections that wait when a process comes late to the end of its stop are accepted before it closes them
        When an instance stops and its process does not run from 7300 to 7755 ms, in which 40 callers connect
        Then 40 connections are accepted before it closes them

    # Guards against connections that are reset because callers stay at an instance that can't accept them all in time.
    Scenario Outline: Callers that stay at a leaving instance are refused before more connections wait than it can accept
        When an instance stops while <callers> callers stay at it, and its turns take <turn> ms and from 5000 ms on <slow> ms
        Then each connection was accepted, or refused so that <callers> callers go elsewhere

        Examples:
            | callers | turn | slow |
            | 40      | 1    | 20   |
            | 8       | 20   | 60   |
            | 44      | 20   | 20   |

    Scenario: An instance whose connections wait all the time accepts them until it closes them
        When an instance stops while 200 callers stay at it, and its turns take 60 ms and from 5000 ms on 60 ms
        Then it accepts connections until it closes them

    # Guards against callers that are refused while no instance would take their requests.
    Scenario: An instance accepts connections until it closes them while no other instance serves
        When the last serving instance stops while 40 callers stay at it
        Then it accepts connections until it closes them

    # Guards against a late process that waits between the ends of its stop until it is killed.
    Scenario: A process that does not run until just before its kill does the ends of its stop at once
        When an instance with a request in progress stops and its process does not run from 7300 to 7960 ms
        Then it answers, closes its connections and ends in this order before it would be killed

    # Guards against a late process that is killed with requests in progress because it comes to the ends of its stop too late.
    Scenario Outline: A process that does late what is due begins the ends of its stop earlier
        Given an instance with a grace period of 8000 ms that saw the order to stop <order> ms late at most
        When it does late what is due, by <lag> ms
        Then its answers are due after <answers> ms, closes after <closes> ms, and its exit after <exit> ms

        Examples:
            | order | lag  | answers | closes | exit |
            | 0     | 0    | 7500    | 7750   | 7950 |
            | 0     | 100  | 7100    | 7450   | 7850 |
            | 200   | 0    | 7300    | 7550   | 7750 |
            | 200   | 100  | 6900    | 7250   | 7650 |
            | 0     | 2000 | 6667    | 7020   | 7678 |
            | 2000  | 2000 | 6667    | 6799   | 7046 |

    # Guards against a late process that is still at the ends of its stop when it is killed.
    Scenario: A process that does everything 350 ms late comes to the end of its stop before it would be killed
        When an instance with a request in progress stops and its process does everything 350 ms late
        Then it answers, closes its connections and ends in this order before it would be killed

    # Guards against promised requests that are cut before their deadline because the process became late after it took them.
    Scenario: A process that becomes late while it leaves keeps what it promised before
        Given an instance with a grace period of 8000 ms that saw the order to stop 0 ms late at most
        Then a request with a deadline of 3000 ms that arrives 4300 ms later is taken
        When it does late what is due, by 100 ms
        Then a request with a deadline of 3000 ms that arrives 4300 ms later is refused
        And it ends its answers 7300 ms after the order
        And the request that was taken first still is
        When the request that was taken first has ended
        Then it ends its answers 7100 ms after the order

    # Guards against requests that a late process takes without a promise longer than callers can be unaware of its stop.
    Scenario: A process that saw the order to stop late counts the time of unaware callers from the order
        Given an instance with a grace period of 8000 ms that saw the order to stop 300 ms late at most
        Then a request with a deadline of 12000 ms that arrives 2200 ms later is taken
        And a request with a deadline of 12000 ms that arrives 2400 ms later is refused

    # Guards against a process that counts its grace period from an order that it saw late.
    Scenario: The delay of a process is the longest of the last seconds
        Given a process that did late what was due, by 300 ms at 1000 ms and by 20 ms at 2000 ms
        Then its delay is 300 ms at 3900 ms
        And its delay is 0 ms at 12000 ms

    # Guards against connections that are reset, and requests that are cut, when real processes stop in series.
    Scenario Outline: Callers lose nothing while processes are stopped, reloaded and restarted
        Then the stops "<plan>" of <instances> processes with seed <seed> break no promise

        Examples:
            | plan  | instances | seed |
            | turn  | 4         | 1    |

        @known-red
        Examples:
            | plan  | instances | seed |
            | mixed | 3         | 2    |

    # Guards against streams that a leaving instance takes late, and cuts since their engines stood still meanwhile.
    Scenario: Streams are answered although engines stand still while their instance stops
        Then the stop of one of 3 processes whose engines stand still meanwhile breaks no promise with seed 5002
