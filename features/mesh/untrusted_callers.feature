Feature: Callers that nobody controls

  Guards against a process that ends, hangs or fills its memory because of
  callers whose requests cost much to read or never end. Each crowd stays
  within the limits of the table, but for the bodies that are too large, and
  stays connected while an ordinary request is sent.

  Scenario Outline: An ordinary request is answered beside a crowd
    Given a node process with 120 MB and 400 descriptors
    When <connections> callers send <what>, and stay connected
    Then an ordinary request is answered with 200, and again once they have left
    And the process still runs, with at most 120 MB and 400 descriptors

    Examples:
      | connections | what                                    |
      | 60          | 200000 chunks of 1 byte, but no end     |
      | 60          | 60000 chunks of 3 bytes, but no end     |
      | 60          | 40 chunks of 65536 bytes, but no end    |
      | 60          | a body of 2000000 bytes but for the last |
      | 20          | a body of 60000000 bytes but for the last |
      | 200         | a body of 60000 bytes but for the last  |
      | 40          | a body of 10000000000 bytes but for the last |
      | 10          | chunks of 65536 bytes without end       |
      | 200         | a head of 13000 bytes but for its end   |
      | 60          | a head of 1000 short lines but for its end |
      | 200         | 32000 chunks of 2 bytes, but no end     |
      | 300         | 4000 chunks of 16 bytes, but no end     |
      | 340         | a head of 2600 short lines but for its end |
      | 340         | a head of 2600 bare lines but for its end |
      | 340         | a head of 2600 bare lines, and a body of 2000 bytes but for the last |
      | 340         | a head of 2600 bare lines, and 400 chunks of 16 bytes, but no end |
      | 340         | a head of 2600 bare lines, and 1000 chunks of 2 bytes, but no end |

  Scenario Outline: A body in small chunks takes no more memory than claimed
    Given a node process with 60 MB and 400 descriptors
    When <connections> callers send <what>, and stay connected
    Then an ordinary request is answered with 200, and again once they have left
    And the process still runs, with at most 60 MB and 400 descriptors

    Examples:
      | connections | what                                    |
      | 45          | 16000 extended chunks of 2 bytes, but no end, in pieces |

  Scenario Outline: The heads of unfinished requests have a limit in all
    Given a node process with 60 MB and 2000 descriptors
    When <connections> callers send <what>, and stay connected
    Then an ordinary request is answered with 200, and again once they have left
    And the process still runs, with at most 60 MB and 2000 descriptors

    Examples:
      | connections | what                                    |
      | 1800        | a head of 16000 bytes but for its end   |
      | 1800        | a head of 16000 bytes, and a body of 20 bytes but for the last |
      | 1800        | a head of 16000 bytes, and 1 chunks of 20 bytes, but no end |

  Scenario Outline: Crowds with bodies up to the largest limit
    Given a node process with 120 MB and bodies up to 67108864 bytes
    When <connections> callers send <what>, and stay connected
    Then an ordinary request is answered with 200, and again once they have left
    And the process still runs, with at most 120 MB and 400 descriptors

    Examples:
      | connections | what                                    |
      | 60          | 40 chunks of 65536 bytes, but no end    |
      | 60          | 7 chunks of 1000000 bytes, but no end   |
      | 60          | a body of 2000000 bytes but for the last |
      | 60          | a body of 8000000 bytes but for the last |
      | 60          | a body of 8000000 bytes but for the last, in pieces |
      | 20          | a body of 60000000 bytes but for the last |
      | 300         | a body of 10000000000 bytes but for the last |
      | 60          | a body of 100000000 bytes but for the last |
      | 60          | chunks of 65536 bytes without end       |

  Scenario Outline: A single body up to the limit is served in calm
    Given a node process with 200 MB and bodies up to 67108864 bytes
    When a caller sends <what>, whole
    Then it is answered with 200, and the server has its whole body
    And the process still runs, with at most 200 MB and 400 descriptors

    Examples:
      | what                        |
      | a body of 60000000 bytes    |
      | a body of 67108864 bytes    |
      | 1024 chunks of 65536 bytes  |

  Scenario: A single request in chunks of one byte is served in calm
    Given a node process with 120 MB and 400 descriptors
    When a caller sends 200000 chunks of 1 byte and their end
    Then it is answered with 200, and the server has its whole body
