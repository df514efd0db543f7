"""HTTP form of calls, answers and refusals."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import hashlib
import json
import uuid

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import state

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
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
_DEFAULT_STATUS = 503


@dataclass(slots=True, frozen=True)
class HttpCall:
    """A call as it came, with what has to be forwarded."""

    request: state.CallRequest
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def decode_call(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    now_s: float,
) -> HttpCall:
    """Return a call from an HTTP request with lower-case header names.

    Raises JasminecrankError with REQUEST_INVALID for unusable headers.
    """
    request_id = headers.get(const.HEADER_REQUEST_ID.lower())
    request = state.CallRequest(
        request_id=request_id or str(uuid.uuid4()),
        method=method,
        path=target.partition("?")[0],
        key_digest=_key_digest(headers),
        deadline_at_s=_deadline_at_s(headers, now_s),
        idempotency_key=headers.get(const.HEADER_IDEMPOTENCY_KEY.lower()),
        forwarded_by=headers.get(const.HEADER_FORWARDED_BY.lower()),
    )
    forwarded = tuple(
        (name, value)
        for name, value in headers.items()
        if name not in _HOP_BY_HOP
    )
    return HttpCall(request, target, forwarded, body)


def digest_key(key: str) -> str:
    """Return the digest by which a tenant key is distributed."""
    return hashlib.sha256(key.encode()).hexdigest()


def _key_digest(headers: Mapping[str, str]) -> str | None:
    value = headers.get(const.HEADER_AUTHORIZATION.lower())
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return digest_key(key.strip())


def _deadline_at_s(headers: Mapping[str, str], now_s: float) -> float | None:
    value = headers.get(const.HEADER_DEADLINE_MS.lower())
    if value is None:
        return None
    if not value.isascii() or not value.isdigit():
        raise exceptions.JasminecrankError(
            f"header {const.HEADER_DEADLINE_MS}: {value!r} is not a whole "
            "number of milliseconds",
            exceptions.ResultCode.REQUEST_INVALID,
        )
    return now_s + int(value) / 1000


def server_headers(
    call: HttpCall, permit: state.Permit, now_s: float
) -> dict[str, str]:
    """Return the headers for the backend server, without the key."""
    headers = {
        name: value
        for name, value in call.headers
        if name
        not in (
            const.HEADER_AUTHORIZATION.lower(),
            const.HEADER_FORWARDED_BY.lower(),
            const.HEADER_TEAM.lower(),
        )
    }
    headers[const.HEADER_REQUEST_ID.lower()] = permit.request_id
    headers[const.HEADER_TEAM.lower()] = permit.team
    remaining_ms = max(0, int((permit.deadline_at_s - now_s) * 1000))
    headers[const.HEADER_DEADLINE_MS.lower()] = str(remaining_ms)
    state.check(
        exceptions.ResultCode.INVARIANT_KEY,
        const.HEADER_AUTHORIZATION.lower() not in headers,
        "request %s would carry its key to the backend server",
        permit.request_id,
    )
    return headers


def node_headers(
    call: HttpCall, host: str, deadline_at_s: float, now_s: float
) -> dict[str, str]:
    """Return the headers for another node, which checks the key itself."""
    headers = dict(call.headers)
    headers[const.HEADER_REQUEST_ID.lower()] = call.request.request_id
    headers[const.HEADER_FORWARDED_BY.lower()] = host
    remaining_ms = max(0, int((deadline_at_s - now_s) * 1000))
    headers[const.HEADER_DEADLINE_MS.lower()] = str(remaining_ms)
    return headers


def answer_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers of an answer."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP
    )


def encode_refusal(refused: state.Refused, request_id: str) -> state.Answer:
    """Return the HTTP answer of a refusal."""
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
    status = _STATUS_BY_CODE.get(refused.code, _DEFAULT_STATUS)
    return state.Answer(
        status, tuple(headers), json.dumps(body, sort_keys=True).encode()
    )
