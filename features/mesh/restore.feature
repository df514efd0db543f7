Feature: The store comes back from an older copy

  Guards against nodes that take entries of the new era for old ones: a
  configuration that stays out of force, calls to servers that are leaving,
  and tables, routes and keys that come back.

  Scenario Outline: A restore takes nothing back and holds nothing up
    Given node processes on 6 hosts and a copy of their store
    When <revisions> revisions later <change> and the store is restored, away for <away> s, <restores>
    And <meanwhile> meanwhile
    Then the configuration written next is in force on all nodes within 2 s
    And no request reaches a leaving server more than 2 s after its entry
    And no node returns to an older table
    And no request is lost
    And the service is served throughout

    Examples:
      | revisions | away | restores | change                     | meanwhile                     |
      | 12        | 0.1  | once     | a key is withdrawn         | nothing happens               |
      | 60        | 1.0  | once     | a server drains            | a node restarts               |
      | 120       | 0.5  | twice    | a key is withdrawn         | a third is cut from the store |
      | 250       | 2.0  | once     | a data centre is taken out | nothing happens               |
      | 500       | 0.3  | once     | a server is replaced       | a node restarts               |
      | 60        | 5.0  | once     | a server is added          | a third is cut from the store |
