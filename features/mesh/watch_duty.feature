Feature: Reading the source in place of the watchers

  Guards against a source that nobody reads, and against a fleet that all
  reads it although its watchers do.

  Scenario Outline: A node takes over when its peers hear nothing from the source
    Given peers whose last replies began <begun> s and ended <ended> s ago
    Then a standby watcher <standby> and any other node <other>

    Examples:
      | begun         | ended         | standby    | other      |
      | 0.1, 0.5      | 0.1, 0.5      | waits      | waits      |
      | 1.2, 1.2      | 1.2, 1.2      | waits      | waits      |
      | 1.3, 1.4      | 1.3, 1.4      | takes over | waits      |
      | 1.3, 0.1      | 1.3, 0.1      | waits      | waits      |
      | 1.7, 1.7      | 1.7, 1.7      | takes over | takes over |
      | 0.5, 0.5      | 1.7, 1.7      | takes over | waits      |
      | 0.5, 1.0      | 0.7, 1.0      | takes over | waits      |
      | 0.5, 0.1      | 0.7, 0.1      | waits      | waits      |
      | 1.7, 1.7      | 3.0, 3.0      | takes over | takes over |

  Scenario Outline: Each host gets an entry once, whichever reader reads it
    Given a fleet of <hosts> hosts
    When only <reader> has read an entry
    Then <receivers> get it, each of them once

    Examples:
      | hosts | reader                     | receivers       |
      | 4     | the first watcher          | all other hosts |
      | 40    | the last watcher           | all other hosts |
      | 91    | the first watcher          | all other hosts |
      | 91    | the last watcher           | all other hosts |
      | 91    | the first standby watcher  | all other hosts |
      | 91    | the last standby watcher   | all other hosts |
      | 91    | a host that is no reader   | no hosts        |

  Scenario Outline: Large entries are uploaded to few nodes at a time
    Given a link of <rate> Mbit/s
    When <requests> nodes request an entry of <size> kB
    Then <started> of them get it at once
    And <started> others when those have confirmed it, or after 1.1 s

    Examples:
      | rate | requests | size | started |
      | 5    | 90       | 500  | 1       |
      | 5    | 90       | 100  | 1       |
      | 5    | 90       | 25   | 5       |
      | 100  | 90       | 100  | 25      |

  Scenario Outline: Nodes that start together read the source about once each
    When <hosts> nodes start together, <since> s before the source has entries
    Then each of them is linked and has the table within <limit> s
    And they have read the source at most <reads> times by then

    Examples:
      | hosts | since | limit | reads |
      | 24    | 0.0   | 2.0   | 60    |
      | 91    | 0.0   | 2.0   | 140   |
      | 195   | 0.0   | 2.0   | 260   |
      | 24    | 0.4   | 3.0   | 90    |
      | 195   | 0.4   | 3.0   | 500   |
      | 91    | 6.0   | 3.0   | 700   |
