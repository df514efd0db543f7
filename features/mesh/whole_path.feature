Feature: The whole path of a call over real sockets

  Guards the promises to callers: the whole answer to their own request, at
  most one run of a booking, refusals that are true, and the table in force.

  Scenario Outline: Answers of the node
    Given a deployment of 3 hosts
    When a caller sends <method> <target> with key <key>
    Then it gets <status> and the request has run <runs> times

    Examples:
      | method | target  | key  | status | runs |
      | GET    | /lots/1 | k1   | 200    | 1    |
      | POST   | /book/1 | k2   | 200    | 1    |
      | GET    | /open/1 | none | 200    | 1    |
      | GET    | /lots/1 | bad  | 401    | 0    |
      | GET    | /lots/1 | none | 401    | 0    |
      | GET    | /gone/1 | k1   | 404    | 0    |

  Scenario Outline: A server that misbehaves once
    Given a deployment of 3 hosts
    When every server will once <fault>
    And a caller sends <method> <target> with key k1
    Then it gets <status> and the request has run <runs> times

    Examples:
      | fault           | method | target  | status | runs |
      | shed            | GET    | /lots/1 | 503    | 0    |
      | shed            | POST   | /book/1 | 503    | 0    |
      | fail            | GET    | /lots/1 | 500    | 2    |
      | fail            | POST   | /book/1 | 500    | 1    |
      | reset-after-run | GET    | /lots/1 | 502    | 2    |
      | reset-after-run | POST   | /book/1 | 502    | 1    |
      | cut             | POST   | /book/1 | 502    | 1    |
      | garbled         | POST   | /book/1 | 502    | 1    |
      | unframed        | GET    | /lots/1 | 200    | 1    |
      | unframed-reset  | POST   | /book/1 | 502    | 1    |
      | hang            | POST   | /book/1 | 504    | 0    |

  Scenario Outline: Answers that no request asked for
    Given a deployment of 1 hosts
    When every server always will <fault>
    And 10 requests are sent one after the other
    Then each gets its own whole answer

    Examples:
      | fault      |
      | extra      |
      | late-extra |

  Scenario: One server that sheds is not seen by callers
    Given a deployment of 3 hosts
    When server 0 always will shed
    And 10 requests are sent one after the other
    Then each gets its own whole answer

  Scenario: A caller that leaves ends the run of its request
    Given a deployment of 2 hosts
    When servers take 2.0 s and a caller leaves after 0.1 s
    Then a server is rid of the run within 0.5 s

  Scenario: A booking whose caller leaves runs to its end
    Given a deployment of 1 hosts
    When servers take 0.4 s and a booker leaves after 0.1 s
    Then no server has dropped a run

  Scenario: A request is answered at its route's time limit
    Given a deployment of 2 hosts
    When every server always will hang
    And a caller sends POST /book/1 with key k1
    Then it gets 504 after 1.0 to 1.3 s

  Scenario: A server is never given more than its slots
    Given a deployment of 2 hosts
    When 40 callers send at once
    Then no server has had more than 4 requests at once
    And all answers are whole or say that nothing has run

  Scenario Outline: Work stops soon for a server that leaves
    Given a deployment of 2 hosts
    When server 0 <leaves>
    Then it gets no request from 0.5 s later on
    And callers on both hosts are served

    Examples:
      | leaves                           |
      | is draining                      |
      | is removed                       |
      | is in a data centre out of service |
      | crashes                          |

  Scenario Outline: A table is in force on every host
    Given a deployment of 5 hosts
    When the store is <fault> and key k1 is withdrawn
    Then every host refuses k1 within 2.0 s

    Examples:
      | fault                     |
      | well                      |
      | busy for hosts 0, 1 and 2 |
      | compacted                 |

  Scenario: A restarted node takes the table from its peers
    Given a deployment of 3 hosts
    When the store is silent for all
    And the node of host 1 is killed and started again
    Then the restarted node is ready within 3.0 s

  Scenario: A node that stops finishes what others sent it
    Given a deployment of 2 hosts
    When servers take 0.5 s and node 0 stops while requests run
    Then each gets its own whole answer

  Scenario: A node that stops takes nothing that it can't finish
    Given a deployment of 2 hosts
    When servers take 0.2 s and callers of node 0 go on while it stops
    Then no request sent later than 3.0 s after that is taken
    And each request that is taken gets an answer

  Scenario Outline: Callers are told when to come back
    Given a deployment of 2 hosts
    When every server <event>
    And a caller with <deadline> ms left asks
    Then it is told to come back after <least> to <most> s

    Examples:
      | event                  | deadline | least | most |
      | has restarted unlisted | 3000     | 0.5   | 1.0  |
      | has restarted unlisted | 1200     | 0.3   | 0.4  |
      | is draining            | 3000     | 0.1   | 1.0  |

  Scenario: An error in the node while a call runs frees its slot
    Given a deployment of 1 hosts
    When the node fails with an error on the next 8 calls
    And a caller sends POST /book/1 with key k1
    Then it gets 200 and the request has run 1 times

  Scenario Outline: Hosts that have lost power serve before they are listed
    Given a deployment of 2 hosts
    When all hosts lose power and their servers come back <unlisted>
    And a caller sends POST /book/1 with key k1
    Then it gets <status> and the request has run <runs> times

    Examples:
      | unlisted                 | status | runs |
      | with new ids             | 200    | 1    |
      | as servers of no service | 503    | 0    |
      | a second later           | 503    | 0    |
      | and are warm             | 503    | 0    |

  Scenario: Changed settings are taken over without a restart
    Given a deployment of 1 hosts
    When the settings get a retry ratio of 0.5
    Then the node uses it within 6.0 s

  Scenario: Few calls to the store
    Given a deployment of 5 hosts
    When nothing happens for 3 s
    Then the store has had fewer than 25 calls
