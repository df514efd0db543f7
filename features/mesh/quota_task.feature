Feature: Quota tokens that a node gets from arbiters

  Guards against calls that are refused although their team is within its
  rate, and against calls that wait for an arbiter that does not answer.

  Scenario Outline: Calls within the rate of a team
    Given 8 linked nodes and a team with rate 40 and burst 40
    When <fault> and then each node has 4 calls in a second
    Then every call gets a token within <within> s

    Examples:
      | fault                                | within |
      | nothing fails                        | 0.02   |
      | the team's arbiter stops responding  | 0.60   |
      | the team's arbiter loses its links   | 0.60   |
      | the team's arbiter answers late      | 0.60   |
      | three arbiters lose their links      | 0.60   |
      | the team's arbiter restarts          | 0.60   |

  Scenario Outline: Calls above the rate of a team
    Given 8 linked nodes and a team with rate 40 and burst 40
    When <fault> and then each node has 40 calls in a second
    Then at most <most> calls get a token
    And the other calls get a retry delay of at most <wait> s

    Examples:
      | fault                                | most | wait |
      | nothing fails                        | 90   | 0.2  |
      | the team's arbiter stops responding  | 120  | 0.6  |
      | every node loses its links           | 120  | 2.0  |

  Scenario: An unused token is used by the next call
    Given 8 linked nodes and a team with rate 40 and burst 40
    When a node's call leaves its token unused
    Then its next call gets a token without a message

  Scenario: A late reply of an arbiter does not end the task
    Given 8 linked nodes and a team with rate 40 and burst 40
    When the arbiter's reply to 5 calls arrives after another call has asked it
    Then that call gets a token

  Scenario: A team without a rate limit
    Given 8 linked nodes and a team with rate 0 and burst 0
    When nothing fails and then each node has 40 calls in a second
    Then every call gets a token within 0.02 s

  Scenario Outline: The modelled nodes get each tick
    Given 2 linked nodes and a team with rate 40 and burst 40
    When 20 s pass in steps of <step> s
    Then each node has had a tick every 0.1 s

    Examples: Guards against a model in which presence is not told
      | step  |
      | 0.013 |
      | 0.05  |
      | 0.1   |
      | 0.5   |
      | 2.0   |
