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
