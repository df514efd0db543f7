Feature: Links that can't be used

  Guards against a link or a host that fails in an unexpected way and takes
  the message or the task that uses it along.

  Scenario: A message to a link that was just reset is dropped
    Given a link whose socket fails as that of uvloop after a reset
    When the reset link sends a message
    Then that is logged and counted, and no error leaves the link

  Scenario Outline: A host that can't be dialled does not end the dialler
    Given a dialler
    When it is to keep links to <host> for 0.3 s
    Then it has tried more than once

    Examples:
      | host           |
      | 127.0.0.255    |
      | a..b           |
      | a host of 300 characters |

  Scenario: A dial that is given up while its link opens leaves no link
    When a host is dialled anew after each of 0 to 29 turns of the event loop
    Then the dialling and the dialled host have one link each

  Scenario Outline: A host that leaves the list and returns keeps its links
    Given a deployment of 3 hosts
    When the server of host 1 leaves the list <times> times and returns, <event>
    Then each node has one link in each direction to each other node

    Examples: Guards against a link more with each release of a server
      | times | event                               |
      | 4     | while its node runs on              |
      | 1     | while its node restarts             |

  Scenario Outline: A node of an older version gets no message that it does not know
    Given a link to a node of protocol version <version>
    When it is to tell <what>
    Then <messages> messages are sent on it

    Examples: Guards against links that end again and again during an update
      | version | what                     | messages |
      | 0       | which hosts were removed | 0        |
      | 1       | which hosts were removed | 1        |
      | 2       | which hosts were removed | 1        |
      | 3       | which hosts were removed | 1        |
      | 2       | that an era has begun    | 0        |
      | 3       | that an era has begun    | 1        |
      | 2       | how late it runs         | 0        |
      | 3       | how late it runs         | 1        |
      | 3       | a changed load           | 0        |
      | 4       | a changed load           | 1        |

  Scenario Outline: Only a node that knows of repeats is told that a call is one
    Given a link to a node of protocol version <version>
    When a repeated call with <body> is sent on it
    Then the peer <reads> that it is a repeat

    Examples: Guards against links that end with each retry during an update
      | version | body         | reads         |
      | 4       | no body      | does not read |
      | 4       | a large body | does not read |
      | 5       | no body      | reads         |
      | 5       | a large body | reads         |

  Scenario Outline: A node that stops says which calls it has not run
    Given a link to a node of protocol version <version>
    When a call is sent on it, <reply> comes, and the peer ends it with <message>
    Then the call sent on it counts as <outcome>

    Examples: Guards against bookings that nobody has read and that count as run
      | version | reply           | message    | outcome  |
      | 2       | no reply        | LinkEnding | unsent   |
      | 2       | a part of one   | LinkEnding | lost     |
      | 2       | a reply         | LinkEnding | answered |
      | 2       | no reply        | nothing    | lost     |

  Scenario Outline: A node that stops replies to calls before it ends a link
    Given a link to a node of protocol version <version>
    When this node ends the link, <state>
    Then <times> LinkEnding messages are sent, with <unsent> calls

    Examples:
      | version | state                            | times | unsent |
      | 2       | with each call replied to        | 1     | 0      |
      | 2       | with a call that has no reply    | 1     | 1      |
      | 2       | with a body that is not sent yet | 1     | 1      |
      | 2       | with calls that were not ended   | 0     | 0      |
      | 1       | with each call replied to        | 0     | 0      |

  Scenario Outline: Two hosts that dial each other keep their first links
    Given two hosts on <loop> that dial each other <gap> turns apart
    Then each has accepted one link after 0.5 s

    Examples: Guards against dials that are given up for each other without end
      | loop    | gap |
      | uvloop  | 0   |
      | uvloop  | 1   |
      | uvloop  | 2   |
      | uvloop  | 4   |
      | asyncio | 0   |
      | asyncio | 1   |
      | asyncio | 2   |
