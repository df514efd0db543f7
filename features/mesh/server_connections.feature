Feature: Connections to the backend server

  Guards against calls that are lost with a connection that has ended.

  Scenario: No call is sent on a connection that its server has just closed
    Given a server that answers at once, and reads the body after 0.0 s
    When the server closes its idle connection and a call is sent before the node reads that
    Then the call is served on another connection

  Scenario: A call whose new connection ends before it is sent counts as not run
    Given a server that answers at once, and reads the body after 0.0 s
    When a call is sent on a new connection that has ended before the node reads that
    Then the call counts as not run, and the server has read no request

  Scenario Outline: An answer that costs much to parse leaves turns to others
    Given a server whose answer has <count> <what>
    When a call is sent to it while others use the event loop
    Then the call is <outcome>
    And at most 1024 events were parsed in one turn of the event loop

    Examples:
      | count | what              | outcome              |
      | 40000 | chunks of 1 byte  | served, 40000 bytes  |
      | 40000 | chunks of 3 bytes | served, 120000 bytes |
      | 10    | chunks of 90000 bytes | served, 900000 bytes |
      | 9000  | header lines      | served, 2 bytes      |
      | 20000 | trailers          | answer-too-large     |
      | 20000 | interim responses | answer-too-large     |

  Scenario Outline: A page of the store that costs much to parse leaves turns to others
    Given a server whose answer has <count> <what>
    When it is read as a page of the store while others use the event loop
    Then no page is read
    And at most 1024 events were parsed in one turn of the event loop

    Examples:
      | count | what              |
      | 40000 | chunks of 1 byte  |
      | 20000 | interim responses |
