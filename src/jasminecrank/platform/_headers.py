"""Headers and status codes of the platform."""

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state

MAX_DURATION_S = 86_400.0
REQUEST_ID_HEADER = b"request-id"
_HEADERS_SET_BY_NODE = frozenset(
    (
        b"deadline-ms",
        b"expect-instance",
        b"tenant",
        b"caller-service",
        b"authorization",
    )
)
_STATUS_BY_KIND = {
    state.RefusalKind.NO_TABLE: 503,
    state.RefusalKind.NO_ROUTE: 404,
    state.RefusalKind.KEY_UNKNOWN: 401,
    state.RefusalKind.OVER_QUOTA: 429,
    state.RefusalKind.NO_SERVER: 503,
    state.RefusalKind.OVERLOADED: 503,
    state.RefusalKind.EXPIRED: 503,
    state.RefusalKind.MAY_HAVE_RUN: 502,
    state.RefusalKind.TIMED_OUT: 504,
    state.RefusalKind.REQUEST_INVALID: 400,
    state.RefusalKind.TOO_LARGE: 413,
    state.RefusalKind.INCOMPLETE: 408,
    state.RefusalKind.INTERNAL_ERROR: 503,
}


class PlatformCodec:
    """Converts the HTTP messages of callers and backend servers."""

    def read_request(
        self, raw: protocol.RawRequest
    ) -> state.CallRequest | state.Refusal:
        """Return the call in a request, or the reason to refuse it."""
        request_id = protocol.find_header(raw.headers, REQUEST_ID_HEADER)
        host = protocol.find_header(raw.headers, b"host")
        if not request_id or host is None or not raw.target.startswith(b"/"):
            return state.Refusal(
                state.RefusalKind.REQUEST_INVALID, "id, host or path missing"
            )
        path = raw.target.partition(b"?")[0]
        authority = host.decode("latin-1").lower()
        own_id = request_id.decode("latin-1")
        return state.CallRequest(
            request_id=own_id,
            method=raw.method,
            target=raw.target,
            host=authority.partition(":")[0],
            path=path.decode("latin-1"),
            headers=raw.headers,
            body=raw.body,
            key=_parse_key(
                protocol.find_header(raw.headers, b"authorization")
            ),
            caller_timeout_s=_parse_seconds(
                protocol.find_header(raw.headers, b"deadline-ms")
            ),
            # Servers derive the ids of their calls from that of the run.
            parent_id=own_id.rpartition(".")[0],
        )

    def write_reply(
        self, reply: state.Reply, request: state.CallRequest | None
    ) -> protocol.RawResponse:
        """Return the response to send to the caller."""
        if isinstance(reply, state.Response):
            return protocol.RawResponse(
                reply.status,
                reply.reason,
                tuple(protocol.end_to_end_headers(reply.headers)),
                reply.body,
            )
        headers = [(b"Content-Type", b"text/plain")]
        if request is not None:
            headers.append(
                (b"Request-Id", request.request_id.encode("latin-1"))
            )
        status = _STATUS_BY_KIND[reply.kind]
        if status in (429, 503) and reply.retry_after_s > 0:
            headers.append((b"Retry-After", b"%.3f" % reply.retry_after_s))
        body = f"{reply.kind.value} {reply.detail}\n".encode()
        return protocol.RawResponse(status, b"", tuple(headers), body)

    def write_request(
        self, call: coordination.CallSent, remaining_s: float
    ) -> protocol.RawRequest:
        """Return the request to send to the backend server."""
        headers = [
            (name, value)
            for name, value in protocol.end_to_end_headers(call.headers)
            if name.lower() not in _HEADERS_SET_BY_NODE
        ]
        headers.append(
            (b"Deadline-Ms", b"%d" % max(1, int(remaining_s * 1000)))
        )
        headers.append((b"Expect-Instance", call.server_id.encode()))
        headers.append((b"Caller-Service", call.caller_service.encode()))
        if call.team:
            # The platform calls a team a tenant.
            headers.append((b"Tenant", call.team.encode()))
        return protocol.RawRequest(
            call.method, call.target, tuple(headers), call.body
        )

    def find_owner(
        self, call: coordination.CallSent, raw: protocol.RawResponse
    ) -> protocol.ResponseOwner:
        """Return whether a response belongs to this call."""
        request_id = protocol.find_header(raw.headers, REQUEST_ID_HEADER)
        if request_id == call.request_id.encode("latin-1"):
            return protocol.ResponseOwner.THIS
        if request_id is None and _is_rejection(raw):
            return protocol.ResponseOwner.UNNAMED
        return protocol.ResponseOwner.OTHER

    def is_rejection(self, raw: protocol.RawResponse) -> bool:
        """Return whether a response says that its request has not run."""
        return _is_rejection(raw)

    def read_response(
        self, raw: protocol.RawResponse, run_time_s: float
    ) -> state.AttemptResult:
        """Return the result of a call according to its response."""
        if raw.status == 421:
            return state.NotRun(coordination.SERVER_GONE, 0.0, True)
        if _not_executed(raw):
            retry_after = protocol.find_header(raw.headers, b"retry-after")
            return state.NotRun(
                f"server-rejected {raw.status}",
                0.0
                if retry_after is None
                else _parse_seconds(retry_after, 1.0) or 0.0,
                True,
            )
        return state.Served(
            state.Response(raw.status, raw.reason, raw.headers, raw.body),
            run_time_s,
        )

    def write_health_check(self, path: str) -> protocol.RawRequest:
        """Return the request for a health check."""
        return protocol.RawRequest(
            b"GET", path.encode(), ((b"Host", b"health"),), b""
        )

    def read_health_response(
        self, raw: protocol.RawResponse
    ) -> coordination.Health | None:
        """Return the reported health, or None if the check failed."""
        server_id = protocol.find_header(raw.headers, b"instance-id")
        if raw.status != 200 or server_id is None:
            return None
        cold_left_s = _parse_seconds(
            protocol.find_header(raw.headers, b"cold-ms")
        )
        return coordination.Health(
            server_id.decode("latin-1"), cold_left_s or 0.0
        )


def _is_rejection(raw: protocol.RawResponse) -> bool:
    return raw.status == 421 or _not_executed(raw)


def _not_executed(raw: protocol.RawResponse) -> bool:
    return protocol.find_header(raw.headers, b"not-executed") is not None


def _parse_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(b" ")
    if scheme.lower() != b"token":
        return None
    return key.strip().decode("latin-1")


def _parse_seconds(value: bytes | None, unit_s: float = 0.001) -> float | None:
    if value is None:
        return None
    try:
        seconds = float(value) * unit_s
    except ValueError:
        return None
    # Timers accept no longer or infinite times.
    return min(MAX_DURATION_S, max(0.0, seconds))
