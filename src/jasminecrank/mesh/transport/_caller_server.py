"""HTTP/1.1 server for callers."""

import asyncio
from collections import deque
from collections.abc import Callable
import itertools
import typing

import httptools

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _sockets

MAX_PIPELINED_REQUESTS = 16
"""Waiting requests on a connection above which reading is paused."""
LISTEN_BACKLOG = 1_024
"""Connections waiting to be accepted, for bursts of new callers."""


class CallerServer:
    """Accepts connections from callers and holds their shared state."""

    def __init__(
        self,
        codec: protocol.CallerCodec,
        tell: Callable[[coordination.EntryMessage], None],
        clock: coordination.Clock,
        log: coordination.Log,
    ) -> None:
        self.codec = codec
        self.tell = tell
        self.clock = clock
        self.log = log
        self.limits = state.CallerLimits()
        self.closing = False
        self.request_numbers = itertools.count(1)
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    def start_closing(self) -> None:
        """Close each connection after its next response."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def receiving(self) -> bool:
        """Return whether a part of a request has been received."""
        return any(connection.receiving for connection in self.connections)

    @property
    def unanswered(self) -> int:
        """Return the number of complete requests without a response."""
        return sum(connection.unanswered for connection in self.connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that have not left the process."""
        return sum(connection.unsent_bytes for connection in self.connections)

    def refuse_incomplete(self) -> None:
        """Refuse the requests of which only a part has been received."""
        for connection in list(self.connections):
            if connection.receiving:
                connection.refuse_incomplete()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def abort(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()


class CallerConnection(asyncio.Protocol):
    """Connection of a caller, whose requests are answered in order."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[protocol.RawRequest] = deque()
        self._current_number: int | None = None
        self._current_method = b""
        self._close_after_last = False
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None
        self._closed_by_node = False
        self._unsent_at_end_bytes = 0
        self._reset_message()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        transport = typing.cast(asyncio.Transport, transport)
        self._transport = transport
        _sockets.set_socket_options(transport)
        self._server.connections.add(self)
        self._start_timer(self._server.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the header limits."""
        if self._refused:
            return
        if not self._in_message and self._current_number is None:
            self._start_timer(self._server.limits.header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(state.RefusalKind.REQUEST_INVALID, "upgrade")
        except httptools.HttpParserError as error:
            self._refuse(state.RefusalKind.REQUEST_INVALID, str(error))
        limits = self._server.limits
        if self._head_bytes > limits.max_header_bytes:
            self._refuse(state.RefusalKind.TOO_LARGE, "headers")

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the caller."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request, since its caller has disconnected."""
        self._server.connections.discard(self)
        if self.unanswered or self._unsent_at_end_bytes:
            self._server.log.count("caller_connections", "cut")
            self._server.log.decision(
                "caller-connection-cut",
                closed_by="node" if self._closed_by_node else "caller",
                error=None if exc is None else repr(exc),
                unanswered=self.unanswered,
                unsent_bytes=self._unsent_at_end_bytes,
            )
        self._cancel_timer()
        self._requests.clear()
        if self._current_number is not None:
            self._server.tell(
                coordination.CallerDisconnected(self._current_number)
            )
            self._current_number = None

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._reset_message()
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which can arrive in parts."""
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and count its bytes, 4 of them delimiters."""
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Send 100 Continue if the request expects it."""
        self._method = self._parser.get_method()
        self._keep_alive = self._parser.should_keep_alive()
        expect = protocol.find_header(self._headers, b"expect")
        if expect is not None and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append to the body and refuse a request that is too large."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(state.RefusalKind.TOO_LARGE, "body")

    def on_message_complete(self) -> None:
        """Queue a complete request; pause reading if too many wait."""
        self._in_message = False
        if self._refused:
            return
        self._requests.append(
            protocol.RawRequest(
                self._method,
                self._target,
                tuple(self._headers),
                b"".join(self._body),
            )
        )
        if not self._keep_alive:
            self._close_after_last = True
        self._reset_message()
        if len(self._requests) > MAX_PIPELINED_REQUESTS and self._transport:
            self._transport.pause_reading()
        self._start_next_request()

    def abort(self) -> None:
        """Abort the connection without flushing pending data."""
        if self._transport is not None:
            self._closed_by_node = True
            self._unsent_at_end_bytes = self.unsent_bytes
            self._transport.abort()

    @property
    def receiving(self) -> bool:
        """Return whether a part of a request has been received."""
        return self._in_message

    @property
    def unanswered(self) -> int:
        """Return the number of complete requests without a response."""
        return len(self._requests) + (self._current_number is not None)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that have not left the process."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, which has not run."""
        self._refuse(state.RefusalKind.OVERLOADED, state.STOPPING_REASON)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if (
            self._current_number is None
            and not self._in_message
            and self._transport
        ):
            self._close()

    def _start_next_request(self) -> None:
        if self._current_number is not None or not self._requests:
            return
        self._cancel_timer()
        raw = self._requests.popleft()
        number = next(self._server.request_numbers)
        self._current_number = number
        self._current_method = raw.method
        request = self._server.codec.read_request(raw)
        match request:
            case state.Refusal():
                self._reply(number, request, None)
            case state.CallRequest():
                self._server.tell(
                    coordination.CallArrived(
                        number,
                        request,
                        self._server.clock.now_s(),
                        lambda reply: self._reply(number, reply, request),
                    )
                )

    def _reply(
        self,
        number: int,
        reply: state.Reply,
        request: state.CallRequest | None,
    ) -> None:
        if self._current_number != number or self._transport is None:
            return
        self._current_number = None
        raw = self._server.codec.write_reply(reply, request)
        close = self._server.closing or (
            self._close_after_last and not self._requests
        )
        self._transport.writelines(
            protocol.encode_response(raw, self._current_method, close)
        )
        if close:
            self._close()
            return
        self._start_timer(self._server.limits.idle_timeout_s)
        self._transport.resume_reading()
        asyncio.get_running_loop().call_soon(self._start_next_request)

    def _refuse(self, kind: state.RefusalKind, detail: str) -> None:
        if self._refused or self._transport is None:
            return
        self._refused = True
        self._server.log.decision(
            "request-refused", outcome=kind.value, reason=detail
        )
        raw = self._server.codec.write_reply(state.Refusal(kind, detail), None)
        if self._current_number is None:
            self._transport.writelines(
                protocol.encode_response(raw, b"GET", True)
            )
        self._close()

    def _close(self) -> None:
        """Close the connection once the bytes written so far are sent."""
        if self._transport is not None:
            self._closed_by_node = True
            self._transport.close()

    def _start_timer(self, timeout_s: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            timeout_s, self._on_timeout
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._current_number is None and self._transport is not None:
            self._close()

    def _reset_message(self) -> None:
        self._in_message = False
        self._method = b""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._keep_alive = True
