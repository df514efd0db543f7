Feature: The operators' pages

  Guards against a command in a page that does not run as written.

  Scenario Outline: Commands of a page run
    When the console commands of docs/operators/<page> are run
    Then each of them ends with status <statuses>

    Examples:
      | page           | statuses |
      | first-day.md   | 0        |
      | table.md       | 0        |
      | data-centre.md | 0        |
      | audit.md       | 0 or 1   |
