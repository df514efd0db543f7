Feature: Metrics of the node on the platform

  Guards against exported metrics that are missing from the documentation,
  and against keys or bodies in the log.

  Scenario: The page lists every metric that a node exports
    Given a deployment of 2 hosts
    When 3 requests are sent one after the other
    And host 0 is asked for its metrics
    Then each of them is in docs/platform-metrics.md
    And no key or body is in the log

  Scenario Outline: The usable servers of each service are counted
    Given a deployment of 3 hosts
    When server 0 <leaves>
    And 10 requests are sent one after the other
    And the deployment is idle for 1 s
    And host 0 is asked for its metrics
    Then it counts <usable> usable servers of each service

    Examples:
      | leaves                             | usable |
      | always will shed                   | 3      |
      | is draining                        | 2      |
      | is in a data centre out of service | 1      |
      | crashes                            | 2      |
