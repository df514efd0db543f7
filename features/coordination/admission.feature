Feature: The admission actor

  Guards against a call whose worker waits for a decision for ever, and
  against a planned stop that cuts a call.

  Scenario Outline: A planned stop waits for the calls in hand
    Given the admission actor of a node with <calls> calls in hand
    When a stop is requested
    Then <waiting> waiting calls are forwarded
    And the stop is not answered
    When <event>
    Then the stop is answered

    Examples: The cold server has 3 slots, one of them kept for checks
      | calls | waiting | event                                          |
      | 1     | 0       | the running calls end                          |
      | 5     | 3       | the running calls end and the forwarded ones   |
      | 5     | 3       | the running calls end and the deadlines pass   |

  Scenario: A stop without calls is answered at once
    Given the admission actor of a node with 0 calls in hand
    When a stop is requested
    Then the stop is answered

  Scenario Outline: A waiting call is decided later
    Given the admission actor of a node with 3 calls in hand
    When <event>
    Then the last call is decided as <decision>

    Examples:
      | event                 | decision                  |
      | the running calls end | Admitted                  |
      | the deadlines pass    | DEADLINE_EXCEEDED not-run |
      | the caller gives up   | CALL_CANCELLED not-run    |

  Scenario: Timer messages do not pile up while calls wait
    Given the admission actor of a node with 2 calls in hand
    When for 20 s a long and a short call come every half second
    Then at most 8 timer messages are under way
