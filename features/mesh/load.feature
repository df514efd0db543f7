Feature: What callers get under load

  Plays the decisions on placing and admitting calls in virtual time, with the
  users' load, against choosing at random and against knowing at once how many
  calls each server has.

  Scenario Outline: Requests answered within their objective
    Given the load of <site> for 12 s, <trouble>
    When it is played with each rule
    Then the chosen rule answers <least> or more within the objective
    And that is <gain> or more above random placing
    And no more than <far> of the runs are in another data centre

    Examples:
      | site            | trouble            | least | gain  | far  |
      | Kuopio          | calm               | 0.97  | 0.05  | 0.25 |
      | Kuopio          | a server slow      | 0.96  | 0.05  | 0.25 |
      | Kuopio          | a burst            | 0.70  | 0.02  | 0.25 |
      | Landesamt       | calm               | 0.95  | 0.04  | 0.25 |
      | Landesamt       | a server slow      | 0.94  | 0.04  | 0.25 |
      | Kuopio grown    | calm               | 0.97  | 0.05  | 0.05 |
      | Kuopio grown    | a sixth slow       | 0.96  | 0.05  | 0.05 |
      | Kuopio grown    | a burst            | 0.96  | 0.05  | 0.05 |
      | Landesamt grown | calm               | 0.95  | 0.04  | 0.05 |
      | Landesamt grown | a burst            | 0.90  | 0.04  | 0.10 |

  Scenario Outline: Servers that join get calls soon
    Given the load of <site> for 24 s, servers joining
    When it is played with the chosen rule
    Then each server that joins gets a call within 4 s

    Examples:
      | site            |
      | Kuopio          |
      | Landesamt       |
      | Kuopio grown    |
      | Landesamt grown |
