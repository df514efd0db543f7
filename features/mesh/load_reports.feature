Feature: Reports of a server's load to other nodes

  Guards against a node that is taken for silent, or that places calls by an
  old load, and against reports that say nothing new.

  Scenario Outline: Reports go to those that need them
    Given a node with a near peer and a far peer that have a first report
    When its load changes every <change> s for 3 s
    Then the near peer gets <near> reports and the far peer <far>
    And no peer waits for more than 0.5 s

    Examples:
      | change | near     | far    |
      | 9.0    | 6 to 7   | 6 to 7 |
      | 0.1    | 28 to 30 | 6 to 7 |
      | 0.4    | 7 to 8   | 6 to 7 |

  Scenario: All peers learn at once that a server accepts no more calls
    Given a node with a near peer and a far peer that have a first report
    When its server stops accepting calls
    Then each peer gets that within 0.05 s

  Scenario Outline: A report leaves out what the peer has
    Given a node with a near peer and a far peer that have a first report
    And the near peer speaks version <version> of the protocol
    When <event>, and a report is sent
    Then the near peer gets a report that is <kind>

    Examples: Guards against a peer that misses a change, or can't read a report
      | version | event                   | kind    |
      | 4       | only its load changes   | changed |
      | 3       | only its load changes   | whole   |
      | 4       | its entries change      | whole   |
      | 4       | its limit changes       | whole   |
      | 4       | the near peer reconnects | whole  |

  Scenario Outline: Queued calls are looked at when one may start or expire
    Given a server that <state>, with its turn in <turn> s
    Then its queue is looked at again after <delay> s

    Examples: Guards against a queue that is polled while nothing can change
      | state         | turn   | delay |
      | is warm       | 0.0    | 0.05  |
      | is cold       | 0.02   | 0.02  |
      | is cold       | 0.3    | 0.05  |
      | is cold       | 0.0001 | 0.002 |
      | is cold, full | 0.0    | 0.05  |
