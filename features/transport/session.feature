Feature: Calls through real processes

  Guards against a path that only works in parts: every node runs as a
  process of its own, on real sockets.

  Scenario: A small deployment serves calls and follows the table
    Given the deployment kuopio runs
    When these calls are sent
      | host            | method | path       | team     | status | result code |
      | intake-ledger-1 | GET    | /lots/1    | belt-ops | 200    |             |
      | intake-ledger-1 | GET    | /silos/3   | belt-ops | 200    |             |
      | silo-control-2  | POST   | /releases  | haulage  | 200    |             |
      | intake-ledger-1 | GET    | /board     |          | 200    |             |
      | intake-ledger-1 | GET    | /lots/1    |          | 401    | 202         |
      | intake-ledger-1 | GET    | /lots/1    | stranger | 401    | 203         |
      | intake-ledger-1 | GET    | /nowhere   | belt-ops | 404    | 201         |
    Then every answer is as listed
    When a table without the team accounts is accepted
    Then it is in force on every node
    And no backend server has seen a key or run a request twice
    And every node stops with status 0
