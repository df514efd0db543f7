Feature: Validating and activating documents

  Guards against a node that reverts to an older version, applies part of an
  invalid version, or picks one of two versions with the same number.

  Scenario Outline: A document is offered to a node with version 2
    Given a node with active table version 2
    When table version <number> with <content> is offered
    Then the offer is <result>
    And table version <in force> is active

    Examples:
      | number | content           | result   | in force |
      | 3      | another limit     | Accepted | 3        |
      | 9      | another limit     | Accepted | 9        |
      | 2      | the same rows     | Stale    | 2        |
      | 1      | another limit     | Stale    | 2        |
      | 2      | another limit     | Conflict | 2        |
      | 3      | a dangling route  | Invalid  | 2        |
      | 3      | a negative rate   | Invalid  | 2        |
      | 3      | an unknown field  | Invalid  | 2        |
      | 3      | a wrong digest    | Invalid  | 2        |

  Scenario Outline: Documents arrive in any order
    When the documents arrive in the order <order>
    Then the route becomes usable with the document <usable after>

    Examples:
      | order                       | usable after |
      | table, hosts, keys, outages | hosts        |
      | hosts, table, keys, outages | table        |
      | keys, outages, hosts, table | table        |
