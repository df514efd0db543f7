Feature: Build of the node

  Guards against a node that does not start because its libraries come from
  another kind of machine.

  Scenario Outline: Libraries are installed anew if they can't be used
    Given a folder that was built
    When <change>, and it is built again
    Then its libraries were installed <times> times
    And the node's package is there

    Examples:
      | change                                     | times |
      | nothing changes                            | 1     |
      | the package changes                        | 1     |
      | the folder moves to another processor      | 2     |
      | the folder moves to another interpreter    | 2     |
      | the requirements change                    | 2     |
