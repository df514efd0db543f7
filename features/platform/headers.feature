Feature: Headers and status codes of the platform

  Guards against keys and forged identities that reach a backend server, and
  against a status code that claims more than the node knows.

  Scenario Outline: Headers that the backend server receives
    When a caller sends the header <name> with <sent>
    Then the backend server gets <name> with <got>

    Examples:
      | name            | sent        | got       |
      | Authorization   | Token k1    | nothing   |
      | Tenant          | forged      | huka270   |
      | Caller-Service  | forged      | ledger    |
      | Expect-Instance | forged      | i-1       |
      | Deadline-Ms     | 99999       | 500       |
      | Connection      | X-Own       | nothing   |
      | X-Own           | kept        | kept      |
      | Request-Id      | 9c41        | 9c41      |
      | Upgrade         | h2c         | nothing   |
      | Expect          | 100-continue | nothing  |

  Scenario Outline: A header named by Connection is not forwarded
    When a caller sends the headers Connection: <named> and X-Own: 1
    Then the backend server gets X-Own with <got>

    Examples:
      | named        | got     |
      | close, X-Own | nothing |
      | keep-alive   | 1       |

  Scenario Outline: Keys in the Authorization header
    When a caller sends Authorization: <header>
    Then the key is <key>

    Examples:
      | header       | key  |
      | Token abc    | abc  |
      | token abc    | abc  |
      | Bearer abc   | None |
      | Token        | None |

  Scenario Outline: Durations in headers are finite
    When a caller sends Deadline-Ms: <text>
    Then the time limit is <limit> s

    Examples:
      | text       | limit |
      | 1500       | 1.5   |
      | -5         | 0.0   |
      | nan        | 0.0   |
      | 1e999      | 86400.0 |
      | 86400001   | 86400.0 |
      | soon       | None  |

  Scenario Outline: Odd headers of a health check
    When a health check returns <name>: <text>
    Then the cold start lasts <cold> s

    Examples:
      | name        | text  | cold    |
      | Cold-Ms     | 2500  | 2.5     |
      | Cold-Ms     | 1e999 | 86400.0 |
      | Cold-Ms     | -1e999 | 0.0    |
      | Instance-Id | \xff | 0.0     |

  Scenario Outline: Result of a call by the server's response
    When the backend server responds with status <status> and <header>
    Then the attempt has <result>

    Examples:
      | status | header                      | result        |
      | 200    | Request-Id: 9c41            | been served   |
      | 500    | Request-Id: 9c41            | been served   |
      | 503    | Request-Id: 9c41            | been served   |
      | 503    | Not-Executed: 1             | no sure owner |
      | 429    | Not-Executed: 1             | no sure owner |
      | 421    | Instance-Id: i-2            | no sure owner |
      | 200    | Request-Id: 77              | another owner |
      | 200    | X-None: 1                   | another owner |

  Scenario Outline: Result of a call by a rejection that names it
    When the server responds to the call with status <status> and <header>
    Then the attempt has not run

    Examples:
      | status | header           |
      | 503    | Not-Executed: 1  |
      | 429    | Not-Executed: 1  |
      | 421    | Instance-Id: i-2 |

  Scenario Outline: Status codes of refusals by the node
    When a call is refused as <kind>
    Then the caller gets status <status>

    Examples:
      | kind            | status |
      | no-table        | 503    |
      | no-route        | 404    |
      | key-unknown     | 401    |
      | over-quota      | 429    |
      | no-server       | 503    |
      | overloaded      | 503    |
      | expired         | 503    |
      | may-have-run    | 502    |
      | timed-out       | 504    |
      | request-invalid | 400    |
      | too-large       | 413    |
      | incomplete      | 408    |
      | internal-error  | 503    |
