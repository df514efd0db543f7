Feature: Calculations of the measurements

  Guards against a wrong fit or quantile, which would put wrong figures on
  the capacity page without any other symptom.

  Scenario Outline: Fit a line to points
    Given the points <points>
    Then the fitted slope is <slope> with an intercept of <fixed>

    Examples:
      | points              | slope | fixed |
      | 1:3, 2:5, 3:7       | 2.0   | 1.0   |
      | 10:4, 20:4, 30:4    | 0.0   | 4.0   |
      | 0:0, 1:1, 2:0, 3:1  | 0.2   | 0.2   |

  Scenario Outline: Compute a quantile
    Then the quantile <part> of <values> is <result>

    Examples:
      | values          | part | result |
      | 5               | 0.99 | 5      |
      | 1, 2, 3, 4, 5   | 0.5  | 3      |
      | 0, 100          | 0.99 | 99     |

  Scenario: Encode and decode a caller plan
    Then a caller plan is unchanged after encoding and decoding

  Scenario Outline: Split the rate of a team into streams
    Then traffic split over <hosts> hosts <spread> at <rate> calls/s keeps its rate on <used> hosts

    Examples:
      | hosts | spread      | rate | used |
      | 6     | evenly      | 30   | 6    |
      | 4     | evenly      | 900  | 4    |
      | 6     | on one host | 90   | 1    |
