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
