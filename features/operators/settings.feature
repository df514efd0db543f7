Feature: Settings of a node

  Guards against a node that starts partially with an invalid setting, and
  against a traceback in place of an error message.

  Scenario Outline: A node does not start with an invalid setting
    Given a port that is in use
    When a node starts with <flag> set to <value>
    Then it exits with status 2
    And the first line of its error output contains <flag>

    Examples:
      | flag             | value            |
      | --host           | Silo 1           |
      | --data-centre    | -                |
      | --address        | localhost        |
      | --address        | 192.0.2.1        |
      | --source-url     | ftp://127.0.0.1  |
      | --server-port    | 0                |
      | --call-port      | 70000            |
      | --call-port      | IN_USE           |
      | --peer-port      | IN_USE           |
      | --admin-port     | IN_USE           |
      | --seed-peer      | 127.0.0.1        |
      | --threads        | 1                |
      | --fleet-hosts    | 0                |
      | --quota-policy   | none             |
      | --unknown        | 1                |
