Feature: Trailers of requests and responses

  Guards against a trailer that is taken for a header: it would change the
  request that a server runs, or whether a response says that it has run.

  Scenario Outline: A trailer of a request is no header
    Given a deployment of 1 hosts
    When a caller sends a request in chunks with the trailer <trailer>, and then another one
    Then both are answered with 200
    And no server got a header <name>

    Examples:
      | trailer              | name          |
      | X-Sum: 1             | x-sum         |
      | Accept-Language: fi  | accept-language |
      | Cookie: a=b          | cookie        |
      | Expect: 100-continue | expect        |

  Scenario: A trailer that ends the connection
    Given a deployment of 1 hosts
    When a caller sends a request in chunks with the trailer Connection: close
    Then it is answered with 200, and the connection is closed

  Scenario Outline: A trailer of a response is no header
    Given a deployment of 1 hosts
    When every server always will <answer>
    And a caller sends <method> <target> with key k1
    Then it gets 200 and the request has run 1 times
    And its response has no header <name>
    And a second call gets 200

    Examples:
      | answer                              | method | target  | name         |
      | answer-with-the-trailer-x-sum       | POST   | /book/1 | x-sum        |
      | answer-with-the-trailer-not-run     | POST   | /book/1 | not-executed |
      | answer-with-the-trailer-close       | POST   | /book/1 | connection   |
      | answer-with-the-trailer-not-run     | GET    | /lots/1 | not-executed |
