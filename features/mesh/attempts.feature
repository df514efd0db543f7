Feature: Retry decisions after an attempt

  Guards against a booking that runs twice, a refusal that wrongly states that
  a call has not run, and a request that is sent to more servers than its route
  allows.

  Scenario Outline: The results of the attempts decide the next step
    Given a call on a route of kind <kind> with 2 attempts
    When its attempts end with <evidence>
    Then the next step is <step>

    Examples:
      | kind         | evidence                   | step              |
      | idempotent   | served 200                 | deliver           |
      | idempotent   | served 500                 | try elsewhere     |
      | idempotent   | lost                       | try elsewhere     |
      | idempotent   | lost, lost                 | refuse may-have-run |
      | idempotent   | lost, busy                 | try elsewhere     |
      | idempotent   | rejected, rejected         | refuse overloaded |
      | at-most-once | served 500                 | deliver           |
      | at-most-once | lost                       | refuse may-have-run |
      | at-most-once | rejected                   | try elsewhere     |
      | at-most-once | busy                       | try elsewhere     |
      | at-most-once | rejected, rejected         | refuse overloaded |
      | at-most-once | busy, busy, busy, busy     | refuse overloaded |

  Scenario Outline: A response that a server has made is not replaced by a refusal
    Given a call on a route of kind idempotent with 3 attempts
    When its attempts end with <evidence>
    Then it is answered with <status> if it ends now

    Examples:
      | evidence                   | status |
      | served 500                 | 500    |
      | served 500, busy           | 500    |
      | served 500, busy, busy, busy | 500  |
      | served 500, rejected       | 500    |
      | served 500, lost           | 500    |
      | served 500, lost, lost     | 500    |
      | lost, served 500, busy     | 500    |
      | served 500, served 200     | 200    |
      | lost, busy                 | none   |

  Scenario Outline: A call that fails at one server and times out at another gets the response
    Given a call on a route of kind idempotent with 2 attempts
    When its attempts end with <evidence>
    And it times out while it is <where>
    Then it is answered with <status> if it ends now

    Examples:
      | evidence   | where     | status |
      | served 500 | at a node | 500    |
      | served 500 | unsent    | 500    |
      | lost       | at a node | none   |

  Scenario Outline: A call that times out gets an accurate refusal
    Given a call on a route of kind at-most-once with 2 attempts
    When it times out while it is <where>
    Then the refusal is <refusal>

    Examples:
      | where     | refusal   |
      | unsent    | expired   |
      | at a node | timed-out |

  Scenario: Random results never run a booking twice or make a refusal inaccurate
    When 500 calls have random attempt results
    Then no booking has run twice and every refusal is accurate
