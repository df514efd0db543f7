Feature: Descriptors of a node process

  Guards against a node that serves nothing because idle connections, which
  anybody can open, hold all its descriptors.

  Scenario Outline: Idle connections give way to new calls
    Given a node process that serves a call of 1.2 s
    And it may open 200 descriptors
    When 240 <kind> connections are opened to its <port> port
    Then within 2.0 s it serves a new call and is ready
    And the call that was open gets 200
    And a connection that has been used since is still open

    Examples:
      | port    | kind   |
      | callers | unused |
      | callers | used   |
      | ready   | unused |
      | ready   | used   |
      | metrics | unused |

  Scenario: Idle connections stay while there are enough descriptors
    Given a node process that serves a call of 1.2 s
    And it may open 200 descriptors
    When 120 unused connections are opened to its callers port
    Then after 1.0 s all of them are open

  Scenario Outline: The connections that are idle longest are closed
    Given connections that are idle since <idle>
    When <used> of <limit> descriptors are open at 9.0
    Then the connections <closed> are closed

    Examples:
      | idle                           | used | limit | closed  |
      | a 5.0, b 3.0, c 4.0            | 151  | 200   | b       |
      | a 5.0, b 3.0, c 4.0            | 152  | 200   | b, c    |
      | a 5.0, b 3.0, c 4.0            | 200  | 200   | b, c, a |
      | a 5.0, b 3.0, c 4.0            | 150  | 200   | none    |
      | a 5.0, b 3.0, c 4.0            | 961  | 1024  | b       |
      | a 5.0, b 3.0, c 4.0            | 960  | 1024  | none    |
      | a 5.0, b 3.0, c 4.0            | 4000 | none  | none    |
      | none                           | 200  | 200   | none    |
      | a 5.0 unused, b 3.0            | 151  | 200   | b       |
      | a 5.0 unused, b 4.95           | 151  | 200   | a       |
      | a 8.0, b 9.0 unused            | 152  | 200   | a       |
      | a 8.98, b 8.99 unused          | 175  | 200   | none    |
      | a 8.95, b 8.97 unused          | 176  | 200   | b       |
      | a 8.95, b 8.97 unused          | 177  | 200   | b, a    |
