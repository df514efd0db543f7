"""HTTP/1.1 framing for connections of callers and backend servers."""

from collections.abc import Iterable

from jasminecrank.mesh import state
from jasminecrank.mesh.protocol import _codecs

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_REASON_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def find_header(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Return the first value of a header, given its lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: state.Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are not hop-by-hop."""
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in _HOP_BY_HOP and key.lower() not in named
    ]


def encode_request(raw: _codecs.RawRequest) -> tuple[state.Body, ...]:
    """Return the bytes of a request, a large body apart from its head."""
    lines = [raw.method + b" " + raw.target + b" HTTP/1.1"]
    lines.extend(key + b": " + value for key, value in raw.headers)
    if raw.body or raw.method not in (b"GET", b"HEAD", b"OPTIONS", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(raw.body))
    return _join(b"\r\n".join(lines) + b"\r\n\r\n", raw.body)


def encode_response(
    raw: _codecs.RawResponse,
    method: bytes,
    close: bool,
    idle_limit_s: float = 0.0,
) -> tuple[state.Body, ...]:
    """Return the bytes of a response to a request of the given method.

    A large body is apart from its head. `idle_limit_s` is announced, in whole
    seconds, as the time for which the connection is kept.
    """
    reason = raw.reason or _REASON_BY_STATUS.get(raw.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (raw.status, reason)]
    lines.extend(key + b": " + value for key, value in raw.headers)
    bodyless = raw.status in (204, 304) or raw.status < 200
    if not bodyless and method != b"HEAD":
        lines.append(b"Content-Length: %d" % len(raw.body))
    if close:
        lines.append(b"Connection: close")
    elif idle_limit_s >= 1.0:
        lines.append(b"Keep-Alive: timeout=%d" % int(idle_limit_s))
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if bodyless or method == b"HEAD":
        return (head,)
    return _join(head, raw.body)


def _join(head: bytes, body: state.Body) -> tuple[state.Body, ...]:
    if len(body) > state.SMALL_BODY_BYTES:
        return (head, body)
    return (head + body,)


def keep_alive_timeout_s(headers: state.Headers) -> float | None:
    """Return the timeout parameter of the Keep-Alive header, if any."""
    value = find_header(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def has_connection_close(headers: state.Headers) -> bool:
    """Return whether the Connection header contains `close`."""
    value = find_header(headers, b"connection")
    return value is not None and b"close" in value.lower()
