Feature: Requests that a caller pipelines on one connection

  Guards against requests that wait for the answers to earlier ones, against
  answers in another order, and against a booking that runs although its
  connection is closed before its answer.

  Scenario Outline: What may run beside earlier requests
    Given <running> requests in progress on a connection, <earlier>
    When <answers> answers and <refusals> refusals have come on it before
    Then a request of <route> <result>

    Examples:
      | running | earlier                    | answers | refusals | route              | result |
      | 1       | all repeatable             | 0       | 0        | a repeatable route | starts |
      | 2       | all repeatable             | 0       | 0        | a repeatable route | waits  |
      | 2       | all repeatable             | 1       | 0        | a repeatable route | starts |
      | 7       | all repeatable             | 20      | 0        | a repeatable route | starts |
      | 8       | all repeatable             | 20      | 0        | a repeatable route | waits  |
      | 4       | all repeatable             | 20      | 1        | a repeatable route | waits  |
      | 3       | all repeatable             | 20      | 1        | a repeatable route | starts |
      | 1       | all repeatable             | 20      | 9        | a repeatable route | waits  |
      | 1       | one of them not repeatable | 20      | 0        | a repeatable route | waits  |
      | 1       | all repeatable             | 20      | 0        | a booking's route  | waits  |
      | 1       | all repeatable             | 20      | 0        | no route           | waits  |

  Scenario Outline: All connections together are bounded
    Given a node that may hold <limit> bytes of answers before their turn
    When <running> requests run ahead, <held> bytes are held, and answers have <size> bytes
    Then another one <result>

    Examples:
      | limit    | running | held     | size    | result |
      | 15000000 | 0       | 0        | 0       | waits  |
      | 15000000 | 0       | 0        | 2000    | starts |
      | 15000000 | 255     | 0        | 2000    | starts |
      | 15000000 | 256     | 0        | 2000    | waits  |
      | 15000000 | 10      | 14900000 | 20000   | waits  |
      | 15000000 | 3       | 0        | 4000000 | waits  |
      | 15000000 | 2       | 0        | 4000000 | starts |

  Scenario Outline: Steps on a connection with requests in progress
    Given a connection with <running> in progress, <waiting> waiting, <condition>
    Then the connection's next step is <step>

    Examples:
      | running | waiting | condition                 | step           |
      | 1       | 1       | the next may run ahead    | start-request  |
      | 1       | 1       | the next may not          | wait           |
      | 1       | 0       | the next may run ahead    | wait           |
      | 0       | 1       | the next may not          | start-request  |
      | 1       | 1       | the caller takes nothing  | wait           |
      | 1       | 1       | the caller may have left  | wait           |
      | 0       | 1       | the caller may have left  | refuse-request |
      | 1       | 1       | the node stops            | wait           |
      | 1       | 1       | the stop's window is over | wait           |
      | 0       | 1       | the stop's window is over | refuse-request |

  Scenario Outline: Runs and answers of pipelined requests
    Given a node whose server has 8 slots, with runs of 0.2 s
    When a caller pipelines the requests <requests>
    Then the answers are whole and in the order of the requests
    And at most <peak> of them have run at the same time, and at least <least>

    Examples:
      | requests                    | peak | least |
      | GET GET GET GET GET GET     | 6    | 4     |
      | GET x 12                    | 8    | 6     |
      | POST GET                    | 1    | 1     |
      | GET POST GET                | 1    | 1     |
      | POST POST                   | 1    | 1     |
      | GET GET POST GET GET        | 2    | 2     |

  Scenario: Six requests of 0.2 s at once on a new connection
    Given a node whose server has 8 slots, with runs of 0.2 s
    When a caller pipelines the requests GET x 6
    Then the answers are whole and in the order of the requests
    And the last of them has started after the end of 2 others at most

  Scenario: A request that finds no room ahead of its turn is served in turn
    Given a node whose server has 1 slots, with runs of 0.25 s
    When a caller pipelines the requests GET x 6
    Then the answers are whole and in the order of the requests

  Scenario: An answer that comes early waits for its turn
    Given a node whose server has 8 slots, with runs of 0.6 s
    When a caller pipelines a long request and 3 short ones
    Then the short runs end before the long one
    And the answers are whole and in the order of the requests

  Scenario: All requests in progress end when the caller leaves
    Given a node whose server has 8 slots, with runs of 3.0 s
    When a caller that leaves once they run pipelines GET x 6
    Then the server stops 6 runs, and no request is open at the node

  Scenario: A request whose time has passed behind others is refused
    Given a node whose server has 8 slots, with runs of 0.4 s
    When a caller pipelines a booking and one with a deadline of 100 ms
    Then the second one is refused as not run, and has not run

  Scenario Outline: A stop answers what has been read
    Given a node whose server has 8 slots, with runs of 0.3 s
    When a node that is stopped once one runs gets <requests> pipelined
    Then each is answered or refused as not run, in the order of the requests
    And only the last one closes the connection

    Examples:
      | requests         |
      | GET GET GET      |
      | GET GET POST GET |

  Scenario Outline: Answers that a caller does not take count as they come
    Given a caller's connection at a node with <memory> bytes of memory
    When 8 requests run, and the caller takes no more answers
    And the answers of <size> bytes come
    Then the node then has <result> the connection
    And after its end nothing is counted as ahead or held

    Examples:
      | memory   | size   | result  |
      | 10000000 | 500000 | aborted |
      | 10000000 | 100000 | kept    |

  Scenario Outline: Rejected requests that are pipelined stay within the retry limits
    Given a deployment of <hosts> hosts whose nodes have answered
    When <callers> callers pipeline <requests> requests each, and the servers reject <rejected>
    Then the repeats of all requests stay within the fleet's retry budget
    And no request reaches more servers than its route allows

    Examples: Guards against attempts that start over when a request's turn comes
      | hosts | callers | requests | rejected             |
      | 3     | 150     | 2        | all of them          |
      | 3     | 100     | 4        | all of them          |
      | 5     | 100     | 4        | every second of them |

  Scenario: A request that is admitted again earns no more retries
    Given a node whose server has 1 slots, with runs of 0.25 s
    When a caller pipelines the requests GET x 6
    Then requests have been admitted again, and each counts once in the retry budget

  Scenario Outline: A request that is admitted again keeps its service
    Given a route whose services have no servers
    When requests are refused and admitted again, and <change> before
    Then each of them is sent to <service>

    Examples: Guards against traffic that leaves a full service for another one
      | change                       | service      |
      | nothing changes              | its service  |
      | the weights change           | its service  |
      | one service loses its weight | the other    |

  Scenario Outline: Requests of a caller that may have left are not admitted again
    Given a node whose server has 1 slots, with runs of 0.25 s
    When a caller pipelines <requests> and ends its sending side once one runs
    Then it gets the statuses <statuses>, and the server has begun 1 run

    Examples: Guards against requests that reach a server after their caller has left
      | requests | statuses        |
      | GET x 2  | 502 503         |
      | GET x 4  | 502 503 503 503 |
