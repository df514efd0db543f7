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

  Scenario Outline: Answers that go astray
    Given a host that asks another twice for tokens
    When the answers arrive <how>
    Then the borrower gained <gain>

    Examples: tokens count once, and only within the time of the ask
      | how                                | gain                    |
      | once                               | the tokens of one grant |
      | twice                              | the tokens of one grant |
      | 1.99 s after the ask              | the tokens of one grant |
      | 2.01 s after the ask              | nothing                 |
      | to asks that overtook each other   | the tokens of one grant |
      | after that of the later ask        | nothing                 |
      | after the process started again    | nothing                 |

  Scenario Outline: The lender takes a loan back
    Given a host that asks another twice for tokens
    When the lender grants a loan and <time> s pass
    Then the lender owns <part> of its share

    Examples: not before the borrower has stopped to use it
      | time  | part |
      | 0.0   | less |
      | 2.199 | less |
      | 2.201 | all  |

  Scenario Outline: A lender is asked again
    Given a host that asks another twice for tokens
    When the lender grants the second ask and gets <ask>
    Then the answer has <share> and <tokens>

    Examples: tokens in flight stay covered by a share of their own
      | ask                      | share     | tokens    |
      | the first ask            | no share  | no tokens |
      | the second ask           | no share  | no tokens |
      | an ask for as much again | the share | no tokens |

  Scenario Outline: What may still be on loan is not minted
    Given a host that asks another twice for tokens
    When the lender grants a loan and <change>
    And the hosts wait for <time> s
    Then the lender owns <part> of its share

    Examples: the borrower may use the loan for its time
      | change                        | time | part |
      | its limit goes and comes back | 2.1  | less |
      | its limit goes and comes back | 2.3  | all  |
      | two live hosts swap slots     | 2.3  | less |
