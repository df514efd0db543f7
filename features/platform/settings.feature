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

    Examples: Values out of range
      | change                     | message                                     |
      | limits that are no table   | limits: 3 is not a table                    |
      | inner ports of text        | innerPorts: ['a', 'b'] is not a range       |
      | inner ports of flags       | innerPorts: [True, 9] is not a range        |
      | inner ports from 0         | innerPorts: [0, 9] is not a range           |
      | inner ports above 65535    | innerPorts: [65535, 65536] is not a range   |
      | a port of other digits     | is not IP:PORT                              |
      | a port with an exponent    | is not IP:PORT                              |
      | a port of 5000 digits      | is not IP:PORT                              |
      | port 0                     | listen.outbound: '10.1.0.5:0' is not IP:PORT |
      | a host with a NUL          | is not IP:PORT                              |
      | an ip with a space         | ip: '10.1. 0.5' is not an IP address        |
      | a zone of a number         | zones.belt-hall-a: 3 is not a str           |
      | zones that are no table    | zones: 3 is not a dict                      |
      | bounds that are no list    | bounds: 3 is not a list                     |
      | a grace of nan             | bounds: graceS=nan is not above 0           |
      | a grace of inf             | bounds: graceS=inf is not above 0           |
      | a grace of 0               | bounds: graceS=0 is not above 0             |
      | a grace below 0            | bounds: graceS=-1 is not above 0            |
      | a grace of 1e300           | bounds: graceS=1e300 is not above 0         |
      | a drain below 0            | bounds: drainMs=-1 is not from 0            |
      | a drain of 0               | nothing                                     |
      | a quota window of 0        | bounds: quotaWindowS=0 is not above 0       |
      | a retry ratio of nan       | bounds: retryBudgetRatio=nan is not from 0  |
      | a retry slack of 0         | nothing                                     |
      | a heartbeat of 0           | heartbeatMs: 0 is not above 0               |
      | a heartbeat of 400 digits  | is not above 0                              |
      | a link rate of 0           | nothing                                     |
      | a link rate of nan         | limits.linkMbps: nan is not from 0          |
      | an unknown bound of nan    | nothing                                     |
      | deeply nested lists        | recursion                                   |

  Scenario Outline: The command reports settings that it can't use, and waits
    When the node is started with <file>
    Then it writes one error line that contains <named>, and runs for 3.0 s

    Examples:
      | file         | named        |
      | no file      | No such file |
      | a bad bound  | graceS=soon  |

  Scenario: The command exits if no settings file is named
    When the node is started without a settings variable
    Then it exits with status 2 and one error line that contains JASMINECRANK_CONFIG
