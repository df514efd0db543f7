Feature: When a node accepts calls

  Guards against a node that serves with versions from before a start or a
  pause, and against one that refuses calls for ever once peers answer.

  Scenario Outline: A sequence of events ends ready or not ready
    Given a node that starts at 100 s
    When the node goes through <events>
    Then the readiness is <state>

    Examples: start
      | events                                                    | state     |
      | tick 160                                                  | not ready |
      | hold 1, tick 160                                          | not ready |
      | answer 0 1 100.1, tick 104                                | not ready |
      | answer 0 1 100.1, hold 1, tick 100.4                      | not ready |
      | answer 0 1 100.1, hold 1, tick 100.7                      | ready     |
      | answer 0 1 100.1, answer 0 2 100.3, hold 1, tick 101      | not ready |
      | answer 0 1 100.1, answer 0 2 100.3, hold 2, tick 101      | ready     |
      | answer 0 2 100.1, hold 1, tick 101.9, tick 103, tick 105  | not ready |
      | answer 0 2 100.1, hold 1, tick 102, tick 104, tick 105.2  | ready     |

    Examples: pause
      | events                                                    | state     |
      | serve, tick 103.0                                         | ready     |
      | serve, tick 103.2                                         | not ready |
      | serve, tick 103.2, answer 0 1 103.3, tick 103.5           | not ready |
      | serve, tick 103.2, answer 1 1 103.3, tick 103.5           | ready     |
      | serve, tick 103.2, answer 1 2 103.3, tick 103.5           | not ready |
      | serve, tick 103.2, answer 1 2 103.3, hold 2, tick 103.5   | ready     |
      | serve, tick 110, tick 113, answer 1 1 113.1, tick 113.5   | not ready |
      | serve, tick 110, tick 113, answer 2 1 113.1, tick 113.5   | ready     |

  Scenario Outline: A call right after a pause is refused before any tick
    Given a node that was ready at its last tick, at 100 s
    When a call reaches that node at <call> s
    Then that node has <result>

    Examples:
      | call  | result                     |
      | 101.9 | refused with NO_ROUTE      |
      | 102.1 | refused with NODE_NOT_READY |
