Feature: The node's log under load

  Guards against a refused or failed request that no line names, against a
  change of belief that is left out, and against a log that grows without
  bound or blocks the node.

  Scenario Outline: Every refused request is named
    Given a log that takes <lines> lines a second
    When <refused> requests are refused within <seconds> s
    Then each of them is in the log with its outcome and reason
    And at most <most> lines have been written

    Examples:
      | lines | refused | seconds | most |
      | 400   | 100     | 1.0     | 100  |
      | 400   | 3000    | 1.0     | 950  |
      | 400   | 20000   | 4.0     | 2900 |

  Scenario: A change of belief is written under load
    Given a log that takes 400 lines a second
    When 3000 requests are refused within 1.0 s
    And a table comes into force
    Then the log says so

  Scenario Outline: Standard output that does not take the lines
    Given a log whose output <output>
    When 5000 requests are refused within 4.0 s
    Then the log holds at most 2000 lines and says what it left out

    Examples:
      | output     |
      | is blocked |
      | takes half |
