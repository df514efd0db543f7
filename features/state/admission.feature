Feature: Queueing, slots and placement of calls

  Scenario Outline: Teams share the slots by weight
    Guards against a small team that is starved by a large one.

    Given a node of service ledger
    When teams large and small keep <large> and <small> calls waiting
    And <count> calls are served in sequence
    Then team large gets between <least> and <most> of them

    Examples: Weights are 3 and 1
      | large | small | count | least | most |
      | 10    | 10    | 200   | 148   | 152  |
      | 20    | 2     | 200   | 148   | 152  |
      | 10    | 0     | 50    | 50    | 50   |
      | 0     | 10    | 50    | 0     | 0    |

  Scenario Outline: A waiting call gets exactly one decision
    Guards against a waiting call that is lost or starts after its deadline, or
    that never ran but keeps its token or its idempotency key.

    Given a node of service ledger whose slots are all in use
    And a waiting <kind> of team small
    When the event <event> happens
    Then its only decision is <decision>
    And its token is <token>

    Examples:
      | kind    | event                          | decision                    | token    |
      | lookup  | a call ends                    | Admitted                    | spent    |
      | booking | a call ends                    | Admitted                    | spent    |
      | check   | a call ends                    | Admitted                    | spent    |
      | lookup  | its deadline                   | DEADLINE_EXCEEDED not-run   | refunded |
      | booking | its deadline                   | DEADLINE_EXCEEDED not-run   | refunded |
      | check   | its deadline                   | DEADLINE_EXCEEDED not-run   | refunded |
      | booking | its cancellation               | CALL_CANCELLED not-run      | refunded |
      | lookup  | withdraw small                 | KEY_UNKNOWN not-run         | refunded |
      | check   | withdraw small                 | KEY_UNKNOWN not-run         | refunded |
      | lookup  | out north                      | ForwardTo                   | refunded |
      | booking | leaving ledger-1               | ForwardTo                   | refunded |
      | check   | stop                           | ForwardTo                   | refunded |
      | lookup  | server drains                  | ForwardTo                   | refunded |
      | lookup  | out north, in north            | ForwardTo                   | refunded |
      | lookup  | out south                      | none yet                    | spent    |

  Scenario Outline: A call without a token waits for one
    Guards against the refusal of a call within its team's rate while another
    host of the service holds the token and is about to lend it.

    Given a node of service ledger
    And a <kind> of team small that has to wait <waits> s for a token
    When these events happen: <events>
    Then its only decision is <decision>
    And its token is <token>

    Examples:
      | kind    | waits                  | events                | decision              | token    |
      | lookup  | 0.02                   | nothing               | none yet              | refunded |
      | lookup  | 0.02                   | wait 0.02             | Admitted              | spent    |
      | booking | 0.02, 0.02, 0.02       | wait 0.07             | Admitted              | spent    |
      | check   | 0.04, 0.04, 0.04       | wait 0.1              | RATE_EXCEEDED not-run | refunded |
      | lookup  | 0.5                    | nothing               | RATE_EXCEEDED not-run | refunded |
      | lookup  | 0.02                   | withdraw small        | KEY_UNKNOWN not-run   | refunded |
      | booking | 0.02                   | out north             | ForwardTo             | refunded |
      | lookup  | 0.02                   | stop                  | ForwardTo             | refunded |
      | booking | 0.02                   | out south, wait 0.02  | Admitted              | spent    |

  Scenario Outline: The queue is bounded
    Guards against a burst that occupies all worker threads, and against a
    large team that fills the queue at the expense of a small one.

    Given a node of service ledger whose slots are all in use
    When team large sends <large> lookups and team small sends <small>
    Then <waiting> calls of team small wait
    And <refused> calls of team large get QUEUE_FULL with Retry-After
    And a check of team large starts once one call has ended

    Examples: 48 threads, 4 of them reserved, 12 slots
      | large | small | waiting | refused |
      | 30    | 0     | 0       | 0       |
      | 30    | 2     | 2       | 0       |
      | 30    | 8     | 8       | 6       |
      | 30    | 20    | 8       | 6       |

  Scenario Outline: The calls in flight of a team are bounded
    Given a node of service ledger whose teams may have 2 calls in flight
    When team large sends <calls> lookups and team small sends 1
    Then <running> calls of team large run and <waiting> wait
    And 1 call of team small runs

    Examples:
      | calls | running | waiting |
      | 2     | 2       | 0       |
      | 4     | 2       | 2       |
      | 6     | 2       | 2       |

  Scenario Outline: A call is placed on a host
    Guards against new calls in a data centre that is out or on a leaving
    host, and against a call that is forwarded twice.

    Given the node <host>
    When these events happen: <events>
    And a call of kind <kind> arrives <way>
    Then its only decision is <decision>

    Examples: Nodes of the call's service and of another one
      | host     | events                  | kind    | way                          | decision                       |
      | ledger-1 | nothing                 | lookup  | from a caller                | Admitted                       |
      | ledger-1 | nothing                 | board   | without a key                | Admitted                       |
      | ledger-1 | nothing                 | lookup  | without a key                | KEY_MISSING not-run            |
      | ledger-1 | withdraw large          | lookup  | from a caller                | KEY_UNKNOWN not-run            |
      | ledger-1 | withdraw large          | board   | from a caller                | Admitted                       |
      | silo-1   | nothing                 | lookup  | from a caller                | ForwardTo                      |
      | silo-1   | nothing                 | lookup  | from another node            | NO_HOST_AVAILABLE not-run      |
      | ledger-1 | out north               | lookup  | from a caller                | ForwardTo ledger-2             |
      | ledger-1 | out north               | check   | from a caller                | ForwardTo ledger-2             |
      | ledger-1 | out north               | lookup  | from another node            | DATA_CENTRE_OUT not-run        |
      | ledger-1 | out north, out south    | lookup  | from a caller                | DATA_CENTRE_OUT not-run        |
      | ledger-1 | leaving ledger-1        | lookup  | from another node            | HOST_LEAVING not-run           |
      | ledger-1 | leaving ledger-1        | lookup  | from a caller                | ForwardTo ledger-3             |
      | ledger-1 | stop                    | lookup  | from a caller                | ForwardTo ledger-3             |
      | ledger-1 | server drains           | lookup  | from another node            | HOST_LEAVING not-run           |
      | ledger-1 | refused                 | lookup  | from a caller                | ForwardTo ledger-3             |
      | ledger-1 | refused                 | lookup  | from another node            | Admitted                       |
      | ledger-1 | refused, wait 2         | lookup  | from a caller                | Admitted                       |
      | ledger-1 | out south, leaving ledger-3, refused | lookup | from a caller   | Admitted                       |
      | ledger-1 | nothing                 | lookup  | after trying ledger-1        | ForwardTo ledger-3             |
      | ledger-1 | nothing                 | lookup  | after trying all hosts       | NO_HOST_AVAILABLE not-run      |

  Scenario Outline: A call is forwarded to the less loaded host
    Given the node silo-1
    When <open> calls are forwarded to each near host and <end>
    Then the next lookup is forwarded to <where>

    Examples: A near host may have 2 more open calls than a far one
      | open | end                  | where          |
      | 0    | none have ended      | a near host    |
      | 2    | none have ended      | a near host    |
      | 3    | none have ended      | ledger-2       |
      | 3    | all were answered    | a near host    |
      | 1    | all failed           | ledger-2       |
      | 9    | all ran out of time  | a near host    |

  Scenario: Admission keeps its invariants under any order of events
    Then the state machine test of admission finds no violation
