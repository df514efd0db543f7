Feature: Callers that end their sending side after their last request

  Guards against requests that are taken and not answered: an ended sending
  side looks like a closed connection until something is written.

  Scenario Outline: A request whose caller sends nothing more is answered
    Given a deployment of <hosts> hosts on the event loop of a process
    And servers run for <run> s and answer with <kbytes> kB
    When a caller sends <count> <method> requests and shuts down its sending side <when>
    Then it gets the statuses <statuses>, only the last of which closes
    And it gets them whole within <within> s
    And servers have begun <begun> requests, and run 0 of them 0.1 s later

    Examples:
      | hosts | method | run | kbytes | count | when            | statuses    | within | begun |
      | 1     | POST   | 0.2 | 0      | 1     | while they run  | 200         | 0.4    | 1     |
      | 1     | GET    | 0.2 | 0      | 1     | while they run  | 502         | 0.08   | 1     |
      | 1     | POST   | 0.2 | 0      | 1     | at once         | 503         | 0.08   | 0     |
      | 1     | GET    | 0.2 | 0      | 3     | at once         | 503 503 503 | 0.08   | 0     |
      | 1     | GET    | 1.5 | 0      | 1     | while they run  | 502         | 0.5    | 1     |
      | 1     | POST   | 0.5 | 4000   | 3     | while they run  | 200 503 503 | 1.0    | 1     |
      | 1     | GET    | 1.5 | 0      | 3     | while they run  | 502 503 503 | 0.5    | 1     |
      | 1     | POST   | 6   | 0      | 1     | while they run  | 200         | 6.5    | 1     |
      | 2     | POST   | 0.5 | 4000   | 3     | while they run  | 200 503 503 | 1.0    | 1     |
      | 2     | GET    | 1.5 | 0      | 3     | while they run  | 502 503 503 | 0.5    | 1     |

  Scenario Outline: A request that waits for a slot is refused when its caller ends its sending side
    Given a deployment of <hosts> hosts on the event loop of a process
    And servers run for 1 s and answer with 0 kB
    When 4 POST requests run and a caller of a <method> request shuts down its sending side
    Then it gets the statuses 503, only the last of which closes
    And it gets them whole within 0.5 s
    And servers have begun 4 requests, and run 4 of them 0.1 s later

    Examples:
      | hosts | method |
      | 1     | POST   |
      | 1     | GET    |
      | 2     | POST   |
      | 2     | GET    |

  Scenario: A booking that its server rejects later is not sent on
    Given a deployment of 3 hosts on the event loop of a process
    And servers run for 0.6 s and answer with 0 kB
    When every server will once shed-late
    And a caller sends 1 POST requests and shuts down its sending side while they run
    Then it gets the statuses 503, only the last of which closes
    And it gets them whole within 0.8 s
    And servers have begun 0 requests, and run 0 of them 0.5 s later

  Scenario Outline: A request whose caller has closed its connection ends
    Given a deployment of 1 hosts on the event loop of a process
    And servers run for 3 s and answer with 0 kB
    When <callers> callers send a <method> request and close their connections
    Then servers have begun at most <begun> requests, and run <running> of them <after> s later

    Examples:
      | callers | method | begun | running | after |
      | 1       | GET    | 1     | 0       | 0.5   |
      | 1       | POST   | 1     | 1       | 0.5   |
      | 6       | GET    | 6     | 0       | 0.5   |
      | 6       | POST   | 4     | 0       | 3.5   |

  Scenario: A caller that has sent a part of a request and nothing more is cut
    Given a deployment of 1 hosts on the event loop of a process
    When a caller sends a part of a request and shuts down its sending side
    Then it gets 0 complete answers

  Scenario Outline: A request ends whose caller ends its sending side, and closes its connection later
    Given a deployment of 1 hosts on the event loop of a process
    And servers run for 6 s and answer with 0 kB
    When a caller sends a GET request, shuts down its sending side, and closes after <closes> s, having read <read>
    Then servers have begun at most 1 requests, and run 0 of them 0.5 s later

    Examples:
      | closes | read       |
      | 0.05   | nothing    |
      | 0.1    | nothing    |
      | 1.5    | nothing    |
      | 1.5    | everything |
      | 4.0    | everything |
