"""Clients that pass calls on to backend servers and other nodes."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import http.client
import time

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _sockets

_CONNECT_S = 1.0
_TARGETS_MAX = 64
_IDLE_MAX = 64
_BODYLESS_STATUSES = frozenset({204, 304})

Decode = Callable[
    [int, protocol.Headers, bytes],
    state.Answered | state.Shed | state.NodeRefused,
]


@dataclass(slots=True, frozen=True)
class Target:
    """Where a call is sent."""

    address: str
    port: int


@dataclass(slots=True, frozen=True)
class OutgoingCall:
    """A call as it is sent to one target."""

    call: protocol.HttpCall
    headers: protocol.Headers
    deadline_at_s: float


class ServerConnection(http.client.HTTPConnection):
    """A connection that writes each request at once and within a deadline."""

    def __init__(self, target: Target, deadline_at_s: float) -> None:
        super().__init__(target.address, target.port)
        self.idle_since_s = 0.0
        self.channel = _sockets.DeadlineSocket.connected(
            target.address, target.port, deadline_at_s
        )
        self.sock = self.channel
        self._parts: list[bytes] = []

    def send(self, data: object) -> None:
        """Collect a part of the request."""
        if not isinstance(data, bytes):
            raise TypeError(f"request part {type(data)} is not bytes")
        self._parts.append(data)

    def encode(self, outgoing: OutgoingCall) -> bytes:
        """Return the bytes of a request.

        Raises ValueError for a request that HTTP can't carry.
        """
        self._parts.clear()
        method = outgoing.call.request.method
        body = outgoing.call.body
        self.putrequest(
            method, outgoing.call.target, skip_accept_encoding=True
        )
        for name, value in outgoing.headers:
            self.putheader(name, value)
        if body or method in ("POST", "PUT", "PATCH"):
            self.putheader("Content-Length", str(len(body)))
        self.endheaders(body or None)
        return b"".join(self._parts)


@dataclass(slots=True)
class _Exchange:
    """What has happened to one request on one connection."""

    acked_before: int | None
    sent_bytes: int = 0
    answer_began: bool = False

    def failure(
        self, connection: ServerConnection, error: Exception
    ) -> state.Evidence:
        """Return what is proved after an error."""
        if self.sent_bytes == 0:
            return state.NothingSent(_unsent_code(error))
        if not self.answer_began and self._closed_before(connection, error):
            return state.ClosedBeforeRequest(
                exceptions.ResultCode.BACKEND_UNREACHABLE
            )
        return state.AnswerLost(_lost_code(error))

    def _closed_before(
        self, connection: ServerConnection, error: Exception
    ) -> bool:
        # A peer that had received the request acknowledges it in the segment
        # that closes the connection. After a reset without that segment
        # nothing is proved: Linux doesn't read a reset's acknowledgement.
        match error:
            case http.client.RemoteDisconnected() | BrokenPipeError():
                closed = True
            case _:
                closed = False
        return (
            closed
            and self.acked_before is not None
            and connection.channel.bytes_acked() == self.acked_before
        )


@dataclass(slots=True)
class ServerClient:
    """Sends calls over kept connections.

    An idle connection is in the stack of its target and belongs to nobody; a
    worker thread that takes it owns it until it puts it back. The connection
    used last is taken first, so few connections serve a low rate and none
    gets old.
    """

    max_idle_s: float
    idle_by_target: dict[Target, deque[ServerConnection]] = field(
        default_factory=dict
    )

    def send(
        self, target: Target, outgoing: OutgoingCall, decode: Decode
    ) -> state.Evidence:
        """Send a call and return what its whole answer or failure proves."""
        connection = self._take(target)
        if connection is not None:
            evidence = self._try(connection, target, outgoing, decode)
            match evidence:
                case (
                    state.ClosedBeforeRequest()
                    | state.NothingSent(
                        code=exceptions.ResultCode.BACKEND_UNREACHABLE
                    )
                ):
                    # The peer closed the kept connection while it was idle.
                    pass
                case _:
                    return evidence
        now_s = time.monotonic()
        remaining_s = outgoing.deadline_at_s - now_s
        if remaining_s <= 0:
            return state.NothingSent(exceptions.ResultCode.DEADLINE_EXCEEDED)
        try:
            connection = ServerConnection(
                target, now_s + min(_CONNECT_S, remaining_s)
            )
        except OSError:
            return state.NothingSent(exceptions.ResultCode.BACKEND_UNREACHABLE)
        return self._try(connection, target, outgoing, decode)

    def _try(
        self,
        connection: ServerConnection,
        target: Target,
        outgoing: OutgoingCall,
        decode: Decode,
    ) -> state.Evidence:
        channel = connection.channel
        channel.deadline_at_s = outgoing.deadline_at_s
        exchange = _Exchange(channel.bytes_acked())
        try:
            _write(connection, outgoing, exchange)
            evidence, reusable = _read(connection, outgoing, decode, exchange)
        except (OSError, http.client.HTTPException, ValueError) as error:
            evidence = exchange.failure(connection, error)
            reusable = False
        except BaseException:
            connection.close()
            channel.close()
            raise
        if reusable:
            self._put(target, connection)
        else:
            connection.close()
            channel.close()
        return evidence

    def _take(self, target: Target) -> ServerConnection | None:
        idle = self.idle_by_target.get(target)
        while idle:
            try:
                connection = idle.pop()
            except IndexError:
                return None
            # A server that closes an idle connection while a request is on
            # its way would leave a booking with an unknown outcome.
            fresh = (
                time.monotonic() - connection.idle_since_s <= self.max_idle_s
            )
            if fresh and connection.channel.is_quiet():
                return connection
            connection.close()
        return None

    def _put(self, target: Target, connection: ServerConnection) -> None:
        connection.idle_since_s = time.monotonic()
        idle = self.idle_by_target.get(target)
        if idle is None:
            while len(self.idle_by_target) >= _TARGETS_MAX:
                oldest = next(iter(tuple(self.idle_by_target)))
                self.idle_by_target.pop(oldest, None)
            idle = self.idle_by_target.setdefault(target, deque())
        if len(idle) >= _IDLE_MAX:
            connection.close()
            return
        idle.append(connection)


def _write(
    connection: ServerConnection, outgoing: OutgoingCall, exchange: _Exchange
) -> None:
    view = memoryview(connection.encode(outgoing))
    while view:
        count = connection.channel.send(view)
        exchange.sent_bytes += count
        view = view[count:]


def _read(
    connection: ServerConnection,
    outgoing: OutgoingCall,
    decode: Decode,
    exchange: _Exchange,
) -> tuple[state.Evidence, bool]:
    # http.client closes the socket on an empty answer, before it can be
    # asked what the peer has acknowledged.
    if not connection.channel.recv(1, _sockets.PEEK):
        raise http.client.RemoteDisconnected("closed without an answer")
    exchange.answer_began = True
    with connection.getresponse() as response:
        return _read_answer(response, outgoing, decode)


def _read_answer(
    response: http.client.HTTPResponse, outgoing: OutgoingCall, decode: Decode
) -> tuple[state.Evidence, bool]:
    method = outgoing.call.request.method
    without_body = method == "HEAD" or response.status in _BODYLESS_STATUSES
    if not _has_known_length(response, without_body):
        return state.AnswerLost(exceptions.ResultCode.ANSWER_CUT), False
    if (response.length or 0) > const.MAX_BODY_BYTES:
        return state.AnswerLost(exceptions.ResultCode.ANSWER_TOO_LARGE), False
    body = response.read(const.MAX_BODY_BYTES + 1)
    if len(body) > const.MAX_BODY_BYTES:
        return state.AnswerLost(exceptions.ResultCode.ANSWER_TOO_LARGE), False
    if response.length:
        return state.AnswerLost(exceptions.ResultCode.ANSWER_CUT), False
    echoed = response.headers.get(const.HEADER_REQUEST_ID)
    request_id = outgoing.call.request.request_id
    if echoed is not None and echoed != request_id:
        return state.AnswerLost(exceptions.ResultCode.ANSWER_CROSSED), False
    _check_answer(response, body, echoed, request_id)
    headers = protocol.answer_headers(response.headers.items(), without_body)
    evidence = decode(response.status, headers, body)
    return evidence, not response.will_close


def _has_known_length(
    response: http.client.HTTPResponse, without_body: bool
) -> bool:
    # An answer that ends with its connection can't be told from a cut one,
    # and an interim answer is followed by another.
    if response.status < http.HTTPStatus.OK:
        return False
    lengths = response.headers.get_all("Content-Length") or []
    if len(set(lengths)) > 1:
        return False
    return without_body or response.chunked or response.length is not None


def _check_answer(
    response: http.client.HTTPResponse,
    body: bytes,
    echoed: str | None,
    request_id: str,
) -> None:
    declared = response.headers.get("Content-Length")
    whole = (
        not body
        or response.chunked
        or (declared is not None and len(body) == int(declared))
    )
    state.check(
        exceptions.ResultCode.INVARIANT_ANSWER,
        whole and echoed in (None, request_id),
        "answer to %s has %d of %s bytes and belongs to %s",
        request_id,
        len(body),
        declared,
        echoed,
    )


def _unsent_code(error: Exception) -> exceptions.ResultCode:
    match error:
        case TimeoutError():
            return exceptions.ResultCode.DEADLINE_EXCEEDED
        case OSError():
            return exceptions.ResultCode.BACKEND_UNREACHABLE
        case _:
            return exceptions.ResultCode.REQUEST_INVALID


def _lost_code(error: Exception) -> exceptions.ResultCode:
    match error:
        case TimeoutError():
            return exceptions.ResultCode.BACKEND_TIMEOUT
        case _:
            return exceptions.ResultCode.ANSWER_CUT
