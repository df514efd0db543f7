"""Conversion of calls from and to HTTP requests."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import hashlib
import re
import urllib.parse
import uuid

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import state

Headers = tuple[tuple[str, str], ...]

_AUTHORIZATION = const.HEADER_AUTHORIZATION.lower()
_DEADLINE_MS = const.HEADER_DEADLINE_MS.lower()
_FORWARDED_BY = const.HEADER_FORWARDED_BY.lower()
_IDEMPOTENCY_KEY = const.HEADER_IDEMPOTENCY_KEY.lower()
_REQUEST_ID = const.HEADER_REQUEST_ID.lower()
_TEAM = const.HEADER_TEAM.lower()

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NODE_HEADERS = frozenset({_DEADLINE_MS, _FORWARDED_BY, _REQUEST_ID, _TEAM})
_SINGLE_VALUE_HEADERS = frozenset(
    {
        _AUTHORIZATION,
        _DEADLINE_MS,
        _FORWARDED_BY,
        _IDEMPOTENCY_KEY,
        _REQUEST_ID,
    }
)
_PRINTABLE_ASCII = re.compile(r"[!-~]{1,200}")
_DEADLINE_DIGITS = re.compile(r"[0-9]{1,9}")


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """Complete HTTP request; header names are lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpCall:
    """Decoded call with the parts of the request to be forwarded."""

    request: state.CallRequest
    target: str
    headers: Headers
    body: bytes


def decode_call(http_request: HttpRequest, now_s: float) -> HttpCall:
    """Decode an HTTP request.

    Raises JasminecrankError with REQUEST_INVALID for an invalid request.
    """
    value_by_name = _single_value_headers(http_request.headers)
    path = http_request.target.partition("?")[0]
    _check_path(path)
    idempotency_key = value_by_name.get(_IDEMPOTENCY_KEY)
    request = state.CallRequest(
        request_id=value_by_name.get(_REQUEST_ID) or str(uuid.uuid4()),
        method=http_request.method,
        path=path,
        key_digest=_key_digest(value_by_name.get(_AUTHORIZATION)),
        deadline_at_s=_deadline_at_s(value_by_name.get(_DEADLINE_MS), now_s),
        idempotency_key=idempotency_key,
        forwarded_by=value_by_name.get(_FORWARDED_BY),
        body_digest=_body_digest(http_request.body) if idempotency_key else "",
    )
    return HttpCall(
        request,
        http_request.target,
        _end_to_end_headers(http_request.headers),
        http_request.body,
    )


def digest_key(key: str) -> str:
    """Return the digest under which a team's key is distributed."""
    return hashlib.sha256(key.encode()).hexdigest()


def _body_digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def _invalid_request(message: str) -> exceptions.JasminecrankError:
    return exceptions.JasminecrankError(
        message, exceptions.ResultCode.REQUEST_INVALID
    )


def _single_value_headers(headers: Headers) -> dict[str, str]:
    value_by_name: dict[str, str] = {}
    for name, value in headers:
        if name not in _SINGLE_VALUE_HEADERS:
            continue
        # Implementations differ in which of two values they use.
        if name in value_by_name:
            raise _invalid_request(f"header {name}: more than one value")
        if name != _AUTHORIZATION and not _PRINTABLE_ASCII.fullmatch(value):
            raise _invalid_request(
                f"header {name}: must be 1 to 200 printable ASCII characters"
            )
        value_by_name[name] = value
    return value_by_name


def _check_path(path: str) -> None:
    # A backend server that resolves dot segments would serve a different
    # route than the one for which the key was authorized.
    if "/." not in path and "%" not in path and "\\" not in path:
        return
    decoded_path = urllib.parse.unquote(path).replace("\\", "/")
    if not {".", ".."}.isdisjoint(decoded_path.split("/")):
        raise _invalid_request("path contains a dot segment")


def _key_digest(value: str | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return digest_key(key.strip())


def _deadline_at_s(value: str | None, now_s: float) -> float | None:
    if value is None:
        return None
    if not _DEADLINE_DIGITS.fullmatch(value):
        raise _invalid_request(
            f"header {const.HEADER_DEADLINE_MS}: {value!r} is not a whole "
            "number of milliseconds"
        )
    return now_s + int(value) / 1000


def _end_to_end_headers(headers: Headers) -> Headers:
    dropped: frozenset[str] | set[str] = HOP_BY_HOP_HEADERS
    for name, value in headers:
        if name == "connection":
            dropped = dropped | {
                token.strip().lower() for token in value.split(",")
            }
    return tuple(
        (name, value)
        for name, value in headers
        # Servers that treat "-" and "_" alike would read X_Team as X-Team.
        if name not in dropped and "_" not in name
    )


def backend_server_headers(
    call: HttpCall, permit: state.Permit, now_s: float
) -> Headers:
    """Return the headers for the backend server, without the API key."""
    headers = (
        *_without_headers(call.headers, _NODE_HEADERS | {_AUTHORIZATION}),
        (const.HEADER_REQUEST_ID, permit.request_id),
        (const.HEADER_TEAM, permit.team),
        (const.HEADER_DEADLINE_MS, _remaining_ms(permit.deadline_at_s, now_s)),
    )
    state.check(
        exceptions.ResultCode.INVARIANT_KEY,
        all(name.lower() != _AUTHORIZATION for name, _ in headers),
        "request %s would pass its API key to the backend server",
        permit.request_id,
    )
    return headers


def node_headers(
    call: HttpCall, host: str, deadline_at_s: float, now_s: float
) -> Headers:
    """Return the headers for another node, which checks the API key."""
    return (
        *_without_headers(call.headers, _NODE_HEADERS),
        (const.HEADER_REQUEST_ID, call.request.request_id),
        (const.HEADER_FORWARDED_BY, host),
        (const.HEADER_DEADLINE_MS, _remaining_ms(deadline_at_s, now_s)),
    )


def _without_headers(
    headers: Headers, dropped: Iterable[str]
) -> Sequence[tuple[str, str]]:
    return [pair for pair in headers if pair[0] not in dropped]


def _remaining_ms(deadline_at_s: float, now_s: float) -> str:
    return str(max(0, int((deadline_at_s - now_s) * 1000)))
