Feature: Answers that a node owes when it closes a connection

  Scenario Outline: A stop cuts no answer and drops no request that was read
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for <run> s and answer with <kB> kB
    When <callers> callers send <requests> requests each, read at <mbit> Mbit/s, and node 0 stops after <at> s
    Then each caller gets <requests> complete answers, only the last of which closes
    And node 0 has stopped within 6.0 s

    Examples: Guards against cut answers
      | callers | requests | run | kB   | mbit | at  |
      | 3       | 1        | 2.5 | 4000 | 20   | 0.5 |
      | 1       | 1        | 2.5 | 2000 | 8    | 0.2 |

    Examples: Guards against dropped pipelined requests
      | callers | requests | run | kB   | mbit | at  |
      | 4       | 4        | 0.6 | 0    | 0    | 0.3 |
      | 1       | 8        | 0.2 | 0    | 0    | 0.1 |
      | 1       | 3        | 0.2 | 1000 | 40   | 0.1 |

  Scenario Outline: A refusal comes after the answers that were due before it
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.3 s and answer with 0 kB
    When a caller sends <before> requests and then <refused>
    Then it gets <before> complete answers, then <status>, and the connection ends

    Examples:
      | before | refused               | status |
      | 0      | a body of 3 MB        | 413    |
      | 1      | a body of 3 MB        | 413    |
      | 3      | a body of 3 MB        | 413    |
      | 1      | a header of 70 kB     | 413    |
      | 1      | a line without method | 400    |
      | 3      | an upgrade            | 400    |

  Scenario Outline: A node that knows no limits yet promises that a large request has not run
    Given a deployment of 1 hosts on the event loop of a process
    When the store responds to no host
    And the node of host 0 is killed and restarted
    And a caller sends 0 requests and then <refused>
    Then it gets 0 complete answers, then 503, and the connection ends

    Examples:
      | refused           |
      | a body of 3 MB    |
      | a header of 70 kB |

  Scenario: Requests that wait when the time of a stop ends are refused
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 9.0 s and answer with 0 kB
    When a caller sends 3 requests and a part of another, and node 0 stops
    Then it gets the statuses 502 503 503 503, only the last of which closes
    And node 0 has stopped within 6.0 s

  Scenario Outline: A stop ends before the process is killed
    Given a deployment of 2 hosts on the event loop of a process with <grace> s to stop
    And servers run for 9.0 s and answer with 0 kB
    When a caller sends 1 requests and a part of another, and node 0 stops
    Then it gets the statuses 502 503, only the last of which closes
    And node 0 has stopped within <grace> s

    Examples:
      | grace |
      | 1.0   |
      | 2.5   |
      | 4.0   |

  Scenario Outline: A stop ends before the process is killed if it is late at the end
    Given a deployment of 2 hosts on the event loop of a process with <grace> s to stop
    And servers run for <run> s and answer with <kB> kB
    When a caller sends a request and reads at <mbit> Mbit/s, and node 0 stops and is held up <held>
    Then node 0 has stopped within <grace> s

    Examples:
      | grace | run | kB   | mbit | held                                         |
      | 6.0   | 9.0 | 0    | 0    | from 4.0 s to 4.5 s and from 5.56 s to 6.2 s |
      | 6.0   | 0.1 | 4000 | 1    | from 5.0 s to 5.8 s                          |
      | 3.0   | 0.1 | 4000 | 1    | from 2.2 s to 2.8 s                          |

  Scenario Outline: Bytes after the last request do not cut its answer
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.1 s and answer with 1000 kB
    When a caller sends a request that closes, <kB> kB <wait> s after it, and reads at 20 Mbit/s
    Then it gets 1 complete answers

    Examples:
      | kB    | wait |
      | 200   | 0.0  |
      | 8000  | 0.0  |
      | 200   | 0.3  |
      | 8000  | 0.3  |
      | 40000 | 0.3  |

  Scenario Outline: A body that goes on after its refusal does not cut answers
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.1 s and answer with <kB> kB
    When a caller sends <before> requests, then <MB> MB of a body, and reads at <mbit> Mbit/s
    Then it gets <before> complete answers, then 413, and the connection ends

    Examples:
      | before | kB   | MB | mbit |
      | 0      | 0    | 30 | 20   |
      | 1      | 200  | 30 | 4    |
      | 1      | 1000 | 30 | 20   |
      | 3      | 100  | 30 | 4    |

  Scenario Outline: A caller that leaves an unread answer behind is forgotten
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.1 s and answer with <kB> kB
    When a caller sends a request that closes, 8 MB after it, and leaves after 1.0 s without reading
    Then node 0 has no connection of callers left after 3.0 s

    Examples:
      | kB   |
      | 0    |
      | 300  |
      | 1000 |
      | 4000 |

  Scenario Outline: A request that does not arrive in time is refused as not run
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.3 s and answer with 0 kB
    And requests have to arrive within 0.5 s
    When a caller sends <before> requests and, as its next one, <what>
    Then it gets <before> complete answers, then 408, and the connection ends
    And the servers have run <before> requests

    Examples:
      | before | what                        |
      | 0      | half a head                 |
      | 0      | a head without its body     |
      | 0      | half a body                 |
      | 0      | a head, a byte each 0.1 s   |
      | 0      | a body, a byte each 0.1 s   |
      | 0      | chunks, one each 0.1 s      |
      | 1      | half a head                 |
      | 3      | half a body                 |
      | 3      | a body, a byte each 0.1 s   |

  Scenario Outline: An error of the node is not blamed on the caller
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.3 s and answer with 0 kB
    When a caller sends <before> requests and another in whose <callback> the reader fails
    Then it gets <before> complete answers, then 503, and the connection ends
    And the servers have run <before> requests
    And the log names the error that the node met in <callback>

    Examples:
      | before | callback            |
      | 0      | on_message_begin    |
      | 0      | on_url              |
      | 0      | on_header           |
      | 0      | on_headers_complete |
      | 0      | on_body             |
      | 0      | on_message_complete |
      | 3      | on_header           |
      | 3      | on_body             |

  Scenario Outline: An error of the node costs no request that was read
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.3 s and answer with 0 kB
    When a caller sends <before> requests and another after which the reader fails, with <header>
    Then it gets the statuses <statuses>, only the last of which closes
    And the log names the error that the node met in on_message_complete

    Examples:
      | before | header                 | statuses    |
      | 0      | Connection: keep-alive | 200 503     |
      | 2      | Connection: keep-alive | 200 200 200 503 |
      | 0      | Connection: close      | 200         |
      | 2      | Connection: close      | 200 200 200 |

  Scenario Outline: A connection that opens late in a stop is answered
    Given a deployment of 2 hosts on the event loop of a process
    When node 0 is held up for <held> s, stops in <busy>, and <opened> s later a connection opens that sends a request after <wait> s
    Then it gets the statuses 503, only the last of which closes

    Examples:
      | held | busy             | opened | wait |
      | 0.0  | an upload        | 2.4    | 0.0  |
      | 0.0  | an upload        | 2.4    | 0.3  |
      | 0.0  | an upload        | 2.25   | 0.2  |
      | 1.0  | a call of 4.75 s | 4.5    | 0.4  |

  Scenario Outline: A stop leaves a caller time to read its last answer
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for <run> s and answer with 0 kB
    When a caller sends a request, node 0 stops, and the caller sends more bytes after <more> s
    Then the connection takes these bytes
    And it gets 1 complete answers

    Examples: Guards against a reset that destroys an answer
      | run | more |
      | 2.1 | 2.5  |
      | 2.1 | 2.9  |
      | 2.6 | 3.2  |

  Scenario Outline: A reply to another node is read there before the process ends
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 2.5 s and answer with <kbytes> kB
    When a caller of host 1 is served by host 0, which stops, and host 1 pauses reading for <pause> s
    Then it gets 1 complete answers

    Examples:
      | kbytes | pause |
      | 4000   | 1.0   |
      | 0      | 0.5   |
      | 0      | 1.0   |
      | 50     | 1.0   |

  Scenario Outline: A late process reads the answers that have come before the deadline
    Given a deployment of 2 hosts on the event loop of a process
    When a <method> with <left> s to its deadline is sent to host <host>, answered after <run> s, and nothing runs for <held> s from then on
    Then it gets <status> and the request has run 1 times

    Examples:
      | method | host | left | run | held | status |
      | POST   | 0    | 0.6  | 0.5 | 0.3  | 200    |
      | GET    | 0    | 0.6  | 0.5 | 0.3  | 200    |
      | POST   | 1    | 0.6  | 0.5 | 0.3  | 200    |
      | POST   | 0    | 0.6  | 0.5 | 1.0  | 200    |
      | POST   | 0    | 0.6  | 9.0 | 0.3  | 504    |

  Scenario: A caller that pauses reading is not taken for dead
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.02 s and answer with 4000 kB
    When a caller sends 1 requests and reads nothing for 6.0 s
    Then it gets 1 complete answers

  Scenario: Answers to a caller that reads nothing do not pile up
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.02 s and answer with 1000 kB
    When a caller sends 16 requests and reads nothing for 1.5 s
    Then node 0 held at most 1100 kB that were not sent
    And it gets 16 complete answers

  Scenario Outline: What is due on a connection decides the next step
    Given a connection on which <due> is due
    When the decision is taken in the phase <phase>
    Then its next step is <step>, and the answer being written is <answer>

    Examples:
      | due                         | phase         | step           | answer   |
      | nothing                     | serving       | wait           | not last |
      | nothing                     | closing       | wait           | last     |
      | a waiting request           | serving       | start-request  | not last |
      | a waiting request           | closing       | start-request  | not last |
      | a waiting request           | callers-left  | start-request  | not last |
      | a waiting request           | window-closed | refuse-request | not last |
      | a part of a request         | closing       | wait           | not last |
      | a refusal                   | serving       | send-refusal   | not last |
      | a refusal                   | closing       | send-refusal   | not last |
      | a waiting request, refusal  | closing       | start-request  | not last |
      | a waiting request, refusal  | window-closed | refuse-request | not last |
      | a request in progress       | window-closed | wait           | not last |
      | a waiting request, blocked  | closing       | wait           | not last |
      | a refusal, blocked          | closing       | wait           | not last |
      | nothing after a close       | serving       | wait           | last     |

  Scenario Outline: An idle connection is closed once it owes nothing
    Given a connection on which <due> is due
    When it is found <age> s after it opened, <phase>, with <bytes> bytes undelivered
    Then a stop says <stop>, and a time limit says <limit>

    Examples:
      | due                   | age | phase         | bytes | stop  | limit |
      | nothing               | 9.0 | serving       | 0     | wait  | close |
      | nothing               | 9.0 | closing       | 0     | wait  | close |
      | nothing               | 9.0 | callers-left  | 0     | close | close |
      | nothing               | 0.1 | callers-left  | 0     | wait  | close |
      | nothing               | 0.6 | callers-left  | 0     | close | close |
      | nothing               | 9.0 | callers-left  | 1     | wait  | wait  |
      | a waiting request     | 9.0 | callers-left  | 0     | wait  | wait  |
      | a request in progress | 9.0 | window-closed | 0     | wait  | wait  |
      | a part of a request   | 9.0 | callers-left  | 0     | wait  | refuse-incomplete |
      | a part of a request   | 9.0 | serving       | 1     | wait  | wait  |
      | a request in progress, a part of a request | 9.0 | serving | 0 | wait | wait |
      | a refusal             | 9.0 | callers-left  | 0     | wait  | wait  |

  Scenario Outline: Requests of one read are all answered in a stop
    Given a deployment of 2 hosts on the event loop of a process
    When node 0 stops, and 0.3 s later a caller sends at once <what>
    Then it gets the statuses <statuses>, only the last of which closes
    And node 0 has stopped within 4.0 s

    Examples: Guards against requests that are dropped behind a refused one
      | what                                   | statuses |
      | a refused request and a good one       | 400 503  |
      | two refused requests                   | 400 400  |
      | a refused request and two good ones    | 400 503 503 |

  Scenario: Answers that callers do not take do not fill the memory
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.01 s and answer with 4000 kB
    When 30 callers each get an answer and read nothing of it
    Then node 0 held at most 60000 kB that were not sent
    And another caller is served

  Scenario Outline: A server that pauses reading a body is not taken for dead
    Given a server that reads nothing of a body for <pause> s
    When a request with a body of <size> MB is sent to it
    Then its response arrives after <pause> s

    Examples:
      | size | pause |
      | 8    | 1.0   |
      | 8    | 4.0   |

  Scenario: Callers that leave do not fill the log
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 0.5 s and answer with 0 kB
    When 60 callers leave without waiting for their answers
    Then at most 2 lines say that their connections were cut

  Scenario Outline: Callers that take nothing for longest are disconnected first
    Given callers that have not taken <unsent> bytes, in order of time
    Then with a limit of 100 bytes, <dropped> of them are disconnected

    Examples:
      | unsent     | dropped |
      | 100        | 0       |
      | 60, 41     | 1       |
      | 1, 60, 60  | 2       |
      | 200        | 1       |
