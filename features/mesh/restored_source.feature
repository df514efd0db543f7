Feature: A source that is restored from an older copy

  Guards against entries that stay out of force, and against servers, keys and
  data centres that return, because the source gives out revisions again.

  Scenario Outline: What was written later than the copy stays until its author writes again
    Given a directory that has read <known> at revision 150
    When the source is restored from a copy with <copy> at revision <revision>
    Then it uses <then>
    And it uses <later> once the time to write it again is over

    Examples:
      | known                 | copy               | revision | then            | later          |
      | table 6               | table 5            | 90       | table 6         | table 6        |
      | table 6               | table 6            | 150      | table 6         | table 6        |
      | table 6               | table 7            | 150      | table 7         | table 7        |
      | table 6               | nothing            | 90       | table 6         | table 6        |
      | table 6               | nonsense           | 90       | table 6         | table 6        |
      | server draining       | server ready       | 90       | server draining | server ready   |
      | server ready          | server draining    | 150      | server draining | server draining |
      | server ready of 2     | server ready of 1  | 90       | server of 2     | server of 1    |
      | server draining of 1  | server ready of 2  | 150      | server of 2     | server of 2    |
      | report 8 of a server  | report 7 of a server | 90     | report 8        | report 7       |
      | a server's removal    | server ready       | 90       | nothing         | server ready   |
      | server ready          | nothing            | 90       | server ready    | nothing        |
      | server draining       | nothing            | 90       | nothing         | nothing        |
      | out dryer             | nothing            | 90       | out dryer       | nothing        |
      | the return of dryer   | out dryer          | 90       | nothing         | out dryer      |

  Scenario Outline: What its author does not write again ends without other writes
    Given a directory that has read <known> at revision 150
    When the source is restored from a copy with <copy> at revision 90
    Then it uses <later> after a listing at the same revision

    Examples:
      | known               | copy         | later        |
      | out dryer           | nothing      | nothing      |
      | the return of dryer | out dryer    | out dryer    |
      | server draining     | server ready | server ready |
      | server ready        | nothing      | nothing      |

  Scenario Outline: What is written again replaces what was retained
    Given a directory that has read <known> at revision 150
    When the source is restored from a copy with <copy> at revision 90
    And <written> is written at revision <revision>
    Then it uses <then>
    And it uses <then> once the time to write it again is over

    Examples:
      | known              | copy         | written            | revision | then            |
      | table 6            | table 5      | table 7            | 101      | table 7         |
      | table 6            | table 5      | table 6            | 101      | table 6         |
      | table 8            | table 5      | table 6            | 101      | table 8         |
      | server draining    | server ready | server draining    | 101      | server draining |
      | server draining    | server ready | a server's removal | 101      | nothing         |
      | a server's removal | server ready | a server's removal | 101      | nothing         |
      | a server's removal | server ready | server ready of 2  | 150      | server of 2     |
      | out dryer          | nothing      | out dryer          | 101      | out dryer       |
      | out dryer          | nothing      | the return of dryer | 101     | nothing         |

  Scenario Outline: A restore leaves no service without servers
    Given a directory that has read that server i-1 of 2 has <left>
    When the source is restored with <copy>
    Then <servers> receive calls

    Examples:
      | left      | copy                    | servers  |
      | left      | both of them            | i-2      |
      | left      | i-1 only                | i-2      |
      | left      | neither of them         | i-2      |
      | crashed too | both of them          | i-1, i-2 |

  Scenario Outline: Two restores keep the newest that a node has read
    Given a directory that has read table 6 at revision 150
    When the source is restored from a copy with table 5 at revision 90
    And the source is restored from a copy with <copy> at revision <revision>
    Then it uses <then>

    Examples:
      | copy    | revision | then    |
      | table 4 | 80       | table 6 |
      | table 5 | 90       | table 6 |
      | table 7 | 85       | table 7 |

  Scenario Outline: Nodes that know different parts of a lost era agree
    Given nodes that have read table 6 up to version <versions>
    When it has lost all but table 3
    And <first> of them read it, and the others receive what they push
    Then all of them have the same entries, with table <newest>

    Examples:
      | versions   | first | newest |
      | 6, 6, 6, 6 | 1     | 6      |
      | 6, 5, 4, 3 | 1     | 6      |
      | 3, 4, 5, 6 | 1     | 6      |
      | 3, 4, 5, 6 | 4     | 6      |

  Scenario Outline: The work of a new era grows with the entries only
    Given a directory with <entries> servers
    When a peer tells of a new era that changes all of them
    Then the directory is in that era within 0.3 s

    Examples:
      | entries |
      | 20000   |

  Scenario Outline: The header with the era of the store
    When the store answers status <status> with era <text>
    Then the reply is of <era>

    Examples:
      | status | text                 | era         |
      | 200    | 3                    | era 3       |
      | 410    | 3                    | era 3       |
      | 503    | 3                    | era 3       |
      | 200    | 0                    | era 0       |
      | 200    | 9223372036854775807  | era 9223372036854775807 |
      | 200    | 9223372036854775808  | an invalid era |
      | 200    | 99999999999999999999999 | an invalid era |
      | 200    | -1                   | an invalid era |
      | 200    | +1                   | an invalid era |
      | 200    | 1_0                  | an invalid era |
      | 200    | two                  | an invalid era |
      | 200    | none                 | no era      |

  Scenario Outline: Replies of the source in different eras
    Given a node that has read the source in era 2
    When the source replies with <replies>
    Then it has read up to <position>
    And it has listed the source <times> times
    And the task has logged <events>

    Examples:
      | replies                                 | position | times | events       |
      | changes of era 2                        | 2.30     | 1     | nothing      |
      | changes of no era                       | 2.30     | 1     | nothing      |
      | changes of an invalid era               | 2.30     | 1     | era-rejected |
      | changes of era 1                        | 2.20     | 1     | era-rejected |
      | changes of era 3                        | 3.25     | 2     | source-era   |
      | history gone of era 3                   | 3.25     | 2     | source-era   |
      | an error of era 3                       | 3.25     | 2     | source-era   |
      | history gone of era 2                   | 2.25     | 2     | history-gone |
      | changes of era 3, pages of eras 3 and 4 | 4.25     | 3     | source-era   |
      | changes of era 3, pages of eras 3 and 2 | 3.25     | 3     | source-era, era-rejected |

  Scenario Outline: A peer's position that arrives while the source replies
    Given a node that has read the source in era 2
    When these arrive in order: <arrivals>
    Then it has read up to <read>
    And it has listed the source <times> times

    Examples:
      | arrivals                                                     | read | times |
      | changes of era 3, peer at 2.28, error of era 3, page of era 3 | 3.25 | 3    |
      | peer at 3.24, changes of era 3                               | 2.20 | 1     |
      | peer at 3.24, changes of no era                              | 2.20 | 1     |
      | peer at 3.24, history gone of era 3                          | 2.20 | 1     |
      | history gone of era 2, first page of era 2, peer at 3.24, page of era 3 | 2.20 | 2 |

  Scenario Outline: A reply that comes from no store is of no era
    Given a node that has not read the source
    When the source fails with <error>, and is listed in <era>
    Then it has read up to <position>
    And the task has logged nothing

    Examples:
      | error    | era    | position |
      | no era   | era 2  | 2.25     |
      | era 2    | era 2  | 2.25     |
      | no era   | no era | 0.25     |

  Scenario Outline: Positions that peers report before a new era is listed
    Given a node that has read the source in era 2
    When the source begins era 3, and <position> is known before it is listed
    Then it has read up to 3.25
    And it has listed the source <times> times

    Examples:
      | position   | times |
      | nothing    | 2     |
      | 2.21       | 2     |
      | unknown.21 | 2     |

  Scenario Outline: Messages between nodes of different versions
    When <message> is encoded for a node of version <version>
    Then that node reads <positions>

    Examples:
      | message        | version | positions             |
      | ItemsSent      | 3       | 1.7                   |
      | ItemsSent      | 2       | unknown.7             |
      | LoadReported   | 3       | 1.7, 1.7              |
      | LoadReported   | 2       | unknown.7, unknown.7  |
      | ItemPatched    | 3       | 1.1, 1.2              |
      | ItemPatched    | 2       | unknown.1, unknown.2  |
      | a retained one | 3       | 2.90 for 1.150        |
      | a retained one | 2       | unknown.90            |

  Scenario Outline: Positions out of the range of a store
    When an entry at <position> is received from a node of version <version>
    Then its frame is <result>

    Examples:
      | position              | version | result  |
      | 1, 7                  | 3       | read    |
      | -1, 7                 | 3       | read    |
      | 1, 9223372036854775807 | 3      | read    |
      | 1, 9223372036854775808 | 3      | refused |
      | 9223372036854775808, 7 | 3      | refused |
      | -2, 7                 | 3       | refused |
      | 1, -1                 | 3       | refused |
      | 2, 90, 1, 150         | 3       | read    |
      | 2, 90, 1, -1          | 3       | refused |
      | 2, 90, 1              | 3       | refused |
      | 7                     | 3       | refused |
      | 7                     | 2       | read    |
      | -1                    | 2       | refused |
      | 9223372036854775808   | 2       | refused |
      | 1, 7                  | 2       | refused |

  Scenario Outline: A fleet whose source is restored
    Given <hosts> nodes whose source loses <lost> entries and is away for <away> s
    When the source is back, and after 0.8 s what it lost is written again
    And meanwhile <meanwhile>
    Then the next table is in force everywhere within 2 s
    And no node has gone back to an older table
    And the restore has cost at most <listings> listings and <bytes> bytes of entries a node

    Examples:
      | hosts | lost | away | meanwhile                      | listings | bytes |
      | 24    | 10   | 0.1  | nothing else happens           | 3        | 4000  |
      | 24    | 200  | 5.0  | nothing else happens           | 5        | 4000  |
      | 24    | 60   | 1.0  | a node starts                  | 4        | 4000  |
      | 24    | 60   | 1.0  | a third is cut from the source | 5        | 4000  |
      | 24    | 60   | 1.0  | the source is restored again   | 6        | 4000  |
      | 195   | 60   | 1.0  | nothing else happens           | 3        | 4000  |
      | 195   | 60   | 5.0  | nothing else happens           | 5        | 4000  |

  Scenario Outline: A node that starts uses its table once no peer may know a newer one
    Given a node that has listed table 5, where <reports>
    Then its calls are routed by table <version> within <within> s

    Examples:
      | reports                                   | version | within |
      | a peer has the same entries               | 5       | 0.1    |
      | a peer has read less                      | 5       | 0.1    |
      | a peer has read less, and retains table 6 | 6       | 0.1    |
      | a peer has read more, and retains table 6 | 6       | 0.1    |
      | no peer has reported                      | 5       | 0.45   |

  Scenario: A node that starts waits for its peers for a while
    Given a node that has listed table 5, where no peer has reported
    Then its calls are not routed before 0.35 s
