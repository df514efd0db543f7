Feature: Route lookup in the table

  Guards against requests that are matched to the wrong route, and against
  inconsistent tables.

  Scenario Outline: The longest matching prefix of a host wins
    Given a table with these routes
      | route | host      | prefix   |
      | all   | a.example | /        |
      | lots  | a.example | /lots/   |
      | old   | a.example | /lots/o/ |
      | other | b.example | /lots/   |
    When a request for <host> and <path> arrives
    Then it matches route <route>

    Examples:
      | host      | path       | route |
      | a.example | /lots/1    | lots  |
      | a.example | /lots/o/1  | old   |
      | a.example | /lots/o    | lots  |
      | a.example | /lots      | all   |
      | a.example | /          | all   |
      | b.example | /lots/1    | other |
      | b.example | /lots      | none  |
      | c.example | /lots/1    | none  |

  Scenario Outline: An inconsistent table is rejected as a whole
    When a table with <fault> is built
    Then it is rejected because of <reason>

    Examples:
      | fault              | reason      |
      | an unknown service | is not in   |
      | a shared key       | shares a key |
