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
