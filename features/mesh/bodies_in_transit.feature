Feature: Bodies in transit between two nodes

  Guards against a caller that is told that its request may have run, or loses
  it, because a node stops or a link ends while the body is on its way.

  Scenario Outline: A stopping node waits for the bodies on their way to it
    Given 2 hosts with bodies up to 67 MB and no server on the first
    And <served> calls of its route have been served
    When a body of 20 MB is on its way to another host, which stops, and arrives <arrival>
    Then its caller gets <status>, and the request has run <runs> times
    And the host ended <end>, and has refused <refused> calls for its stop

    Examples:
      | served | arrival     | status | runs | end                 | refused |
      | 0      | after 3.0 s | 200    | 1    | once it was served  | 0       |
      | 1      | not in time | 503    | 0    | within 6.0 s        | 1       |
      | 0      | cancelled   | none   | 0    | without waiting     | 0       |

    Examples: its run time is not known, and its deadline is after the stop
      | served | arrival     | status | runs | end                 | refused |
      | 0      | not in time | 503    | 0    | without waiting     | 1       |

  Scenario Outline: A call whose body has not been sent whole has not run
    Given <hosts> hosts with bodies up to 67 MB and no server on the first
    When a body of 20 MB is on its way to another host, and <end>
    Then its caller gets <status>, and the request has run <runs> times

    Examples: another server takes the call, or it is refused as not run
      | hosts | end                 | status | runs |
      | 2     | its link is reset   | 503    | 0    |
      | 2     | the host is killed  | 503    | 0    |
      | 3     | its link is reset   | 200    | 1    |
      | 3     | the host is killed  | 200    | 1    |

    Examples: the call has arrived
      | hosts | end                                 | status | runs |
      | 2     | its link is reset while the call runs | 502  | 1    |
      | 3     | its link is reset while the call runs | 502  | 1    |

  Scenario: A body that was not sent whole is explained
    Given 2 hosts with bodies up to 67 MB and no server on the first
    When a body of 20 MB is on its way to another host, and its link is reset
    Then explain prints overloaded and "the link to host 127.0.1.2 ended before; not run"

  Scenario Outline: A link that has ended reports the calls that it has not sent
    Given a link between two nodes with 300 MB
    When the link is reset, and a call with a body of <size> MB is sent <when>
    Then the call is reported as unsent, once

    Examples:
      | size   | when           |
      | 0.0002 | at once        |
      | 0.0002 | after its end  |
      | 1      | at once        |
      | 1      | after its end  |
      | 64     | before         |

  Scenario: The body of a refused call is discarded
    Given a link between two nodes with 300 MB
    When a call with a body of 64 MB is refused after its first part
    Then the receiver gets no more of it and holds no bytes
