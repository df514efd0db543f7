Feature: Bodies in a budget of memory

  Guards against a node that holds more bodies than its memory limit allows,
  so that the platform ends it with all requests that it serves, and against
  large bodies that delay small requests.

  Scenario Outline: A claim is granted, waits or is denied
    Given the budget of a node with 300 MB that holds <held>
    When <claimed> is claimed for a <use>
    Then the claim is <decision>

    Examples:
      | held                              | claimed     | use    | decision     |
      | nothing                           | 64 MB       | caller | granted      |
      | nothing                           | 67.108864 MB | caller | granted     |
      | nothing                           | 144 MB      | caller | granted      |
      | nothing                           | 144 MB      | link   | granted      |
      | nothing                           | 145 MB      | caller | denied forever |
      | nothing                           | 145 MB      | link   | denied forever |
      | 1 MB for a caller                 | 80 MB       | caller | waiting      |
      | 1 MB for a link                   | 80 MB       | link   | denied       |
      | 64 MB for a link                  | 80 MB       | caller | granted      |
      | 64 MB for a link                  | 81 MB       | caller | waiting      |
      | 64 MB for a caller                | 80 MB       | link   | granted      |
      | 64 MB for a caller                | 81 MB       | link   | denied       |
      | 80 MB for a caller                | 64 MB       | link   | granted      |
      | 80 MB for a caller                | 65 MB       | link   | denied       |
      | 80 MB for a caller                | 0.1 MB      | caller | waiting      |
      | 80 MB of answers                  | 80 MB       | link   | denied       |
      | 0.1 MB of answers                 | 80 MB       | caller | waiting      |
      | 64 MB for a caller                | 64 MB       | caller | waiting      |
      | 64 MB for a caller                | 8 MB        | caller | granted      |
      | 64 MB for a caller, 8 MB waiting behind 64 MB | 1 MB | caller | waiting |
      | 64 MB for a caller, 64 MB for a link | 0.0002 MB | caller | granted     |
      | 64 MB for a caller                | 64 MB       | link   | granted      |
      | 64 MB for a link                  | 64 MB       | link   | denied       |
      | 80 MB of answers                  | 0.1 MB      | caller | waiting      |
      | 80 MB of answers                  | 0.06 MB     | caller | granted      |
      | 80 MB of answers                  | 64 MB       | link   | granted      |
      | 40 MB of answers                  | 30 MB       | caller | granted      |
      | nothing                           | 4 MB        | server | granted      |
      | nothing                           | 30 MB       | server | granted      |
      | 15 MB for a server                | 4 MB        | server | waiting      |
      | 15 MB for a server                | 2 MB        | server | granted      |
      | 64 MB for a caller, 64 MB for a link, 80 MB of answers | 4 MB | server | granted |
      | 15 MB for a server                | 64 MB       | caller | granted      |

  Scenario Outline: A complete answer of a server keeps no more than it takes
    Given the budget of a node with 300 MB that holds nothing
    When <count> answers of a server claim 4 MB and then <event>
    Then a further one is <decision>

    Examples:
      | count | event             | decision |
      | 4     | are received      | waiting  |
      | 40    | shrink to 0.1 MB  | granted  |
      | 12    | go to callers     | granted  |

  Scenario: Claims are granted in order of arrival
    Given the budget of a node with 300 MB that holds 64 MB for a caller
    When callers claim 40 MB, 20 MB, 30 MB and 1 MB and the first is released
    Then those of 40 MB and 20 MB are granted, and the others wait

  Scenario Outline: A body of unknown length grows its claim without a wait
    Given the budget of a node with 300 MB that holds <held>
    When a claim of 0.05 MB grows to <size>
    Then the claim has <outcome>

    Examples:
      | held               | size   | outcome |
      | nothing            | 1 MB   | grown   |
      | nothing            | 72 MB  | grown   |
      | nothing            | 73 MB  | grown   |
      | nothing            | 144 MB | grown   |
      | nothing            | 145 MB | stayed  |
      | 1 MB for a caller  | 73 MB  | stayed  |
      | 64 MB for a link   | 80 MB  | grown   |
      | 64 MB for a link   | 81 MB  | stayed  |
      | 64 MB for a caller | 9 MB   | stayed  |

  Scenario Outline: Of unfinished requests, those with the largest heads go first
    Given heads of unfinished requests may have 100 bytes in all
    When connections hold <sizes> bytes of heads
    Then connections <refused> are refused, and <held> bytes are left

    Examples:
      | sizes                  | refused | held |
      | 60, 40                 | none    | 100  |
      | 60, 41                 | 0       | 41   |
      | 10, 60, 10, 60         | 1       | 80   |
      | 50, 50, 50, 50         | 0, 1    | 100  |
      | 101                    | 0       | 0    |

  Scenario: Random claims keep to the budget and none waits forever
    When 300 random sequences of claims and releases are played
    Then the budget was never exceeded and every claim was granted in the end

  Scenario Outline: A body on a link delays no other call on it
    Given a link between two nodes with 300 MB
    When a call with a body of <size> MB is sent, and <small> small calls after it
    Then all arrive whole, and <early> small calls before the large one

    Examples:
      | size  | small | early |
      | 0.06  | 20    | 0     |
      | 16    | 20    | 20    |
      | 64    | 20    | 20    |
      | 67.1  | 20    | 20    |

  Scenario: A body without memory for it is refused as not run
    Given a link between two nodes with 300 MB
    When two calls with a body of 64 MB and one of 4 MB are sent
    Then the first and the last arrive, and the second is refused for memory
    And no bytes are held once the calls have been dropped

  Scenario: The body of a cancelled call frees its memory
    Given a link between two nodes with 300 MB
    When a call with a body of 64 MB is cancelled after its first part
    Then no bytes are held at the receiver, and a call of 64 MB arrives

  Scenario: Large answers beside each other keep a link open
    Given a link between two nodes with 300 MB
    When 12 answers of 4 MB are sent at the same time
    Then all 12 arrive whole on the link

  Scenario: Large answers beside each other are on their way one at a time
    Given a link between two nodes with 300 MB
    When answers of 4, 2, 3 and 1 MB are sent at the same time and dropped
    Then they arrive as 1, 2, 3 and 4 MB, and no more was held at a time

  Scenario: Answers of peers are counted, and are taken over the limit too
    Given a link between two nodes with 300 MB
    When 20 answers of 4 MB are kept, and then dropped
    Then 80 MB were held, and a body of a caller had to wait for them

  Scenario: A part of an answer is released with its link
    Given a link between two nodes with 300 MB
    When a peer sends a part of an answer of 4 MB and the link ends
    Then 4 MB were held, and none afterwards

  Scenario Outline: A body that breaks its announcement closes the link
    Given a link between two nodes with 300 MB
    When a peer sends <frames>
    Then the link is closed and no bytes are held

    Examples:
      | frames                              |
      | more bytes than announced           |
      | a body of 0 bytes                   |
      | a body of 90 MB                     |
      | a body that belongs to a heartbeat  |

  Scenario Outline: A body to a server on another host keeps the link open
    Given two hosts with bodies up to 67 MB and a server on the second only
    When a caller of the first host sends a body of <size> MB
    Then it gets 200, the server has the whole body, and no link has ended
    And both nodes soon hold no bytes

    Examples:
      | size |
      | 0.1  |
      | 20   |
      | 64   |

  Scenario Outline: A body larger than its part of the budget reaches another host
    Given two hosts with 200 MB, bodies up to 67 MB and a server on the second only
    When a caller of the first host sends a body of <size> MB
    Then it gets 200, the server has the whole body, and no link has ended
    And both nodes soon hold no bytes

    Examples:
      | size |
      | 48   |
      | 60   |
      | 67.1 |

  Scenario Outline: A caller's body waits for memory, or is refused as not run
    Given a node with 20 MB of memory that receives a body of <held> MB
    When another caller sends <body>, and the first body is <end>
    Then the other caller gets <status> and the first one <first>
    And the node soon holds no bytes

    Examples: there is room, or soon will be
      | held | body                       | end      | status | first |
      | 4    | 0.5 MB                     | complete | 200    | 200   |
      | 4    | 4 MB                       | complete | 200    | 200   |
      | 4    | 4 MB                       | cut      | 200    | none  |
      | 4    | 4 MB after 100 Continue    | complete | 200    | 200   |
      | 4    | 200 bytes                  | held     | 200    | none  |
      | 4    | 0.5 MB in chunks           | complete | 200    | 200   |
      | 4    | 5 MB                       | complete | 200    | 200   |

    Examples: there is no room
      | held | body             | end      | status                       | first |
      | 4    | 4 MB             | running  | 503 after 3 s                | 200   |
      | 4    | 4 MB in chunks   | held     | 503 at once                  | none  |
      | 4    | 10 MB            | complete | 413 at once                  | 200   |

  Scenario Outline: A request that comes whole waits for memory in its turn
    Given a node with 20 MB of memory, all used that is for small bodies
    When a caller sends <sent> at once, and <event>
    Then <kept> kB are counted and <first> requests run meanwhile
    And the answers are <statuses> in this order, those of 200 have run once
    And the node holds no bytes once the memory is free

    Examples:
      | sent                        | event               | kept | first | statuses    |
      | 20 kB                       | memory is free soon | 20   | 0     | 200         |
      | 20 kB                       | no memory is free   | 20   | 0     | 503         |
      | 20 kB, 0 kB, 30 kB          | memory is free soon | 50   | 0     | 200 200 200 |
      | 20 kB, 0 kB, 30 kB          | no memory is free   | 50   | 0     | 503 200 503 |
      | 0 kB, 20 kB, 0 kB           | no memory is free   | 20   | 1     | 200 503 200 |
      | 0 kB, 20 kB, 0 kB           | memory is free soon | 20   | 1     | 200 200 200 |
      | 20 kB in chunks, 0 kB       | memory is free soon | 20   | 0     | 200 200     |
      | 20 kB, a line without method | no memory is free  | 20   | 0     | 503 400     |
      | 20 kB, a line without method | memory is free soon | 20  | 0     | 200 400     |
      | 20 kB, 0 kB                 | the node stops      | 20   | 0     | 503 503     |
      | 20 kB, 0 kB                 | the caller leaves   | 20   | 0     | none        |

  Scenario Outline: Requests behind one that is refused at once are answered
    Given a node with 20 MB of memory, all used that is for small bodies
    And as many bytes as it keeps of bodies whose claims wait
    When a caller sends <sent> at once, and no memory is free
    Then 0 kB are counted and <first> requests run meanwhile
    And the answers are <statuses> in this order, those of 200 have run once
    And the node holds no bytes once the memory is free

    Examples:
      | sent                               | first | statuses    |
      | 20 kB, 0 kB                        | 1     | 503 200     |
      | 20 kB, 30 kB, 0 kB                 | 1     | 503 503 200 |
      | 0 kB, 20 kB in chunks, 0 kB        | 2     | 200 503 200 |
      | 0 kB, 20 kB, a line without method | 1     | 200 503 400 |

    Examples: a body of two reads
      | sent | first | statuses |
      | first half of 20 kB, a pause, second half of 20 kB, 0 kB | 1 | 503 200 |
      | first half of 20 kB, a pause, second half of 20 kB, 20 kB, 0 kB | 1 | 503 503 200 |
      | 0 kB, first half of 20 kB, a pause, second half of 20 kB, a line without method | 1 | 200 503 400 |
      | 0 kB, first half of 20 kB | 1 | 200 503 |

  Scenario: Bodies that come before their claims are bounded
    Given a node with 4 MB of memory, all used that is for small bodies
    When 100 callers send 41 kB each at once
    Then 6 wait and are answered 200, and 94 get 503 at once
    And the node holds no bytes once the memory is free

  Scenario: Four bodies of 64 MB at a time leave a node within its memory
    Given a node as a process with 300 MB, and six callers that book
    When four callers send bodies of 64 MB each at the same time, twice
    Then the process has never had more than 300 MB and is still the first
    And each booking is answered 200, each body 200 or 503 if it has not run
