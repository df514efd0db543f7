Feature: Check of a table before it is published

  Scenario Outline: A wrong entry is reported with its place
    Guards against <failure>.
    Given the example table
    When <file> row <row> gets <cells>
    Then the check reports <kind> in <file>, row <at>, column <column>
    And the check ends with status <status>

    Examples:
      | file         | row | cells                                   | kind          | at | column        | status | failure                                     |
      | limits.csv   | 2   | burst=0                                 | error         | 2  | burst         | 2      | a burst that allows no call                 |
      | services.csv | 2   | slots=0                                 | error         | 2  | slots         | 2      | findings that only follow from a lost row   |
      | routes.csv   | 6   | service=intake-ledger;path_prefix=/lots | unreachable   | 6  | path_prefix   | 1      | a hidden route that gets no calls           |
      | routes.csv   | 2   | path_prefix=/lots?all                   | unreachable   | 2  | path_prefix   | 1      | a prefix with a query, which no path has    |
      | services.csv | 4   | service=spare                           | unreachable   | 4  | service       | 1      | a service that no route leads to            |
      | limits.csv   | 18  | team=nobody                             | unreachable   | 18 | team          | 1      | a limit for a misspelt team                 |
      | keys.csv     | 2   | team=nobody                             | unreachable   | 2  | team          | 1      | a key whose calls are all refused           |
      | keys.csv     | 2   | digest=BELT                             | unreachable   | 2  | digest        | 1      | a key instead of its digest                 |
      | hosts.csv    | 2   | service=lost                            | unreachable   | 2  | service       | 1      | a host of a misspelt service                |
      | outages.csv  | 2   | data_centre=lost                        | unreachable   | 2  | data_centre   | 1      | an outage that takes no host out of service |
      | services.csv | 2   | cold_slots=13                           | contradiction | 2  | cold_slots    | 2      | a document error that names no row          |
      | services.csv | 2   | cold_slots=12                           | contradiction | 2  | ramp_s        | 1      | a ramp that never takes effect              |
      | services.csv | 2   | max_connections=12                      | contradiction | 2  | slots         | 1      | slots without connections                   |
      | limits.csv   | 2   | max_in_flight=513                       | contradiction | 2  | max_in_flight | 1      | a limit that calls never reach              |
      | limits.csv   | 2   | weight=99;max_in_flight=1               | contradiction | 2  | weight        | 1      | a weight whose share a limit cuts off       |
      | hosts.csv    | 3   | call_port=20001                         | contradiction | 3  | call_port     | 1      | two hosts that listen on one port           |

  Scenario Outline: An entry of a service without hosts or routes is reported
    Guards against an entry that looks in force because its service exists.
    Given the example table
    When services.csv row 4 gets service=spare
    And <file> row <row> gets <cells>
    Then the check reports unreachable in <file>, row <row>, column service
    And the check ends with status 1

    Examples:
      | file       | row | cells                                    |
      | routes.csv | 9   | service=spare;route=new;path_prefix=/new |
      | limits.csv | 18  | service=spare                            |
      | hosts.csv  | 2   | service=spare                            |

  Scenario Outline: An entry at the limit is not reported
    Guards against findings about a table that works.
    Given the example table
    When <file> row <row> gets <cells>
    Then the check ends with status 0

    Examples:
      | file         | row | cells                         |
      | services.csv | 2   | cold_slots=12;ramp_s=0        |
      | services.csv | 2   | max_connections=13            |
      | limits.csv   | 2   | max_in_flight=512             |
      | limits.csv   | 2   | weight=30;max_in_flight=2     |
      | limits.csv   | 10  | weight=14;max_in_flight=1     |
      | limits.csv   | 2   | rate=0                        |
      | hosts.csv    | 2   | server_port=20001             |
      | routes.csv   | 6   | service=intake-ledger         |
      | hosts.csv    | 3   | call_port=20001;state=leaving |

  Scenario Outline: Differences from the version in force keep the status
    Guards against a changed limit that nobody notices, and a failed check for an intended change.
    Given the example table
    And <form> in force
    When <file> row <row> gets <cells>
    Then the check reports difference in <file>, row <at>, column <column>
    And the check ends with status 0

    Examples:
      | form        | file       | row | cells                      | at | column |
      | documents   | limits.csv | 2   | rate=300                   | 2  | rate   |
      | table files | limits.csv | 2   | rate=300                   | 2  | rate   |
      | documents   | routes.csv | 9   | route=new;path_prefix=/new | 9  | -      |
      | documents   | routes.csv | 2   | route=renamed              | 0  | -      |

  Scenario Outline: A version in force that cannot be read fails the check
    Guards against a comparison with nothing that reports every row as new.
    Given the example table
    And <form> in force
    Then the check ends with status 2

    Examples:
      | form                |
      | a missing directory |
      | an invalid table    |

  Scenario: Compiling accepts entries without effect
    Guards against a table in use that can no longer be compiled.
    Given the example table
    When keys.csv row 2 gets team=nobody
    Then the table compiles
