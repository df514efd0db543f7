Feature: The node's copy of what the platform publishes

  Guards against a node that goes back to an older version, that uses an
  entry it can't read, or that drops servers which only lapsed in an outage.

  Scenario Outline: Only newer revisions and versions are taken
    Given a directory with table version 5 at revision 50
    When table version <version> arrives at revision <revision>
    Then the table in force has version <wanted>

    Examples:
      | version | revision | wanted |
      | 6       | 51       | 6      |
      | 4       | 51       | 5      |
      | 5       | 52       | 5      |
      | 6       | 49       | 5      |

  Scenario Outline: What a removal means
    Given a directory with server i-1 in state <state>
    When the source has returned <ago> s ago and the entry is removed
    Then the server is <then> now and <later> after 2 s

    Examples:
      | state    | ago | then  | later |
      | ready    | 9.0 | gone  | gone  |
      | ready    | 0.1 | there | gone  |
      | draining | 0.1 | gone  | gone  |

  Scenario: A lapsed server that comes back stays
    Given a directory with server i-1 in state ready
    When the source has returned 0.1 s ago and the entry is removed
    And the entry comes back
    Then the server is there now and there after 2 s

  Scenario Outline: Two entries for one address
    Given a directory with server i-1 born at 1000
    When server i-2 of the same address and state <state> says it was born at <born>
    Then only <there> is in the fleet

    Examples:
      | state    | born | there |
      | ready    | 2000 | i-2   |
      | draining | 2000 | i-2   |
      | ready    | 500  | i-1   |

  Scenario: A listing shows what is gone
    Given a directory with server i-1 in state ready
    When a listing from revision 20 arrives without it
    Then the server is gone now and gone after 2 s

  Scenario: A listing that is older than an entry removes nothing
    Given a directory with server i-1 in state ready
    When a listing from revision 5 arrives without it
    Then the server is there now and there after 2 s

  Scenario Outline: Servers that get new work
    Given a fleet with the servers
      | id  | service | data centre | state    |
      | i-1 | ledger  | belt-a      | ready    |
      | i-2 | ledger  | belt-b      | draining |
      | i-3 | ledger  | dryer       | ready    |
      | i-4 | silo    | belt-a      | ready    |
    When data centre <out> is out of service
    Then <usable> get work of ledger

    Examples:
      | out    | usable   |
      | none   | i-1, i-3 |
      | belt-a | i-3      |
      | dryer  | i-1      |
