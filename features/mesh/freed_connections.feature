Feature: The memory of connections that have ended

  Guards against connections that are only freed by the garbage collector, which
  counts objects and not bytes: what they have read fills the memory.

  Scenario Outline: A connection that has ended is freed without the collector
    Given a deployment of 1 hosts
    And no garbage collection
    When connections of the kind <connections> have ended <end>
    Then none of them is in memory any more

    Examples:
      | connections        | end                                                |
      | server connections | in send-chunks-of-64-kb-without-end                |
      | server connections | in send-a-body-without-end                         |
      | server connections | in send-headers-without-end                        |
      | server connections | in close-after-the-head                            |
      | server connections | in reset-after-run                                 |
      | server connections | in unframed                                        |
      | store connections  | in a page                                          |
      | caller connections | after a complete request                           |
      | caller connections | after POST /open/1 HTTP/1.1..Host: a..             |
      | caller connections | after POST /open/1 HTTP/1.1..Host: a..Content-Length: 4....ab |
      | caller connections | after POST /open/1 HTTP/1.1..Host: a..Content-Length: 400000....ab |
      | caller connections | after POST /open/1 HTTP/1.1..Host: a..Transfer-Encoding: chunked....1..a |
      | caller connections | after no request..                                 |
      | status connections | after GET /metrics HTTP/1.1..Host: a..             |
      | status connections | after GET /metrics HTTP/1.1..Host: a....           |
      | links              | after half a frame                                 |
      | links              | after a Hello                                      |
      | links              | after a Hello and a part of a body                 |

  Scenario Outline: Callers that leave in turn do not fill the memory
    Given a node process with 120 MB and 400 descriptors
    When 100 callers send <what>, and leave, <times> times
    Then an ordinary request is answered with 200
    And the process still runs, with at most 120 MB and 400 descriptors

    Examples:
      | what                                    | times |
      | a head of 2600 bare lines but for its end | 40  |
      | a head of 13000 bytes but for its end   | 120   |
      | 16000 chunks of 2 bytes, but no end     | 10    |
