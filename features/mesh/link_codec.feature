Feature: Messages between nodes

  Guards against a frame with a value of another type that a task takes for
  a message, and that fails there halfway through its processing.

  Scenario Outline: A frame that is no message of a node is refused
    When a frame holds <message> with <change>
    Then it is <result>

    Examples:
      | message        | change                | result    |
      | ItemsSent      | nothing changed       | a message |
      | ItemsSent      | a key of bytes        | refused   |
      | ItemsSent      | a revision of text    | refused   |
      | ItemsSent      | an item of two fields | refused   |
      | ItemsSent      | a field too many      | refused   |
      | ItemsSent      | a field too few       | refused   |
      | LoadReported   | nothing changed       | a message |
      | LoadReported   | a load of text        | refused   |
      | LoadReported   | a list 50000 deep     | refused   |
      | CallSent       | nothing changed       | a message |
      | CallSent       | a mark of no repeat   | a message |
      | CallSent       | a mark of text        | refused   |
      | CallSent       | a field too few       | refused   |
      | CallSent       | a body of text        | refused   |
      | CallSent       | a header of one part  | refused   |
      | ItemPatched    | nothing changed       | a message |
      | ItemPatched    | a piece of text       | refused   |
      | Presence       | nothing changed       | a message |
      | Presence       | arbiters of numbers   | refused   |
      | an unknown tag | -1                    | refused   |
      | an unknown tag | 99                    | refused   |
      | an unknown tag | text                  | refused   |

  Scenario Outline: A frame of very many items does not fill the memory
    When a frame of <size> MB holds <what>, <form>
    Then it is <result> within 1.0 s, with less than <peak> MB at its peak

    Examples:
      | size | what               | form       | result    | peak |
      | 19   | small numbers      | plain      | refused   | 8    |
      | 19   | small numbers      | compressed | refused   | 45   |
      | 19   | empty lists        | compressed | refused   | 45   |
      | 19   | empty texts        | compressed | refused   | 45   |
      | 19   | lists without end  | compressed | refused   | 45   |
      | 79   | small numbers      | compressed | refused   | 90   |
      | 15   | one large entry    | plain      | a message | 60   |
      | 15   | one large entry    | compressed | a message | 60   |
      | 2    | 9000 entries       | compressed | a message | 30   |
