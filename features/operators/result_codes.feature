Feature: The table of result codes

  Guards against a documented code that the program does not use, and a code
  of the program that operators can't look up.

  Scenario: The page and the program list the same codes
    Given the page docs/result-codes.md
    Then it lists exactly the codes of the program

  Scenario: The design page names the files that assert each invariant
    Given the page docs/design.md
    Then its table of invariants names exactly the files that assert them
