Feature: The server that a call is placed on

  Guards against herds, against queues beside idle servers, and against bytes
  between data centres that save nothing.

  Scenario Outline: The server at which a call ends first is chosen
    Given servers with these loads
      | id   | data centre | busy | limit | run  | failing |
      | near | belt-a      | <nb> | 12    | 0.1  | <nf>    |
      | far  | belt-b      | <fb> | 12    | 0.1  | 0.0     |
    When 100 calls are placed one by one from belt-a
    Then most go to <wanted>

    Examples:
      | nb | fb | nf  | wanted |
      | 0  | 0  | 0.0 | near   |
      | 11 | 0  | 0.0 | near   |
      | 30 | 0  | 0.0 | far    |
      | 30 | 40 | 0.0 | near   |
      | 0  | 0  | 0.5 | far    |

  Scenario Outline: Failures count against a server that has more than others
    Given servers with these loads
      | id   | data centre | busy | limit | run  | failing |
      | near | belt-a      | 0    | 12    | 0.1  | <nf>    |
      | far  | belt-b      | 0    | 12    | 0.1  | <ff>    |
      | last | belt-b      | 11   | 12    | 0.1  | <ff>    |
    When their last run was <ago> s ago
    And 100 calls are placed one by one from belt-a
    Then most go to <wanted>

    Examples:
      | nf  | ff  | ago  | wanted |
      | 0.5 | 0.0 | 0.1  | far    |
      | 0.5 | 0.4 | 0.1  | near   |
      | 0.5 | 0.0 | 20.0 | near   |

  Scenario: A server whose run time is not known yet gets its part
    Given servers with these loads
      | id  | data centre | busy | limit | run  | failing |
      | old | belt-a      | 0    | 12    | 0.04 | 0.0     |
      | new | belt-a      | 0    | 12    | 0.0  | 0.0     |
    When 24 calls are placed one by one from belt-a
    Then each server gets between 8 and 16

  Scenario: Calls sent since the last report count
    Given servers with these loads
      | id | data centre | busy | limit | run | failing |
      | a  | belt-a      | 0    | 12    | 0.1 | 0.0     |
      | b  | belt-a      | 0    | 12    | 0.1 | 0.0     |
    When 24 calls are placed one by one from belt-a
    Then each server gets between 8 and 16

  Scenario Outline: Servers that can't be used are left out
    Given servers with these loads
      | id | data centre | busy | limit | run | failing |
      | a  | belt-a      | 0    | 12    | 0.1 | 0.0     |
      | b  | belt-b      | 0    | 12    | 0.1 | 0.0     |
    When server a is <state>
    And 20 calls are placed one by one from belt-a
    Then all go to b

    Examples:
      | state       |
      | tried       |
      | unreachable |
      | closed      |

  Scenario Outline: Split weights hold in every hundred requests
    Given a route split <first> to <second>
    When 100 requests choose a part
    Then the first part gets <first>

    Examples:
      | first | second |
      | 90    | 10     |
      | 50    | 50     |
      | 1     | 99     |
