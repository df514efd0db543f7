"""Persistent HTTP/1.1 connection to a server."""

import asyncio
from collections.abc import Callable
import typing

import httptools

from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _paced_reading
from jasminecrank.mesh.transport import _response_body
from jasminecrank.mesh.transport import _sockets

REASON_RESET = "connection-reset"
REASON_MALFORMED = "garbled-answer"
REASON_TRUNCATED = "answer-cut"
REASON_UNNAMED = "answer-unnamed"
REASON_TOO_LARGE = "answer-too-large"
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
"""Lower ones are those of interim responses."""
MAX_STATUS = 599
"""Bounds of status codes (RFC 9110, 15)."""
MAX_HEAD_BYTES = 65_536
"""Largest head of a response with interim ones, and its largest trailers."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest body of a response."""

_ENDED_PARSER = httptools.HttpResponseParser(object())
"""Parser of a connection that has ended.

Its own parser refers to the connection, which would only be freed by the
garbage collector.
"""

_OwnerFinder = Callable[[protocol.RawResponse], protocol.ResponseOwner]


# The class name is written out: the event health-check-failed logs the repr.
class Broken(Exception):
    """The connection failed before a complete response; holds the reason."""


class ClientConnection(asyncio.Protocol):
    """Persistent connection that carries one request at a time.

    `turns` are those of all connections that parse their bytes in slices, and
    name the budget of large bodies; without them, each read is parsed at once,
    and nothing is claimed.
    """

    def __init__(self, turns: _paced_reading.ReadTurns | None = None) -> None:
        self._turns = turns
        self._paced: _paced_reading.PacedReader | None = None
        if turns is not None:
            self._paced = _paced_reading.PacedReader(self, turns)
        self._is_paused = False
        """Whether reading is paused."""
        self._events = 0
        """Events of the parser so far, by which reading costs time."""
        self._parsed_bytes = 0
        """Bytes parsed for the current exchange."""
        self._trailer_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[protocol.RawResponse] | None = None
        self._find_owner: _OwnerFinder | None = None
        self._exchanges = 0
        self._head_only = False
        self._user_timeout_ms = _sockets.TCP_USER_TIMEOUT_MS
        self._has_sent_body = False
        """Whether the latest request had a body."""
        self._max_body_bytes = MAX_BODY_BYTES
        self.received_bytes = 0
        """Bytes received for the current exchange, framing included."""
        self._on_progress: Callable[[], None] | None = None
        self._reset_message()
        self.usable = False
        self.is_lost = False
        """Whether the connection has ended."""
        self.response_status = 0
        """Status of the response that is being received; 0 before its head."""
        self.idle_timeout_s: float | None = None
        self.idle_since_s = 0.0
        self.rejected_ids: set[str] = set()
        """Ids of requests that the server has rejected on it."""
        self.transfer_s = 0.0
        """Time from the first to the last byte of the latest response."""
        self._began_at_s = 0.0

    async def exchange(
        self,
        request: protocol.RawRequest,
        find_owner: _OwnerFinder | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
        on_progress: Callable[[], None] | None = None,
    ) -> protocol.RawResponse:
        """Send a request and return its response, or raise Broken.

        A response that belongs to another request is dropped; without
        `find_owner`, every response belongs to this one. Cancellation aborts
        the connection. `on_progress` is called as bytes arrive.
        """
        if self._transport is None or not self.usable:
            raise Broken(REASON_RESET)
        self._waiter = asyncio.get_running_loop().create_future()
        self._find_owner = find_owner
        self._exchanges += 1
        self._head_only = request.method == b"HEAD"
        self._max_body_bytes = max_body_bytes
        self.received_bytes = 0
        self._parsed_bytes = 0
        if self._paced is not None:
            self._paced.pace.start_request()
        self._on_progress = on_progress
        self._has_sent_body = bool(request.body)
        if len(request.body) > state.SMALL_BODY_BYTES:
            self._set_user_timeout(_sockets.SLOW_TCP_USER_TIMEOUT_MS)
        self._transport.writelines(protocol.encode_request(request))
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None
            self._on_progress = None
            if not self.is_sending:
                self._set_user_timeout(_sockets.TCP_USER_TIMEOUT_MS)
            # It may refer to the request, whose body can be large.
            self._find_owner = None

    @property
    def is_exchanging(self) -> bool:
        """Return whether a response is due."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def is_open(self) -> bool:
        """Return whether it may carry a request and the peer keeps it."""
        return (
            self.usable
            and self._transport is not None
            and _sockets.is_established(self._transport)
        )

    @property
    def is_sending(self) -> bool:
        """Return whether the server has not taken the latest request whole.

        It may answer before, and keeps later requests waiting then.
        """
        return (
            self._has_sent_body
            and not self.is_lost
            and self._transport is not None
            and _sockets.undelivered_bytes(self._transport) > 0
        )

    def _set_user_timeout(self, user_timeout_ms: int) -> None:
        if self._transport is None or self._user_timeout_ms == user_timeout_ms:
            return
        self._user_timeout_ms = user_timeout_ms
        _sockets.set_user_timeout(self._transport, user_timeout_ms)

    def close(self) -> None:
        """Close the connection, on which nothing is due."""
        self.usable = False
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection and mark it as unusable."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Abort the connection, also what the kernel still sends."""
        if self._transport is not None:
            _sockets.reset_on_close(self._transport)
        self.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and mark the connection as usable."""
        transport = typing.cast(asyncio.Transport, transport)
        self._transport = transport
        _sockets.set_socket_options(transport)
        self.usable = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or abort if no request is pending."""
        if self._waiter is None:
            # Unsolicited bytes make the connection unusable.
            self.abort()
            return
        self.received_bytes += len(data)
        if self._paced is None:
            self.parse(memoryview(data), True)
        else:
            self._paced.receive(data)
            self._drop_late_bytes()
        self._update_reading()
        if self._on_progress is not None:
            self._on_progress()

    @property
    def takes_bytes(self) -> bool:
        """Return whether more may be parsed now."""
        return not self._body.is_waiting

    def parse(self, data: memoryview, ends_read: bool) -> int:
        """Parse bytes, and return the number of the parser's events."""
        del ends_read
        if not self.is_exchanging:
            self.usable = False
            return 0
        events = self._events
        self._parsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(REASON_MALFORMED)
        except httptools.HttpParserError:
            self._fail(REASON_MALFORMED)
        max_bytes = MAX_HEAD_BYTES
        if self._headers_done:
            max_bytes += self._max_body_bytes
        if self._parsed_bytes > max_bytes:
            self._fail(REASON_TOO_LARGE)
        self._drop_late_bytes()
        return self._events - events

    def on_held_parsed(self) -> None:
        """Go on reading, since no bytes wait any more."""
        self._update_reading()

    def _drop_late_bytes(self) -> None:
        """Drop bytes behind a response, which must not answer a later call."""
        if self._paced is None or self.is_exchanging:
            return
        if self._paced.held_bytes:
            self.usable = False
            self._paced.drop()

    def _update_reading(self) -> None:
        """Read no more while bytes wait to be parsed, or a body for memory."""
        if self._transport is None or self._transport.is_closing():
            return
        is_paused = self._body.is_waiting or (
            self._paced is not None and self._paced.held_bytes > 0
        )
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if self._body.is_waiting and self._turns is not None:
            self._turns.record_memory_wait()
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Complete a response whose body extends to the end of stream."""
        self.usable = False
        if self._in_message and self._headers_done and self._body_until_close:
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending exchange."""
        del exc
        if self._paced is not None:
            self._paced.parse_rest()
        self.usable = False
        self.is_lost = True
        self._fail(REASON_TRUNCATED if self._headers_done else REASON_RESET)
        self._transport = None
        self._parser = _ENDED_PARSER

    def on_message_begin(self) -> None:
        """Reset the parser state; reject an unsolicited response."""
        self._events += 1
        self._reset_message()
        self._in_message = True
        self._began_at_s = asyncio.get_running_loop().time()
        if self._waiter is None or self._waiter.done():
            self.usable = False

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase, which can arrive in parts."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header until the response is complete; count a trailer."""
        self._events += 1
        if not self.is_exchanging:
            return
        if not self._headers_done:
            self._headers.append((name, value))
            return
        self._trailer_bytes += len(name) + len(value) + 4
        if self._trailer_bytes > MAX_HEAD_BYTES:
            self._fail(REASON_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Determine the body framing and whether the connection persists."""
        self._headers_done = True
        self.response_status = self._parser.get_status_code()
        headers = tuple(self._headers)
        if not _is_valid_status(self.response_status, headers):
            self._fail(REASON_MALFORMED)
            return
        self._body_until_close = (
            protocol.find_header(headers, b"content-length") is None
            and protocol.find_header(headers, b"transfer-encoding") is None
        )
        if (
            protocol.has_connection_close(headers)
            or not self._parser.should_keep_alive()
        ):
            self.usable = False
        length = protocol.find_header(headers, b"content-length")
        if length is not None and int(length) > self._max_body_bytes:
            self._fail(REASON_TOO_LARGE)
        elif length is not None and self.is_exchanging and not self._head_only:
            self._body.announce(int(length))
        idle_timeout_s = protocol.keep_alive_timeout_s(headers)
        if idle_timeout_s is not None:
            self.idle_timeout_s = idle_timeout_s
        if self._head_only:
            self.usable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body until the response is complete."""
        self._events += 1
        if self.is_exchanging and not self._body.add(body):
            self._fail(REASON_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Return the response to its exchange, or drop an unsolicited one."""
        if not self._parser.should_keep_alive():
            # A trailer may say so; the parser reads nothing more then.
            self.usable = False
        if not self._head_only:
            self._complete()

    def _complete(self) -> None:
        self._in_message = False
        self.transfer_s = asyncio.get_running_loop().time() - self._began_at_s
        raw = protocol.RawResponse(
            self.response_status,
            self._reason,
            tuple(self._headers),
            self._body.finish(),
        )
        self._drop_message()
        if self.response_status < MIN_FINAL_STATUS:
            return
        if self._waiter is None or self._waiter.done():
            self.usable = False
            return
        owner = protocol.ResponseOwner.THIS
        if self._find_owner is not None:
            owner = self._find_owner(raw)
        match owner:
            case protocol.ResponseOwner.THIS:
                self._waiter.set_result(raw)
            case protocol.ResponseOwner.OTHER:
                self.usable = False
            case protocol.ResponseOwner.UNNAMED if self._exchanges == 1:
                # Nothing on this connection could be repeated yet.
                self.usable = False
                self._waiter.set_result(raw)
            case protocol.ResponseOwner.UNNAMED:
                self._fail(REASON_UNNAMED)
            case _:
                typing.assert_never(owner)

    def _fail(self, reason: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(Broken(reason))
        self._drop_message()
        self.abort()

    def _drop_message(self) -> None:
        """Free what is kept of a response that is complete or has failed."""
        self._headers.clear()
        self._body.drop()

    def _new_body(self) -> _response_body.ResponseBody:
        budget = None if self._turns is None else self._turns.budget
        return _response_body.ResponseBody(
            budget, self._max_body_bytes, self._schedule_body
        )

    def _schedule_body(self) -> None:
        """Read the body soon; its claim can be granted at any point."""
        asyncio.get_running_loop().call_soon(self._resume_body, self._body)

    def _resume_body(self, body: _response_body.ResponseBody) -> None:
        if body is not self._body:
            return
        body.resume()
        if self._paced is not None:
            self._paced.resume()
        self._update_reading()

    def _reset_message(self) -> None:
        self._in_message = False
        self._headers_done = False
        self._trailer_bytes = 0
        self._body_until_close = False
        self.response_status = 0
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = self._new_body()


def _is_valid_status(status: int, headers: state.Headers) -> bool:
    """Return whether a response may have this status and these headers.

    An interim response has no body (RFC 9110, 15.2). A response that has one
    is not followed by another, so that the exchange would wait in vain.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        return False
    if status >= MIN_FINAL_STATUS:
        return True
    length = protocol.find_header(headers, b"content-length")
    return length in (None, b"0") and (
        protocol.find_header(headers, b"transfer-encoding") is None
    )


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    local_host: str | None = None,
    turns: _paced_reading.ReadTurns | None = None,
) -> ClientConnection:
    """Open a connection, or raise OSError or TimeoutError."""
    loop = asyncio.get_running_loop()
    local = None if local_host is None else (local_host, 0)
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(turns), host, port, local_addr=local
        )
    return connection
