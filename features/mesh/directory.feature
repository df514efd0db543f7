Feature: The node's replica of the published entries

  Guards against a node that reverts to an older version, uses an invalid
  entry, or drops servers whose entries merely expired in a source outage.

  Scenario Outline: Only newer revisions and versions are applied
    Given a directory with table version 5 at revision 50
    When table version <version> arrives at revision <revision>
    Then the table in force has version <wanted>

    Examples:
      | version | revision | wanted |
      | 6       | 51       | 6      |
      | 4       | 51       | 5      |
      | 5       | 52       | 5      |
      | 6       | 49       | 5      |

  Scenario Outline: Effect of a removed entry
    Given a directory with server i-1 in state <state>
    When the source recovered <ago> s ago and the entry is removed
    Then the server is <then> now and <later> after 2 s

    Examples:
      | state    | ago | then  | later |
      | ready    | 9.0 | gone  | gone  |
      | ready    | 0.1 | there | gone  |
      | draining | 0.1 | gone  | gone  |

  Scenario Outline: Only an outage in which entries can expire delays removals
    Given heartbeats every <heartbeat> s, and a source silent for <silent> s
    Then removals are delayed after its return: <delayed>

    Examples:
      | heartbeat | silent | delayed |
      | 1.5       | 0.3    | no      |
      | 1.5       | 1.5    | no      |
      | 1.5       | 3.0    | yes     |
      | 1.5       | 20.0   | yes     |
      | 0.5       | 0.3    | no      |
      | 0.5       | 1.0    | yes     |
      | 4.0       | 3.0    | no      |
      | 4.0       | 8.0    | yes     |

  Scenario: A server whose entry reappears in the grace period stays
    Given a directory with server i-1 in state ready
    When the source recovered 0.1 s ago and the entry is removed
    And the entry reappears
    Then the server is there now and there after 2 s

  Scenario Outline: The latest incarnation at an address wins
    Given a directory with server i-1 created at 1000
    When server i-2 at the same address in state <state> is created at <born>
    Then only <there> is in the fleet

    Examples:
      | state    | born | there |
      | ready    | 2000 | i-2   |
      | draining | 2000 | i-2   |
      | ready    | 500  | i-1   |

  Scenario: A listing removes missing entries
    Given a directory with server i-1 in state ready
    When a listing at revision 20 without the entry arrives
    Then the server is gone now and gone after 2 s

  Scenario: A listing older than an entry does not remove it
    Given a directory with server i-1 in state ready
    When a listing at revision 5 without the entry arrives
    Then the server is there now and there after 2 s

  Scenario Outline: A peer with the same entries shows that none is missing
    Given a directory with table version 5 at revision 50
    When a peer with <entries> is complete up to revision <peer>
    Then the directory is complete up to revision <wanted>

    Examples:
      | entries      | peer | wanted |
      | the same     | 60   | 60     |
      | the same     | 40   | 40     |
      | others       | 60   | 0      |

  Scenario Outline: Servers that receive new calls
    Given a fleet with these servers
      | id  | service | data centre | state    |
      | i-1 | ledger  | belt-a      | ready    |
      | i-2 | ledger  | belt-b      | draining |
      | i-3 | ledger  | dryer       | ready    |
      | i-4 | silo    | belt-a      | ready    |
    When data centre <out> is out of service
    Then <usable> receive calls to ledger

    Examples:
      | out    | usable   |
      | none   | i-1, i-3 |
      | belt-a | i-3      |
      | dryer  | i-1      |
