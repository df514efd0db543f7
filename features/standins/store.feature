Feature: The stand-in for the platform's store

  Guards against a stand-in that keeps more than the platform does when it
  comes back from a copy.

  Scenario Outline: A store that comes back from a copy
    Given a store with the key a at revision 11
    When it is copied, and <writes> other keys are written
    And it is away for <away> s and comes back from the copy, <times> times
    Then only the key a is in it, and its era is <era>
    And a watch from revision <after> gets <status>
    And the next write has revision 12

    Examples:
      | writes | away | times | after | status | era |
      | 3      | 0.1  | 1     | 14    | 410    | 2   |
      | 3      | 0.1  | 1     | 11    | 200    | 2   |
      | 1      | 0.0  | 2     | 12    | 410    | 3   |

  Scenario: Revisions are given out again
    Given a store with the key a at revision 11
    When it is copied, and 3 other keys are written
    And it is away for 0.0 s and comes back from the copy, 1 times
    And 4 other keys are written
    Then a watch from revision 14 gets 200

  Scenario: A store that is away answers nobody and accepts no write
    Given a store with the key a at revision 11
    When a key is written while it is away for 0.2 s
    Then its connections have ended and another one gets no answer
    And the write is accepted 0.2 s later in era 2

  Scenario Outline: The era is in all answers
    Given a store with the key a at revision 11
    When its outage is <outage> and it sends <era>
    Then a watch from revision <after> gets <status>
    And the header of the answer is <header>

    Examples:
      | outage | era     | after | status | header |
      | none   | the era | 11    | 200    | 1      |
      | none   | the era | 99    | 410    | 1      |
      | busy   | the era | 11    | 503    | 1      |
      | many   | the era | 11    | 429    | 1      |
      | none   | no era  | 11    | 200    | none   |
      | none   | era -1  | 11    | 200    | -1     |
