Feature: Requests as callers send them

  Guards against a request that another implementation would read in another
  way, a key or a header of the node that reaches a backend server from
  outside, and bodies above the limit.

  Scenario: Ambiguous requests are refused and the others go on unchanged
    Given a call server with a scripted admission
    And a backend server that answers
    When these requests are sent as they are
      | request                        | status | code | server gets                |
      | GET /lots?a=%20b               | 200    |      | GET /lots?a=%20b           |
      | HEAD /lots                     | 200    |      | HEAD /lots                 |
      | PATCH /lots; body              | 200    |      | body: abcd                 |
      | GET /lots; body                | 200    |      | body: abcd                 |
      | DELETE /lots; chunked body     | 200    |      | body: abcdefgh             |
      | POST /lots; body of 1000000    | 200    |      | length: 1000000            |
      | POST /lots; body of 1000001    | 413    | 214  |                            |
      | POST /lots; chunks of 1000001  | 413    | 214  |                            |
      | POST /lots; bad chunk          | 400    | 215  |                            |
      | POST /lots; Content-Length: +4 | 400    | 215  |                            |
      | POST /lots; Content-Length: -4 | 400    | 215  |                            |
      | POST /lots; Content-Length: ab | 400    | 215  |                            |
      | POST /lots; two lengths        | 400    | 215  |                            |
      | POST /lots; length and chunks  | 400    | 215  |                            |
      | GET /lots; accept: a           | 200    |      | accept: a                  |
      | GET /lots; twice               | 200    |      | x-a: 1\r\nx-a: 2           |
      | GET /lots; Connection: X-Gone  | 200    |      | no x-gone                  |
      | GET /lots; aUtHoRiZaTiOn: k    | 200    |      | no authorization           |
      | GET /lots; Authorization : k   | 400    | 215  |                            |
      | GET /lots; two keys            | 400    | 215  |                            |
      | GET /lots; X-Team: other       | 200    |      | X-Team: belt               |
      | GET /lots; X_Team: other       | 200    |      | no x_team                  |
      | GET /lots; X-Forwarded-By-Host: other | 200 |  | no x-forwarded-by-host     |
      | GET /lots; X-Deadline-Ms: soon | 400    | 215  |                            |
      | GET /lots; two request ids     | 400    | 215  |                            |
      | GET /lots;  folded: a          | 400    | 215  |                            |
      | GET /board/../lots             | 400    | 215  |                            |
      | GET /board/%2e%2E/lots         | 400    | 215  |                            |
      | GET lots                       | 400    | 215  |                            |
    Then each is answered as listed

  Scenario: Requests sent together are answered in order
    Given a call server with a scripted admission
    And a backend server that answers
    When 20 requests are sent in one piece
    Then 20 answers come in the order of the requests

  Scenario: Callers that send nothing hold no worker thread
    Given a call server with a scripted admission
    And a backend server that answers
    When 40 callers connect and send nothing
    Then another call is answered
