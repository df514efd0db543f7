Feature: Tokens that a node gets from arbiters

  Guards against calls that are refused inside their team's rate, or that wait
  for an arbiter which does not answer.

  Scenario Outline: A call of a team within its rate
    Given 8 linked nodes and a team with rate 40 and burst 40
    When <fault> and then each node has 4 calls in a second
    Then every call gets a token within <within> s

    Examples:
      | fault                                | within |
      | nothing fails                        | 0.02   |
      | the team's arbiter falls silent      | 0.60   |
      | the team's arbiter loses its links   | 0.60   |
      | the team's arbiter answers late      | 0.60   |
      | three arbiters lose their links      | 0.60   |
      | an arbiter starts anew               | 0.60   |

  Scenario Outline: Calls beyond the rate
    Given 8 linked nodes and a team with rate 40 and burst 40
    When <fault> and then each node has 40 calls in a second
    Then at most <most> calls get a token
    And the others are told to wait at most <wait> s

    Examples:
      | fault                              | most | wait |
      | nothing fails                      | 90   | 0.2  |
      | the team's arbiter falls silent    | 120  | 0.6  |
      | every node is alone                | 120  | 2.0  |

  Scenario: A token that was not used serves the next call
    Given 8 linked nodes and a team with rate 40 and burst 40
    When a node's call has a token and does not use it
    Then its next call gets one without a message

  Scenario: A team without a rate
    Given 8 linked nodes and a team with rate 0 and burst 0
    When nothing fails and then each node has 40 calls in a second
    Then every call gets a token within 0.02 s
