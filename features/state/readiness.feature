Feature: Readiness of a node

  Guards against a node that accepts calls with outdated versions after a
  start or a process pause, and against one that never becomes ready although
  its peers reply.

  Scenario Outline: Readiness after a sequence of events
    Given a node that starts at 100 s
    When the events <events> occur
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

  Scenario Outline: A call after a pause is refused before the next tick
    Given a node that was ready at its last tick at 100 s
    When the node receives a call at <call> s
    Then the call is <result>

    Examples:
      | call  | result                     |
      | 101.9 | refused with NO_ROUTE      |
      | 102.1 | refused with NODE_NOT_READY |
