Feature: Interim responses and callers of HTTP/1.0

  Guards against a 100 Continue that comes where its caller takes it for
  something else, and against connections that a caller can't read on.

  Scenario Outline: 100 Continue follows the answers to earlier requests
    Given a deployment of 1 hosts
    And servers run for <run> s and answer with 0 kB
    When a caller sends <count> requests, and one that waits for 100 Continue
    Then it gets <count> answers, then 100 Continue, and the answer to that

    Examples:
      | run | count |
      | 0.1 | 0     |
      | 0.1 | 1     |
      | 0.1 | 3     |

  Scenario Outline: When 100 Continue is sent
    Given a connection on which <due> is due
    When its caller waits for 100 Continue
    Then it is sent "<now>", and "<later>" once the answers have been written

    Examples:
      | due                                        | now | later |
      | a part of a request                        | now | not   |
      | a request in progress, a part of a request | not | now   |
      | a waiting request, a part of a request     | not | now   |
      | a request in progress                      | not | not   |
      | nothing                                    | not | not   |

  Scenario Outline: Requests of HTTP/1.0
    Given a deployment of 1 hosts
    When a caller of HTTP/1.0 sends a request with the header <header>
    Then it gets the statuses 200, and the connection is closed

    Examples:
      | header                 |
      | Connection: close      |
      | Connection: keep-alive |
      | Expect: 100-continue   |
      | Accept: text/plain     |
