Feature: Peers that send bytes without end

  Guards against bytes that are kept before they are counted: the process runs
  out of memory, and the requests of other callers are lost with it.

  Scenario Outline: A stray connection does not fill the memory
    Given a deployment of 1 hosts
    When a stray connection to the <port> port sends <what> up to <most> MB
    Then it has been ended within <limit> s and the node has accepted less than 16 MB
    And the node holds less than 4 MB more than before
    And its log has <event> with the reason <reason>
    And a caller is served

    Examples: each port
      | port    | what                        | most | limit | event                     | reason             |
      | callers | a request line              | 64   | 3     | request-refused           | headers            |
      | callers | a header name               | 64   | 3     | request-refused           | headers            |
      | callers | a header value              | 64   | 3     | request-refused           | headers            |
      | callers | header lines                | 64   | 3     | request-refused           | headers            |
      | callers | blank lines                 | 64   | 3     | request-refused           | headers            |
      | callers | a body                      | 64   | 3     | request-refused           | body               |
      | callers | chunks                      | 64   | 3     | request-refused           | body               |
      | callers | a chunk extension           | 64   | 3     | request-refused           | headers            |
      | callers | a trailer                   | 64   | 3     | request-refused           | headers            |
      | callers | trailers                    | 64   | 3     | request-refused           | headers            |
      | status  | a request line              | 64   | 3     | status-connection-aborted | request-too-large  |
      | status  | a header value              | 64   | 3     | status-connection-aborted | request-too-large  |
      | status  | header lines                | 64   | 3     | status-connection-aborted | request-too-large  |
      | status  | blank lines                 | 64   | 3     | status-connection-aborted | request-too-large  |
      | status  | a body                      | 64   | 3     | status-connection-aborted | request-too-large  |
      | status  | a trailer                   | 64   | 3     | status-connection-aborted | request-too-large  |
      | status  | half a request and no more  | 64   | 7     | status-connection-aborted | request-timeout    |
      | metrics | a request line              | 64   | 3     | status-connection-aborted | request-too-large  |
      | metrics | requests and reads nothing  | 1    | 3     | status-connection-aborted | responses-unread   |
      | links   | a frame of 80 MB            | 64   | 3     | link-rejected             | frame-before-hello |
      | links   | frames without a Hello      | 64   | 3     | link-rejected             | frame-before-hello |
      | links   | nothing                     | 64   | 3     | link-rejected             | no-hello           |
      | links   | half a Hello and no more    | 64   | 3     | link-rejected             | no-hello           |

  Scenario: Heads at the limit are accepted however they are split
    Given a deployment of 1 hosts
    Then a head of 16000 bytes is served in parts of 1, 100, 4000 and 20000 bytes
    And 200 pipelined requests of 1000 bytes are served in parts of 30000 bytes

  Scenario Outline: A store that sends without end is given up
    Given a store that answers with <what> up to 64 MB
    When the node sends it a <kind>
    Then the read has failed within <limit> s and the store has sent less than 16 MB

    Examples:
      | kind  | what                 | limit |
      | page  | a header value       | 3     |
      | page  | interim answers      | 3     |
      | page  | a body               | 3     |
      | page  | chunks               | 3     |
      | page  | a trailer            | 3     |
      | page  | garbage              | 3     |
      | watch | a header value       | 3     |
      | watch | interim answers      | 3     |
      | watch | a body               | 3     |
      | watch | chunks               | 3     |
      | page  | a byte each 0.1 s    | 7     |
      | watch | a byte each 0.1 s    | 7     |

  Scenario Outline: A listing without end is given up
    Given a store whose pages hold <items> entries of <bytes> bytes and never end
    When a node reads them
    Then it takes less than <limit> MB and <pages> pages, and loses the store

    Examples:
      | items | bytes   | limit | pages |
      | 1     | 1000000 | 80    | 100   |
      | 100   | 0       | 80    | 10001 |
      | 0     | 0       | 1     | 10001 |
