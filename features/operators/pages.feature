Feature: Commands in the operators' pages

  Guards against a documented command that does not run as written.

  Scenario Outline: The commands of a page succeed
    When the console commands of docs/operators/<page> are run
    Then each of them exits with status <statuses>

    Examples:
      | page           | statuses |
      | first-day.md   | 0        |
      | table.md       | 0        |
      | data-centre.md | 0        |
      | audit.md       | 0 or 1   |
