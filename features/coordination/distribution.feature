Feature: Distribution of document versions to all nodes

  Guards against nodes that keep outdated versions after a fault, nodes that
  serve with unconfirmed versions after a pause, and links that both hosts of
  a pair dial.

  Background:
    Given 24 simulated nodes in 2 data centres that all have become ready

  Scenario: Each planned pair of hosts opens one link
    Then every planned pair has exactly one link
    And no pair was dialled more than once

  Scenario Outline: A version is published after a fault
    When <fault>
    And table version 2 is published
    Then every running, reachable node has the newest table within <limit> s
    And the running node <watcher> watches the source without an error

    Examples:
      | fault                           | limit | watcher |
      | no node fails                   | 2     | dc-0/0  |
      | the watchers of dc-0 are killed | 14    | dc-0/3  |
      | all nodes of dc-1 are killed    | 2     | dc-0/0  |
      | the watchers of dc-0 are paused | 14    | dc-1/0  |
      | the data centre dc-1 is cut off | 14    | dc-0/0  |

  Scenario: A long outage of the source
    When the source is down for 300 s
    Then every node is ready with table version 1
    And every node has recorded versions-unconfirmed
    When the source recovers with table version 2
    Then every running, reachable node has the newest table within 14 s

  Scenario: A data centre is cut off and reconnected
    When the data centre dc-1 is cut off
    And table version 2 is published
    And 60 s pass
    And the data centre dc-1 is reconnected
    Then every running, reachable node has the newest table within 14 s
    And every planned pair has exactly one link

  Scenario Outline: A node resumes after a pause
    When the node dc-0/5 is paused for <pause> s
    And it handles its first message
    Then it is <at once>
    And it is ready within <limit> s

    Examples:
      | pause | at once   | limit |
      | 1     | ready     | 1     |
      | 10    | not ready | 1     |
      | 40    | not ready | 5     |

  Scenario: A node that gets no answer after a pause stays not ready
    When the node dc-0/5 is paused for 10 s, and all others are killed and the source is down
    And 60 s pass
    Then it is not ready
