Feature: Exchange of source entries between nodes

  Guards against a node that misses an entry other nodes have, and against
  control traffic that grows with the square of the fleet's size.

  Scenario Outline: A change reaches every node
    Given <hosts> nodes with a table of <rows> rows
    When all <readers> readers read a change of <changed> rows<fault>
    Then every node has it within <within> s
    And each node has received at most <bytes> bytes for it

    Examples:
      | hosts | rows | changed | readers | fault                                    | within | bytes  |
      | 10    | 300  | 1       | 3       |                                          | 0.1    | 2000   |
      | 91    | 1000 | 1       | 3       |                                          | 0.1    | 2000   |
      | 91    | 1000 | 400     | 3       |                                          | 1.0    | 70000  |
      | 10    | 300  | 1       | 3       | , not delivered to a third of the nodes  | 1.5    | 2500   |
      | 91    | 1000 | 1       | 3       | , not delivered to a third of the nodes  | 1.5    | 12000  |
      | 10    | 300  | 1       | 3       | , after a change that was not delivered to a third of the nodes | 1.5 | 4000 |

  Scenario Outline: An entry that only some nodes have received
    Given <hosts> nodes with a table of 10 rows
    When the readers read <what>, not delivered to a third of the nodes
    Then every node has applied it within 1.5 s

    Examples:
      | hosts | what                |
      | 10    | a new server        |
      | 10    | a server's removal  |
      | 40    | a new server        |
      | 40    | a server's removal  |

  Scenario: A node that starts while the source is unavailable
    Given 10 nodes with a table of 300 rows
    When a node restarts and can reach only its peers
    Then every node has it within 0.5 s

  Scenario: Nodes with equal entries send none
    Given 91 nodes with a table of 1000 rows
    When nothing changes for 5 s
    Then no listing and no entry has been sent

  Scenario Outline: A patch yields the new value or nothing
    Given a value of <rows> records
    When records <changed> change and a node applies the patch to <base>
    Then the result is <result>

    Examples:
      | rows | changed | base      | result         |
      | 20   | 0       | the same  | the new value  |
      | 300  | 7       | the same  | the new value  |
      | 300  | none    | the same  | the new value  |
      | 300  | 0, 299  | the same  | the new value  |
      | 300  | 7       | another   | nothing        |

  Scenario Outline: A message with entries arrives as it was sent
    Given a message with <entries> entries of <bytes> bytes
    When it is encoded and decoded
    Then it is the same and takes at most <frame> bytes

    Examples:
      | entries | bytes  | frame |
      | 0       | 0      | 20    |
      | 1       | 10     | 50    |
      | 40      | 200    | 1500  |
      | 1       | 300000 | 2000  |

  Scenario: A link that has ended takes no more messages
    Given a link whose transport has closed
    When a message is sent on it
    Then nothing is written
