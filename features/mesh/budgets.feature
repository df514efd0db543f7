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

  Scenario Outline: Calls of repeated runs stay within the budget of their service
    Given 10 nodes with a retry budget of 0.2 and 56 in 10 s
    When each node sends <calls> calls a second to a service with <servers> servers, whose runs make a call each
    And all allowed retries of both are made for 30 s
    Then retries in any 10 s stay within the platform's bound

    Examples: Guards against repeats at a service that is called that nobody counts
      | calls | servers |
      | 1     | 3       |
      | 10    | 3       |
      | 30    | 3       |
      | 30    | 10      |

  Scenario Outline: Calls of a repeated run count as repeats
    Given a deployment of 2 hosts whose nodes have answered
    When a request is <outcome> by its first server, and its run at the second one makes 3 calls
    Then the second server's node counts <repeats> calls of repeated runs

    Examples: Guards against nodes that do not know which runs are retries
      | outcome  | repeats |
      | rejected | 3       |
      | lost     | 3       |
      | refused  | 0       |

  Scenario Outline: Retries of a fleet that is cut stay within its budget
    Given 10 nodes that make all retries allowed by a budget of 100 in 10 s
    When <cut> of them are cut off <how>, and the entries of <expired> are removed
    Then the retries of any 10 s stay within the platform's bound

    Examples: Guards against shares of hosts that others no longer count
      | cut | how        | expired     |
      | 1   | together   | these       |
      | 4   | together   | these       |
      | 8   | together   | these       |
      | 8   | one by one | these       |
      | 8   | together   | the others  |
      | 2   | together   | both        |

  Scenario Outline: Retries of a part that is cut off for long stay within the budget
    Given 10 nodes that make all retries allowed by a budget of 100 in 10 s
    When <cut> of them lose the source and the others for 90 s, and their entries are removed after <expire> s
    Then the retries of any 10 s stay within the platform's bound

    Examples: Guards against parts that others no longer count after a minute
      | cut | expire |
      | 4   | 4.5    |
      | 8   | 3.0    |
      | 8   | 4.5    |
      | 8   | 15.0   |
      | 9   | 3.0    |

  Scenario Outline: Hosts that are lost or leave free their parts of the budget
    Given 10 nodes that make all retries allowed by a budget of 100 in 10 s
    When 8 of them <leave>, and their entries are removed
    Then the others make <at_once> retries in the next 10 s and <later> a minute later

    Examples:
      | leave                | at_once | later |
      | are killed           | 12      | 60    |
      | leave after draining | 60      | 60    |

  Scenario Outline: Retries of nodes that restart stay within the fleet's budget
    Given 10 nodes that make all retries allowed by a budget of 100 in 10 s
    When <which> restart <times> while each gets <calls> calls a second
    Then the retries of any 10 s stay within the platform's bound

    Examples: Guards against windows that a restarted node can't know
      | which                              | times     | calls |
      | all                                | once      | 0     |
      | all                                | once      | 60    |
      | all                                | twice     | 0     |
      | all                                | twice     | 60    |
      | all                                | every 2 s | 60    |
      | all                                | in turn   | 0     |
      | all                                | in turn   | 60    |
      | the others, with 8 of them cut off | once      | 0     |
      | the others, with 8 of them cut off | once      | 60    |
      | the others, with 4 of them cut off | twice     | 0     |

  Scenario: Retries of nodes that restart again and again
    Given 10 nodes that make all retries allowed by a budget of 100 in 10 s
    When all restart every 2 s while each gets 0 calls a second
    Then the retries of any 10 s stay within the platform's bound

  Scenario Outline: Nodes that have restarted repeat calls that need it
    Given 10 nodes with a budget of 100 in 10 s, all of which have restarted
    When each gets <calls> calls a second for 60 s and 1 in <every> needs a repeat
    Then of the repeats <at_first> in 100 are made in the first 10 s, and <later> after that

    Examples:
      | calls | every | at_first | later |
      | 2     | 50    | 90       | 100   |
      | 5     | 50    | 90       | 100   |
      | 20    | 50    | 90       | 100   |
      | 20    | 20    | 90       | 100   |
      | 60    | 20    | 90       | 100   |
