Feature: Odd values in what the node with the own interface reads

  Guards against a value in a published document, a health report or a
  message of a peer that ends an actor, and with it the process.

  Scenario Outline: A value out of its range is refused with a reason
    When the <reader> reads <text>
    Then it reports that it can't use it

    Examples:
      | reader    | text                                               |
      | document  | {"number":1,"digest":"a","rows":@50000 deep@}      |
      | document  | {"number":@400 digits@,"digest":"a","rows":{}}     |
      | document  | {"number":@5000 digits@,"digest":"a","rows":{}}    |
      | document  | {"number":1e999,"digest":"a","rows":{}}            |
      | document  | {"number":0,"digest":"a","rows":{}}                |
      | document  | {"number":true,"digest":"a","rows":{}}             |
      | document  | {"number":1,"digest":"a","rows":{"k":"\ud800"}}    |
      | document  | {"number":1,"digest":"a","rows":{"\ud800":"k"}}    |
      | document  | {"number":1,"digest":7,"rows":{}}                  |
      | document  | [1]                                                |
      | document  | 7                                                  |
      | watch     | {"changed":@50000 deep@}                           |
      | watch     | {"changed":["other"]}                              |
      | watch     | {"changed":7}                                      |
      | watch     | [[1]]                                              |
      | health    | {"started_at_ms":1e999}                            |
      | health    | {"started_at_ms":@400 digits@}                     |
      | health    | {"started_at_ms":1,"load":@400 digits@}            |
      | health    | {"started_at_ms":1,"load":NaN}                     |
      | health    | {"started_at_ms":1,"load":-1}                      |
      | health    | @50000 deep@                                       |
      | host row  | "call_port":0                                      |
      | host row  | "call_port":65536                                  |
      | host row  | "peer_port":@400 digits@                           |
      | host row  | "admin_port":1e999                                 |
      | host row  | "server_port":@50000 deep@                         |
      | host row  | "share_slot":@400 digits@                          |
      | host row  | "address":"a..b"                                   |
      | host row  | "address":"10.0.0.1\u0000"                         |
      | host row  | "address":@a host of 300 characters@               |
      | limit row | "rate":@400 digits@                                |
      | limit row | "rate":NaN                                         |
      | limit row | "burst":9223372036854775808                        |
      | limit row | "weight":1e999                                     |
      | message   | a heartbeat of 400 digits                          |
      | message   | a list 50000 deep                                  |
      | message   | a message type that is a list                      |
      | message   | a map instead of a list                            |

  Scenario Outline: A health report in its range is believed
    When the health reads <text>
    Then the server was started at <started> and has a load of <load>

    Examples:
      | text                                          | started | load |
      | {"started_at_ms":1785414082129}               | 1785414082129 | 0 |
      | {"started_at_ms":1,"load":0.5,"draining":true,"more":[1]} | 1 | 0.5 |
