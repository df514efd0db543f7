Feature: Nodes of two versions of the protocol in one fleet

  Guards against entries that stay out of force, and against listings that are
  requested again and again, while nodes are replaced one by one.

  Scenario Outline: Nodes that know eras beside nodes that do not
    Given <hosts> nodes, <old> of the previous version
    When <event>, and a table and a server's entry are written
    Then the table is in force on all nodes within 2 s
    And all nodes have the same entries, by the digest of revisions
    And in 6 s the nodes request 0 listings from each other and 0 from the source

    Examples:
      | hosts | old          | event                                   |
      | 8     | none         | nothing else happens                    |
      | 8     | all          | nothing else happens                    |
      | 8     | every second | nothing else happens                    |
      | 24    | every second | nothing else happens                    |
      | 8     | all          | all are replaced by new ones in turn    |
      | 24    | all          | all are replaced by new ones in turn    |
      | 8     | none         | all are replaced by old ones in turn    |
      | 24    | none         | all are replaced by old ones in turn    |
      | 8     | all          | two new ones start, cut from the source |
      | 24    | all          | two new ones start, cut from the source |
      | 8     | every second | two new ones start, cut from the source |
      | 24    | every second | two new ones start, cut from the source |
