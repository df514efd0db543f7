Feature: The pace at which requests of callers are read

  Guards against callers whose requests cost much to read and that keep the
  event loop busy, fill the memory, or take the turns of others.

  Scenario Outline: Slices grow while their bytes are cheap to parse
    Given a request whose slices had <bytes and events>
    Then the next slice has <next> bytes

    Examples:
      | bytes and events          | next |
      | 1024/1                    | 4096 |
      | 1024/16                   | 4096 |
      | 1024/17                   | 1024 |
      | 1024/1, 4096/1            | 16384 |
      | 1024/1, 4096/1000         | 1024 |

  Scenario Outline: A costly request is refused only for the sake of others
    Given a request of <bytes> bytes in <events> events
    When <waiting> connections wait
    Then its refusal is due: <due>

    Examples:
      | bytes  | events | waiting | due |
      | 24576  | 4096   | 8       | yes |
      | 24576  | 4096   | 7       | no  |
      | 24576  | 4095   | 8       | no  |
      | 65535  | 4096   | 8       | yes |
      | 65536  | 4096   | 8       | no  |

  Scenario Outline: The least costly request is parsed next
    Given connections that wait after the events <events>
    When the connections <ended> end
    Then they are parsed in the order <order>, and none is left

    Examples:
      | events      | ended | order |
      | a=5 b=1 c=3 | d     | b c a |
      | a=2 b=2 c=2 | d     | a b c |
      | a=5 b=1 c=3 | b     | c a   |
      | a=5 b=1 c=3 | a b c | none  |

  Scenario Outline: A turn of the event loop has bounded work
    Given a turn of the event loop with <events> events
    Then more is parsed in it: <more>

    Examples:
      | events | more |
      | 0      | yes  |
      | 511    | yes  |
      | 512    | no   |

  Scenario Outline: Requests of one read are parsed as they are answered
    Given a caller's connection at a node with 100000000 bytes of memory
    When it brings <count> short requests in one read
    Then at most 200 of them are kept as requests
    And all <count> are answered, and no bytes are kept or unread

    Examples:
      | count |
      | 20    |
      | 1000  |
      | 14000 |

  Scenario Outline: Bytes that were cheap to parse do not let costly ones in
    Given a caller's connection at a node with 100000000 bytes of memory
    When it brings a chunk of <size> bytes, and then chunks of one byte
    Then at most <limit> events are parsed in that turn of the event loop

    Examples:
      | size   | limit |
      | 100    | 512   |
      | 100000 | 3072  |
      | 900000 | 3072  |

  Scenario Outline: Held bytes are parsed while few requests wait
    Given a connection on which <waiting> requests wait, and <condition>
    Then with <held> others that wait for memory more is parsed: <parsed>

    Examples:
      | waiting | condition                | held | parsed |
      | 16      | the caller takes answers | 0    | yes    |
      | 17      | the caller takes answers | 0    | no     |
      | 8       | the caller takes answers | 9    | no     |
      | 0       | the caller takes nothing | 0    | no     |
      | 17      | no more is read          | 0    | yes    |

  Scenario Outline: A part of a request behind others is refused in time
    Given a caller's connection at a node with 100000000 bytes of memory
    And header and idle time limits of 0.1 s and 5 s
    When it brings <count> short requests and a part of one in one read
    Then the part is refused within 0.4 s of the other <count> answers

    Examples:
      | count |
      | 0     |
      | 3     |
      | 1000  |
      | 1009  |

  Scenario Outline: A request that comes in pieces keeps its headers and body
    When a request with <headers> headers and <body> comes in pieces of <size> bytes
    Then it is read once, with all headers in order and its whole body

    Examples:
      | headers | body                   | size  |
      | 0       | a body of 0 bytes      | 1     |
      | 1       | a body of 0 bytes      | 7     |
      | 1000    | a body of 0 bytes      | 1     |
      | 1000    | a body of 60000 bytes  | 1000  |
      | 1000    | 300 chunks of 2 bytes  | 3     |
      | 3       | 300 chunks of 1000 bytes | 900 |
      | 1000    | 2 chunks of 40000 bytes | 100000 |
