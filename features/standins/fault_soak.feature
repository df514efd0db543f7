Feature: The fault soak

  Guards against checks that miss a violation, and runs nodes as processes
  under short seeded plans of faults.

  Scenario Outline: Each check detects its violation
    Given a run in which <what>
    Then <check> finds <found>

    Examples:
      | what                                           | check           | found   |
      | a booking runs once                            | at_most_once    | nothing |
      | a booking runs twice                           | at_most_once    | a fault |
      | a lookup runs twice                            | at_most_once    | nothing |
      | a booking is refused and does not run          | true_refusals   | nothing |
      | a booking is refused and runs                  | true_refusals   | a fault |
      | a booking is answered 502 and runs             | true_refusals   | nothing |
      | an answer is cut                               | whole_answers   | a fault |
      | a request runs that nobody sent                | known_callers   | a fault |
      | a request runs for another team                | known_callers   | a fault |
      | a server sees a key                            | known_callers   | a fault |
      | a withdrawn key is served at once              | withdrawn_keys  | nothing |
      | a withdrawn key is served 3 s later            | withdrawn_keys  | a fault |
      | a withdrawn key is served 3 s later in a fault | withdrawn_keys  | nothing |
      | a withdrawn key is refused and served again    | withdrawn_keys  | a fault |
      | a leaving server gets a late request           | no_new_work     | a fault |
      | a leaving server gets a late request in a fault | no_new_work    | nothing |
      | a leaving server gets a late request from a busy host | no_new_work | nothing |
      | a leaving server gets a late request beside a busy host | no_new_work | a fault |
      | a leaving server gets a request 3 s after a restore | no_new_work | nothing |
      | a leaving server gets a request later after a restore | no_new_work | a fault |
      | a withdrawn key is served 3 s after a restore  | withdrawn_keys  | nothing |
      | a withdrawn key is served later after a restore | withdrawn_keys | a fault |
      | an added route is unknown for 2 s              | added_routes    | nothing |
      | an added route is unknown for longer           | added_routes    | a fault |
      | an added route is unknown for longer in a fault | added_routes   | nothing |
      | an added route is unknown 3 s after a restore  | added_routes    | nothing |
      | an added route is unknown later after a restore | added_routes   | a fault |
      | an added route is served and gone              | added_routes    | a fault |
      | an added route is served and fails             | added_routes    | nothing |
      | a cold server gets 20 requests in a second     | cold_servers    | nothing |
      | a cold server gets 21 requests in a second     | cold_servers    | a fault |
      | a team runs 470 requests in 5 s                | quotas          | nothing |
      | a team runs 471 requests in 5 s                | quotas          | a fault |
      | 59 of 100 requests in 9 s are repeated         | retries         | nothing |
      | 61 of 100 requests in 9 s are repeated         | retries         | a fault |
      | 31 of 100 requests in 9 s are repeated twice   | retries         | a fault |
      | 120 of 400 requests in 40 s are repeated       | retries         | a fault |
      | a planned stop cuts a request that ran         | planned_stops   | a fault |
      | a planned stop cuts a request that did not run | planned_stops   | nothing |
      | a kill cuts a request that ran                 | planned_stops   | nothing |
      | a planned stop cuts an answer of a slow reader | planned_stops   | a fault |
      | a reader is too slow for the grace period      | planned_stops   | nothing |
      | a reader notices late that a planned stop cut its answer | planned_stops | a fault |
      | a reader was too slow for a stop before the last | planned_stops | nothing |
      | a stop before the last ended before the request | planned_stops | a fault |
      | a planned stop cuts a request that was sent whole | planned_stops | a fault |
      | a planned stop cuts a request before its last byte | planned_stops | nothing |
      | a server is at work until the end of the grace period | planned_stops | nothing |
      | a node leaves a server early                   | planned_stops   | a fault |
      | a server is at work on a request sent late     | planned_stops   | a fault |
      | a SIGHUP cuts a request that was sent whole    | reloads         | a fault |
      | a SIGHUP cuts a request before its last byte   | reloads         | nothing |
      | a node cuts a request that was sent whole      | cuts            | a fault |
      | a node cuts a request before its last byte     | cuts            | nothing |
      | the soak notices 2.9 s late that a request of 3 s ended | cuts            | nothing |
      | the soak notices 2.7 s late that a request of 3 s ended | cuts            | a fault |
      | the soak was late before a request that was sent whole | cuts            | a fault |
      | the soak notices late that a request ended that ran | cuts            | a fault |
      | a node cuts an answer of a slow reader         | cuts            | a fault |
      | a node cuts a request that ran                 | cuts            | a fault |
      | a node cuts a request that ran in a fault      | cuts            | nothing |
      | a node cuts a request that ran on a busy host  | cuts            | a fault |
      | a node cuts a request that ran while the store is away | cuts            | a fault |
      | a node cuts a request that ran while its ports are held | cuts            | nothing |
      | a node cuts a request that ran while another's ports are held | cuts            | a fault |
      | a request behind an answer that closes does not run | cuts            | nothing |
      | a request behind an answer that closes runs    | cuts            | a fault |
      | a planned stop cuts a request that ran         | cuts            | a fault |
      | a planned stop cuts an answer of a slow reader | cuts            | a fault |
      | a reader is too slow for the grace period      | cuts            | nothing |
      | a server is at work until the end of the grace period | cuts            | nothing |
      | a node leaves a server early                   | cuts            | a fault |
      | a SIGHUP cuts a request that was sent whole    | cuts            | a fault |
      | a reader was too slow for a stop of a process it never had | cuts            | a fault |
      | a reader is too slow for a stop of the next process | cuts            | a fault |
      | a server is late for a stop of the next process | cuts            | a fault |
      | the next process stops before a cut is noticed | cuts            | a fault |
      | the next process stops before a cut is noticed | planned_stops   | nothing |
      | another host is killed after the process of a cut has ended | cuts            | a fault |
      | another host is killed after the process of a cut has ended | planned_stops   | a fault |
      | another host is killed before the process of a cut has ended | cuts            | nothing |
      | another host is killed before the last possible process ends | cuts            | nothing |
      | the process of a cut gets a SIGHUP             | reloads         | a fault |
      | the next process gets a SIGHUP before a cut is noticed | reloads         | nothing |
      | the next process gets a SIGHUP before a cut is noticed | cuts            | a fault |
      | a server is at work until the end, with a SIGHUP | reloads         | nothing |
      | a server is at work until the end, with a SIGHUP | cuts            | nothing |
      | a node leaves a server early, with a SIGHUP    | reloads         | a fault |
      | a stop replaces a run                          | replaced_answers | a fault |
      | a stop replaces a run whose server answers later | replaced_answers | a fault |
      | a stop begins after a run was given up         | replaced_answers | nothing |
      | a node replaces a run without a stop           | replaced_answers | nothing |
      | the stop of another node replaces a run        | replaced_answers | nothing |
      | a server breaks a run off in a stop            | replaced_answers | nothing |
      | a server ends during a run in a stop           | replaced_answers | nothing |
      | a server ended before a run in a stop          | replaced_answers | a fault |
      | a stop replaces a run in the last sixth        | replaced_answers | nothing |
      | a stop replaces a run before the last sixth    | replaced_answers | a fault |
      | a stop replaces a late run in the last sixth   | replaced_answers | a fault |
      | a node replaces an answer 500                  | replaced_answers | a fault |
      | a node replaces an answer 500 in a fault       | replaced_answers | nothing |
      | a node answers before its server               | replaced_answers | nothing |
      | a node passes an answer 500 on                 | replaced_answers | nothing |
      | a node replaces an answer to a slow reader     | replaced_answers | nothing |
      | a node replaces an answer to a half-closed GET | replaced_answers | nothing |
      | a node replaces an answer to a half-closed POST | replaced_answers | a fault |
      | a half-closed GET is cut in a stop             | planned_stops   | a fault |
      | a node replaces an answer at the limit         | replaced_answers | nothing |
      | a node replaces an answer before the limit     | replaced_answers | a fault |
      | 4 of 20 are served with foreign entries        | foreign_entries | a fault |
      | 5 of 20 are served with foreign entries        | foreign_entries | nothing |
      | 4 of 20 are served as 3 of 4 nodes stop        | foreign_entries | nothing |
      | 4 of 20 are served as 2 of 4 nodes stop        | foreign_entries | a fault |
      | 4 of 20 are served after 3 of 4 nodes stopped  | foreign_entries | a fault |
      | 16 of 20 fail as 3 of 4 nodes stop             | foreign_entries | a fault |
      | 16 of 20 are broken off by servers             | foreign_entries | nothing |
      | 16 of 20 run and fail                          | foreign_entries | a fault |
      | 4 of 20 are served with foreign entries in a fault | foreign_entries | nothing |
      | 4 of 20 are served while the store is away     | foreign_entries | nothing |
      | 4 of 20 are served while ports are held        | foreign_entries | a fault |
      | a public request is served with foreign entries | foreign_entries | nothing |
      | a public request is refused with foreign entries | foreign_entries | a fault |
      | a public request is lost with foreign entries  | foreign_entries | a fault |
      | a public request is refused as foreign entries begin | foreign_entries | a fault |
      | a public request is refused while foreign entries stay | foreign_entries | a fault |
      | a public request is refused after foreign entries | foreign_entries | nothing |
      | a public request is refused with foreign entries in a fault | foreign_entries | nothing |
      | a public request is refused with foreign entries in a stop | foreign_entries | nothing |
      | a public request times out with foreign entries | foreign_entries | nothing |
      | a public request fails with foreign entries    | foreign_entries | a fault |
      | a public request is refused as half of the servers leave | foreign_entries | a fault |
      | a public request is refused as most servers leave | foreign_entries | nothing |
      | a public request is refused while its node stops | foreign_entries | nothing |
      | a public request is refused long after its node stopped | foreign_entries | a fault |
      | a request with a key is refused with foreign entries | foreign_entries | nothing |
      | a process is killed                            | process_ends    | nothing |
      | a process is killed by another                 | process_ends    | a fault |
      | a process ends well after a SIGTERM            | process_ends    | nothing |
      | a process ends well after a SIGHUP             | process_ends    | a fault |
      | a process ends with status 1 after a SIGTERM   | process_ends    | a fault |
      | a process ends with status 2                   | process_ends    | a fault |
      | a SIGHUP ends a process that starts            | process_ends    | a fault |
      | a SIGTERM ends a process that starts           | process_ends    | a fault |
      | a SIGHUP ends an interpreter that starts       | process_ends    | nothing |
      | a SIGHUP ends a program that starts            | process_ends    | a fault |
      | a process takes 300 MiB                        | memory          | nothing |
      | a process takes 301 MiB                        | memory          | a fault |
      | a node writes a traceback                      | tracebacks      | a fault |
      | nothing is served at the end                   | recovery        | a fault |

  Scenario Outline: The soak finds its own errors
    When the soak <leaves>
    Then its own errors are <found>

    Examples:
      | leaves                        | found     |
      | leaves nothing                | not found |
      | leaves a stream open          | found     |
      | leaves an error in a callback | found     |

  Scenario Outline: A seed always gives the same faults
    Given the plan of seed <seed> for 8 hosts and 30 s
    Then it is the same when it is generated again
    And its faults overlap and leave 8 s at the end

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A node gets several very large bodies at once
    Given the first 20 bursts of seed <seed> for 8 hosts
    Then they are the same when they are drawn again
    And each has 2 to 4 bodies of 8 to 64 MiB that follow within 1 s
    And some bursts have 2 bodies of 64 MiB or more

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Nodes get their processors late and start late
    Given the faults of busy hosts of seeds 1 to 20 for 8 hosts and 30 s
    Then they are the same when they are drawn again
    And some are <faults>
    And each of these has <what> from <low> to <high>

    Examples:
      | faults          | what                      | low  | high |
      | HostsBusy       | a time in s               | 2.0  | 8.4  |
      | HostsBusy       | shortest pause in s       | 0.05 | 0.25 |
      | HostsBusy       | longest pause in s        | 0.05 | 0.25 |
      | HostsBusy       | longest turn in s         | 0.02 | 0.08 |
      | HostsBusy       | number of signals         | 2    | 2    |
      | ManyStopped     | number of stopped hosts   | 4    | 8    |
      | ManyStopped     | time of all stops in s    | 0.0  | 1.0  |
      | SettingsMissing | time without settings in s | 3.0 | 8.0  |
      | PortsHeld       | time beyond the grace in s | 0.5 | 3.0  |

  Scenario Outline: The store comes back from older copies
    Given the restores of seeds 1 to 20 within 22 s
    Then they are the same when they are drawn again
    And each of these has <what> from <low> to <high>

    Examples:
      | what                  | low | high |
      | age of the copy in s  | 0.5 | 8.0  |
      | time away in s        | 0.1 | 5.0  |
      | time between two in s | 0.0 | 0.9  |

  Scenario Outline: The run times of a route do not hold
    Given the first <count> run times of seed <seed>
    Then 5 or more of 0.02 s come before some of 0.5 to 4.9 s
    And this happens more than once

    Examples:
      | seed | count |
      | 1    | 200   |
      | 2    | 200   |

  Scenario: Some callers end their sending side
    Given 100 loads that demanding callers draw
    Then 10 to 30 of them end the sending side

  Scenario Outline: Requests of unusual form are whole
    Given 100 requests that overlapping callers draw with form <form>
    Then each has <what> in <count> or more of its parts

    Examples:
      | form    | what                         | count |
      | PLAIN   | Content-Length               | 1     |
      | CHUNKED | Transfer-Encoding: chunked   | 1     |
      | CHUNKED | Sum: 1                       | 1     |
      | EXPECT  | Expect: 100-continue         | 1     |
      | EXPECT  | Content-Length               | 1     |
      | HALVES  | HTTP/1.1                     | 1     |

  Scenario Outline: A short run of node processes
    When <faults> of seed <seed> are run on <hosts> hosts for <seconds> s
    Then no guarantee is violated

    Examples:
      | faults       | seed | hosts | seconds | why                                        |
      | planned work | 4    | 6     | 16      | failed: signals, ports, settings and answers in stops |
      | planned work | 5    | 6     | 16      | failed: entries of an unknown service at all servers  |
      | planned work | 3    | 8     | 30      | failed: large bodies took a node's memory             |
      | all faults   | 1    | 5     | 18      | a short run                                |
      | all faults   | 11   | 5     | 18      | a short run                                |
      | all faults   | 8    | 8     | 30      | failed: two plans for one data centre met  |
      | all faults   | 302  | 6     | 30      | failed: a new connection repeated a rejection |
      | planned work | 102  | 6     | 30      | failed: tables after the store was restored |

  Scenario: A stopped soak leaves no process
    Given a running soak of 3 hosts
    When it gets a SIGTERM
    Then none of its 3 node processes exists after 5 s

  Scenario: A soak that is stopped in the start of a process leaves none
    Given a soak of 3 hosts that gets a SIGTERM in the start of its last process
    Then none of its 3 node processes exists after 5 s
