Feature: Odd entries among those of the backend servers

  Guards against an entry of another writer that stops a node, hides the
  entries next to it, or displaces a good server.

  Scenario Outline: An entry out of its declared range is left out
    When the store holds a server entry whose <field> is <value>
    Then the entry is unreadable

    Examples:
      | field      | value                      |
      | born       | 400 digits                 |
      | born       | 5000 digits                |
      | born       | -1                         |
      | born       | 1.5                        |
      | born       | 4102444800001              |
      | born       | true                       |
      | coldLeftMs | 400 digits                 |
      | coldLeftMs | 1e999                      |
      | coldLeftMs | 86400001                   |
      | slots      | 9223372036854775808        |
      | slots      | 0                          |
      | slots      | 1.5                        |
      | slots      | a list 50000 deep          |
      | address    | "10.0.0.1:0"               |
      | address    | "10.0.0.1:-1"              |
      | address    | "10.0.0.1:65536"           |
      | address    | "10.0.0.1:99999"           |
      | address    | "10.0.0.1:1_0"             |
      | address    | "10.0.0.1: 80"             |
      | address    | "10.0.0.1:80\n"            |
      | address    | "10.0.0.1:+80"             |
      | address    | "10.0.0.1:٨٠"              |
      | address    | "10.0.0.1:111111111111111111111111111111" |
      | address    | ":80"                      |
      | address    | "10.0.0.1\u0000:80"        |
      | address    | "a..b:80"                  |
      | address    | "-a:80"                    |
      | address    | a host of 300 characters   |
      | service    | "\ud800"                   |
      | service    | ""                         |
      | service    | "a\r\nTenant: b"           |
      | service    | a list 50000 deep          |
      | state      | []                         |
      | zone       | 7                          |
      | more       | a list 50000 deep          |
      | more       | 20000 characters           |

  Scenario Outline: An entry in its declared range is a server
    When the store holds a server entry whose <field> is <value>
    Then the entry is a server

    Examples:
      | field      | value                    |
      | born       | 0                        |
      | born       | 4102444800000            |
      | coldLeftMs | -5                       |
      | coldLeftMs | 2999.5                   |
      | slots      | 1                        |
      | address    | "10.0.0.1:1"             |
      | address    | "10.0.0.1:65535"         |
      | address    | "host-1.belt_a.example:80" |
      | more       | 400 digits               |
      | more       | null                     |

  Scenario Outline: A server id that can't be sent in a header is left out
    When the store holds a server entry under <key>
    Then the entry is unreadable

    Examples:
      | key                       |
      | servers/                  |
      | servers/a b               |
      | servers/a\r\nTenant: b    |
      | servers/é                 |

  Scenario Outline: A table out of its declared range is not taken
    When the store holds a configuration whose <field> is <value>
    Then the entry is unreadable

    Examples:
      | field           | value               |
      | version         | 400 digits          |
      | version         | 9223372036854775808 |
      | timeoutMs       | 400 digits          |
      | timeoutMs       | 1e999               |
      | timeoutMs       | -1                  |
      | targetLatencyMs | 86400001            |
      | priority        | 400 digits          |
      | maxAttempts     | 1e999               |
      | weight          | -1                  |
      | weight          | 1e999               |
      | coldPerS        | 1e999               |
      | ratePerS        | 400 digits          |
      | apiKeys         | [7]                 |
      | host            | a list 50000 deep   |
      | healthPath      | "a b\r\n"           |
      | resources       | a list 50000 deep   |

  Scenario: No value of any kind stops the decoder or a directory
    Given a directory with 5 good servers and a table
    When entries with values of every kind are put between them
    Then no exception leaves the directory
    And the 5 good servers and the table are in the fleet

  Scenario Outline: An odd item of the store does not hide the others
    When a page of the store has an item whose <field> is <value>
    Then the page has the 2 good items, and the odd one <as>

    Examples:
      | field | value             | as               |
      | key   | 7                 | is rejected      |
      | key   | null              | is rejected      |
      | key   | 201 characters    | is rejected      |
      | rev   | 400 digits        | is rejected      |
      | rev   | "5"               | is rejected      |
      | rev   | -1                | is rejected      |
      | value | "%%"              | has an empty value |
      | value | 7                 | has an empty value |
      | value | null              | has an empty value |
      | lease | 400 digits        | has its value    |
      | lease | 5000 digits       | has its value    |
      | item  | 7                 | is rejected      |
      | item  | null              | is rejected      |

  Scenario Outline: A deployment follows the store beside an odd entry
    Given a deployment of 2 hosts
    When the store gets a server entry whose <field> is <value>
    And 4 requests are sent one after the other
    Then each request gets its own complete response
    And every node has logged the rejected entry, and no failure
    When the store is well and key k1 is withdrawn
    Then every host rejects k1 within 2.0 s

    Examples:
      | field      | value             |
      | born       | 400 digits        |
      | coldLeftMs | 400 digits        |
      | slots      | 1e999             |
      | address    | "127.0.1.1:99999" |
      | address    | "a..b:80"         |
      | service    | "\ud800"          |
      | more       | a list 50000 deep |
