Feature: Reports, explanations and the timeline

  Guards against a report that differs between runs over the same logs or
  drops lines silently, and against a timeline that lists an effect before
  its cause.

  Scenario Outline: Output equals the golden file byte for byte
    When jasminecrank runs with <arguments>
    Then it exits with status <status>
    And its output equals the golden file <golden>

    Examples:
      | arguments                                                | status | golden       |
      | report LOG1 LOG2 --month 2026-12                         | 1      | report.txt   |
      | report LOG2 LOG1 --month 2026-12                         | 1      | report.txt   |
      | report LOG1 LOG2 --month 2026-12 --csv                   | 1      | report.csv   |
      | report LOG2 LOG1 --month 2026-12 --csv                   | 1      | report.csv   |
      | explain r3 LOG1 LOG2                                     | 0      | explain.txt  |
      | timeline LOG1 LOG2                                       | 0      | timeline.txt |
      | timeline LOG2 LOG1                                       | 0      | timeline.txt |
      | timeline LOG1 LOG2 --request-id r3                       | 0      | call.txt     |

  Scenario Outline: Invalid input produces a short error message
    When jasminecrank runs with <arguments>
    Then it exits with status <status>
    And the first line of its error output contains <text>

    Examples:
      | arguments                               | status | text                  |
      | report LOG1 --month 2026-13             | 2      | --month: '2026-13'    |
      | report missing.log --month 2026-12      | 2      | missing.log           |
      | explain r9 LOG1                         | 2      | 'r9'                  |
      | timeline                                | 2      | --compiled            |
      | table compile missing output            | 2      | services.csv          |
      | table diff missing                      | 2      | --after               |
      | status missing                          | 2      | hosts.json            |
      | nonsense                                | 2      | nonsense              |

  Scenario Outline: Sequence numbers reveal missing and duplicate lines
    When the sequence numbers <numbers> are recorded
    Then <doubled> are duplicates and <gaps> are missing

    Examples:
      | numbers     | doubled | gaps     |
      | 1 2 3       | none    | none     |
      | 3 1 2       | none    | none     |
      | 2 4 4 7     | 4       | 1 3 5-6  |
      | 1 3 2 2 1   | 2 1     | none     |

  Scenario Outline: Events of hosts with different clocks
    Given host b with a clock <offset> ms ahead of host a
    When a sends a message to b and b answers
    Then the events are in the order sent, received, answered, closed

    Examples:
      | offset |
      | 0      |
      | 60000  |
      | -60000 |
