Feature: Document distribution between nodes

  Guards against a node that reverts to an older version, applies a version
  in part, or never receives the newest one. Messages are lost, delayed,
  duplicated or reordered, nodes crash, and sources are stale.

  Scenario: Random simulations of several nodes
    When 150 random simulations of 5 nodes are run
    Then no run breaks an invariant and all nodes converge

  Scenario Outline: Sending an accepted version to a peer
    Given a node that has accepted 12 table versions in order
    When a peer reports table version <shown> and the next version is accepted
    Then the node sends <sent>
    And nothing if the peer reports the newest version before it is accepted

    Examples:
      | shown | sent         |
      | 12    | SendDelta    |
      | 11    | SendDelta    |
      | 2     | SendVersions |
      | 0     | SendVersions |

  Scenario Outline: Replying to a fetch
    Given a node that has accepted 12 table versions in order
    When a peer with table version <have> fetches the table
    Then the node sends <sent>

    Examples:
      | have | sent         |
      | 12   | nothing      |
      | 11   | SendDelta    |
      | 4    | SendDelta    |
      | 3    | SendDocument |
      | 0    | SendDocument |

  Scenario: A version propagates over several hops
    Given a chain and a ring of 6 linked nodes each
    When the first node of each accepts a version of every document
    Then every node has it
    And no node pushed a version twice on a link
    And keys are fetched before the other documents

  Scenario: A peer does not reply to a fetch
    Given a node whose peers a, b and c report a newer table
    When 2 s pass without a reply
    Then the fetch is sent to another peer
    When that peer goes down
    Then the fetch is sent to a peer that is still linked

  Scenario Outline: A peer keeps reporting an older version
    Given a node that has accepted 12 table versions in order
    When a linked peer reports table version 11 every <period> s for <total> s
    Then the peer is <lagging>

    Examples: a silent peer is not lagging
      | period | total | lagging     |
      | 5      | 10    | not lagging |
      | 5      | 25    | lagging     |
      | 20     | 60    | not lagging |
