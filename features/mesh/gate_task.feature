Feature: Calls that end at the gate of a backend server

  Guards against a call that holds a slot of its server although it has ended,
  and against one that is sent to the server after its caller has left.

  Scenario Outline: A cancelled call frees its slot
    Given a gate task beside a server with 2 slots
    When <kind> calls arrive and <what>, <when>
    Then the server has received <received> of them
    And each has been answered <answer>
    And no call holds a slot

    Examples:
      | kind   | what                            | when           | received | answer                    |
      | safe   | are cancelled                   | at once        | 0        | not run: cancelled        |
      | unsafe | are cancelled                   | at once        | 0        | not run: cancelled        |
      | safe   | lose the link                   | at once        | 0        | not run: cancelled        |
      | unsafe | lose the link                   | at once        | 0        | not run: cancelled        |
      | safe   | are cancelled and lose the link | at once        | 0        | not run: cancelled        |
      | safe   | are cancelled                   | while they run | 2        | may have run: cancelled   |
      | unsafe | are cancelled                   | while they run | 2        | served                    |
      | unsafe | lose the link                   | while they run | 2        | served                    |

  Scenario Outline: A queued call is answered when it is cancelled
    Given a gate task beside a server with 1 slots
    When <kind> calls arrive and are cancelled, while they run
    Then the server has received 1 of them
    And it has answered <answers>
    And no call holds a slot

    Examples:
      | kind   | answers                                     |
      | safe   | not run: cancelled, may have run: cancelled |
      | unsafe | not run: cancelled, served                  |

  Scenario: A health check that raises an error is followed by others
    Given a gate task beside a server with 2 slots
    When the next health check raises an error and the server is doubtful
    Then the server is up again within 1.0 s

  Scenario Outline: A server is checked again only if another one may run there
    Given a gate task beside a server with 2 slots
    When a snapshot with <changes> is published
    Then the health of the server has been checked <checks> times

    Examples: Guards against refusals while a server that has not changed is checked
      | changes                                        | checks |
      | its service gone, its service back             | 1      |
      | its entry gone, its entry back                 | 2      |
      | a new incarnation                              | 2      |
      | its service gone, a new incarnation            | 2      |
      | an entry of an unknown service                 | 1      |

  Scenario Outline: Calls that are arriving count until they have ended
    Given a gate task beside a server with 2 slots
    When a call is arriving, and then <events>
    Then it has been answered <answers>, and <active> calls are active

    Examples:
      | events                                  | answers                        | active |
      | nothing                                 | nothing                        | 1      |
      | it is cancelled                         | not run: cancelled             | 0      |
      | its link ends                           | nothing                        | 0      |
      | another link ends                       | nothing                        | 1      |
      | it has arrived                          | served                         | 0      |
      | a stop is requested                     | nothing                        | 1      |
      | a stop is requested, it has arrived     | served                         | 0      |
      | a short stop is requested               | not run: stopping              | 0      |
      | a short stop is requested, another arrives | not run: stopping, not run: stopping | 0 |
      | the stop window closes                  | not run: stopping              | 0      |
      | the stop window closes, it has arrived  | not run: stopping, not run: stopping | 0 |
      | the stop window closes, another arrives | not run: stopping, not run: stopping | 0 |
      | it is cancelled, the stop window closes | not run: cancelled             | 0      |
      | it has arrived, the stop window closes  | not run: stopping              | 0      |
      | it has arrived, it is cancelled, the stop window closes | not run: stopping | 0   |

  Scenario Outline: A gate that runs late reads the answers that have come
    Given a gate task beside a server with 2 slots
    When a call with 2.0 s to its deadline is answered after <run> s, and the gate does not run for <held> s from 2.0 s on
    Then it has been answered <answers>, and 0 calls are active

    Examples:
      | run  | held | answers                                |
      | 2.05 | 0.0  | served                                 |
      | 2.05 | 0.05 | served                                 |
      | 2.05 | 0.2  | served                                 |
      | 2.05 | 1.0  | served                                 |
      | 2.25 | 0.0  | served                                 |
      | 2.25 | 0.2  | served                                 |
      | 9.0  | 0.0  | may have run: no answer by the deadline |
      | 9.0  | 0.2  | may have run: no answer by the deadline |
      | 9.0  | 1.0  | may have run: no answer by the deadline |
