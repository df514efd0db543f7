Feature: Golden recording of a session

  Guards against unintended changes of response headers, bodies and refusals,
  by comparing a session with a golden file byte for byte. With
  JASMINECRANK_WRITE_GOLDEN=1 the file is rewritten; review its diff like
  code.

  Scenario: A session of callers in kuopio
    Given the deployment kuopio runs
    And calls of every team succeed on every host
    When these requests are added to the session
      | host            | method | path            | team     | header                | body    |
      | intake-ledger-1 | GET    | /lots/1         | belt-ops |                       |         |
      | intake-ledger-1 | GET    | /lots/1?grade=2 | belt-ops | X-Deadline-Ms: 1500   |         |
      | intake-ledger-2 | POST   | /lots           | haulage  | Idempotency-Key: b-1  | kg=840  |
      | silo-control-1  | GET    | /silos/3        | belt-ops |                       |         |
      | silo-control-2  | POST   | /releases       | haulage  | Idempotency-Key: r-1  | silo=3  |
      | silo-control-3  | GET    | /moisture/3     | belt-ops |                       |         |
      | intake-ledger-1 | GET    | /silos/4        | accounts |                       |         |
      | intake-ledger-3 | GET    | /board          |          |                       |         |
      | intake-ledger-1 | GET    | /lots/1         |          |                       |         |
      | intake-ledger-1 | GET    | /lots/1         | stranger |                       |         |
      | intake-ledger-1 | GET    | /nowhere        | belt-ops |                       |         |
      | intake-ledger-1 | DELETE | /lots/1         | belt-ops |                       |         |
      | intake-ledger-1 | GET    | /lots/1         | belt-ops | X-Deadline-Ms: soon   |         |
      | intake-ledger-1 | GET    | /lots/1         | belt-ops | X-Deadline-Ms: 0      |         |
    And the key of accounts is revoked
    Then the document is in force on every node
    When these requests are added to the session
      | host            | method | path            | team     | header                | body    |
      | intake-ledger-1 | GET    | /lots/2         | accounts |                       |         |
      | intake-ledger-1 | GET    | /lots/2         | belt-ops |                       |         |
    And a table without the team haulage is published
    Then the document is in force on every node
    When these requests are added to the session
      | host            | method | path            | team     | header                | body    |
      | intake-ledger-1 | GET    | /lots/3         | belt-ops |                       |         |
      | intake-ledger-6 | GET    | /board          | belt-ops |                       |         |
    Then the session equals features/golden/kuopio_session.txt
    And no backend server has received a key or run a request twice
