Feature: Calls through node processes

  Guards against components that work separately but not together: every
  node runs in its own process and uses real sockets.

  Scenario: A small deployment serves calls and applies a new table
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
    Then every response has the listed status and result code
    When a table without the team accounts is published
    Then the document is in force on every node
    And no backend server has received a key or run a request twice
    And every node exits with status 0
