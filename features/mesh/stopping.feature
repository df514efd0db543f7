Feature: Calls during a planned stop

  Guards against a call that is taken late in the grace period, runs, and is
  cut without an answer when the process is killed.

  The grace period is the time from SIGTERM to SIGKILL, 6 s in a deployment.

  Scenario Outline: A call that comes late is served or refused, never cut
    Given a deployment of 2 hosts with a time limit of 6.0 s
    When node 0 stops by a signal that it handles <late> s late, and after <at> s <what> comes that runs for <run> s
    Then it gets <status> and the request has run <runs> times
    And it got that within <within> s

    Examples:
      | late | at  | what                               | run | status | runs | within |
      | 0.0  | 0.5 | a request                          | 0.2 | 200    | 1    | 0.6    |
      | 0.0  | 1.5 | a request                          | 5.0 | 503    | 0    | 0.3    |
      | 0.0  | 4.0 | a request                          | 0.2 | 503    | 0    | 0.3    |
      | 0.0  | 4.0 | the end of an upload               | 2.5 | 503    | 0    | 0.3    |
      | 0.0  | 4.0 | a call of its backend server       | 0.2 | 200    | 1    | 0.6    |
      | 0.0  | 4.8 | a call of its backend server       | 2.5 | 503    | 0    | 0.3    |
      | 0.0  | 0.6 | a first call of its backend server | 0.2 | 200    | 1    | 0.6    |
      | 0.0  | 4.8 | a first call of its backend server | 0.2 | 503    | 0    | 0.3    |
      | 0.0  | 1.0 | the start of an upload             | 0.2 | 503    | 0    | 5.0    |
      | 1.0  | 1.8 | a request                          | 0.2 | 200    | 1    | 0.6    |
      | 1.0  | 2.6 | a request                          | 0.2 | 503    | 0    | 0.3    |

  Scenario Outline: A late call that runs longer than those before it is answered by its server
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When node 0 stops after it was held up for <held> s, and after <at> s its server makes a call that takes <run> s instead of 0.05 s, and is <late> s late at a deadline
    Then it gets <status> and the request has run 1 times
    And it got that within <within> s
    And node 0 has stopped within 6.0 s

    Examples:
      | held | at  | run | late | status | within |
      | 0.0  | 4.8 | 0.3 | 0.0  | 200    | 0.5    |
      | 0.0  | 4.8 | 0.9 | 0.0  | 504    | 0.7    |
      | 0.0  | 4.8 | 0.9 | 0.2  | 504    | 0.9    |
      | 0.0  | 4.0 | 2.5 | 0.0  | 504    | 1.5    |
      | 1.0  | 4.0 | 0.8 | 0.0  | 200    | 1.0    |
      | 1.0  | 4.0 | 2.5 | 0.0  | 504    | 1.2    |

  Scenario Outline: A call that outlasts the grace period gets a true answer
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When a <method> that runs for 9.0 s is sent to host <host>, and node 0 stops
    Then it gets 502 and the request has run 1 times
    And node 0 has stopped within 6.0 s

    Examples:
      | method | host |
      | POST   | 0    |
      | POST   | 1    |

  Scenario Outline: The window of a stop allows for a process that runs late
    Given a process that was late by <delay> s, <ago> s before it is told to stop
    When it last ran <paused> s before it handles the signal, with <grace> s to stop
    Then it takes only calls that are expected to end within <window> s

    Examples:
      | delay | ago | paused | grace | window |
      | 0.0   | 0.1 | 0.0    | 6.0   | 5.3    |
      | 0.0   | 0.1 | 2.0    | 6.0   | 3.3    |
      | 0.3   | 0.1 | 0.0    | 6.0   | 5.0    |
      | 0.3   | 2.5 | 0.0    | 6.0   | 5.0    |
      | 0.3   | 5.0 | 0.0    | 6.0   | 5.3    |
      | 9.0   | 0.1 | 0.0    | 6.0   | 4.6    |
      | 0.3   | 0.1 | 1.0    | 6.0   | 4.3    |
      | 9.0   | 0.1 | 0.0    | 1.0   | 0.3    |

  Scenario Outline: A process that runs late breaks off no call before the last sixth of a stop
    Given a process that was late by <delay> s, 0.1 s before it is told to stop
    When it last ran <paused> s before it handles the signal, with 6.0 s to stop
    Then it breaks off calls after <after> s
    And it takes callers as gone after <gone> s

    Examples:
      | delay | paused | after | gone |
      | 0.0   | 0.0    | 5.6   | 2.3  |
      | 0.2   | 0.0    | 5.4   | 2.3  |
      | 0.6   | 0.0    | 5.3   | 2.3  |
      | 9.0   | 0.0    | 5.3   | 2.3  |
      | 0.6   | 0.3    | 5.3   | 2.3  |
      | 9.0   | 0.6    | 5.0   | 2.3  |
      | 9.0   | 1.0    | 4.6   | 2.3  |
      | 9.0   | 2.5    | 3.1   | 2.1  |

  Scenario Outline: A process that becomes late in a stop breaks off calls earlier
    Given a process that was late by <before> s, 0.1 s before it is told to stop
    When it last ran <paused> s before it handles the signal, with 6.0 s to stop
    And it becomes late by <late> s
    Then it breaks off calls after <after> s

    Examples: Not before its servers have answered at the end of their time
      | before | paused | late | after |
      | 0.0    | 0.0    | 0.0  | 5.6   |
      | 0.0    | 0.0    | 0.1  | 5.5   |
      | 0.0    | 0.0    | 0.6  | 5.4   |
      | 0.2    | 0.0    | 0.6  | 5.3   |
      | 0.6    | 0.0    | 0.1  | 5.3   |
      | 9.0    | 1.0    | 0.6  | 4.6   |

  Scenario Outline: A call that ends before the last sixth of a stop is answered by a late process
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When a <method> that runs for <run> s is sent to host 0, and node 0 stops after it was held up for 1.0 s
    Then it gets 200 and the request has run 1 times
    And node 0 has stopped within 6.0 s

    Examples:
      | method | run |
      | GET    | 4.9 |
      | POST   | 4.9 |

  Scenario Outline: A call that ends before the last sixth of a stop is answered if the signal was handled late
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When a <method> that runs for 5.4 s is sent to host 0, and node 0 stops after it was held up for 1.0 s and again for 0.5 s
    Then it gets 200 and the request has run 1 times
    And node 0 has stopped within 6.0 s

    Examples:
      | method |
      | GET    |
      | POST   |

  Scenario Outline: A process that is late at the end of a stop reads the answers that have come
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When a <method> that runs for <run> s is sent to host 0, and node 0 stops and is held up from 5.0 s to 5.7 s
    Then it gets 200 and the request has run 1 times
    And node 0 has stopped within 6.0 s

    Examples:
      | method | run |
      | GET    | 5.3 |
      | POST   | 5.3 |

  Scenario Outline: An answer that comes just before calls are broken off is not replaced by a late process
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When a <method> that runs for <run> s is sent to host <host>, and node 0 stops and is held up from <from> s to <to> s
    Then it gets 200 and the request has run 1 times
    And node 0 has stopped within 6.0 s

    Examples:
      | method | run  | host | from | to   |
      | GET    | 5.53 | 0    | 5.50 | 5.63 |
      | POST   | 5.53 | 0    | 5.50 | 5.63 |
      | POST   | 5.53 | 1    | 5.50 | 5.63 |

  Scenario Outline: An answer that a server has made is not given up since its node is late
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When a <method> runs for <run> s at host 1, whose node answers <late> s late, and node 0 stops after it was held up for <held> s
    Then it gets <status> and the request has run 1 times
    And node 0 has stopped within 6.0 s

    Examples:
      | method | run | late | held | status |
      | GET    | 4.9 | 0.6  | 1.0  | 200    |
      | POST   | 4.9 | 0.6  | 1.0  | 200    |
      | POST   | 4.9 | 0.76 | 0.0  | 200    |
      | POST   | 4.9 | 1.5  | 1.0  | 502    |

  Scenario Outline: A server on a late host gets less time in a stop
    Given a process that gets 6.0 s to stop, was late by <own> s, and has calls that run for 0.1 s at the longest
    When a call of it would run on a host that is late by <peer> s
    Then a call after <at> s with 15.0 s to its deadline is <taken>
    And its server would get <given> s

    Examples:
      | own | peer | at  | taken   | given |
      | 0.0 | 0.0  | 5.1 | taken   | 0.2   |
      | 0.0 | 0.3  | 5.1 | taken   | 0.2   |
      | 0.0 | 0.6  | 4.9 | taken   | 0.15  |
      | 0.0 | 0.6  | 5.1 | refused | -0.05 |
      | 0.6 | 0.6  | 4.5 | taken   | 0.5   |
      | 0.0 | 9.0  | 4.6 | refused | 0.05  |

  Scenario: A late host's answer to a late call comes before a stop gives it up
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When node 1 answers 0.6 s late, and node 0 stops, and after 4.6 s its server makes a call that takes 0.9 s instead of 0.05 s
    Then it gets 504 and the request has run 1 times
    And node 0 has stopped within 6.0 s

  Scenario: A call that a host reads late in a stop ends by the deadline that it was given
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When node 1 reads calls 0.5 s late, and node 0 stops, and after 4.6 s its server makes a call that takes 0.9 s instead of 0.05 s
    Then it gets 504 and the request has run 1 times
    And node 0 has stopped within 6.0 s

  Scenario Outline: What the gate knows at the end of a stop reaches the caller
    Given a deployment of 2 hosts with a time limit of 20.0 s
    When the time of node 0 to stop is over just when <what>
    Then it gets <status> and the request has run <runs> times

    Examples:
      | what                           | status | runs |
      | a server has answered a call   | 200    | 1    |
      | a server has refused a call    | 503    | 0    |
      | a call waits for a slot        | 503    | 0    |
      | a server is at work on a call  | 502    | 1    |

  Scenario Outline: A call that is taken in a stop has a deadline in the stop
    Given a process that gets <grace> s to stop, was late by <late> s, and has calls that run for <run> s at the longest
    Then a call after <at> s with <left> s to its deadline is <taken>
    And its server would get <given> s

    Examples:
      | grace | late | run | at  | left | taken   | given |
      | 6.0   | 0.0  | 0.1 | 4.9 | 15.0 | taken   | 0.4   |
      | 6.0   | 0.0  | 0.1 | 5.2 | 15.0 | taken   | 0.1   |
      | 6.0   | 0.0  | 0.1 | 5.3 | 15.0 | refused | 0.0   |
      | 6.0   | 0.0  | 0.1 | 5.2 | 0.05 | taken   | 0.05  |
      | 6.0   | 0.0  | 1.0 | 4.3 | 15.0 | taken   | 1.0   |
      | 6.0   | 0.0  | 1.0 | 4.4 | 15.0 | refused | 0.9   |
      | 10.0  | 0.0  | 1.0 | 4.3 | 15.0 | taken   | 5.0   |
      | 3.0   | 0.0  | 0.1 | 2.1 | 15.0 | taken   | 0.2   |
      | 6.0   | 1.0  | 0.1 | 4.4 | 15.0 | taken   | 0.6   |
      | 6.0   | 1.0  | 0.1 | 4.6 | 15.0 | refused | 0.4   |
      | 6.0   | 0.3  | 0.1 | 4.4 | 15.0 | taken   | 0.6   |
      | 10.0  | 1.0  | 0.1 | 8.0 | 15.0 | taken   | 0.333 |
      | 3.0   | 0.6  | 0.1 | 1.8 | 15.0 | taken   | 0.5   |
      | 2.4   | 1.0  | 0.1 | 1.4 | 15.0 | taken   | 0.3   |

  Scenario Outline: A gate takes what is expected to end in time
    Given a gate task beside a server with <slots> slots
    And calls have run for <seen> s there
    When it stops with <close> s left, and <calls> calls with <left> s to their deadline arrive after <at> s
    Then <taken> of them are taken and the others are refused at once

    Examples:
      | slots | seen | close | at  | calls | left | taken |
      | 2     | 0.2  | 5.6   | 1.0 | 2     | 2.0  | 2     |
      | 2     | 0.2  | 5.6   | 5.0 | 2     | 2.0  | 2     |
      | 2     | 0.2  | 5.6   | 5.5 | 2     | 2.0  | 0     |
      | 2     | 0.2  | 5.6   | 5.3 | 6     | 2.0  | 2     |
      | 2     | 1.0  | 5.6   | 4.0 | 2     | 2.0  | 2     |
      | 2     | 1.0  | 5.6   | 5.0 | 2     | 2.0  | 0     |
      | 2     | 1.0  | 9.6   | 5.0 | 2     | 2.0  | 2     |
      | 2     | 0.5  | 5.6   | 4.0 | 10    | 4.0  | 5     |
      | 2     | 0.5  | 9.6   | 4.0 | 10    | 4.0  | 10    |
      | 2     | 2.0  | 9.6   | 8.0 | 2     | 4.0  | 0     |
      | 2     | none | 5.6   | 4.0 | 2     | 4.0  | 0     |
      | 2     | none | 5.6   | 4.0 | 2     | 1.5  | 2     |

  Scenario Outline: A server gets no more time for a call than a stop leaves
    Given a gate task beside a server with 1 slots
    And calls have run for 0.2 s there
    When it stops with <close> s left, and <calls> calls with <left> s to their deadline arrive <when>
    Then the server is given <given> s for the last one

    Examples:
      | close | calls | left | when        | given |
      | 4.0   | 1     | 9.0  | after 1.0 s | 3.0   |
      | 4.0   | 1     | 2.0  | after 1.0 s | 2.0   |
      | 4.0   | 2     | 9.0  | after 1.0 s | 2.8   |
      | 4.0   | 2     | 9.0  | before      | 3.8   |
      | 4.0   | 1     | 9.0  | before      | 9.0   |

  Scenario Outline: A server gets no time that a call has waited unread
    Given a gate task beside a server with 1 slots
    And calls have run for 0.2 s there
    When a call with <left> s to its deadline arrives that may have waited <unread> s
    Then the server is given <given> s for the last one

    Examples:
      | left | unread | given |
      | 2.0  | 0.0    | 2.0   |
      | 2.0  | 0.6    | 1.4   |
      | 0.8  | 0.6    | 0.4   |

  Scenario Outline: Queued calls go elsewhere while there is time
    Given a gate task beside a server with 2 slots
    And calls have run for 0.5 s there
    When <calls> calls with 5.0 s to their deadline wait, and it stops with <close> s left
    Then <refused> of them are refused at once

    Examples:
      | calls | close | refused |
      | 12    | 9.6   | 0       |
      | 12    | 1.7   | 6       |
      | 2     | 1.7   | 0       |

  Scenario: Few calls are cut when a busy server is stopped
    Given a busy server whose calls take 0.3 s on average, with a long tail
    When its node is stopped 100 times with 5.6 s left, and calls go on to arrive
    Then under 1 in 200 of the calls taken after that are cut
    And over 80 in 100 of those that could have ended are taken
