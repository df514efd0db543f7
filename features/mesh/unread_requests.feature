Feature: Requests that the kernel has received and the node has not read

  Guards against requests that are lost on a busy host, where a time limit can
  pass between the arrival of a request and the moment at which it is read.

  Scenario Outline: A stop answers a request that the node has not read yet
    Given a deployment of 2 hosts on the event loop of a process
    When node 0 stops, and a request comes on <connection> while the node is held up, from <from> s to <to> s
    Then it gets the statuses 503, only the last of which closes

    Examples:
      | connection         | from | to  |
      | an idle connection | 2.2  | 2.6 |
      | a new connection   | 2.2  | 2.6 |

  Scenario Outline: A connection that opens late in a stop is refused or answered
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 7 s and answer with 1 kB
    When node 0 stops in a call, and a request comes on a new connection while the node is held up, from <from> s to <to> s
    Then it gets <what>

    Examples:
      | from | to  | what                 |
      | 4.9  | 5.7 | an answer 503        |
      | 5.4  | 5.8 | no connection at all |

  Scenario: A node that is late all the time drops no connection in a stop
    Given a deployment of 2 hosts on the event loop of a process
    And servers run for 7 s and answer with 1 kB
    When node 0 stops in a call, and a request comes on a new connection every 0.3 s from 3.0 s to 5.8 s, with the node held up for 0.25 s each time
    Then each gets an answer 503 or no connection at all
    And the last gets no connection at all

  Scenario: The idle limit does not close a connection with an unread request
    Given a deployment of 2 hosts on the event loop of a process
    And idle connections are closed after 0.6 s
    When a request comes on a connection that was idle for 0.5 s, and the node is held up for 0.4 s
    Then it gets 1 complete answers

  Scenario: Bytes that are not read extend the header limit once
    Given a deployment of 2 hosts on the event loop of a process
    And requests have to arrive within 0.6 s
    When a caller sends half a head, and bytes are unread at each look
    Then it gets 0 complete answers, then 408, and the connection ends
    And its answer has come within 1.5 s

  Scenario Outline: Bytes that are not read count as due
    Given a connection on which <due> is due
    When it is found idle with <unread> bytes that are not read
    Then a stop says <stop>, a time limit says <limit>, and the answer being written in a stop is <answer>

    Examples:
      | due                   | unread | stop  | limit             | answer   |
      | nothing               | 0      | close | close             | last     |
      | nothing               | 1      | wait  | wait              | not last |
      | a part of a request   | 0      | wait  | refuse-incomplete | not last |
      | a part of a request   | 1      | wait  | wait              | not last |
      | nothing after a close | 1      | close | close             | last     |

  Scenario: No request comes between the decision to close a connection and its end
    Given a deployment of 1 hosts on the event loop of a process
    When node 0 stops, and is held up for 0.3 s once it has decided to close an idle connection
    Then its caller has seen the end before it sends, or gets 1 answers
