Feature: Calls through a whole deployment over real sockets

  Guards the guarantees to callers: a complete response to their own request,
  at most one run of a booking, rejections that are true, and use of the
  current table.

  Scenario Outline: Responses of the node
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

  Scenario Outline: A server with a single fault
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
      | close-in-the-status-line | POST | /book/1 | 502 | 1 |
      | close-in-a-header-name | POST | /book/1 | 502 | 1 |
      | close-in-a-header-value | POST | /book/1 | 502 | 1 |
      | close-after-a-header-line | POST | /book/1 | 502 | 1 |
      | close-before-the-last-byte-of-the-head | POST | /book/1 | 502 | 1 |
      | close-after-the-head | POST | /book/1 | 502 | 1 |
      | close-in-the-head-after-an-interim-response | POST | /book/1 | 502 | 1 |
      | close-in-a-head-without-a-length | POST | /book/1 | 502 | 1 |
      | close-in-a-head-without-a-length | GET | /lots/1 | 502 | 2 |

  Scenario Outline: The response of a server is not replaced when no other one serves the retry
    Given a deployment of 2 hosts
    When server 0 always will fail
    And server 1 always will <fault>
    And 20 requests are sent in turn
    Then they get the statuses <statuses> and no other

    Examples:
      | fault | statuses |
      | shed  | 500, 503 |

  Scenario Outline: A server that sends bytes until its caller closes
    Given a deployment of 1 hosts
    When every server will once <fault>
    And a caller sends POST /book/1 with key k1
    Then it gets 502 and the request has run 1 times
    And the node has accepted less than 20 MB of it

    Examples:
      | fault                              |
      | send-a-body-without-end            |
      | send-chunks-without-end            |
      | send-a-body-of-a-terabyte          |
      | send-headers-without-end           |
      | send-one-header-without-end        |
      | send-trailers-without-end          |
      | send-interim-responses-without-end |

  Scenario Outline: A rejection is believed only if it is this request's own
    Given a deployment of 1 hosts
    When <earlier> requests are sent one after the other
    And every server will once <fault>
    And a caller sends POST /book/1 with key k1
    Then it gets <status> and the request has run <runs> times

    Examples:
      | earlier | fault                                     | status | runs |
      | 1       | shed                                      | 503    | 0    |
      | 1       | repeat-an-earlier-rejection               | 200    | 1    |
      | 1       | repeat-an-earlier-rejection-without-an-id | 502    | 1    |
      | 1       | shed-without-an-id                        | 502    | 0    |

  Scenario: A server has no earlier rejection to repeat on a new connection
    Given a deployment of 1 hosts
    When every server always will repeat-an-earlier-rejection-without-an-id
    And 4 callers send requests concurrently
    Then no request that was rejected has run

  Scenario: An id that was rejected on a connection is not sent on it again
    Given a deployment of 1 hosts
    When every server will once shed
    And two requests with the same id are sent one after the other
    Then the server has got them on different connections

  Scenario Outline: Unsolicited responses
    Given a deployment of 1 hosts
    When every server always will <fault>
    And 10 requests are sent one after the other
    Then each request gets its own complete response

    Examples:
      | fault      |
      | extra      |
      | late-extra |

  Scenario: Callers do not notice that one server sheds load
    Given a deployment of 3 hosts
    When server 0 always will shed
    And 10 requests are sent one after the other
    Then each request gets its own complete response

  Scenario: A run is cancelled when its caller disconnects
    Given a deployment of 2 hosts
    When requests take 2.0 s and a caller disconnects after 0.1 s
    Then a server has cancelled the run within 0.5 s

  Scenario: A booking runs to its end when its caller disconnects
    Given a deployment of 1 hosts
    When bookings take 0.4 s and a caller disconnects after 0.1 s
    Then no server has cancelled a run

  Scenario: A request times out at the time limit of its route
    Given a deployment of 2 hosts
    When every server always will hang
    And a caller sends POST /book/1 with key k1
    Then it gets 504 after 1.0 to 1.3 s

  Scenario: A server never gets more concurrent requests than slots
    Given a deployment of 2 hosts
    When 40 callers send requests concurrently
    Then no server has run more than 4 requests concurrently
    And all responses are complete or report that nothing has run

  Scenario Outline: A server out of service soon gets no requests
    Given a deployment of 2 hosts
    When server 0 <leaves>
    Then it gets no request after 0.5 s
    And callers on both hosts are served

    Examples:
      | leaves                           |
      | is draining                      |
      | is removed                       |
      | is in a data centre out of service |
      | crashes                          |

  Scenario: A server removed just after a failed read soon gets no requests
    Given a deployment of 2 hosts
    When the store fails for 1.0 s
    And server 0 is removed
    Then it gets no request after 0.5 s
    And callers on both hosts are served

  Scenario Outline: A split keeps its shares whatever becomes of a part
    Given a deployment of 4 hosts
    When servers 2 and 3 are of service spare and a split gives it <weight>
    And server 2 <event>
    And server 3 <event>
    And the deployment is idle for 1 s
    And 100 requests are sent one after the other
    Then <kept> of them have run at servers 0 and 1 and the others got <status>

    Examples:
      | weight | event             | kept | status |
      | 30     | always will serve | 70   | 200    |
      | 30     | always will shed  | 70   | 503    |
      | 30     | always will fail  | 70   | 500    |
      | 30     | is draining       | 70   | 503    |
      | 30     | is removed        | 70   | 503    |
      | 30     | crashes           | 70   | 503    |
      | 0      | always will serve | 100  | 200    |
      | 100    | is removed        | 0    | 503    |

  Scenario Outline: A new table takes effect on every host
    Given a deployment of 5 hosts
    When the store is <fault> and key k1 is withdrawn
    Then every host rejects k1 within 2.0 s

    Examples:
      | fault                     |
      | well                      |
      | busy for hosts 0, 1 and 2 |
      | compacted                 |

  Scenario: A table that takes longer to read than a timeout
    Given a deployment of 3 hosts
    When the store sends 100 kB/s of a table of 1000 routes
    Then every host has that table within 4.5 s

  Scenario: A restarted node gets the table from its peers
    Given a deployment of 3 hosts
    When the store responds to no host
    And the node of host 1 is killed and restarted
    Then the restarted node is ready within 3.0 s

  Scenario: A stopping node completes calls from its peers
    Given a deployment of 2 hosts
    When requests take 0.5 s and node 0 stops while they run
    Then each request gets its own complete response

  Scenario: A stopping node accepts no request that it can't complete
    Given a deployment of 2 hosts
    When requests take 0.2 s and node 0 stops while callers keep sending
    Then no request is run that was sent more than 3.0 s after that
    And each request that is run gets a response

  Scenario Outline: Rejections say when to retry
    Given a deployment of 2 hosts
    When every server <event>
    And a caller sends a request with <deadline> ms left
    Then it is rejected and may retry after <least> to <most> s

    Examples:
      | event                  | deadline | least | most |
      | has restarted unlisted | 3000     | 0.5   | 1.0  |
      | has restarted unlisted | 1200     | 0.3   | 0.4  |
      | is draining            | 3000     | 0.1   | 1.0  |

  Scenario: An internal error during a call releases its slot
    Given a deployment of 1 hosts
    When the node raises an error on the next 8 calls
    And a caller sends POST /book/1 with key k1
    Then it gets 200 and the request has run 1 times

  Scenario Outline: Hosts serve after a power loss before they are listed
    Given a deployment of 2 hosts
    When all hosts lose power and their servers restart <unlisted>
    And a caller sends POST /book/1 with key k1
    Then it gets <status> and the request has run <runs> times

    Examples:
      | unlisted                 | status | runs |
      | with new ids             | 200    | 1    |
      | as servers of no service | 503    | 0    |
      | a second later           | 503    | 0    |
      | and are warm             | 503    | 0    |

  Scenario: A task that ends with an error runs again
    Given a deployment of 1 hosts
    When the node raises an error once while it reads its settings
    And the settings get a retry ratio of 0.5
    Then the node applies it within 12.0 s

  Scenario: Changed settings take effect without a restart
    Given a deployment of 1 hosts
    When the settings get a retry ratio of 0.5
    Then the node applies it within 6.0 s

  Scenario: An idle deployment calls the store rarely
    Given a deployment of 5 hosts
    When the deployment is idle for 3 s
    Then the store has received fewer than 25 requests
