Feature: Quotas shared by all hosts

  Guards against hosts that together exceed the rate and burst of a team, and
  against rejecting requests that are within both.

  Scenario: No time window exceeds rate and burst under random faults
    Given hosts that share the quota of a team
    When messages are lost, repeated and late while hosts start, stop and pause
    Then no time window has more tokens than rate and burst allow

  Scenario Outline: One fault at a time
    Given <hosts> hosts that share rate <rate> and burst <burst>
    When <fault>
    And every host takes all available tokens for <time> s
    Then between <least> and <most> tokens were taken
    And no time window has more tokens than rate and burst allow

    Examples: the burst is available after a warm-up, then the rate applies
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

  Scenario Outline: All callers use one host
    Given <hosts> hosts that share rate <rate> and burst <burst>
    When <fault>
    And one host takes all available tokens for <time> s
    Then between <least> and <most> tokens were taken
    And no time window has more tokens than rate and burst allow

    Examples: a host without calls lends all it has
      | hosts | rate | burst | fault                     | time | least | most |
      | 4     | 40   | 40    | nothing fails             | 10   | 400   | 440  |
      | 4     | 40   | 40    | a data centre is out      | 10   | 400   | 440  |
      | 4     | 40   | 40    | a host drains             | 10   | 400   | 440  |
      | 4     | 40   | 40    | half of the hosts are cut | 10   | 190   | 220  |
      | 3     | 2    | 1     | nothing fails             | 10   | 15    | 21   |

  Scenario Outline: Repeated, late and reordered grants
    Given a host that requests tokens from a peer twice
    When the grants arrive <how>
    Then the borrower gained <gain>

    Examples: tokens count once, and only until the loan expires
      | how                                | gain                    |
      | once                               | the tokens of one grant |
      | twice                              | the tokens of one grant |
      | 1.99 s after the ask              | the tokens of one grant |
      | 2.01 s after the ask              | nothing                 |
      | to asks that overtook each other   | the tokens of one grant |
      | after that of the later ask        | nothing                 |
      | after the process started again    | nothing                 |

  Scenario Outline: A lent share returns to the lender
    Given a host that requests tokens from a peer twice
    When the lender grants a loan and <time> s pass
    Then the lender owns <part> of its share

    Examples: only after the borrower has stopped using it
      | time  | part |
      | 0.0   | less |
      | 2.199 | less |
      | 2.201 | all  |

  Scenario Outline: A lender receives another request
    Given a host that requests tokens from a peer twice
    When the lender grants the second request and receives <ask>
    Then the grant has <share> and <tokens>

    Examples: a share of their own covers tokens in transit
      | ask                      | share     | tokens    |
      | the first ask            | no share  | no tokens |
      | the second ask           | no share  | no tokens |
      | an ask for as much again | the share | no tokens |

  Scenario Outline: A share that may still be lent generates no tokens
    Given a host that requests tokens from a peer twice
    When the lender grants a loan and <change>
    And the hosts wait for <time> s
    Then the lender owns <part> of its share

    Examples: the borrower may use the loan until it expires
      | change                        | time | part |
      | its limit goes and comes back | 2.1  | less |
      | its limit goes and comes back | 2.3  | all  |
      | two live hosts swap slots     | 2.3  | less |
