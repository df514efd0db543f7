Feature: Retries after a failed attempt

  Guards against a booking that runs twice and a refusal with a wrong run
  state, for any combination of faults in the attempts of one call.

  Scenario: Random faults never cause a double run or a wrong run state
    When 400 calls with random faults are made
    Then no booking has run twice and every refusal is correct

  Scenario Outline: The retry budget is a tenth of all calls
    Given a retry budget
    When <calls> calls are counted and <wanted> retries requested
    Then <taken> retries are granted

    Examples:
      | calls | wanted | taken |
      | 0     | 30     | 10    |
      | 9     | 30     | 10    |
      | 1000  | 30     | 10    |
