Feature: Quotas while hosts are cut off

  Guards against a rate that is granted twice: by hosts that are cut off, and
  by the others once the entries of those hosts have expired.

  Scenario Outline: The parts of a cut fleet stay within the bound together
    Given 10 linked nodes and a team with rate 200 and burst 200
    When <cut> of them are cut off <how>, entries expire <where> after <expire> s, and each node gets 160 calls a second
    Then the tokens of any 5 s stay within the platform's bound

    Examples:
      | cut | how       | where             | expire |
      | 4   | one by one | at the others    | 4.5    |
      | 4   | together  | at the others     | 4.5    |
      | 1   | together  | at the others     | 4.5    |
      | 5   | together  | on both sides     | 4.5    |
      | 6   | one by one | at the others    | 4.5    |
      | 6   | together  | at the others     | 4.5    |
      | 6   | together  | at the cut ones   | 4.5    |
      | 9   | one by one | at the others    | 3.0    |

  Scenario Outline: Cuts that are drawn from a seed
    Given 10 linked nodes and a team with rate 200 and burst 200
    When cuts, expired entries and returns are drawn from seed <seed>
    Then the tokens of any 5 s stay within the platform's bound

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: Nodes that restart during a cut do not grant a rate twice
    Given 10 linked nodes and a team with rate 200 and burst 200
    When 4 of them are cut off, their entries expire, and the others restart
    Then the tokens of any 5 s stay within the platform's bound

  Scenario Outline: Nodes that restart in turn learn of removed hosts
    Given 10 linked nodes and a team with rate 200 and burst 200
    When <cut> of them are cut off, their entries expire, and the others restart one by one every <interval> s
    Then the tokens of any 5 s stay within the platform's bound

    Examples:
      | cut | interval |
      | 4   | 0.3      |
      | 4   | 2.0      |
      | 6   | 1.0      |
      | 8   | 1.0      |

  Scenario Outline: Restarted nodes that know nothing do not hide removed hosts
    Given <hosts> linked nodes and a team with rate 200 and burst 200
    When <cut> of them are cut off, their entries expire, and the others restart one by one, the arbiters last, in an order of seed <seed>
    Then the tokens of any 5 s stay within the platform's bound

    Examples:
      | hosts | cut | seed |
      | 30    | 12  | 0    |
      | 60    | 24  | 0    |
      | 60    | 24  | 1    |

  Scenario Outline: Calls within the rate are not refused after hosts are lost
    Given 10 linked nodes and a team with rate 200 and burst 200
    When <cut> of them are lost, their entries expire after 4.5 s, and the others get <calls> calls a second
    Then under 1 in 100 of the calls are refused

    Examples:
      | cut | calls |
      | 1   | 180   |
      | 4   | 130   |
      | 5   | 110   |

  Scenario Outline: Which hosts count for the shares
    Given a census of 10 hosts, one of them <state>
    When its entry is removed
    Then <now> hosts count now and <later> after 60 s

    Examples:
      | state    | now | later |
      | ready    | 10  | 9     |
      | draining | 9   | 9     |

  Scenario Outline: What a new node learns of a removed host
    Given a census of 10 hosts, one of them <state>
    When its entry is removed
    And a new census lists <listed> hosts and hears of it after <age> s
    Then it counts <now> hosts now and <later> after <wait> s

    Examples:
      | state    | listed    | age | now | later | wait |
      | ready    | the other | 5   | 10  | 9     | 55   |
      | ready    | the other | 5   | 10  | 10    | 54   |
      | ready    | all       | 5   | 10  | 10    | 55   |
      | ready    | the other | 60  | 9   | 9     | 1    |
      | draining | the other | 5   | 9   | 9     | 55   |

  Scenario Outline: Hosts that may have left unseen are not reported to others
    Given a census of 10 hosts that <contact>
    When its entry is removed
    Then it counts 10 hosts and tells others of <told> that was removed

    Examples: Guards against hosts that left by plan while a node was cut off
      | contact                         | told |
      | the source confirms             | 1    |
      | lost the source                 | 0    |
      | has just found the source again | 0    |
      | found the source again 3 s ago  | 1    |

  Scenario Outline: What others report of a host
    Given a census of 10 hosts, one of them <state>
    When its entry is removed
    And others report that host after <ages> s
    Then <now> hosts count now and <later> after 60 s

    Examples:
      | state    | ages       | now | later |
      | draining | 0          | 9   | 9     |
      | draining | 30, 0      | 9   | 9     |
      | ready    | 0, 0       | 10  | 9     |
      | ready    | -30        | 10  | 9     |
      | ready    | 100        | 10  | 9     |

  Scenario Outline: A part without the source stops when others stop counting it
    Given an arbiter of 10 hosts that grants for <covered> of them
    When the source confirmed its entries <age> s ago
    Then the arbiter <grants>

    Examples:
      | covered | age  | grants         |
      | 4       | 59.0 | grants         |
      | 4       | 61.0 | grants nothing |
      | 5       | 61.0 | grants nothing |
      | 6       | 61.0 | grants         |
