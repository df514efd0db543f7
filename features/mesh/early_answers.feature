Feature: Backend servers that answer before they have read a body

  Guards against a call that waits behind the body of an earlier one, which the
  server reads only later.

  Scenario Outline: A call does not wait behind a body that is not read yet
    Given a server that answers at once, and reads the body after <pause> s
    When a call with a body of <size> MB is sent to it, and then a small one
    Then both are served within 1.0 s, on different connections
    And the server gets the whole body
    And a call after that opens no further connection

    Examples:
      | size | pause |
      | 4    | 2.0   |
      | 8    | 2.0   |
      | 8    | 4.0   |

  Scenario: Connections with bodies that are never read are closed
    Given a server that answers at once, and reads the body after 60.0 s
    When 12 calls with a body of 4 MB are sent to it
    Then it has at most 5 connections
