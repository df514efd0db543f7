Feature: Bodies in a budget of memory

  Guards against a node that holds more bodies than its memory limit allows,
  so that the platform ends it with all requests that it serves, and against
  large bodies that delay small requests.

  Scenario Outline: A claim is granted, waits or is denied
    Given the budget of a node with 300 MB that holds <held>
    When <claimed> is claimed for a <use>
    Then the claim is <decision>

    Examples:
      | held                              | claimed     | use    | decision     |
      | nothing                           | 64 MB       | caller | granted      |
      | nothing                           | 67.108864 MB | caller | granted     |
      | nothing                           | 80 MB       | caller | denied forever |
      | 64 MB for a caller                | 64 MB       | caller | waiting      |
      | 64 MB for a caller                | 8 MB        | caller | granted      |
      | 64 MB for a caller, 8 MB waiting behind 64 MB | 1 MB | caller | waiting |
      | 64 MB for a caller, 64 MB for a link | 0.0002 MB | caller | granted     |
      | 64 MB for a caller                | 64 MB       | link   | granted      |
      | 64 MB for a link                  | 64 MB       | link   | denied       |

  Scenario: Claims are granted in order of arrival
    Given the budget of a node with 300 MB that holds 64 MB for a caller
    When callers claim 40 MB, 20 MB, 30 MB and 1 MB and the first is released
    Then those of 40 MB and 20 MB are granted, and the others wait

  Scenario Outline: A body of unknown length grows its claim without a wait
    Given the budget of a node with 300 MB that holds <held>
    When a claim of 0.05 MB grows to <size>
    Then the claim has <outcome>

    Examples:
      | held               | size   | outcome |
      | nothing            | 1 MB   | grown   |
      | nothing            | 72 MB  | grown   |
      | nothing            | 73 MB  | stayed  |
      | 64 MB for a caller | 9 MB   | stayed  |

  Scenario: Random claims keep to the budget and none waits forever
    When 300 random sequences of claims and releases are played
    Then the budget was never exceeded and every claim was granted in the end
