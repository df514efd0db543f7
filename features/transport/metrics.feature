Feature: Metrics of a node

  Guards against undocumented metrics, documented metrics that are not
  exported, and control traffic that is not counted.

  Scenario: The documentation lists every exported metric
    Given the deployment kuopio runs
    When the metrics of intake-ledger-1 are read
    Then docs/metrics.md lists every jasminecrank metric and no other
    And these counters are above 0
      | metric                             | labels                           |
      | jasminecrank_control_bytes_total   | socket=peer, direction=sent      |
      | jasminecrank_control_bytes_total   | socket=peer, direction=received  |
      | jasminecrank_control_bytes_total   | socket=source, direction=sent    |
      | jasminecrank_control_bytes_total   | socket=source, direction=received |
      | jasminecrank_source_calls_total    |                                  |
