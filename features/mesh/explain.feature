Feature: Explanation of a request on the platform

  Guards against a refused or failed request whose log lines do not give the
  reason, and against an outcome or reason that the command does not know.

  Scenario Outline: The reason of a failed request
    Given a deployment of 3 hosts
    When every server <event>
    And a caller sends <method> <target> with key <key>
    Then explain prints <outcome> and "<because>"

    Examples:
      | event                              | method | target  | key | outcome      | because                                         |
      | always will serve                  | GET    | /lots/1 | bad | key-unknown  | this version holds no such key; not run         |
      | always will serve                  | GET    | /gone/1 | k1  | no-route     | no route of this version matches                |
      | always will shed                   | POST   | /book/1 | k1  | overloaded   | no server would have run it in time             |
      | always will cut                    | POST   | /book/1 | k1  | may-have-run | the server ended its answer before it was whole |
      | always will garbled                | POST   | /book/1 | k1  | may-have-run | the server sent bytes that are no answer        |
      | always will hang                   | POST   | /book/1 | k1  | timed-out    | no answer in time; it may have run              |
      | is draining                        | GET    | /lots/1 | k1  | no-server    | excluded: 3 draining                            |
      | is in a data centre out of service | GET    | /lots/1 | k1  | no-server    | excluded: 3 data-centre-out                     |
      | is in a data centre out of service | GET    | /lots/1 | k1  | no-server    | data centres out of service: belt-a, belt-b     |
      | crashes                            | GET    | /lots/1 | k1  | overloaded   | the node beside the server could not connect to it |
      | crashes and misses a call          | GET    | /lots/1 | k1  | no-server    | excluded: 3 not-accepting                       |
      | crashes and misses a call          | GET    | /lots/1 | k1  | no-server    | usable servers of the service: 0                |

  Scenario Outline: A request shortly after a restore of the store
    Given a log in which host <restored> restored its entries <age> s before a refusal at host a
    Then explain <names> era 3 with 2 retained entries

    Examples:
      | restored | age  | names         |
      | a        | 1.2  | names         |
      | a        | 90.0 | does not name |
      | a        | -1.0 | does not name |
      | b        | 1.2  | does not name |

  Scenario: Every logged outcome and reason has an explanation
    Then the command explains every outcome and reason that a node logs

  Scenario Outline: Check of a settings file
    Given a settings file in which <what>
    When the settings file is checked
    Then the status is <status> and the output contains "<says>"

    Examples:
      | what                      | status | says                            |
      | everything is right       | 0      | ok: node                        |
      | ip is missing             | 2      | ip: None is not a str           |
      | appAddr is nonsense       | 2      | appAddr: 'nonsense' is not IP:PORT |
