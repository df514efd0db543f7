Feature: Bookings with an idempotency key

  Guards against a booking that runs twice, and against a refusal that claims
  that a booking did not run although it may have run.

  Scenario Outline: A booking is repeated
    Given the owner of a <key> key
    When the first booking <first>
    And these events happen: <events>
    And the booking is repeated with <repeat>
    Then its only decision is <decision>

    Examples:
      | key   | first         | events              | repeat          | decision                            |
      | new   | was answered  | nothing             | the same body   | Replay                              |
      | plain | was answered  | nothing             | the same body   | Replay                              |
      | new   | was answered  | wait 599            | the same body   | Replay                              |
      | plain | was answered  | wait 601            | the same body   | Admitted                            |
      | new   | was answered  | out north           | the same body   | Replay                              |
      | new   | was answered  | stop                | the same body   | Replay                              |
      | new   | runs          | nothing             | the same body   | REPEAT_IN_PROGRESS may-have-run     |
      | new   | waits         | nothing             | the same body   | REPEAT_IN_PROGRESS may-have-run     |
      | new   | timed out     | nothing             | the same body   | REPEAT_OUTCOME_UNKNOWN may-have-run |
      | new   | was cut       | wait 60             | the same body   | REPEAT_OUTCOME_UNKNOWN may-have-run |
      | new   | was cancelled | nothing             | the same body   | REPEAT_OUTCOME_UNKNOWN may-have-run |
      | new   | was not sent  | wait 2              | the same body   | Admitted                            |
      | new   | was shed      | nothing             | the same body   | REPEAT_OUTCOME_UNKNOWN may-have-run |
      | new   | was shed unrun | nothing            | the same body   | Admitted                            |
      | new   | gave up waiting | nothing           | the same body   | none yet                            |
      | absent | runs         | nothing             | the same body   | REPEAT_IN_PROGRESS may-have-run     |
      | absent | waits        | nothing             | the same body   | REPEAT_IN_PROGRESS may-have-run     |
      | absent | gave up waiting | nothing          | the same body   | none yet                            |
      | absent | was answered | nothing             | the same body   | Admitted                            |
      | new   | was answered  | nothing             | another body    | IDEMPOTENCY_KEY_MISMATCH not-run    |
      | new   | was answered  | nothing             | another team    | IDEMPOTENCY_KEY_MISMATCH not-run    |
      | new   | was answered  | withdraw large      | the same body   | KEY_UNKNOWN not-run                 |
      | new   | was too long  | nothing             | the same body   | REPEAT_OUTCOME_UNKNOWN ran          |
      | old   | never came    | nothing             | the same body   | REPEAT_OUTCOME_UNKNOWN may-have-run |
      | plain | never came    | nothing             | the same body   | Admitted                            |

  Scenario Outline: A key has one owner
    Given a key that <owner> owns
    When these events happen at <node>: <events>
    And a booking with the key arrives <way>
    Then its only decision is <decision>

    Examples:
      | owner    | node     | events           | way                    | decision                              |
      | ledger-1 | ledger-1 | nothing          | from a caller          | Admitted                              |
      | ledger-2 | ledger-1 | nothing          | from a caller          | ForwardTo ledger-2                    |
      | ledger-2 | ledger-3 | nothing          | from a caller          | ForwardTo ledger-2                    |
      | ledger-2 | silo-1   | nothing          | from a caller          | ForwardTo ledger-2                    |
      | ledger-2 | ledger-1 | nothing          | from another node      | IDEMPOTENCY_HOST_UNREACHABLE not-run  |
      | ledger-2 | ledger-1 | nothing          | after trying ledger-2  | IDEMPOTENCY_HOST_UNREACHABLE not-run  |
      | ledger-1 | ledger-1 | nothing          | after trying ledger-1  | IDEMPOTENCY_HOST_UNREACHABLE not-run  |
      | ledger-1 | ledger-1 | refused          | from a caller          | Admitted                              |

  Scenario Outline: A key gets a new owner
    Guards against a repeat that the new owner runs after the former owner has
    already run the booking.

    Given a key created <made> its owner leaves
    When the next owner gets a booking with the key <way>
    Then its only decision is <decision>

    Examples:
      | made   | way                   | decision                            |
      | before | from a caller         | REPEAT_OUTCOME_UNKNOWN may-have-run |
      | before | from the former owner | Admitted                            |
      | after  | from a caller         | Admitted                            |

  Scenario Outline: The store of bookings is full
    Given an owner whose store is full of <keys> keys created <age> s ago
    When a booking with a new key arrives from a caller
    Then its only decision is <decision>
    And the first of the stored bookings is not run again

    Examples:
      | keys  | age | decision                        |
      | new   | 20  | Admitted                        |
      | new   | 1   | IDEMPOTENCY_MEMORY_FULL not-run |
      | plain | 20  | IDEMPOTENCY_MEMORY_FULL not-run |
