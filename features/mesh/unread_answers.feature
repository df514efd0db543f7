Feature: Callers that do not read their answers

  Guards against nodes that run out of memory because of callers that ask for
  large answers and read none of them. Each request is within the limits of
  the table.

  Scenario Outline: Large answers that callers do not read fit into memory
    Given 3 node processes with 120 MB each
    When <connections> callers of one node send <requests> requests each for <bytes> bytes and read nothing
    Then each node answers an ordinary request beside them, and after they have left
    And each process still runs and has never had more than 120 MB

    Examples:
      | connections | requests | bytes   |
      | 60          | 1        | 4000000 |
      | 20          | 8        | 4000000 |
      | 200         | 1        | 1000000 |

  Scenario Outline: Memory of what a caller has taken of an answer is freed
    Given a caller's connection at a node with 100000000 bytes of memory
    When 1 requests run, and the caller takes no more answers
    And a mapped answer of 4000000 bytes comes, and <left> bytes are not taken
    Then at least <freed> bytes of it are freed, and the rest is unchanged

    Examples:
      | left    | freed   |
      | 4000100 | 0       |
      | 4000000 | 0       |
      | 3990000 | 0       |
      | 1000000 | 2930000 |
      | 1       | 3930000 |

  Scenario Outline: A link that brings an answer is read once in a turn of the event loop
    Given a link without a socket
    When a part of <message> of 4000000 bytes arrives
    Then reading <reads>, and goes on in the next turn

    Examples:
      | message   | reads          |
      | an answer | pauses         |
      | a call    | does not pause |

  Scenario Outline: Callers that read nothing leave room for the answers of others
    Given a node process with 300 MB and 400 descriptors
    And its server has 12 slots and answers of <size> bytes
    When <callers> callers each ask for an answer and read nothing
    Then an ordinary request, sent again if refused, is answered with 200
    And an ordinary request is answered with 200 once they have left
    And the process still runs, with at most 300 MB and 400 descriptors

    Examples:
      | size    | callers |
      | 4000000 | 5       |
      | 4000000 | 12      |
      | 4000000 | 60      |
