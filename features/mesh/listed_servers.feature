Feature: Servers listed at the address of another one

  Guards against an entry of another writer that displaces the backend server
  at its address, so that its host serves nothing.

  Scenario Outline: What a host runs is used, whatever else is listed there
    Given host 10.0.0.1 lists these servers and runs <running>
      | id  | service | port | created |
      | i-1 | ledger  | 8080 | 1000    |
      | i-2 | <other> | <port> | <born> |
    Then <used> is used there

    Examples:
      | running | other  | port | born | used     |
      | unknown | depot  | 8080 | 2000 | i-1      |
      | unknown | depot  | 8080 | 1000 | i-1      |
      | unknown | ledger | 8080 | 2000 | i-2      |
      | unknown | ledger | 8080 | 500  | i-1      |
      | i-1     | ledger | 8080 | 2000 | i-1      |
      | i-1     | ledger | 8081 | 2000 | i-1      |
      | i-2     | ledger | 8080 | 500  | i-2      |
      | i-3     | ledger | 8080 | 2000 | i-2      |
      | i-3     | ledger | 8081 | 2000 | i-1, i-2 |

  Scenario Outline: Other entries at the servers' addresses hide no server
    Given a deployment of 2 hosts
    When <count> entries of service <service> at port <port>, created <age> s ago, are added for each host
    And 20 requests are sent one after the other
    Then each request gets its own complete response

    Examples:
      | count | service | port  | age     |
      | 1     | depot   | same  | 0       |
      | 1     | depot   | same  | -100000 |
      | 1     | ledger  | same  | 0       |
      | 1     | ledger  | same  | -100000 |
      | 1     | ledger  | other | -100000 |
      | 1     | ledger  | same  | never   |
      | 200   | ledger  | same  | -100000 |

  Scenario: A successor is found although the old entry remains
    Given a deployment of 2 hosts
    When the server of each host is replaced, and the old entries remain
    And 20 requests are sent one after the other
    Then each request gets its own complete response
