Feature: Raw HTTP requests

  Guards against requests that HTTP implementations parse differently, API
  keys and spoofed node headers that reach a backend server, and bodies above
  the size limit.

  Scenario: Ambiguous requests are refused and others are forwarded intact
    Given a call server with scripted admission decisions
    And a backend server without faults
    When these raw requests are sent
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
    Then every request has the listed result

  Scenario: Pipelined requests are answered in order
    Given a call server with scripted admission decisions
    And a backend server without faults
    When 20 pipelined requests are sent
    Then 20 responses arrive in the order of the requests

  Scenario: A last answer is delivered whole although more bytes arrive
    Given a call server with scripted admission decisions
    And a backend server that answers a megabyte
    When slow callers send these requests, and more before they have read all
      | request                       | node     | then             | end       |
      | POST /lots; Connection: close | serves   | POST /lots       | keeps     |
      | POST /lots; Connection: close | serves   | POST /lots; body | half-open |
      | POST /lots                    | stopping | POST /lots       | keeps     |
      | POST /lots                    | stopping | GET /lots        | half-open |
    Then each receives its whole answer, and no connection stays open

  Scenario: Idle connections occupy no worker thread
    Given a call server with scripted admission decisions
    And a backend server without faults
    When 40 callers connect and send nothing
    Then another call succeeds
