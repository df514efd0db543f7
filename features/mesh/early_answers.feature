Feature: Servers that answer before they have read a body

  Guards against calls that wait behind the rest of another call's body, and
  against bodies that are cut although their server goes on to read them.

  Scenario Outline: A call after an early answer does not wait for its body
    Given a deployment of 1 hosts on the event loop of a process
    And its server answers bodies at once and reads them <pause> s later
    When a caller uploads 1 MB and then sends a booking
    Then the booking is answered 200 within 0.5 s
    And the server gets the whole upload

    Examples:
      | pause |
      | 1.0   |
      | 4.0   |

  Scenario: A stop does not cut the rest of a body whose answer came early
    Given a deployment of 1 hosts on the event loop of a process
    And its server answers bodies at once and reads them 3.0 s later
    When a caller uploads 1 MB and then the node stops
    Then the server gets the whole upload

  Scenario Outline: A call does not wait behind a body that is not read yet
    Given a server that answers at once, and reads the body after <pause> s
    When a call with a body of <size> MB is sent to it, and then a small one
    Then both are served within 1.0 s, on different connections
    And the server gets the whole body
    And a call after that is served within 1.0 s

    Examples:
      | size | pause |
      | 4    | 2.0   |
      | 8    | 2.0   |
      | 8    | 4.0   |

  Scenario: Connections with bodies that are never read are closed
    Given a server that answers at once, and reads the body after 60.0 s
    When 12 calls with a body of 4 MB are sent to it
    Then it has at most 5 connections
