Feature: Status lines of a backend server that are none

  Guards against a caller that waits until its deadline for an answer, since
  the server's status is taken for that of an interim response, and against a
  status that no client knows.

  Scenario Outline: A response without a status of an answer
    Given two nodes whose servers answer 200
    When the first response to a <method> request has the status line "<line>"
    Then the caller gets <status> well before its deadline, after <runs> runs

    Examples: Status codes are from 100 to 599 (RFC 9110, 15)
      | method | line          | status | runs |
      | POST   | 000 Unknown   | 502    | 1    |
      | GET    | 000 Unknown   | 200    | 2    |
      | POST   | 007 Unknown   | 502    | 1    |
      | POST   | 099 Unknown   | 502    | 1    |
      | POST   | 199 Unknown   | 502    | 1    |
      | POST   | 100 Continue  | 502    | 1    |
      | POST   | 101 Switching | 502    | 1    |
      | POST   | 0 Unknown     | 502    | 1    |
      | POST   | 2000 OK       | 502    | 1    |
      | POST   | 600 Unknown   | 502    | 1    |
      | GET    | 600 Unknown   | 200    | 2    |
      | POST   | 799 Unknown   | 502    | 1    |
      | POST   | 999 Unknown   | 502    | 1    |
      | POST   | 299 Fine      | 299    | 1    |
      | POST   | 599 Unknown   | 599    | 1    |
