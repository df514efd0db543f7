Feature: Capacity of the backend server

  Guards against the overload of a cold backend server, and against health and
  load endpoints that lag or report wrong values.

  The server has 12 slots, 3 of them when cold, and a ramp of 10 s. The node
  has a route for internal checks, so one slot is reserved for them.

  Scenario Outline: Capacity follows answers and reports
    Given a node of service ledger
    When these events happen: <events>
    Then the capacity is <capacity>

    Examples: Only timely answers raise the capacity
      | events                                 | capacity |
      | nothing                                | 3        |
      | answers 5                              | 7        |
      | answers 10                             | 12       |
      | wait 60                                | 3        |
      | load 0.0, wait 5, load 0.0, wait 5     | 3        |
      | slow answers 10                        | 3        |

    Examples: Events after which the server counts as cold
      | events                                                | capacity |
      | answers 10, refused                                   | 3        |
      | answers 10, time-outs 3                               | 3        |
      | answers 10, time-outs 2, answers 1, time-outs 2       | 12       |
      | answers 10, hasty time-outs 5                         | 12       |
      | load 0.0, answers 10, health restarted                | 3        |
      | answers 10, wait 2, health lost                       | 3        |
      | answers 10, out north, in north                       | 3        |
      | answers 10, leaving ledger-1, live ledger-1           | 3        |
      | answers 10, server drains                             | 0        |
      | answers 10, server drains, server returns             | 3        |

    Examples: Reports that are invalid, contradicted or expired
      | events                                                | capacity |
      | answers 10, health lost                               | 12       |
      | answers 10, load -1                                   | 12       |
      | answers 10, load nan                                  | 12       |
      | answers 10, load 1.0, wait 6                          | 12       |

    Examples: Load and shedding lower the capacity
      | events                                                | capacity |
      | answers 10, load 0.5                                  | 7        |
      | answers 10, load 0.5, load 1.0                        | 3        |
      | answers 10, load 9.0                                  | 3        |
      | answers 10, sheds 1                                   | 8        |
      | answers 10, sheds 1, answers 3                        | 10       |
      | answers 10, sheds 1, answers 9                        | 12       |

  Scenario Outline: The service table limits the slots
    Given a node of service ledger with <slots> slots, <cold> cold and <connections> connections
    When these events happen: <events>
    Then the capacity is <capacity>
    And <ordinary> ordinary calls and <check> checks run

    Examples:
      | slots | cold | connections | events     | capacity | ordinary | check |
      | 12    | 3    | 110         | nothing    | 3        | 2        | 1     |
      | 12    | 12   | 6           | nothing    | 5        | 4        | 1     |
      | 90    | 90   | 110         | nothing    | 36       | 35       | 1     |
      | 4     | 1    | 110         | nothing    | 1        | 0        | 1     |
      | 4     | 1    | 110         | load 0.0, wait 4, load 0.0, wait 4, load 0.0, wait 4, load 0.0, wait 4, load 0.0   | 2        | 1        | 1     |
      | 1     | 1    | 110         | nothing    | 1        | 1        | 0     |
