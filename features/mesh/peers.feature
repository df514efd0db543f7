Feature: Whether a peer can be reached

  Guards against a host that gets no calls although its node answers.

  Scenario Outline: One of several links to a host ends
    Given a node that has dialled a host with <links>
    When <ended> of them is reset
    Then its entry task takes the host as <state>, and its quota task too
    And the server that is known to run there is <running>

    Examples:
      | links                  | ended     | state       | running |
      | one link               | the first | unreachable | unknown |
      | two links              | the first | reachable   | i-1     |
      | two links              | the last  | reachable   | i-1     |
      | two links, both silent | the first | silent      | i-1     |
      | two links, both silent | the last  | silent      | i-1     |

  Scenario Outline: A stopping host gets no calls while its links end one by one
    Given a node that has dialled a host with <links>
    When its server is reported to accept <accepted> calls
    And the first of them is reset
    Then a call that arrives now is <result>

    Examples: Guards against calls to a process that has ended
      | links     | accepted | result  |
      | two links | no more  | refused |
      | two links | more     | sent    |
      | one link  | no more  | refused |
      | one link  | more     | refused |

  Scenario Outline: A peer is alive while a message of it arrives
    Given a node that has dialled a host with one link
    When for <time> s <bytes> bytes of one message arrive on it each 0.1 s
    Then the link is <link>, and the entry task takes the host as <state>

    Examples:
      | time | bytes | link    | state       |
      | 6.0  | 60000 | open    | reachable   |
      | 6.0  | 2000  | open    | reachable   |
      | 6.0  | 1     | aborted | silent      |
      | 1.5  | 1     | open    | silent      |
      | 1.5  | 0     | open    | silent      |
      | 6.0  | 0     | aborted | silent      |

  Scenario Outline: A call stays on its link while another one to the host opens or ends
    Given a deployment of 2 hosts
    When a call runs over the <link> of two links to host 1, and <event>
    Then <result>

    Examples: Guards against calls that are taken for those of another link
      | link   | event                 | result                  |
      | second | the first link ends   | the call on it gets 200 |
      | first  | its caller leaves     | its run is cancelled    |

  Scenario Outline: The time in which a node does not run is no silence of its peers
    Given a node that has dialled a host with one link
    When nothing arrives on it for <silent> s, and the node does not run for <held> s after that
    Then the link is open, and the entry task takes the host as <state>

    Examples:
      | silent | held | state     |
      | 0.6    | 0.6  | reachable |
      | 0.9    | 0.4  | reachable |
      | 0.9    | 0.9  | reachable |
      | 0.9    | 1.3  | reachable |
      | 1.2    | 0.6  | silent    |

  Scenario Outline: The answer to a call that no other server takes is awaited though the peer is silent
    Given a deployment of <hosts> hosts
    When a call runs at host 1, whose node falls silent, and <others>
    Then the call on it gets 200
    And <runs> servers have run it

    Examples:
      | hosts | others                          | runs |
      | 2     | there is no other host          | 1    |
      | 3     | the node of the third one stops | 1    |
      | 3     | the caller's node stops         | 1    |
      | 3     | no retry is left in the budget  | 1    |
      | 3     | the third one is free           | 2    |

  Scenario Outline: A call that cannot be repeated stays on the link to a paused peer
    Given a deployment of 2 hosts
    When a <method> runs at host 1, whose node is not heard for <silent> s
    Then the call on it gets 200
    And another call gets 200 there, over the only link to host 1

    Examples:
      | method | silent |
      | POST   | 2.0    |
      | POST   | 2.7    |
      | POST   | 4.0    |

  Scenario Outline: A call that crosses the end of a stopping node's link goes to another server
    Given a deployment of 3 hosts
    When a <method> is sent to host 1 <moment>, before its end is noticed
    Then the call on it gets 200
    And 1 servers have run it

    Examples: Guards against calls that nobody has read and that count as run
      | method | moment                        |
      | POST   | after its gate has closed     |
      | POST   | after its link has ended      |
      | GET    | after its link has ended      |

  Scenario: A link that opens while a stopping node ends its links is ended too
    Given a deployment of 2 hosts
    When a peer dials host 1, and says who it is after the links of a stop have ended
    Then host 1 says on that link that it has not run its calls
