Feature: Quotas over all hosts

  Guards against hosts that together exceed a team's rate and burst, and
  against refusals of requests that are inside them.

  Scenario: No window exceeds rate and burst, whatever happens
    Given hosts that share the quota of a team
    When messages are lost, doubled and late while hosts come, go and pause
    Then no window has more tokens than its rate and burst

  Scenario Outline: One fault at a time
    Given <hosts> hosts that share rate <rate> and burst <burst>
    When <fault>
    And every host takes all it can for <time> s
    Then between <least> and <most> tokens were taken
    And no window has more tokens than its rate and burst

    Examples: the burst is there after a warm-up, the rate follows
      | hosts | rate | burst | fault                   | time | least | most |
      | 4     | 40   | 40    | nothing fails           | 2    | 115   | 120  |
      | 4     | 40   | 40    | a host stops            | 2    | 86    | 90   |
      | 4     | 40   | 40    | a host restarts         | 2    | 86    | 100  |
      | 4     | 40   | 40    | a host is replaced      | 2    | 86    | 100  |
      | 4     | 40   | 40    | a host is replaced      | 20   | 780   | 840  |
      | 4     | 40   | 40    | a host is added         | 20   | 780   | 840  |
      | 4     | 40   | 40    | a host is removed       | 20   | 750   | 830  |
      | 4     | 40   | 40    | a host misses a version | 2    | 90    | 115  |
      | 4     | 40   | 40    | all hosts restart       | 2    | 0     | 0    |
      | 4     | 40   | 40    | all hosts restart       | 20   | 600   | 720  |
      | 3     | 1    | 1     | nothing fails           | 20   | 15    | 21   |

  Scenario Outline: Callers use one host only
    Given <hosts> hosts that share rate <rate> and burst <burst>
    When <fault>
    And one host takes all it can for <time> s
    Then between <least> and <most> tokens were taken
    And no window has more tokens than its rate and burst

    Examples: a host that takes no calls lends what it has
      | hosts | rate | burst | fault                     | time | least | most |
      | 4     | 40   | 40    | nothing fails             | 10   | 400   | 440  |
      | 4     | 40   | 40    | a data centre is out      | 10   | 400   | 440  |
      | 4     | 40   | 40    | a host drains             | 10   | 400   | 440  |
      | 4     | 40   | 40    | half of the hosts are cut | 10   | 190   | 220  |
      | 3     | 2    | 1     | nothing fails             | 10   | 15    | 21   |
