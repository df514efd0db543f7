Feature: Versions reach every node

  Guards against nodes that stay behind after faults, nodes that serve with
  unconfirmed versions, and links that are dialled from both sides.

  Background:
    Given 24 simulated nodes in 2 data centres that all have become ready

  Scenario: Each pair has one link
    Then every planned pair has exactly one link
    And no pair was dialled more than once

  Scenario Outline: A version is published after a fault
    When <fault>
    And table version 2 is published
    Then every running node that can be reached has it within <limit> s
    And the running node <watcher> watches the source without an error

    Examples:
      | fault                           | limit | watcher |
      | no node fails                   | 2     | dc-0/0  |
      | the watchers of dc-0 are killed | 14    | dc-0/3  |
      | all nodes of dc-1 are killed    | 2     | dc-0/0  |
      | the watchers of dc-0 are paused | 14    | dc-1/0  |
      | the data centre dc-1 is cut off | 14    | dc-0/0  |

  Scenario: The source is down for long
    When the source is down for 300 s
    Then every node is ready with table version 1
    And every node has recorded versions-unconfirmed
    When the source comes back with table version 2
    Then every running node that can be reached has it within 14 s

  Scenario: A data centre is cut off and returns
    When the data centre dc-1 is cut off
    And table version 2 is published
    And 60 s pass
    And the data centre dc-1 returns
    Then every running node that can be reached has it within 14 s
    And every planned pair has exactly one link

  Scenario Outline: A paused node
    When the node dc-0/5 is paused for <pause> s
    And it handles its first message
    Then it is <at once>
    And it is ready within <limit> s

    Examples:
      | pause | at once   | limit |
      | 1     | ready     | 1     |
      | 10    | not ready | 1     |
      | 40    | not ready | 5     |

  Scenario: A paused node that nobody answers stays not ready
    When the node dc-0/5 is paused for 10 s, and all others are killed and the source is down
    And 60 s pass
    Then it is not ready
