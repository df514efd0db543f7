Feature: Logging of the node under load

  Guards against refused or failed requests that are missing from the log,
  against state changes that are dropped, and against a log that grows
  without bound or blocks the node.

  Scenario Outline: Every refused request is logged
    Given a log limited to <lines> request lines per second
    When <refused> requests are refused within <seconds> s
    Then each request is logged with its outcome and reason
    And at most <most> lines have been written

    Examples:
      | lines | refused | seconds | most |
      | 400   | 100     | 1.0     | 100  |
      | 400   | 3000    | 1.0     | 950  |
      | 400   | 20000   | 4.0     | 2900 |

  Scenario Outline: Connections without a request do not fill the log
    Given a log limited to 400 request lines per second
    When <ended> connections are ended within <seconds> s for 2 reasons
    Then each of them is logged or counted with its reason
    And at most <most> lines have been written

    Examples:
      | ended | seconds | most |
      | 20    | 0.1     | 20   |
      | 3000  | 1.0     | 44   |
      | 20000 | 4.0     | 110  |

  Scenario: A state change is logged under load
    Given a log limited to 400 request lines per second
    When 3000 requests are refused within 1.0 s
    And a table takes effect
    Then the last log line reports the table

  Scenario Outline: Standard output is blocked or accepts partial writes
    Given a log whose output <output>
    When 5000 requests are refused within 4.0 s
    Then the log buffers at most 2000 lines and counts the dropped ones

    Examples:
      | output     |
      | is blocked |
      | takes half |
