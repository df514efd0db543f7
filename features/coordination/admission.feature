Feature: Admission actor

  Guards against a worker that never receives the decision on its call, and
  against a planned stop that ends before all open calls have.

  Scenario Outline: A planned stop waits for open calls
    Given the admission actor of a node with <calls> open calls
    When a stop is requested
    Then <waiting> queued calls are forwarded
    And the stop is not completed
    When <event>
    Then the stop is completed

    Examples: The cold server has 3 slots, one of them reserved for check calls
      | calls | waiting | event                                          |
      | 1     | 0       | the running calls end                          |
      | 5     | 3       | the running calls end and the forwarded ones   |
      | 5     | 3       | the running calls end and the deadlines pass   |

  Scenario: A stop without open calls is completed immediately
    Given the admission actor of a node with 0 open calls
    When a stop is requested
    Then the stop is completed

  Scenario Outline: A queued call is decided later
    Given the admission actor of a node with 3 open calls
    When <event>
    Then the decision on the last call is <decision>

    Examples:
      | event                 | decision                  |
      | the running calls end | Admitted                  |
      | the deadlines pass    | DEADLINE_EXCEEDED not-run |
      | the caller gives up   | CALL_CANCELLED not-run    |

  Scenario: Timer messages do not accumulate while calls are queued
    Given the admission actor of a node with 2 open calls
    When for 20 s calls with a default and a short deadline arrive every half second
    Then at most 8 timer messages are pending
