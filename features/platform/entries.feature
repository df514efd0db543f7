Feature: Entries of the platform's store

  Guards against an entry of another writer that is decoded as a server, and
  against a configuration that is applied in part.

  Scenario Outline: Server entries
    When the store holds a server entry with <change>
    Then the entry is <result>

    Examples:
      | change                | result     |
      | nothing changed       | a server   |
      | an unknown field      | a server   |
      | state draining        | a server   |
      | no address            | unreadable |
      | address without port  | unreadable |
      | no info               | unreadable |
      | no status             | unreadable |
      | slots as text         | unreadable |
      | slots 0               | unreadable |
      | state unknown         | unreadable |
      | service as number     | unreadable |
      | broken bytes          | unreadable |
      | a list                | unreadable |

  Scenario Outline: Configurations
    When the store holds a configuration with <change>
    Then the entry is <result>

    Examples:
      | change                   | result     |
      | nothing changed          | a table    |
      | an unknown resource      | a table    |
      | a route to no service    | unreadable |
      | a route without a prefix | unreadable |
      | only parts of weight 0   | unreadable |
      | a part of weight 0 that is of no service | a table |
      | version as text          | unreadable |
      | broken bytes             | unreadable |

  Scenario Outline: Decoded fields of a route
    When the store holds a configuration with <change>
    Then the first route has <field> <value>

    Examples:
      | change               | field        | value                |
      | nothing changed      | kind         | RouteKind.IDEMPOTENT |
      | kind unsafe          | kind         | RouteKind.AT_MOST_ONCE |
      | kind unknown         | kind         | RouteKind.AT_MOST_ONCE |
      | no timeout           | timeout_s    | None                 |
      | nothing changed      | timeout_s    | 1.0                  |
      | nothing changed      | target_s     | 0.3                  |

  Scenario Outline: Services of a route
    When the store holds a configuration with <change>
    Then the first route sends requests to <services>

    Examples:
      | change                             | services               |
      | nothing changed                    | huvo11a 90, wuno96b 10 |
      | a part of weight 0                 | huvo11a 90             |
      | a part of weight 0 that is of no service | huvo11a 90       |
      | a single part                      | wuno96b 10             |
      | a service beside its split         | huvo11a 90, wuno96b 10 |
      | a service instead of its split     | wuno96b 1              |
      | a service and an empty split       | wuno96b 1              |
      | fractions as weights               | huvo11a 0.9, wuno96b 0.1 |

  Scenario: An evacuated data centre
    When the store holds the key op/evacuate/belt-a
    Then the entry is a data centre out of service
