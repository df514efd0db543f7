Feature: Settings file of the platform

  Guards against a node that starts with an invalid setting, and against one
  that exits because its settings file became invalid while it was running.

  Scenario Outline: Settings are validated at the start
    When a node reads settings with <change>
    Then it reports <message>

    Examples:
      | change               | message                                  |
      | nothing changed      | nothing                                  |
      | an unknown field     | nothing                                  |
      | no bounds            | nothing                                  |
      | ip left out          | ip: None is not a str                    |
      | service empty        | service: must not be empty               |
      | appAddr without port | appAddr: '10.1.0.5' is not IP:PORT       |
      | one inner port       | innerPorts: [7660] is not a range        |
      | a bound that is text | bounds: graceS=soon is not a number      |
      | a link rate          | nothing                                  |
      | a heartbeat of text  | heartbeatMs: 'often' is not a number     |
      | a link rate of text  | limits.linkMbps: 'fast' is not a number  |
      | a memory limit       | nothing                                  |
      | a memory limit of text | limits.memoryMb: 'much' is not a number |
      | broken TOML          | Expected                                 |

  Scenario Outline: The command exits with a documented status
    When the node is started with <file>
    Then it exits with status 2 and one error line that contains <named>

    Examples:
      | file         | named        |
      | no file      | No such file |
      | a bad bound  | graceS=soon  |
