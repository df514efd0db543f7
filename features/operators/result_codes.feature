Feature: Documented result codes and invariants

  Guards against a documented code that the program does not use, and against
  a code of the program that is not documented.

  Scenario: The page and the program list the same codes
    Given the page docs/result-codes.md
    Then it lists exactly the result codes of the program

  Scenario: The design page names the files that assert each invariant
    Given the page docs/design.md
    Then its table of invariants names exactly the files that assert them
