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

  Scenario: The idle limit does not close a connection with an unread request
    Given a deployment of 2 hosts on the event loop of a process
    And idle connections are closed after 0.6 s
    When a request comes on a connection that was idle for 0.5 s, and the node is held up for 0.4 s
    Then it gets 1 complete answers

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

  Scenario: A connection that waits to be accepted when the window of a stop closes is answered
    Given a deployment of 2 hosts on the event loop of a process with 3.0 s to stop
    When node 0 stops while it receives an upload, and a request comes on a new connection while the node is held up, from 2.45 s to 2.75 s
    Then it gets the statuses 503, only the last of which closes

  Scenario: No request comes between the decision to close a connection and its end
    Given a deployment of 1 hosts on the event loop of a process
    When node 0 stops, and is held up for 0.3 s once it has decided to close an idle connection
    Then its caller has seen the end before it sends, or gets 1 answers
