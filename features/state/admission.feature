Feature: Queue, slots and placement of calls

  Scenario Outline: Teams share the slots by weight
    Guards against a large team that starves a small one.

    Given a node of ledger
    When large and small keep <large> and <small> calls waiting
    And <count> calls are served one after the other
    Then large got between <least> and <most> of them

    Examples: Weights are 3 and 1
      | large | small | count | least | most |
      | 10    | 10    | 200   | 148   | 152  |
      | 20    | 2     | 200   | 148   | 152  |
      | 10    | 0     | 50    | 50    | 50   |
      | 0     | 10    | 50    | 0     | 0    |

  Scenario Outline: A call that waits gets one decision
    Guards against a waiting call that is lost, starts after its deadline, or
    keeps the token or the idempotency key of a call that never ran.

    Given a node of ledger whose slots are all in use
    And a <kind> of small that waits
    When the event <event> happens
    Then its one decision is <decision>
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

  Scenario Outline: A call short of a token waits for it
    Guards against a refusal inside a team's rate, when the token is with a
    host of the same service that is about to lend it.

    Given a node of ledger
    And a <kind> of small that is told to wait <waits> s for a token
    When these events happen: <events>
    Then its one decision is <decision>
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
    Guards against a burst that takes every worker thread, and against a large
    team that pushes a small one out of the queue.

    Given a node of ledger whose slots are all in use
    When large sends <large> lookups and small sends <small>
    Then <waiting> calls of small wait
    And <refused> calls of large are refused as QUEUE_FULL with Retry-After
    And a check of large waits for a slot at most one call long

    Examples: 48 threads, 4 of them spared, 12 slots
      | large | small | waiting | refused |
      | 30    | 0     | 0       | 0       |
      | 30    | 2     | 2       | 0       |
      | 30    | 8     | 8       | 6       |
      | 30    | 20    | 8       | 6       |

  Scenario Outline: A team is bounded in flight
    Given a node of ledger whose teams may have 2 calls in flight
    When large sends <calls> lookups and small sends 1
    Then <running> calls of large run and <waiting> wait
    And 1 call of small runs

    Examples:
      | calls | running | waiting |
      | 2     | 2       | 0       |
      | 4     | 2       | 2       |
      | 6     | 2       | 2       |

  Scenario Outline: A call finds its place
    Guards against new work in a data centre that is out or on a leaving
    host, and against a call that is forwarded twice.

    Given the node <host>
    When these events happen: <events>
    And a call of kind <kind> comes in <way>
    Then its one decision is <decision>

    Examples: Own node and others
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

  Scenario Outline: Load decides between other nodes
    Given the node silo-1
    When <hand> calls are on their way to each near host and <end> there
    Then the next lookup is forwarded to <where>

    Examples: A near host may have 2 calls more in hand than a far one
      | hand | end                  | where          |
      | 0    | none have ended      | a near host    |
      | 2    | none have ended      | a near host    |
      | 3    | none have ended      | ledger-2       |
      | 3    | all were answered    | a near host    |
      | 1    | all failed           | ledger-2       |
      | 9    | all ran out of time  | a near host    |




  Scenario: Admission holds its invariants under any order of events
    Then the admission machine finds no fault
