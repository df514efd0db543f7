"""HTTP client that forwards calls to backend servers and nodes."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import http.client
import io
import re
import time
import typing

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _header_lines
from jasminecrank.transport import _sockets

_CONNECT_TIMEOUT_S = 1.0
_TARGETS_MAX = 64
_IDLE_CONNECTIONS_MAX = 64
_BODYLESS_STATUSES = frozenset({204, 304})
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_REQUEST_ID = const.HEADER_REQUEST_ID.lower()
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_SPACE_OR_TAB = re.compile(r"[\t ]")
_REFUSED_IDS_MAX = 256  # bounds the memory of a connection

_ANSWER_CROSSED = state.AnswerLost(exceptions.ResultCode.ANSWER_CROSSED)

ResponseDecoder = Callable[
    [int, protocol.Headers, bytes],
    state.Answered | state.Shed | state.NodeRefused,
]


@dataclass(slots=True, frozen=True)
class Target:
    """Address and port to which a call is sent."""

    address: str
    port: int


@dataclass(slots=True, frozen=True)
class OutgoingCall:
    """Call with the headers and deadline for one target."""

    call: protocol.HttpCall
    headers: protocol.Headers
    deadline_at_s: float

    @property
    def has_id(self) -> bool:
        """Return whether it names its ID, as health checks do not."""
        return any(name.lower() == _REQUEST_ID for name, _ in self.headers)


class _Response(http.client.HTTPResponse):
    """HTTP response that doesn't use the email parser for its headers.

    With the email parser of http.client, header parsing accounts for a
    quarter of the processor time of a call.
    """

    fp: io.BufferedReader
    _method: str
    _read_status: Callable[[], tuple[str, int, str]]
    header_pairs: protocol.Headers = ()

    def begin(self) -> None:
        """Parse the status line and the headers."""
        version, status, reason = self._read_status()
        if not version.startswith("HTTP/1."):
            raise http.client.UnknownProtocol(version)
        self.code = self.status = status
        self.reason = reason.strip()
        self.version = 10 if version == "HTTP/1.0" else 11
        self.header_pairs = _header_lines.read_headers(self.fp.readline)
        by_name = dict(self.header_pairs)
        encoding = by_name.get("transfer-encoding", "")
        self.chunked = encoding.lower() == "chunked"
        self.chunk_left = None
        length = by_name.get("content-length", "")
        self.length = None
        if length.isascii() and length.isdigit() and not encoding:
            self.length = int(length)
        if status in _BODYLESS_STATUSES or self._method == "HEAD":
            self.length = 0
        tokens = by_name.get("connection", "").lower()
        self.will_close = self.version == 10 or "close" in tokens

    def _read_and_discard_trailer(self) -> None:
        # http.client sets no limit on the trailers.
        _header_lines.read_headers(self.fp.readline)


@dataclass(slots=True)
class PooledConnection:
    """Connection that is idle or owned by one worker thread."""

    target: Target
    deadline_socket: _sockets.DeadlineSocket
    idle_since_s: float = 0.0
    calls_sent: int = 0
    refused_ids: set[str] = field(default_factory=set)
    """IDs of the calls that were refused on this connection."""

    @classmethod
    def connect(cls, target: Target, deadline_at_s: float) -> typing.Self:
        """Open a connection before the deadline."""
        deadline_socket = _sockets.DeadlineSocket.open_connection(
            target.address, target.port, deadline_at_s
        )
        return cls(target, deadline_socket)

    def may_carry(self, request_id: str) -> bool:
        """Return whether a refusal with this ID could not be an old one."""
        return (
            request_id not in self.refused_ids
            and len(self.refused_ids) < _REFUSED_IDS_MAX
        )

    def close(self) -> None:
        """Close the socket; the connection can't be reused."""
        self.deadline_socket.close()


def _encode_request(target: Target, outgoing: OutgoingCall) -> bytes:
    """Return the encoded request.

    Raises ValueError for a request that can't be represented in HTTP.
    """
    call = outgoing.call
    method = call.request.method
    lines = [
        f"{method} {call.target} HTTP/1.1",
        f"Host: {target.address}:{target.port}",
        *(f"{name}: {value}" for name, value in outgoing.headers),
    ]
    if call.body or method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}")
    if _CONTROL_CHARACTER.search("".join(lines)) or _SPACE_OR_TAB.search(
        call.target
    ):
        raise ValueError("request contains a control character or a blank")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + call.body


@dataclass(slots=True)
class _Exchange:
    """Progress of one request on one connection."""

    acked_bytes_before: int | None
    sent_bytes: int = 0
    response_started: bool = False

    def failure_result(
        self, connection: PooledConnection, error: Exception
    ) -> state.AttemptResult:
        """Classify an error by whether the request may have run."""
        if self.sent_bytes == 0:
            return state.NothingSent(_unsent_code(error))
        if not self.response_started and self._closed_before_request(
            connection, error
        ):
            return state.ClosedBeforeRequest(
                exceptions.ResultCode.BACKEND_UNREACHABLE
            )
        return state.AnswerLost(_lost_answer_code(error))

    def _closed_before_request(
        self, connection: PooledConnection, error: Exception
    ) -> bool:
        # A peer that has received the request acknowledges it in its FIN
        # segment. A reset without a FIN proves nothing, because Linux
        # ignores the acknowledgement number of an RST segment.
        match error:
            case http.client.RemoteDisconnected() | BrokenPipeError():
                closed = True
            case _:
                closed = False
        return (
            closed
            and self.acked_bytes_before is not None
            and connection.deadline_socket.bytes_acked()
            == self.acked_bytes_before
        )


@dataclass(slots=True)
class HttpClient:
    """HTTP client with a pool of persistent connections per target.

    A worker thread that removes a connection from the pool owns it until it
    returns it. The pool is last in, first out, so that a low call rate uses
    few connections and none of them stays idle for long.
    """

    max_idle_s: float
    idle_by_target: dict[Target, deque[PooledConnection]] = field(
        default_factory=dict
    )

    def send(
        self, target: Target, outgoing: OutgoingCall, decode: ResponseDecoder
    ) -> state.AttemptResult:
        """Send a call and return its answer or what its failure proves."""
        request_id = outgoing.call.request.request_id
        connection = self._pop_idle(target, request_id)
        if connection is not None:
            attempt_result = self._attempt(
                connection, target, outgoing, decode
            )
            match attempt_result:
                case (
                    state.ClosedBeforeRequest()
                    | state.NothingSent(
                        code=exceptions.ResultCode.BACKEND_UNREACHABLE
                    )
                ):
                    # The peer closed the connection while it was idle.
                    pass
                case _:
                    return attempt_result
        now_s = time.monotonic()
        remaining_s = outgoing.deadline_at_s - now_s
        if remaining_s <= 0:
            return state.NothingSent(exceptions.ResultCode.DEADLINE_EXCEEDED)
        try:
            connection = PooledConnection.connect(
                target, now_s + min(_CONNECT_TIMEOUT_S, remaining_s)
            )
        except OSError:
            return state.NothingSent(exceptions.ResultCode.BACKEND_UNREACHABLE)
        return self._attempt(connection, target, outgoing, decode)

    def _attempt(
        self,
        connection: PooledConnection,
        target: Target,
        outgoing: OutgoingCall,
        decode: ResponseDecoder,
    ) -> state.AttemptResult:
        deadline_socket = connection.deadline_socket
        deadline_socket.deadline_at_s = outgoing.deadline_at_s
        connection.calls_sent += 1
        exchange = _Exchange(deadline_socket.bytes_acked())
        try:
            _write_request(connection, outgoing, exchange)
            attempt_result, reusable = _read_response(
                connection, outgoing, decode, exchange
            )
        except (OSError, http.client.HTTPException, ValueError) as error:
            attempt_result = exchange.failure_result(connection, error)
            reusable = False
        except BaseException:
            connection.close()
            raise
        if reusable:
            self._return_idle(target, connection)
        else:
            connection.close()
        return attempt_result

    def _pop_idle(
        self, target: Target, request_id: str
    ) -> PooledConnection | None:
        idle = self.idle_by_target.get(target)
        while idle:
            try:
                connection = idle.pop()
            except IndexError:
                return None
            # If the server closes an idle connection while a request is in
            # transit, the outcome of a booking is unknown.
            recently_used = (
                time.monotonic() - connection.idle_since_s <= self.max_idle_s
            )
            if (
                recently_used
                and connection.may_carry(request_id)
                and connection.deadline_socket.is_idle()
            ):
                return connection
            connection.close()
        return None

    def _return_idle(
        self, target: Target, connection: PooledConnection
    ) -> None:
        connection.idle_since_s = time.monotonic()
        idle = self.idle_by_target.get(target)
        if idle is None:
            while len(self.idle_by_target) >= _TARGETS_MAX:
                oldest = next(iter(tuple(self.idle_by_target)))
                self.idle_by_target.pop(oldest, None)
            idle = self.idle_by_target.setdefault(target, deque())
        if len(idle) >= _IDLE_CONNECTIONS_MAX:
            connection.close()
            return
        idle.append(connection)


def _write_request(
    connection: PooledConnection, outgoing: OutgoingCall, exchange: _Exchange
) -> None:
    unsent = memoryview(_encode_request(connection.target, outgoing))
    while unsent:
        count = connection.deadline_socket.send(unsent)
        exchange.sent_bytes += count
        unsent = unsent[count:]


def _read_response(
    connection: PooledConnection,
    outgoing: OutgoingCall,
    decode: ResponseDecoder,
    exchange: _Exchange,
) -> tuple[state.AttemptResult, bool]:
    method = outgoing.call.request.method
    with _Response(connection.deadline_socket, method=method) as response:
        if not response.fp.peek(1):
            raise http.client.RemoteDisconnected(
                "connection closed without a response"
            )
        exchange.response_started = True
        response.begin()
        attempt_result, reusable = _decode_response(response, outgoing, decode)
        match attempt_result:
            case state.Shed() | state.NodeRefused() if outgoing.has_id:
                if not _refuses_this_call(response, connection):
                    return _ANSWER_CROSSED, False
                connection.refused_ids.add(outgoing.call.request.request_id)
            case _:
                pass
        return attempt_result, reusable


def _refuses_this_call(
    response: _Response, connection: PooledConnection
) -> bool:
    """Return whether a refusal can't be one of an earlier call.

    A faulty server may repeat a refusal on a persistent connection.
    """
    names = (name for name, _ in response.header_pairs)
    return connection.calls_sent == 1 or _REQUEST_ID in names


def _decode_response(
    response: _Response, outgoing: OutgoingCall, decode: ResponseDecoder
) -> tuple[state.AttemptResult, bool]:
    without_body = (
        outgoing.call.request.method == "HEAD"
        or response.status in _BODYLESS_STATUSES
    )
    if not _is_framed(response, without_body):
        return state.AnswerLost(exceptions.ResultCode.ANSWER_CUT), False
    if (response.length or 0) > const.MAX_BODY_BYTES:
        return state.AnswerLost(exceptions.ResultCode.ANSWER_TOO_LARGE), False
    body = response.read(const.MAX_BODY_BYTES + 1)
    if len(body) > const.MAX_BODY_BYTES:
        return state.AnswerLost(exceptions.ResultCode.ANSWER_TOO_LARGE), False
    if response.length:
        return state.AnswerLost(exceptions.ResultCode.ANSWER_CUT), False
    by_name = dict(response.header_pairs)
    declared_length = by_name.get("content-length")
    echoed_id = by_name.get(_REQUEST_ID)
    request_id = outgoing.call.request.request_id
    if echoed_id is not None and echoed_id != request_id:
        return _ANSWER_CROSSED, False
    _check_response(
        request_id,
        echoed_id,
        len(body),
        None if response.chunked or without_body else declared_length,
    )
    headers = protocol.end_to_end_headers(response.header_pairs, without_body)
    attempt_result = decode(response.status, headers, body)
    return attempt_result, not response.will_close


def _is_framed(response: _Response, without_body: bool) -> bool:
    """Return whether a response is final and where it ends is known."""
    # A response delimited by the end of its connection can't be
    # distinguished from a truncated one, and an interim (1xx) response is
    # followed by another response. Status codes end at 599 (RFC 9110, 15).
    if not http.HTTPStatus.OK <= response.status <= const.MAX_STATUS:
        return False
    lengths = {
        value
        for name, value in response.header_pairs
        if name == "content-length"
    }
    if len(lengths) > 1:
        return False
    return without_body or response.chunked or response.length is not None


def _check_response(
    request_id: str,
    echoed_id: str | None,
    body_bytes: int,
    declared_length: str | None,
) -> None:
    state.check(
        exceptions.ResultCode.INVARIANT_ANSWER,
        (declared_length is None or body_bytes == int(declared_length))
        and echoed_id in (None, request_id),
        "response to request %s has %d of %s bytes and request ID %s",
        request_id,
        body_bytes,
        declared_length,
        echoed_id,
    )


def _unsent_code(error: Exception) -> exceptions.ResultCode:
    match error:
        case TimeoutError():
            return exceptions.ResultCode.DEADLINE_EXCEEDED
        case OSError():
            return exceptions.ResultCode.BACKEND_UNREACHABLE
        case _:
            return exceptions.ResultCode.REQUEST_INVALID


def _lost_answer_code(error: Exception) -> exceptions.ResultCode:
    match error:
        case TimeoutError():
            return exceptions.ResultCode.BACKEND_TIMEOUT
        case _:
            return exceptions.ResultCode.ANSWER_CUT
