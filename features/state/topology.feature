Feature: Planned links between nodes

  Guards against planned links that leave a part of the fleet disconnected,
  where new versions cannot reach it, and against hosts with so many links
  that the traffic of a large fleet exceeds its budget.

  Scenario Outline: Every host list results in one connected graph
    Given <hosts> hosts of <services> services in <data centres> data centres
    When every host plans its links
    Then both hosts of each pair plan the link
    And the links connect all hosts, also if any one host is down
    And no host plans more than <most links> links

    Examples:
      | hosts | services | data centres | most links |
      | 1     | 1        | 1            | 0          |
      | 2     | 1        | 1            | 1          |
      | 3     | 3        | 1            | 2          |
      | 3     | 1        | 3            | 2          |
      | 10    | 2        | 4            | 9          |
      | 12    | 2        | 3            | 11         |
      | 9     | 9        | 1            | 8          |
      | 15    | 1        | 1            | 14         |
      | 120   | 10       | 7            | 36         |
      | 220   | 18       | 1            | 36         |
      | 1000  | 3        | 4            | 36         |
      | 2200  | 180      | 10           | 36         |

  Scenario Outline: Hosts with different lists still form a connected graph
    Given <hosts> hosts of <services> services in <data centres> data centres
    When up to <missing> random hosts are missing per host list, seed <seed>
    Then the links planned by either side connect all hosts

    Examples:
      | hosts | services | data centres | missing | seed |
      | 10    | 2        | 4            | 2       | 1    |
      | 12    | 2        | 3            | 3       | 2    |
      | 120   | 10       | 7            | 6       | 3    |
      | 220   | 220      | 1            | 11      | 4    |
      | 600   | 50       | 6            | 30      | 5    |

  Scenario Outline: A watcher that is down is replaced
    Given 40 hosts of 4 services in 2 data centres
    When the watchers with the ranks <down> are down
    Then the watchers have the ranks <watching>
    And all candidates of a data centre plan links with each other

    Examples:
      | down    | watching |
      | none    | 0, 1, 2  |
      | 0       | 1, 2, 3  |
      | 0, 1, 2 | 3, 4, 5  |
