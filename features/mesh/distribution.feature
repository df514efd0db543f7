Feature: Distribution of a new table across the fleet

  Guards against a table that takes effect late because the nodes that read
  the source were lost.

  Scenario Outline: Changes take effect in time after all readers are lost
    Given 40 nodes with links of 5 Mbit/s and <delay> ms, and <rows> rows
    And <fast> of them have links of 100 Mbit/s
    When all readers <fault> after <before> changes and before <after> others
    Then each change was in force on every running node within 2.5 s

    Examples: small table
      | delay | rows | fast | before | after | fault           |
      | 2     | 100  | 0    | 1      | 10    | lose power      |
      | 2     | 100  | 0    | 1      | 10    | lose the source |
      | 60    | 100  | 0    | 1      | 10    | lose the source |

    Examples: large table
      | delay | rows | fast | before | after | fault           |
      | 2     | 1000 | 0    | 10     | 10    | lose power      |
      | 2     | 1000 | 0    | 10     | 10    | lose the source |
      | 60    | 1000 | 0    | 10     | 10    | lose the source |

    Examples: table that takes a second to read on most links
      | delay | rows | fast | before | after | fault           |
      | 2     | 2000 | 4    | 3      | 1     | lose power      |
      | 60    | 2000 | 4    | 3      | 1     | lose the source |

  Scenario: A node that takes over reading the source reads no change twice
    Given 40 nodes with links of 5 Mbit/s and 2 ms, and 1000 rows
    When all readers lose power after 10 changes and before 0 others
    Then no node has read from the source since

  Scenario Outline: No node believes that a source lost by all is reachable
    Given 40 nodes with links of 5 Mbit/s and <delay> ms, and 100 rows
    When all nodes lose the source for 8 s
    Then each of them knows it for at least 7 s

    Examples:
      | delay |
      | 2     |
      | 60    |
      | 200   |

  Scenario: A source that returns after many changes is read once
    Given 40 nodes with links of 5 Mbit/s and 2 ms, and 1000 rows
    When no node reaches the source during 8 changes
    Then the last change is in force everywhere 2.5 s after it returns
    And no node has read more than 1.5 times all entries since

  Scenario Outline: No node has to request a change that one reader reads first
    Given <hosts> nodes with links of 5 Mbit/s and <delay> ms, and <rows> rows
    And one of the readers has a link of 100 Mbit/s
    When the table changes 12 times, every <interval> s
    Then the last 12 were in force on every node within <limit> s

    Examples:
      | hosts | delay | rows | interval | limit |
      | 40    | 2     | 1000 | 0.87     | 0.3   |
      | 91    | 2     | 1000 | 0.87     | 0.3   |
      | 91    | 60    | 1000 | 0.87     | 0.42  |
      | 91    | 2     | 1000 | 0.2      | 0.3   |
      | 91    | 2     | 100  | 0.13     | 0.3   |

  Scenario Outline: A table takes effect in time while servers are replaced
    Given <hosts> nodes with links of 5 Mbit/s and 2 ms, and 1000 rows
    When the table and <entries> servers change 5 times
    Then each change was in force on every running node within 0.75 s

    Examples:
      | hosts | entries |
      | 40    | 20      |
      | 91    | 40      |

  Scenario Outline: Few nodes take over from readers that receive a large table
    Given 91 nodes with links of 5 Mbit/s and 2 ms, and <rows> rows
    When the table and 40 servers change 10 times
    Then at most 2 other nodes have taken over reading the source

    Examples:
      | rows |
      | 1000 |
      | 2000 |

  Scenario Outline: A table that changes as a whole delays no other message
    Given <hosts> nodes with links of 5 Mbit/s and <delay> ms, and <rows> rows
    And <fast> of them have links of 100 Mbit/s
    When <changed> rows of the table change at once
    Then each change was in force on every running node within 2.5 s
    And no message has waited more than 0.5 s for its sender's link

    Examples:
      | hosts | delay | rows | fast | changed |
      | 10    | 2     | 1000 | 0    | 900     |
      | 40    | 2     | 1000 | 0    | 900     |
      | 40    | 60    | 1000 | 0    | 900     |
      | 91    | 2     | 1000 | 0    | 900     |
      | 91    | 2     | 1000 | 8    | 900     |
      | 91    | 2     | 1000 | 0    | 300     |
      | 91    | 2     | 2000 | 0    | 1400    |
      | 91    | 2     | 2000 | 8    | 1400    |

  Scenario Outline: A node that lacks processor time says so
    Given 1 nodes with links of 5 Mbit/s and 2 ms, and 10 rows
    When its event loop is blocked for <blocked> s
    Then it has logged <events>

    Examples:
      | blocked | events             |
      | 0.1     | nothing            |
      | 0.5     | late-tick          |
      | 1.5     | late-tick, woke-up |
