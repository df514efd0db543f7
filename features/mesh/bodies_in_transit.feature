Feature: Bodies in transit between two nodes

  Guards against a caller that is told that its request may have run, or loses
  it, because a node stops or a link ends while the body is on its way.

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
