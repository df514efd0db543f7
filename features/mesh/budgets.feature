Feature: Fleet-wide quotas and retry budget

  Guards against a team that exceeds its rate summed over all hosts, against
  refusals within the rate, and against retries that overload a failing
  service.

  Scenario Outline: Quota of a team in a model of the fleet
    Given <hosts> nodes and a team with rate <rate> and burst <rate>
    When callers send <load> times the rate for 20 s, <spread>
    Then admissions in any 5 s stay within the platform's bound
    And at least <answered> of the admissions of an ideal bucket are made

    Examples:
      | hosts | rate | load | spread                  | answered |
      | 10    | 149  | 0.6  | evenly                  | 0.995    |
      | 10    | 149  | 5.0  | evenly                  | 0.90     |
      | 10    | 149  | 5.0  | from one node           | 0.90     |
      | 10    | 149  | 5.0  | half moving every 5 s   | 0.85     |
      | 10    | 29   | 0.9  | evenly                  | 0.97     |
      | 10    | 29   | 5.0  | evenly                  | 0.90     |
      | 12    | 27   | 1.1  | evenly                  | 0.90     |
      | 10    | 149  | 5.0  | evenly, two nodes dying | 0.85     |
      | 10    | 149  | 5.0  | evenly, cut in halves   | 0.80     |
      | 10    | 149  | 5.0  | evenly, each alone      | 0.80     |
      | 10    | 149  | 0.6  | evenly, cut in halves   | 0.995    |
      | 91    | 12   | 0.6  | evenly                  | 0.995    |
      | 91    | 12   | 8.0  | evenly                  | 0.90     |
      | 91    | 12   | 8.0  | from one node           | 0.90     |
      | 91    | 12   | 8.0  | evenly, cut in halves   | 0.80     |
      | 91    | 149  | 0.6  | half moving every 5 s   | 0.995    |

  Scenario Outline: Retries stay within the fleet's budget
    Given <hosts> nodes with a retry budget of 0.2 and 56 in 10 s
    When each node sends <calls> calls a second and all allowed retries for 30 s
    Then retries in any 10 s stay within the platform's bound

    Examples:
      | hosts | calls |
      | 10    | 0     |
      | 10    | 5     |
      | 12    | 60    |
