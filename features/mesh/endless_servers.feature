Feature: Backend servers that send without end

  Guards against a node that keeps what a server has sent for calls that have
  failed: its process runs out of memory, and ends with the requests of all its
  callers.

  Scenario Outline: A node stays within its memory beside a server that never stops
    Given a node process with 120 MB and 400 descriptors
    When 60 callers call a server that sends <what> for every call, 300 times in all
    Then an ordinary request is answered with 200 once the server has recovered
    And the process still runs, with at most 120 MB and 400 descriptors

    Examples:
      | what                                 |
      | send-chunks-of-64-kb-without-end     |
      | send-a-body-without-end              |
      | send-chunks-of-one-byte-without-end  |
      | send-chunks-without-end              |
      | send-a-body-of-a-terabyte            |
      | send-headers-without-end             |
      | send-one-header-without-end          |
      | send-trailers-without-end            |
      | send-interim-responses-without-end   |

  Scenario Outline: Many large answers at once leave a node within its memory
    Given a node process with 120 MB and 400 descriptors
    And its server has 64 slots and answers of <size> bytes
    When 64 callers call a server that sends <what> for every call, 640 times in all
    Then an ordinary request is answered with 200 once the server has recovered
    And the process still runs, with at most 120 MB and 400 descriptors

    Examples:
      | size    | what                             |
      | 20      | send-chunks-of-64-kb-without-end |
      | 20      | send-a-body-without-end          |
      | 4000000 | serve                            |
      | 4000000 | unframed                         |
