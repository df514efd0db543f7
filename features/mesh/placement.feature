Feature: Server selection for a call

  Guards against nodes that all select the same server, against calls that
  queue while other servers are idle, and against traffic between data centres
  that saves no time.

  Scenario Outline: The server expected to complete a call first is selected
    Given servers with these reported loads
      | id   | data centre | busy | limit | run  | failing |
      | near | belt-a      | <nb> | 12    | 0.1  | <nf>    |
      | far  | belt-b      | <fb> | 12    | 0.1  | 0.0     |
    When 100 calls are placed one at a time from belt-a
    Then most calls go to <wanted>

    Examples:
      | nb | fb | nf  | wanted |
      | 0  | 0  | 0.0 | near   |
      | 11 | 0  | 0.0 | near   |
      | 30 | 0  | 0.0 | far    |
      | 30 | 40 | 0.0 | near   |
      | 0  | 0  | 0.5 | far    |

  Scenario Outline: Only failures above the typical rate count against a server
    Given servers with these reported loads
      | id   | data centre | busy | limit | run  | failing |
      | near | belt-a      | 0    | 12    | 0.1  | <nf>    |
      | far  | belt-b      | 0    | 12    | 0.1  | <ff>    |
      | last | belt-b      | 11   | 12    | 0.1  | <ff>    |
    When their last run completed <ago> s ago
    And 100 calls are placed one at a time from belt-a
    Then most calls go to <wanted>

    Examples:
      | nf  | ff  | ago  | wanted |
      | 0.5 | 0.0 | 0.1  | far    |
      | 0.5 | 0.4 | 0.1  | near   |
      | 0.5 | 0.0 | 20.0 | near   |

  Scenario: A server with an unknown run time receives its share
    Given servers with these reported loads
      | id  | data centre | busy | limit | run  | failing |
      | old | belt-a      | 0    | 12    | 0.04 | 0.0     |
      | new | belt-a      | 0    | 12    | 0.0  | 0.0     |
    When 24 calls are placed one at a time from belt-a
    Then each server receives between 8 and 16 calls

  Scenario: Calls sent since the last load report count as load
    Given servers with these reported loads
      | id | data centre | busy | limit | run | failing |
      | a  | belt-a      | 0    | 12    | 0.1 | 0.0     |
      | b  | belt-a      | 0    | 12    | 0.1 | 0.0     |
    When 24 calls are placed one at a time from belt-a
    Then each server receives between 8 and 16 calls

  Scenario Outline: Unavailable servers are excluded
    Given servers with these reported loads
      | id | data centre | busy | limit | run | failing |
      | a  | belt-a      | 0    | 12    | 0.1 | 0.0     |
      | b  | belt-b      | 0    | 12    | 0.1 | 0.0     |
    When server a is <state>
    And 20 calls are placed one at a time from belt-a
    Then all calls go to b

    Examples:
      | state       |
      | tried       |
      | unreachable |
      | closed      |

  Scenario Outline: Servers that get no call are counted by reason
    Given servers with these reported loads
      | id | data centre | busy | limit | run | failing |
      | a  | belt-a      | 0    | 12    | 0.1 | 0.0     |
      | b  | belt-b      | 0    | 12    | 0.1 | 0.0     |
    When server a is <state>
    Then 1 server is usable and 1 is excluded as <reason>
    And the data centres named for it are <named>

    Examples:
      | state                     | reason          | named  |
      | tried                     | tried           | none   |
      | unreachable               | unreachable     | none   |
      | without a link            | unreachable     | none   |
      | closed                    | not-accepting   | none   |
      | draining                  | draining        | none   |
      | displaced                 | displaced       | none   |
      | outside the regions       | region          | none   |
      | evacuated                 | data-centre-out | belt-a |
      | evacuated and unreachable | data-centre-out | belt-a |
      | evacuated and draining    | draining        | none   |

  Scenario Outline: What was measured ages only while no call completes
    Given servers with these reported loads
      | id   | data centre | busy | limit | run    | failing |
      | used | belt-a      | 0    | 12    | 0.1    | 0.0     |
      | idle | belt-a      | 0    | 12    | <idle> | 0.0     |
      | far  | belt-b      | 0    | 12    | 0.1    | 0.0     |
    When their last run completed <ago> s ago
    And this node then gets a response from server <answering>
    And 100 calls are placed one at a time from belt-a
    Then most calls go to <wanted>

    Examples:
      | idle | ago  | answering | wanted |
      | 0.15 | 0.1  | used      | used   |
      | 0.15 | 8.0  | used      | idle   |
      | 0.5  | 4.0  | used      | used   |
      | 0.5  | 12.0 | used      | idle   |
      | 0.5  | 12.0 | idle      | used   |
      | 0.05 | 0.1  | used      | idle   |

  Scenario Outline: A server that was slow for a moment soon gets its share
    Given <servers> servers whose calls run for 0.02 s
    When a node places <rate> calls per second for 45 s
    And at 5 s the calls of a server <event>
    Then from <from> s on it waits at most 3.5 s for a call
    And from <from> s on it gets at least <share> of an equal share

    Examples:
      | servers | rate | event        | from | share |
      | 6       | 100  | take 0.3 s   | 13.0 | 0.8   |
      | 6       | 100  | take 1.0 s   | 18.0 | 0.7   |
      | 6       | 300  | take 0.3 s   | 13.0 | 0.8   |
      | 12      | 200  | take 0.5 s   | 18.0 | 0.7   |
      | 6       | 100  | fail for 1 s | 13.0 | 0.7   |
      | 12      | 200  | fail for 1 s | 13.0 | 0.7   |

  Scenario Outline: Split weights are exact over a hundred requests
    Given a route with split weights <first> and <second>
    When 100 requests are distributed
    Then the first service receives <first>

    Examples:
      | first | second |
      | 90    | 10     |
      | 50    | 50     |
      | 1     | 99     |
      | 100   | 0      |
      | 0     | 100    |

  Scenario Outline: Requests are split among any number of services
    Given a route that is split into <parts>
    When <count> requests are distributed
    Then the services receive <received>

    Examples:
      | parts                          | count | received               |
      | a 50, b 30, c 20               | 100   | a 50, b 30, c 20       |
      | a 1, b 1, c 1, d 1             | 100   | a 25, b 25, c 25, d 25 |
      | a 0.5, b 0.25, c 0.25          | 100   | a 50, b 25, c 25       |
      | a 1000000000, b 1000000000     | 100   | a 50, b 50             |
      | a 30, b 40, a 30               | 100   | a 60, b 40             |
      | a 999, b 1                     | 1000  | a 999, b 1             |
      | a 0.1, b 0.2, c 0.3            | 6000  | a 1000, b 2000, c 3000 |
      | a 7                            | 10    | a 10                   |

  Scenario Outline: Nodes that begin to split do not all begin alike
    Given a route with split weights <first> and <second>
    When 200 requests arrive at random at <nodes> nodes that have just started
    Then the first service's share is at most 0.2 off its weight

    Examples:
      | nodes | first | second |
      | 10    | 70    | 30     |
      | 91    | 70    | 30     |
      | 134   | 50    | 50     |
      | 300   | 50    | 50     |
      | 300   | 70    | 30     |
      | 2200  | 50    | 50     |
      | 2200  | 75    | 25     |

  Scenario Outline: Changed split weights hold from the next request on
    Given a route with split weights <first> and <second>
    When <before> requests arrive at random at <nodes> nodes that have just started
    And the split weights change to <new first> and <new second>
    And <after> more requests arrive at random at these nodes
    Then the first service's share is at most 0.2 off its weight

    Examples:
      | nodes | before | first | second | new first | new second | after |
      | 1     | 5      | 90    | 10     | 0.9       | 0.1        | 100   |
      | 1     | 7      | 500   | 500    | 1         | 1          | 200   |
      | 134   | 200    | 50    | 50     | 99        | 1          | 200   |
      | 134   | 1000   | 50    | 50     | 1         | 99         | 200   |
      | 2200  | 9000   | 50    | 50     | 95        | 5          | 1000  |
      | 300   | 3000   | 90    | 10     | 50        | 50         | 200   |
      | 300   | 3000   | 100   | 0      | 75        | 25         | 200   |
