Feature: Admission control for a backend server

  Guards against overloading a backend server, during its cold start or after
  it, and against queueing calls that can't complete in time.

  Scenario Outline: Calls are admitted, queued or rejected
    Given an admission controller for a warm server with <slots> slots
    When <calls> calls with <left> s until their deadline arrive at once
    Then <start> are admitted, <wait> are queued and <reject> are rejected

    Examples:
      | slots | calls | left | start | wait | reject |
      | 4     | 3     | 2.0  | 3     | 0    | 0      |
      | 4     | 6     | 2.0  | 4     | 2    | 0      |
      | 2     | 40    | 2.0  | 2     | 12   | 26     |
      | 4     | 6     | 0.05 | 4     | 0    | 2      |

  Scenario: Calls of a lower rank start first
    Given an admission controller for a warm server with 1 slots
    When calls with these ranks arrive
      | rank |
      | 5    |
      | 201  |
      | 102  |
      | -1   |
      | 102  |
    Then they start in this order
      | call |
      | 0    |
      | 3    |
      | 2    |
      | 4    |
      | 1    |

  Scenario Outline: The cold-start rate holds in every second
    Given a server that takes <rate> calls per second during its cold start
    When calls arrive every <gap> s for 3 s
    Then at most <most> calls start in any second and at least <least> in 3 s

    Examples:
      | rate | gap   | most | least |
      | 31   | 0.002 | 31   | 60    |
      | 6.2  | 0.01  | 6    | 12    |
      | 0.5  | 0.05  | 1    | 2     |

  Scenario: No call starts before a successful health check
    Given an admission controller for a warm server with 4 slots
    When the health of the server becomes unknown
    And 3 calls with 2.0 s until their deadline arrive at once
    Then 0 are admitted, 3 are queued and 0 are rejected

  Scenario: A queued call that can't meet its deadline expires early
    Given an admission controller for a warm server with 1 slots
    When 2 calls with 0.5 s until their deadline arrive at once
    Then the queued call expires between 0.4 and 0.5 s

  Scenario: A cancelled call never starts
    Given an admission controller for a warm server with 1 slots
    When 3 calls with 2.0 s until their deadline arrive at once
    And queued call 1 is cancelled
    Then only call 2 starts when the slot becomes free

  Scenario Outline: A cold server gets as many calls as it takes
    Given a server with <slots> slots that takes <rate> calls per second during its cold start
    And its calls run for <run> s during it, which its node has not seen yet
    When <offered> calls per second with an objective of <target> s and a deadline of <deadline> s arrive for 2.6 s
    Then at least <least> of them have started, and at most <most> in any second

    Examples:
      | slots | rate | run  | offered | target | deadline | least | most |
      | 9     | 26   | 0.12 | 60      | 0.2    | 1.2      | 60    | 26   |
      | 9     | 26   | 0.3  | 60      | 0.6    | 4.0      | 60    | 26   |
      | 12    | 31   | 0.2  | 60      | 0.3    | 2.0      | 72    | 31   |
      | 6     | 6.2  | 0.5  | 20      | 0.6    | 4.0      | 15    | 7    |
      | 5     | 8    | 0.25 | 20      | 0.35   | 2.1      | 19    | 8    |
      | 6     | 5.5  | 0.5  | 12      | 0.8    | 5.0      | 13    | 6    |
      | 3     | 3.1  | 0.5  | 9       | 0.6    | 4.0      | 8     | 4    |
      | 2     | 1.59 | 0.6  | 5       | 0.8    | 5.0      | 4     | 2    |

  Scenario Outline: A call that a cold server rejects returns after its cold start
    Given a server with 4 slots that takes 10 calls per second during its cold start
    When the cold start ends in <left> s and 9 calls with an objective of 0.3 s arrive at once
    Then the rejected ones may return after <after> s or later

    Examples:
      | left | after |
      | 2.0  | 2.0   |
      | 0.5  | 0.5   |

  Scenario Outline: What was measured at a server fades while it gets no calls
    Given an admission controller for a warm server with 4 slots
    When 50 calls run for 0.02 s each, 0.05 s apart
    And <late> calls run for <run> s each, <gap> s apart
    And <later> calls run for 0.02 s each, <pause> s apart
    Then it reports a run time of <least> to <most> s

    Examples:
      | late | run  | gap   | later | pause | least | most  |
      | 4    | 0.3  | 0.01  | 0     | 1.0   | 0.1   | 0.13  |
      | 4    | 0.3  | 0.01  | 1     | 0.05  | 0.1   | 0.13  |
      | 4    | 0.3  | 0.01  | 1     | 4.0   | 0.02  | 0.05  |
      | 4    | 0.3  | 0.01  | 2     | 5.0   | 0.02  | 0.04  |
      | 4    | 1.5  | 0.01  | 3     | 5.0   | 0.02  | 0.06  |
      | 4    | 0.3  | 0.01  | 40    | 0.05  | 0.02  | 0.025 |
      | 50   | 0.3  | 0.01  | 1     | 0.05  | 0.2   | 0.29  |
      | 1    | 0.3  | 0.01  | 0     | 1.0   | 0.045 | 0.055 |
      | 4    | 0.3  | 0.001 | 0     | 1.0   | 0.04  | 0.055 |
      | 50   | 0.3  | 0.001 | 0     | 1.0   | 0.15  | 0.25  |
      | 4    | 0.02 | 0.001 | 0     | 1.0   | 0.02  | 0.02  |

  Scenario Outline: Failures of a server fade while it gets no calls
    Given an admission controller for a warm server with 4 slots
    When <failed> calls fail, 0.05 s apart
    And <later> calls run for 0.02 s each, <pause> s apart
    Then it reports a failure rate of <least> to <most>

    Examples:
      | failed | later | pause | least | most |
      | 30     | 0     | 1.0   | 0.85  | 1.0  |
      | 30     | 1     | 0.05  | 0.75  | 0.95 |
      | 30     | 1     | 4.0   | 0.3   | 0.5  |
      | 30     | 3     | 5.0   | 0.0   | 0.1  |
      | 1      | 0     | 4.0   | 0.07  | 0.09 |
