Feature: What follows an attempt

  Guards against a booking that runs twice and a refusal whose run state is
  untrue, whatever mixture of faults the attempts of one call meet.

  Scenario: Random faults never make a booking run twice or a refusal untrue
    When 400 calls with random faults are made
    Then no booking has run twice and every refusal is true

  Scenario Outline: The retry budget is a tenth of the calls
    Given a retry budget
    When <calls> calls are seen and <wanted> retries wanted
    Then <taken> retries are taken

    Examples:
      | calls | wanted | taken |
      | 0     | 30     | 10    |
      | 9     | 30     | 10    |
      | 1000  | 30     | 10    |
