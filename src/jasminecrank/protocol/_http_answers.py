"""Conversion of answers and refusals from and to HTTP responses."""

from collections.abc import Iterable
import json

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.protocol import _http

_RESULT_CODE = const.HEADER_RESULT_CODE.lower()
_RUN_STATE = const.HEADER_RUN_STATE.lower()
_REQUEST_ID = const.HEADER_REQUEST_ID.lower()
_TABLE_VERSION = const.HEADER_TABLE_VERSION.lower()
_SERVICE_UNAVAILABLE = 503

_STATUS_BY_CODE = {
    exceptions.ResultCode.NO_ROUTE: 404,
    exceptions.ResultCode.KEY_MISSING: 401,
    exceptions.ResultCode.KEY_UNKNOWN: 401,
    exceptions.ResultCode.TEAM_NOT_ALLOWED: 403,
    exceptions.ResultCode.RATE_EXCEEDED: 429,
    exceptions.ResultCode.TOO_MANY_IN_FLIGHT: 429,
    exceptions.ResultCode.DEADLINE_EXCEEDED: 504,
    exceptions.ResultCode.REPEAT_IN_PROGRESS: 409,
    exceptions.ResultCode.REPEAT_OUTCOME_UNKNOWN: 409,
    exceptions.ResultCode.IDEMPOTENCY_KEY_MISMATCH: 422,
    exceptions.ResultCode.BODY_TOO_LARGE: 413,
    exceptions.ResultCode.REQUEST_INVALID: 400,
    exceptions.ResultCode.BACKEND_UNREACHABLE: 502,
    exceptions.ResultCode.BACKEND_TIMEOUT: 504,
    exceptions.ResultCode.ANSWER_CUT: 502,
    exceptions.ResultCode.ANSWER_CROSSED: 502,
    exceptions.ResultCode.ANSWER_TOO_LARGE: 502,
}


def decode_server_response(
    status: int, headers: _http.Headers, body: bytes
) -> state.Answered | state.Shed:
    """Classify the complete response of a backend server.

    Removes the headers with which nodes describe refusals, so that a backend
    server can't impersonate a node.
    """
    by_name = dict(headers)
    shed = status == _SERVICE_UNAVAILABLE
    reports_not_run = (
        shed and by_name.get(_RUN_STATE) == exceptions.RunState.NOT_RUN.value
    )
    dropped = {_RESULT_CODE, _TABLE_VERSION, _REQUEST_ID}
    if not reports_not_run:
        dropped.add(_RUN_STATE)
    answer = state.Answer(status, _without_headers(headers, dropped), body)
    if shed and (reports_not_run or "retry-after" in by_name):
        return state.Shed(answer, reports_not_run)
    return state.Answered(answer)


def decode_node_response(
    status: int, headers: _http.Headers, body: bytes
) -> state.Answered | state.Shed | state.NodeRefused:
    """Classify the complete response of another node."""
    by_name = dict(headers)
    answer = state.Answer(
        status, _without_headers(headers, {_REQUEST_ID}), body
    )
    if _RESULT_CODE in by_name:
        try:
            code = exceptions.ResultCode(int(by_name[_RESULT_CODE]))
            run_state = exceptions.RunState(by_name.get(_RUN_STATE))
        except ValueError:
            code = exceptions.ResultCode.ANSWER_CUT
            run_state = exceptions.RunState.MAY_HAVE_RUN
        return state.NodeRefused(answer, code, run_state)
    reports_not_run = (
        by_name.get(_RUN_STATE) == exceptions.RunState.NOT_RUN.value
    )
    if status == _SERVICE_UNAVAILABLE and (
        reports_not_run or "retry-after" in by_name
    ):
        return state.Shed(answer, reports_not_run)
    return state.Answered(answer)


def _without_headers(
    headers: _http.Headers, dropped: Iterable[str]
) -> _http.Headers:
    return tuple([pair for pair in headers if pair[0] not in dropped])


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], without_body: bool
) -> _http.Headers:
    """Return the end-to-end headers of a response, names in lower case.

    A response without a body keeps its Content-Length, which is the length
    of the body that a GET would return.
    """
    received = tuple(headers)
    dropped = _http.HOP_BY_HOP_HEADERS
    if without_body:
        dropped = dropped - {"content-length"}
    for name, value in received:
        if name == "connection":
            dropped = dropped | {
                option.strip().lower() for option in value.split(",")
            }
    return _without_headers(received, dropped)


def encode_refusal(refused: state.Refused, request_id: str) -> state.Answer:
    """Encode a refusal as an HTTP answer with a JSON body."""
    body = {
        "code": refused.code.value,
        "name": refused.code.name,
        "request_id": request_id,
        "run_state": refused.run_state.value,
        "table_version": str(refused.version),
    }
    headers = [
        ("Content-Type", "application/json"),
        (const.HEADER_RESULT_CODE, str(refused.code.value)),
        (const.HEADER_RUN_STATE, refused.run_state.value),
    ]
    if refused.retry_after_s > 0:
        headers.append(("Retry-After", str(int(refused.retry_after_s) + 1)))
    status = _STATUS_BY_CODE.get(refused.code, _SERVICE_UNAVAILABLE)
    return state.Answer(
        status, tuple(headers), json.dumps(body, sort_keys=True).encode()
    )
