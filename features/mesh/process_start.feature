Feature: Start and end of a node process

  Guards against a process that ends by itself because of what passes by
  itself: signals in series, a port that is still held, a settings file that
  is being written.

  Scenario Outline: A signal during the imports does not kill the process
    Given a node process that is not started yet
    When it gets <signals> while it imports <module>
    Then it <outcome>

    Examples:
      | signals               | module         | outcome                                     |
      | SIGHUP                | asyncio        | serves, and ends with status 0 after SIGTERM |
      | SIGHUP SIGHUP         | msgspec        | serves                                       |
      | SIGHUP                | uvloop         | serves                                       |
      | SIGTERM               | asyncio        | ends with status 0 within 5.0 s             |
      | SIGINT                | httptools      | ends with status 0 within 5.0 s             |
      | SIGTERM               | uvloop         | ends with status 0 within 5.0 s             |
      | SIGHUP SIGTERM SIGHUP | uvloop         | ends with status 0 within 5.0 s             |

  Scenario Outline: A signal during the start does not kill the process
    Given a node process that is not started yet
    When it gets <signals> <after> ms after it handles signals
    Then it <outcome>

    Examples:
      | signals                              | after | outcome                                      |
      | SIGHUP                               | 0     | serves, and ends with status 0 after SIGTERM |
      | SIGHUP                               | 150   | serves                                       |
      | SIGTERM                              | 0     | ends with status 0 within 5.0 s              |
      | SIGTERM                              | 60    | ends with status 0 within 5.0 s              |
      | SIGTERM                              | 200   | ends with status 0 within 5.0 s              |
      | SIGTERM                              | 300   | ends with status 0 within 5.0 s              |
      | SIGHUP SIGHUP SIGTERM SIGTERM SIGHUP | 30    | ends with status 0 within 5.0 s              |
      | SIGHUP SIGHUP SIGTERM SIGTERM SIGHUP | 250   | ends with status 0 within 5.0 s              |

  Scenario: Drawn series of signals during start and stop do not kill a process
    Given a node process that is not started yet
    Then any series of signals after that ends a node with status 0

  Scenario Outline: Signals in series until the end cut no call
    Given a node process that serves a call of 0.8 s
    When it gets <signals>, and again until it has ended
    Then the call gets 200
    And it ends with status 0 within 5.0 s

    Examples:
      | signals                              |
      | SIGTERM                              |
      | SIGHUP SIGHUP SIGTERM SIGTERM SIGHUP |

  Scenario Outline: A process that was paused when SIGTERM came is not killed with open calls
    Given a node process with 3.0 s to stop that serves a call of 9.0 s
    When it is paused, gets SIGTERM, goes on after <pause> s, and is killed 3.0 s after SIGTERM
    Then the call gets 502
    And it ends with status 0 within 1.0 s

    Examples:
      | pause |
      | 0.8   |
      | 2.0   |

  Scenario: A process ends as soon as its stop is over
    Given a node process whose interpreter takes 5.0 s to end serves a call of 0.8 s
    When it gets SIGTERM during the call
    Then the call gets 200
    And it ends with status 0 within 5.0 s

  Scenario Outline: A port that the previous process holds is waited for
    Given a node process that is not started yet
    And its <port> port is held
    When it is started, and the port is let go after 1.5 s
    Then it serves
    And it has written port-held 1 times

    Examples:
      | port    |
      | callers |
      | ready   |
      | links   |
      | metrics |

  Scenario Outline: No port takes connections while another one is held
    Given a node process that is not started yet
    And its <held> port is held
    When it is started, and waits for the port
    Then its ports <others> are closed
    And they are open once the port is let go

    Examples:
      | held    | others                |
      | callers | links, ready, metrics |
      | ready   | callers, links        |
      | links   | callers, ready        |
      | metrics | callers, links, ready |

  Scenario: Of two processes that wait for a port, one takes all ports
    Given a node process that is not started yet
    And its callers port is held
    When it is started twice, and the port is let go
    Then one process serves
    And after a SIGTERM to it the other one has opened all ports

  Scenario Outline: A port that another process takes once it is bound is waited for
    Given a node process that is not started yet
    When it is started, and its <port> port is taken for 1.0 s once it is bound
    Then it serves
    And it has written port-held 1 times

    Examples:
      | port    |
      | callers |
      | links   |
      | metrics |

  Scenario Outline: A port that is held for longer than the grace period is waited for
    Given a node process that is not started yet
    And its grace period is 0.6 s
    And its <port> port is held
    When it is started, and the port is let go after 3.0 s
    Then it serves
    And it has written port-held 1 times
    And it has written "setting": "<setting>" 1 times
    And it has written "address": "127.0.5.1:{<port>}" 1 times

    Examples:
      | port    | setting         |
      | callers | listen.outbound |
      | ready   | listen.ready    |
      | links   | innerPorts      |

  Scenario: An address that can't be opened ends the process with its own status
    Given a node process that is not started yet
    And its callers address is 256.0.0.1
    When it is started
    Then it ends with status 3 within 5.0 s
    And its error line contains listen.outbound and 256.0.0.1:{callers}
    And it has written start-failed 1 times

  Scenario Outline: A process that waits for a port can be stopped
    Given a node process that is not started yet
    And its callers port is held
    When it is started, and gets <signal> once it waits for the port
    Then it ends with status 0 within 2.0 s

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |

  Scenario Outline: A settings file that is being written is read again
    Given a node process that is not started yet
    And its settings file is <state>
    When it is started, and the file is complete after <after> s
    Then it serves

    Examples:
      | state        | after |
      | missing      | 0.7   |
      | empty        | 0.7   |
      | half written | 0.7   |

  Scenario Outline: Settings that stay invalid are reported with one line and read again
    Given a node process that is not started yet
    And its settings file is <state>
    When it is started, and the file is complete after 4.0 s
    Then it serves
    And its error line contains <named>

    Examples:
      | state        | named           |
      | missing      | boot.toml       |
      | empty        | ip: None        |
      | half written | boot.toml       |
      | limits = 3   | limits: 3       |

  Scenario: A process that waits for its settings can be stopped
    Given a node process that is not started yet
    And its settings file is missing
    When it is started, and gets SIGTERM after 1.5 s
    Then it ends with status 0 within 2.0 s

  Scenario Outline: A signal in the start of the interpreter does not kill the process
    Given a node process that is not started yet
    When it gets <signal> once it has run for as long as an empty program takes
    Then it <outcome>

    Examples: Guards against processes ended by signals before their first line
      | signal  | outcome                          |
      | SIGHUP  | serves                           |
      | SIGTERM | ends with status 0 within 5.0 s  |

  Scenario Outline: A bad value in a reload does not cut the stop
    Given a node process that serves a call of 0.8 s
    When its bound of the grace period becomes <value> and it gets SIGHUP SIGTERM
    Then the call gets 200
    And it ends with status 0 within 5.0 s

    Examples:
      | value |
      | nan   |
      | 1e300 |

  Scenario Outline: A stop keeps to a grace period that has just changed
    Given a node process with <grace> s to stop that serves a call of <run> s
    When its bound of the grace period becomes <changed> and it gets <signals>
    Then the call gets <status>
    And it ends with status 0 within 5.0 s

    Examples: Guards against calls broken off by the bound of older settings
      | grace | changed | run | signals        | status |
      | 2.0   | 6       | 2.5 | SIGTERM        | 200    |
      | 2.0   | 6       | 2.5 | SIGHUP SIGTERM | 200    |
      | 6     | 2.0     | 9.0 | SIGTERM        | 502    |

  Scenario Outline: An error in the stop does not cut a call
    Given a node process whose <part> fails serves a call of 0.8 s
    When it gets SIGTERM during the call
    Then the call gets 200
    And it ends with status 0 within 5.0 s
    And it has written made to fail <lines> times

    Examples:
      | part                                   | lines |
      | transport.CallerServer.start_closing   | 2     |
      | transport.CallerServer.close_idle      | 2     |
      | _node.Node._reload                     | 2     |

  Scenario Outline: A node serves without a working standard output
    Given a node process that is not started yet
    When it is started with a standard output that is <state>
    Then it serves without a log
    And its standard output is no socket of its own

    Examples:
      | state                   |
      | closed                  |
      | closed, like the others |
      | a pipe without a reader |
      | a full pipe             |

  Scenario: A node reports the peak of its own memory
    Given a node process that is not started yet
    When it is started by a program that takes 200 MB
    Then it serves without a log
    And its metrics report a peak of at most 150 MB
