Feature: Servers that answer before they have read a body

  Guards against calls that wait behind the rest of another call's body, and
  against bodies that are cut although their server goes on to read them.

  Scenario Outline: A call after an early answer does not wait for its body
    Given a deployment of 1 hosts on the event loop of a process
    And its server answers bodies at once and reads them <pause> s later
    When a caller uploads 1 MB and then sends a booking
    Then the booking is answered 200 within 0.5 s
    And the server gets the whole upload

    Examples:
      | pause |
      | 1.0   |
      | 4.0   |

  Scenario: A stop does not cut the rest of a body whose answer came early
    Given a deployment of 1 hosts on the event loop of a process
    And its server answers bodies at once and reads them 3.0 s later
    When a caller uploads 1 MB and then the node stops
    Then the server gets the whole upload
