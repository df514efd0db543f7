Feature: Calls over faulty backend servers

  Guards against bookings that run twice, refusals with a wrong run state,
  truncated responses that are forwarded as complete, and calls that exceed
  their deadline.

  Scenario: Each fault leads to a correct refusal or one retry
    Given a call server with scripted admission decisions
    When calls are sent to servers with these faults
      | fault                            | second host | method | calls | status | result code | run state    | runs | outcome   |
      | none                             |             | POST   | 3     | 200    |             |              | 3    | answered  |
      | refuses                          |             | GET    | 1     | 502    | 301         | not-run      | 0    | not-sent  |
      | refuses                          |             | POST   | 1     | 502    | 301         | not-run      | 0    | not-sent  |
      | refuses                          | none        | POST   | 1     | 200    |             |              | 1    | not-sent  |
      | closes unread                    | none        | GET    | 1     | 200    |             |              | 1    | *         |
      | resets within the request        |             | POST   | 1     | 502    | 303         | may-have-run | 0    | broken    |
      | resets within the request        | none        | GET    | 1     | 200    |             |              | 1    | broken    |
      | closes without an answer         | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | closes without an answer         | none        | GET    | 1     | 200    |             |              | 2    | broken    |
      | resets without an answer         | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | never answers                    | none        | POST   | 1     | 504    | 302         | may-have-run | 1    | timed-out |
      | sends a byte at a time           | none        | GET    | 1     | 504    | 302         | may-have-run | 1    | timed-out |
      | cuts its body                    | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | cuts its body                    | none        | GET    | 1     | 200    |             |              | 2    | broken    |
      | cuts its headers                 | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | cuts its status line             | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | answers with status 000          | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | answers with status 600          | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | answers with status 600          | none        | GET    | 1     | 200    |             |              | 2    | broken    |
      | cuts a header value              | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | cuts after a header line         | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | cuts its last line end           | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | cuts its chunks                  | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | breaks its chunks                | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | ends with its connection         | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | names two lengths                | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | sends an interim answer          | none        | POST   | 1     | 502    | 303         | may-have-run | 1    | broken    |
      | answers another call             | none        | POST   | 1     | 502    | 304         | may-have-run | 1    | broken    |
      | answers another call             | none        | GET    | 1     | 200    |             |              | 2    | broken    |
      | answers twice                    |             | POST   | 3     | 200    |             |              | 3    | answered  |
      | answers at length                | none        | POST   | 1     | 502    | 305         | may-have-run | 1    | broken    |
      | answers at length in chunks      | none        | POST   | 1     | 502    | 305         | may-have-run | 1    | broken    |
      | sheds, not run                   |             | POST   | 1     | 503    |             | not-run      | 0    | shed      |
      | sheds, not run                   | none        | POST   | 1     | 200    |             |              | 1    | shed      |
      | sheds, no run state              | none        | POST   | 1     | 503    |             |              | 0    | shed      |
      | sheds, no run state              | none        | GET    | 1     | 200    |             |              | 1    | shed      |
      | answers 503                      | none        | GET    | 1     | 503    |             |              | 1    | answered  |
      | poses as a node                  | none        | POST   | 1     | 200    |             |              | 1    | answered  |
      | refuses as a node, queue full    | none        | POST   | 1     | 200    |             |              | 1    |           |
      | refuses as a node, rate exceeded | none        | POST   | 1     | 503    | 205         | not-run      | 0    |           |
      | refuses as a node, answer cut    | none        | POST   | 1     | 503    | 303         | may-have-run | 1    |           |
      | refuses as a node, answer cut    | none        | GET    | 1     | 200    |             |              | 2    |           |
      | closes after its first answer    |             | POST   | 3     | 200    |             |              | 3    | answered  |
      | closes after the second request  |             | POST   | 2     | 502    | 303         | may-have-run | 2    | broken    |
    Then every call has the expected outcome

  Scenario: No booking is lost when a persistent connection closes
    Given a call server with scripted admission decisions
    When closed connections go undetected and calls are sent to servers with these faults
      | fault                           | second host | method | calls | status | result code | run state    | runs | outcome  |
      | closes after its first answer   |             | POST   | 3     | 200    |             |              | 3    | answered |
      | closes after the second request |             | POST   | 2     | 502    | 303         | may-have-run | 2    | broken   |
    Then every call has the expected outcome

  Scenario: A repeated refusal is not taken for that of a later call
    Given a call server with scripted admission decisions
    When calls are sent to servers with these faults
      | fault                          | second host | method | calls | status | result code | run state    | runs | outcome |
      | sheds, no id                   |             | POST   | 1     | 503    |             | not-run      | 0    | shed    |
      | repeats its refusal, no id     |             | POST   | 2     | 502    | 304         | may-have-run | 1    | broken  |
      | repeats its refusal, no id     | none        | POST   | 2     | 502    | 304         | may-have-run | 2    | broken  |
      | repeats its refusal, no id     | none        | GET    | 2     | 200    |             |              | 3    | broken  |
      | repeats its 503, no id         |             | GET    | 2     | 502    | 304         | may-have-run | 1    | broken  |
      | repeats another call's refusal |             | POST   | 2     | 502    | 304         | may-have-run | 1    | broken  |
    Then every call has the expected outcome

  Scenario: An answer that has arrived goes before the deadline
    Given a call server with scripted admission decisions
    When the node is paused beyond the deadline while these calls wait
      | method | fault                  | status | result code | run state    |
      | POST   | none                   | 200    |             |              |
      | GET    | none                   | 200    |             |              |
      | POST   | sheds, not run         | 503    |             | not-run      |
      | POST   | cuts its body          | 502    | 303         | may-have-run |
      | POST   | never answers          | 504    | 302         | may-have-run |
      | POST   | sends a byte at a time | 504    | 302         | may-have-run |
    Then every call has the expected outcome

  Scenario: A server that sheds its health checks is reachable
    Given a call server with scripted admission decisions
    When the health of a server is checked that then sheds 2 checks, no id
    Then it is reported as reachable with the loads 0.5, 1.0, 1.0

  Scenario: Bytes without end are cut off
    Given a call server with scripted admission decisions
    When calls are sent to servers that send bytes until the node closes
      | fault                     |
      | endless status line       |
      | endless header lines      |
      | endless header value      |
      | endless interim responses |
      | endless body, no length   |
      | endless chunks            |
      | endless one-byte chunks   |
      | endless chunk extension   |
      | endless trailers          |
    Then each answer is 502 and the node has accepted less than 20 MB

  Scenario: A call that was refused on a connection is not sent on it again
    Given a call server with scripted admission decisions
    When the same call is sent twice to a server that repeats its refusals
    Then the second one is refused on a connection of its own, and not run

  Scenario: Retries stop when the retry budget is exhausted
    Given a call server with scripted admission decisions
    When lookups fail 14 times in a row
    Then 11 succeed and the others are refused with 218

  Scenario: A graceful stop completes all calls
    Given a call server with scripted admission decisions
    When the server stops with a call in progress and another being sent
    Then both calls succeed and idle connections do not delay the stop

  Scenario: Callers that end their sending side are answered
    Given a call server with scripted admission decisions
    When callers send these calls, end their sending side and read
      | method | path   | node     | fault                    | status | result code | run state    | runs |
      | POST   | /lots  | serves   | none                     | 200    |             |              | 1    |
      | POST   | /lots  | stopping | none                     | 200    |             |              | 1    |
      | POST   | /lots  | serves   | answers a megabyte       | 200    |             |              | 1    |
      | POST   | /lots  | stopping | answers a megabyte       | 200    |             |              | 1    |
      | POST   | /lots  | serves   | closes without an answer | 502    | 303         | may-have-run | 1    |
      | GET    | /lots  | serves   | none                     | 200    |             |              | 1    |
      | POST   | /waits | serves   | none                     | 503    | 216         | not-run      | 0    |
      | GET    | /waits | stopping | none                     | 503    | 216         | not-run      | 0    |
    Then every call has the expected outcome

  Scenario Outline: A request that crosses the close of its connection is read
    Given a call server with scripted admission decisions
    When <callers> callers send a <method> each while <closes> closes connections
    Then each caller is answered and told that its connection closes

    Examples:
      | callers | method | closes         |
      | 1       | GET    | the idle limit |
      | 20      | POST   | the idle limit |
      | 1       | GET    | a stop         |
      | 20      | POST   | a stop         |

  Scenario Outline: No connection is opened that a stop does not serve
    Given a call server with scripted admission decisions
    When <callers> callers connect and send a request <moment>
    Then each is answered, or its connection is refused

    Examples:
      | callers | moment                                     |
      | 1       | before the stop looks for new connections  |
      | 20      | before the stop looks for new connections  |
      | 1       | after the stop looked for new connections  |
      | 20      | after the stop looked for new connections  |

  Scenario: A queued call is cancelled when its caller disconnects
    Given a call server with scripted admission decisions
    When a caller closes its connection while its call is queued
    Then the call is cancelled
