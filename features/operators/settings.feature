Feature: Settings of a node

  Guards against a node that starts in part with an impossible setting, and
  against a traceback on an operator's screen.

  Scenario Outline: An impossible setting ends the start
    Given a port that is in use
    When a node starts with <flag> set to <value>
    Then it ends with status 2
    And its error is one line with <flag>

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
