Feature: The idle limit of callers' connections

  Guards against a caller that cannot know how long its connection stays open,
  and sends a request at the moment at which the node closes it.

  Scenario Outline: An answer says how long its connection is kept
    Given a deployment of 1 hosts on the event loop of a process
    And idle connections are closed after <limit> s
    When one request is sent <when>
    Then its answer has the Connection <connection> and the Keep-Alive <keep>

    Examples:
      | limit | when                 | connection | keep       |
      | 15.0  | to a serving node    | none       | timeout=15 |
      | 1.9   | to a serving node    | none       | timeout=1  |
      | 0.6   | to a serving node    | none       | none       |
      | 15.0  | and the node stops   | close      | none       |
      | 15.0  | that closes          | close      | none       |

  Scenario Outline: A request that is sent at the idle limit is answered
    Given a deployment of 1 hosts on the event loop of a process
    And idle connections are closed after 1.0 s
    When <callers> callers each send a request, and another one <idle> s after its answer
    Then each of them is answered 2 times

    Examples:
      | callers | idle |
      | 100     | 0.99 |
      | 100     | 1.0  |
      | 100     | 1.01 |

  Scenario: A connection is closed after the idle limit
    Given a deployment of 1 hosts on the event loop of a process
    And idle connections are closed after 0.5 s
    When 1 callers each send a request, and another one 1.8 s after its answer
    Then each of them is answered 1 times
