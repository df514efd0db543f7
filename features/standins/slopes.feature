Feature: Figures of measures

  Guards against a wrong fit or quantile, which would put wrong figures on
  the capacity page without any other sign.

  Scenario Outline: A line through points
    Given the points <points>
    Then the slope is <slope> with <fixed> at size zero

    Examples:
      | points              | slope | fixed |
      | 1:3, 2:5, 3:7       | 2.0   | 1.0   |
      | 10:4, 20:4, 30:4    | 0.0   | 4.0   |
      | 0:0, 1:1, 2:0, 3:1  | 0.2   | 0.2   |

  Scenario Outline: A quantile
    Then the quantile <part> of <values> is <result>

    Examples:
      | values          | part | result |
      | 5               | 0.99 | 5      |
      | 1, 2, 3, 4, 5   | 0.5  | 3      |
      | 0, 100          | 0.99 | 99     |

  Scenario: A plan survives its encoding
    Then a plan of callers is the same after encoding and decoding

  Scenario Outline: The table's teams keep their rates in the streams
    Then traffic split over <hosts> hosts <spread> at <rate> calls/s keeps its rate on <used> hosts

    Examples:
      | hosts | spread      | rate | used |
      | 6     | evenly      | 30   | 6    |
      | 4     | evenly      | 900  | 4    |
      | 6     | on one host | 90   | 1    |
