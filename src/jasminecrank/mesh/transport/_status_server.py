"""HTTP server for readiness and metrics."""

import asyncio
from collections.abc import Callable
import socket
import typing

import httptools

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _idle_connections
from jasminecrank.mesh.transport import _sockets

REQUEST_TIMEOUT_S = 5.0
"""Time from the first byte of a request to its last."""
IDLE_TIMEOUT_S = 120.0
"""Time without a request after which a connection is closed."""
MAX_REQUEST_BYTES = 16_384
"""Largest request, its body and framing included."""
MAX_UNSENT_BYTES = 1024 * 1024
"""Size of the send buffer above which a connection is aborted."""
_ENDED_PARSER = httptools.HttpRequestParser(object())
"""Parser of a connection that has ended, and which its own would refer to."""


class StatusConnection(asyncio.Protocol):
    """Connection that answers GET requests of the platform and operators."""

    def __init__(
        self,
        respond: Callable[[bytes], protocol.RawResponse],
        log: coordination.Log,
        idle: _idle_connections.IdleConnections,
        clock: coordination.Clock,
    ) -> None:
        self._respond = respond
        self._log = log
        self._idle = idle
        self._clock = clock
        self._active_at_s = clock.now_s()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._request_bytes = 0
        self._unused = True
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the responses."""
        transport = typing.cast(asyncio.Transport, transport)
        self._transport = transport
        _sockets.set_socket_options(transport)
        self._start_timer(IDLE_TIMEOUT_S, "idle")
        self._idle.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; end the connection if they are invalid."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._request_bytes == 0:
            self._start_timer(REQUEST_TIMEOUT_S, "request-timeout")
        self._request_bytes += len(data)
        self._unused = False
        self._active_at_s = self._clock.now_s()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.close()
            return
        if self._request_bytes > MAX_REQUEST_BYTES:
            self._abort("request-too-large")

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer."""
        del exc
        self._idle.discard(self)
        self._cancel_timer()
        self._transport = None
        self._parser = _ENDED_PARSER

    @property
    def idleness(self) -> state.Idleness | None:
        """Return how it is idle, or None if something is due."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._request_bytes:
            return None
        if _sockets.undelivered_bytes(transport):
            return None
        if _sockets.unread_bytes(transport):
            return None
        return state.Idleness(not self._unused, self._active_at_s)

    def give_way(self) -> None:
        """Close the connection, on which nothing is due."""
        self._log.count("status_connections", "gave-way")
        if self._transport is not None:
            self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which can arrive in parts."""
        self._url += url

    def on_message_complete(self) -> None:
        """Send the response to a complete request."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        raw = self._respond(self._url)
        self._url = b""
        self._request_bytes = 0
        self._start_timer(IDLE_TIMEOUT_S, "idle")
        close = not self._parser.should_keep_alive()
        transport.writelines(protocol.encode_response(raw, b"GET", close))
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._abort("responses-unread")
        elif close:
            transport.close()

    def _abort(self, reason: str) -> None:
        """Abort the connection without flushing pending data."""
        transport = self._transport
        if transport is None:
            return
        self._log.count("status_connections", reason)
        self._log.connection("status-connection-aborted", reason=reason)
        transport.abort()

    def _start_timer(self, timeout_s: float, reason: str) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            timeout_s, self._abort, reason
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def listen_for_status(
    respond: Callable[[bytes], protocol.RawResponse],
    sock: socket.socket,
    log: coordination.Log,
    idle: _idle_connections.IdleConnections,
    clock: coordination.Clock,
) -> asyncio.Server:
    """Serve readiness or metrics on a listening socket."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: StatusConnection(respond, log, idle, clock), sock=sock
    )
