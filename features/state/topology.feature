Feature: Planned links between nodes

  Guards against a version that cannot reach a part of the fleet, because
  the planned links leave it unconnected, and against hosts with so many
  links that a large fleet costs more than its budget.

  Scenario Outline: Every host list gives one connected graph
    Given <hosts> hosts of <services> services in <data centres> data centres
    When every host plans its links
    Then both hosts of each pair plan the link
    And the links connect all hosts, also without any one host
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

  Scenario Outline: Hosts with different lists still form one graph
    Given <hosts> hosts of <services> services in <data centres> data centres
    When each host lacks up to <missing> random hosts of the list, seed <seed>
    Then the links that either side plans connect all hosts

    Examples:
      | hosts | services | data centres | missing | seed |
      | 10    | 2        | 4            | 2       | 1    |
      | 12    | 2        | 3            | 3       | 2    |
      | 120   | 10       | 7            | 6       | 3    |
      | 220   | 220      | 1            | 11      | 4    |
      | 600   | 50       | 6            | 30      | 5    |

  Scenario Outline: A watcher that is down is replaced
    Given 40 hosts of 4 services in 2 data centres
    When the watchers of rank <down> are down
    Then the watchers are those of rank <watching>
    And all candidates of a data centre plan links with each other

    Examples:
      | down    | watching |
      | none    | 0, 1, 2  |
      | 0       | 1, 2, 3  |
      | 0, 1, 2 | 3, 4, 5  |
