Feature: Calls to the configuration service

  Guards against a fleet that overloads the source: after a restart of all
  nodes, while the source fails, or when it serves documents that the nodes
  reject.

  Scenario Outline: All nodes of a fleet start at the same time
    Given 2200 hosts of 180 services in 10 data centres
    When all hosts start and the source <source> and links <links>
    Then the source gets at most 2000 calls in any second of 40 s
    And in the last 10 s it gets at most <last> calls

    Examples: A watch by a linked watcher times out after 25 s, others after 5 s
      | source         | links    | last |
      | answers        | come up  | 90   |
      | answers        | stay cut | 5000 |
      | fails          | come up  | 6000 |
      | is invalid     | come up  | 300  |
      | is stale       | come up  | 600  |

  Scenario Outline: Documents that the source serves
    Given a watching node with version 2 of every document
    When the source answers: <answers>
    Then the events are <events>
    And the next call is <call>

    Examples:
      | answers                                  | events          | call             |
      | changed table                            | none            | read table       |
      | changed table keys                       | none            | read keys        |
      | changed table, accepted 3                | none            | watch table 3    |
      | changed table, invalid 3                 | version-invalid | watch table 3    |
      | changed table, invalid 3, changed        | version-invalid | watch table 2    |
      | changed table, unreadable                | version-invalid | none             |
      | changed table, stale 1                   | source-stale    | none             |
      | changed table, stale 2                   | none            | none             |
      | changed table, conflict 2                | none            | none             |
      | failed                                   | source-failed   | none             |
      | failed, failed                           | source-failed   | none             |
      | changed table, invalid 3, changed, changed table, invalid 3 | version-invalid | watch table 3 |
