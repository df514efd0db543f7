Feature: Admission and placement by objectives, in tables without teams

  Guards against runs that fail since their calls find no room, against calls
  that run although they are late already in place of calls that are not, and
  against callers that get the same refusal again and again.

  Scenario Outline: Calls that others wait for rank first
    Given a node in whose table <teams>
    When a request of priority <priority> arrives <origin>, <age>
    Then it is sent with rank <rank> and an objective in <objective> s

    Examples:
      | teams           | priority | origin                        | age               | rank | objective |
      | no teams are    | 0        | of a caller                   | in time           | 0    | 0.3       |
      | no teams are    | 2        | of a caller                   | in time           | 4    | 0.3       |
      | no teams are    | 2        | of a caller                   | as a late retry   | 5    | 0.5       |
      | no teams are    | 2        | of a run of the own server    | in time           | -1   | 0.3       |
      | no teams are    | 2        | of a run of another server    | in time           | 4    | 0.3       |
      | no teams are    | 2        | of a run of the own server    | as a late retry   | -1   | 0.3       |
      | there are teams | 2        | of a run of the own server    | in time           | 2    | 0.3       |
      | there are teams | 2        | of a caller                   | as a late retry   | 2    | 0.3       |

  Scenario Outline: A call that two nodes refuse waits at one of them
    Given a node in whose table <teams>
    When nodes refuse a request of priority 1: <refusals>
    Then it is sent <attempts> times, the last time <how>

    Examples:
      | teams           | refusals             | attempts | how         |
      | no teams are    | busy                 | 2        | in a hurry  |
      | no teams are    | busy, busy           | 3        | patiently   |
      | no teams are    | busy, closed         | 3        | in a hurry  |
      | no teams are    | busy, busy, busy     | 3        | patiently   |
      | there are teams | busy, busy           | 3        | in a hurry  |

  Scenario Outline: A call goes again only to servers that had no room for it
    Given a node in whose table no teams are
    When a request <age> gets these answers, in each of 40 plays: <answers>
    Then it is sent <attempts> times, and again only to nodes that were busy

    Examples: Guards against a run at a server that may have run it before
      | age             | answers             | attempts |
      | in time         | failed, busy, busy  | 4        |
      | in time         | lost, busy, busy    | 4        |
      | in time         | reached, busy, busy | 4        |
      | in time         | busy, busy, failed  | 4        |
      | as a late retry | failed              | 2        |
      | as a late retry | lost                | 2        |
      | as a late retry | reached             | 2        |

  Scenario Outline: A late call is refused only where it finds no room
    Given a node in whose table no teams are
    When a request <age> gets these answers, in each of 40 plays: <answers>
    Then it is sent <attempts> times, and again only to nodes that were busy

    Examples: Guards against a refusal since one of several servers is gone
      | age             | answers                         | attempts |
      | as a late retry | busy                            | 1        |
      | as a late retry | deadline                        | 1        |
      | as a late retry | queue full                      | 1        |
      | as a late retry | server-gone                     | 2        |
      | as a late retry | closed, busy                    | 2        |
      | as a late retry | closed, draining, stopping      | 4        |
      | as a late retry | closed, draining, closed, closed | 4       |
      | in time         | busy, busy, closed              | 4        |

  Scenario Outline: A call that waits beyond its objective ranks behind others
    Given a node in whose table no teams are
    When two nodes refuse a request of priority <priority> <origin> as busy
    Then it is sent the third time with rank <rank>

    Examples: Guards against runs whose calls wait beside those of callers
      | priority | origin                     | rank |
      | 0        | of a caller                | 1    |
      | 2        | of a caller                | 5    |
      | 0        | of a run of the own server | -1   |
      | 2        | of a run of the own server | -1   |

  Scenario Outline: Calls of runs are sent past the queues of others
    Given a node in whose table <teams>
    When all servers report a queue of 40 calls, and a request arrives <origin>
    Then the request is <outcome> at once

    Examples: Guards against runs that fail behind calls which wait for them
      | teams           | origin                     | outcome |
      | no teams are    | of a run of the own server | sent    |
      | no teams are    | of a caller                | refused |
      | there are teams | of a run of the own server | refused |

  Scenario Outline: Retries are told by their deadlines
    Given requests of a route with deadlines of <usual> s, <others>
    Then a deadline of <deadline> s is that of <kind>

    Examples: Guards against retries that count as in time, and the reverse
      | usual    | others                  | deadline | kind            |
      | 3.6, 4.1 | none besides            | 3.6      | a first attempt |
      | 3.6, 4.1 | none besides            | 2.9      | a retry         |
      | 4.0      | nine in ten are retries | 3.9      | a first attempt |
      | 4.0      | nine in ten are retries | 2.9      | a retry         |
      | 4.0      | one of 86400 s          | 3.9      | a first attempt |
      | 4.0      | the first one of 0 s    | 3.9      | a first attempt |
      | 4.0      | the first one of 0 s    | 2.9      | a retry         |
      | none     | none besides            | 0.1      | a first attempt |

  Scenario Outline: The first request of a route doesn't set its usual deadline
    Given a node in whose table no teams are
    When the first request of a route has a deadline of <first> s
    And one with a deadline of <next> s follows
    Then that is taken for <kind>

    Examples: Guards against a caller whose long deadline makes all others late
      | first | next | kind            |
      | 86400 | 1.0  | a first attempt |
      | 86400 | 0.5  | a retry         |
      | 1.0   | 0.9  | a first attempt |
      | 1.0   | 0.5  | a retry         |

  Scenario Outline: What is learned of routes goes with them
    Given a node in whose table no teams are
    When <tables> tables follow each other, each with requests of new routes
    Then the deadlines of at most <routes> routes are kept

    Examples: Guards against memory that grows with each table
      | tables | routes |
      | 1      | 3      |
      | 20     | 3      |

  Scenario Outline: Run times of a cold start decide what meets its objective
    Given a gate with 6 slots <phase>, by <policy>, that has seen runs of <cold> s cold and <warm> s warm
    When 6 calls run, and another with an objective of 0.6 s and a deadline of 4.0 s comes
    Then the other call is <decision>

    Examples:
      | phase | policy    | cold | warm | decision |
      | cold  | objective | 0.5  | 0.1  | rejected |
      | cold  | team      | 0.5  | 0.1  | queued   |
      | warm  | objective | 0.5  | 0.1  | queued   |
      | warm  | team      | 0.5  | 0.1  | queued   |

  Scenario Outline: A queue keeps nothing of calls that have left it
    Given a gate with 6 slots warm, by <policy>, that has seen runs of 0.5 s cold and 0.1 s warm
    When 2000 calls of a low rank <end> while one of a higher rank waits
    Then the queue keeps at most 130 entries, and the waiting call starts next

    Examples: Guards against memory and waits that grow as long as a server is full
      | policy    | end            |
      | objective | are cancelled  |
      | objective | expire         |
      | team      | are cancelled  |
      | team      | expire         |

  Scenario Outline: A queued call is refused once it would start too late
    Given a gate with 6 slots warm, by <policy>, that has seen runs of 0.5 s cold and 0.1 s warm
    When a call of a low rank has 2.0 s left, and <others> of a higher rank come at once
    Then the call of a low rank leaves the queue after <least> to <most> s

    Examples: Guards against a caller that waits in vain until its deadline
      | policy    | others | least | most |
      | objective | 160    | 0.0   | 0.1  |
      | objective | 60     | 0.9   | 1.1  |
      | objective | 5      | 0.0   | 0.2  |
      | team      | 160    | 1.9   | 2.0  |

  Scenario Outline: A cold server gets its rate and what may exceed it
    Given a gate with 6 slots cold, by <policy>, that takes 5.5 calls per second
    When calls of 0.05 s come every 0.01 s for 2 s
    Then at most <most> start in any second, and at least <least> in all

    Examples: Guards against a cold server that gets more than its bound
      | policy                          | most | least |
      | team                            | 6    | 10    |
      | objective                       | 6    | 10    |
      | objective with an overshoot 1.5 | 8    | 15    |

  # Nested calls take as much of the second service as the first one runs:
  # 6 servers x 5.5 calls x 3 s = 99 runs end well at most.
  Scenario Outline: After a power failure, runs don't fail for want of room
    Given cold servers of two services by <policy>, at twice the load that they take
    When half of the requests make a call to the other service while they run
    Then <share> or more of the runs end well, and at least <least> in all

    Examples: The load of two services for 3 s, 12 servers of 5.5 calls a second
      | policy    | share | least |
      | objective | 0.95  | 85    |

  Scenario Outline: Work is learned apart from the speed of servers
    Given a work model that has seen runs of <ratio> times the server's average, <spread>
    Then a call with <left> s left runs <run> s, on average <average> s
    And it is late there with a probability from <low> to <high>

    Examples:
      | ratio | spread           | left | average | run  | low  | high |
      | 1.0   | all alike        | 0.6  | 0.2     | 0.2  | 0.0  | 0.01 |
      | 1.0   | all alike        | 0.6  | 0.5     | 0.5  | 0.0  | 0.05 |
      | 1.0   | all alike        | 0.6  | 0.9     | 0.9  | 0.95 | 1.0  |
      | 0.5   | all alike        | 0.6  | 0.9     | 0.45 | 0.0  | 0.01 |
      | 1.0   | by a factor of 2 | 0.6  | 0.2     | 0.25 | 0.01 | 0.1  |
      | 1.0   | by a factor of 2 | 0.6  | 0.5     | 0.63 | 0.3  | 0.5  |

  Scenario Outline: A server is chosen by the chance to end in time
    Given a server in the own data centre with runs of <near> s, and two in another with runs of <far> s
    When calls whose runs vary by a factor of 2 have <left> s left
    Then <share> of them go to the own data centre

    Examples: Guards against late answers next to a data centre with fast servers
      | near | far  | left | share          |
      | 0.2  | 0.2  | 0.6  | all            |
      | 0.4  | 0.2  | 4.0  | all            |
      | 0.45 | 0.2  | 0.6  | less than half |
      | 0.4  | 0.2  | 0.0  | all            |
