Feature: Distribution between nodes

  Guards against a node that returns to an older version, applies a version
  in part, or never gets the newest one, when messages are lost, late,
  doubled or out of order, nodes crash and sources are stale.

  Scenario: Random runs of several nodes
    When 150 random runs of 5 nodes are made
    Then no run breaks an invariant and all nodes converge

  Scenario Outline: What is sent to a peer
    Given a node with 12 versions of the table, one after the other
    When a peer shows table version <shown> and the next version is accepted
    Then the node sends <sent>
    And nothing when the same peer shows the newest version first

    Examples:
      | shown | sent         |
      | 12    | SendDelta    |
      | 11    | SendDelta    |
      | 2     | SendVersions |
      | 0     | SendVersions |

  Scenario Outline: What answers a fetch
    Given a node with 12 versions of the table, one after the other
    When a peer with table version <have> fetches it
    Then the node sends <sent>

    Examples:
      | have | sent         |
      | 12   | nothing      |
      | 11   | SendDelta    |
      | 4    | SendDelta    |
      | 3    | SendDocument |
      | 0    | SendDocument |

  Scenario: A version passes over several hops
    Given a chain and a ring of 6 linked nodes each
    When the first node of each accepts a version of every document
    Then every node holds it
    And no node was pushed a version that it had shown
    And keys arrive ahead of the other documents

  Scenario: A peer that was asked and does not answer
    Given a node whose peers a, b and c show a newer table
    When 2 s pass without an answer
    Then one of the other two is asked
    When that one goes down
    Then one that is still linked is asked

  Scenario Outline: A peer that keeps showing an older version
    Given a node with 12 versions of the table, one after the other
    When a linked peer shows table version 11 every <period> s for <total> s
    Then the peer is <lagging>

    Examples: a silent peer is not lagging
      | period | total | lagging     |
      | 5      | 10    | not lagging |
      | 5      | 25    | lagging     |
      | 20     | 60    | not lagging |
