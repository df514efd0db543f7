"""HTTP server for calls, with limits, deadlines and graceful shutdown.

cheroot parses requests and frames responses. This module adds what the
invariants require: it reads and writes each request within one deadline,
rejects ambiguous message framing and sends each response with one write.
"""

from collections.abc import Callable
import contextlib
import http
import io
import logging as std_logging
import queue
import select
import socket
import threading
import time
import typing

from absl import logging
from cheroot import errors
from cheroot import server as cheroot_server

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _caller_watch
from jasminecrank.transport import _header_lines
from jasminecrank.transport import _lingering
from jasminecrank.transport import _sockets

_KEEP_ALIVE_TIMEOUT_S = 30
_KEEP_ALIVE_CONNECTIONS_MAX = 1024
_SHUTDOWN_TIMEOUT_S = 30
_ACCEPT_BACKLOG = 256
_HEADER_BYTES_MAX = 65_536
_READ_TIMEOUT_S = 5.0
_STOP_READ_TIMEOUT_S = 0.2
"""Wait at shutdown for the request of a new connection."""
_HANDSHAKE_S = 0.05
"""Wait at shutdown for connections that are being opened."""
_WRITE_TIMEOUT_S = 10.0
_LINGER_S = 10.0
"""Time for a caller to receive its last answer."""
_NEXT_REQUEST_WAIT_S = 0.25
_WORKERS_PER_WAITER = 4
"""One worker out of this number may wait on a keep-alive connection."""
_BUFFER_BYTES = 65_536
_DISCARD_BYTES_MAX = 4 * const.MAX_BODY_BYTES
_CHUNKED_BYTES_MAX = 2 * const.MAX_BODY_BYTES
"""Size limit of a chunked body including the chunk headers."""


class CallHandler(typing.Protocol):
    """Interface of the application that handles requests."""

    def answer(
        self, request: protocol.HttpRequest, caller: _caller_watch.Caller
    ) -> "HandledRequest":
        """Handle a request and return its answer."""

    def refuse_too_large(self, method: str, target: str) -> "HandledRequest":
        """Return the answer to a request whose body is too large."""


class HandledRequest(typing.NamedTuple):
    """Answer to a request, and a callback for after it is sent."""

    answer: state.Answer
    on_sent: Callable[[], None]


class _Headers(dict[bytes, bytes]):
    """Headers merged by name for cheroot, and the original list."""

    def __init__(self) -> None:
        super().__init__()
        self.header_pairs: protocol.Headers = ()


class _HeaderReader(cheroot_server.HeaderReader):
    def __call__(
        self, rfile: typing.Any, hdict: _Headers | None = None
    ) -> _Headers:
        headers = _Headers() if hdict is None else hdict
        # Bypasses cheroot's size check, which reads a line in pieces and
        # accounts for a tenth of the time of a call.
        headers.header_pairs = _header_lines.read_headers(rfile.rfile.readline)
        for name, value in headers.header_pairs:
            key = name.title().encode("ascii")
            previous = headers.get(key)
            encoded = value.encode("latin-1")
            headers[key] = (
                encoded if previous is None else previous + b", " + encoded
            )
        return headers


class _Request(cheroot_server.HTTPRequest):
    header_reader = _HeaderReader()
    status: typing.Any

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.inheaders = _Headers()
        self.passed_to_handler = False

    def read_request_headers(self) -> bool:
        read: Callable[[], bool] = super().read_request_headers
        if not read():
            return False
        self.conn.wfile.flush()  # 100 Continue response to Expect
        length = self.inheaders.get(b"Content-Length")
        if length is not None and (
            not length.isdigit() or b"Transfer-Encoding" in self.inheaders
        ):
            self.simple_response("400 Bad Request")
            return False
        if self.conn.is_last_request:
            self.close_connection = True
        tokens = self.inheaders.get(b"Connection", b"").lower().split(b",")
        if b"close" in [token.strip() for token in tokens]:
            self.close_connection = True
        return True

    def simple_response(self, status: str, msg: str = "") -> None:
        """Reject a request that can't be parsed; msg is not sent."""
        del msg
        refused = state.Refused(
            exceptions.ResultCode.REQUEST_INVALID,
            exceptions.RunState.NOT_RUN,
            state.NO_VERSION,
        )
        if self.passed_to_handler:
            refused = state.Refused(
                exceptions.ResultCode.ANSWER_CUT,
                exceptions.RunState.MAY_HAVE_RUN,
                state.NO_VERSION,
            )
        answer = protocol.encode_refusal(refused, "")
        self.close_connection = True
        self.rfile = None  # leaves the rest of the request unread
        length = ("Content-Length", str(len(answer.body)))
        self.send_answer(
            status,
            state.Answer(
                answer.status, (*answer.headers, length), answer.body
            ),
        )

    def send_answer(self, status: str, answer: state.Answer) -> None:
        """Send the complete response with one write."""
        self.conn.socket.deadline_at_s = time.monotonic() + _WRITE_TIMEOUT_S
        self.status = status.encode("latin-1")
        self.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
        ]
        self.ensure_headers_sent()
        if answer.body and getattr(self, "method", b"") != b"HEAD":
            self.conn.wfile.write(answer.body)
        self.conn.wfile.flush()


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request
    reached_worker = False
    is_idle = True
    """Whether it waits for its next request, without a worker."""
    closing = False
    is_last_request = False

    def __init__(
        self, server: "CallHttpServer", sock: socket.socket, makefile: object
    ) -> None:
        del makefile
        super().__init__(
            server, _sockets.DeadlineSocket.from_socket(sock), _make_file
        )

    def communicate(self) -> bool:
        """Handle requests; return True to keep the connection open."""
        communicate: Callable[[], bool] = super().communicate
        while True:
            limit_s = (
                _READ_TIMEOUT_S if self.server.ready else _STOP_READ_TIMEOUT_S
            )
            self.socket.deadline_at_s = time.monotonic() + limit_s
            self.reached_worker = True
            self.is_idle = False
            if not communicate():
                return False
            if not self.server.await_next_request(self):
                self.is_idle = True
                return True

    def close(self) -> None:
        """Close the connection, once its last answer is delivered.

        An idle connection with a request is served first.
        """
        if self.closing:
            return
        if self.is_idle and self.socket.is_readable(0):
            self.is_last_request = True
            self.is_idle = False
            self.server.requests.put(self)
            return
        self.closing = True
        if self.socket.unacknowledged_bytes() or self.socket.is_readable(0):
            self.server.lingering.add(
                self.socket,
                time.monotonic() + _LINGER_S,
                super().close,
            )
        else:
            super().close()


def _make_file(
    deadline_socket: _sockets.DeadlineSocket, mode: str, size: int
) -> io.BufferedReader | io.BufferedWriter:
    del size
    if "r" in mode:
        return _sockets.DeadlineReader(deadline_socket, _BUFFER_BYTES)
    return io.BufferedWriter(
        socket.SocketIO(deadline_socket, "w"), _BUFFER_BYTES
    )


class _Gateway(cheroot_server.Gateway):
    def respond(self) -> None:
        """Read the request body, run the handler and send its answer."""
        request = self.req
        handler: CallHandler = request.server.handler
        method = request.method.decode("latin-1")
        target = request.uri.decode("latin-1")
        try:
            body = self._read_body()
        except ValueError:
            request.simple_response("400 Bad Request")
            return
        if body is None:
            request.close_connection = True
            handled = handler.refuse_too_large(method, target)
        else:
            request.passed_to_handler = True
            handled = handler.answer(
                protocol.HttpRequest(
                    method, target, request.inheaders.header_pairs, body
                ),
                _caller_watch.Caller(
                    request.conn.socket, request.server.caller_watch
                ),
            )
        try:
            request.send_answer(
                _status_line(handled.answer.status), handled.answer
            )
        finally:
            handled.on_sent()

    def _read_body(self) -> bytes | None:
        """Return the complete body, or None if it is too large.

        Raises ValueError for a truncated or malformed body.
        """
        request = self.req
        if request.chunked_read:
            # A malformed last chunk must not be parsed as another request.
            request.close_connection = True
            return self._read_chunks()
        length = int(request.inheaders.get(b"Content-Length", 0))
        if length > const.MAX_BODY_BYTES:
            # Closing a socket with unread data resets the connection, and
            # the caller might not receive the response.
            request.rfile.read(min(length, _DISCARD_BYTES_MAX))
            request.rfile.remaining = 0
            return None
        body: bytes = request.rfile.read(length) if length else b""
        if len(body) != length:
            raise ValueError("request body is truncated")
        return body

    def _read_chunks(self) -> bytes | None:
        chunk_reader: typing.Any = cheroot_server.ChunkedRFile(
            self.req.conn.rfile, _CHUNKED_BYTES_MAX
        )
        try:
            body: bytes = chunk_reader.read(const.MAX_BODY_BYTES + 1)
        except TimeoutError:
            raise
        except (OSError, errors.MaxSizeExceeded):
            return None
        if len(body) > const.MAX_BODY_BYTES:
            return None
        if not chunk_reader.closed:
            raise ValueError("request body is truncated")
        for _ in chunk_reader.read_trailer_lines():
            pass
        return body


class CallHttpServer(cheroot_server.HTTPServer):
    """HTTP server that owns the listening socket and worker threads."""

    _connections: typing.Any
    requests: typing.Any
    socket: typing.Any
    ConnectionClass = _Connection
    timeout = _KEEP_ALIVE_TIMEOUT_S
    shutdown_timeout = _SHUTDOWN_TIMEOUT_S
    request_queue_size = _ACCEPT_BACKLOG
    keep_alive_conn_limit = _KEEP_ALIVE_CONNECTIONS_MAX
    max_request_header_size = _HEADER_BYTES_MAX

    def __init__(
        self, address: str, port: int, threads: int, handler: CallHandler
    ) -> None:
        super().__init__(
            (address, port), _Gateway, minthreads=threads, maxthreads=threads
        )
        self.handler = handler
        self.caller_watch = _caller_watch.CallerWatch.start()
        self.lingering = _lingering.LingeringConnections.start()
        self.draining = False
        self._waiting_workers = threading.BoundedSemaphore(
            max(1, threads // _WORKERS_PER_WAITER)
        )
        # SimpleQueue is implemented in C, unlike the condition of queue.Queue.
        connection_queue: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
        self.requests._queue = connection_queue
        self.requests.get = connection_queue.get

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may stay open after its response."""
        return not self.draining and bool(super().can_add_keepalive_connection)

    def process_conn(self, conn: typing.Any) -> None:
        """Pass a connection to a worker once it has data to read."""
        if conn.last_used is None:
            self.put_conn(conn)
        else:
            super().process_conn(conn)

    def put_conn(self, conn: typing.Any) -> None:
        """Keep a connection, or at shutdown serve its data and close it."""
        if self.ready:
            super().put_conn(conn)
        elif conn.rfile.has_data():
            self.requests.put(conn)
        else:
            conn.close()

    def await_next_request(self, conn: _Connection) -> bool:
        """Wait briefly for the next request on a connection.

        A worker that keeps its connection saves two handoffs between threads
        for each request of a frequent caller.
        """
        if self.draining or not self.ready or self.requests.qsize:
            return False
        if conn.rfile.has_data():  # other connections go before pipelining
            return False
        if not self._waiting_workers.acquire(blocking=False):
            return False
        try:
            readable: bool = conn.socket.is_readable(_NEXT_REQUEST_WAIT_S)
        finally:
            self._waiting_workers.release()
        return readable

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of the cheroot library."""
        del traceback
        if level >= std_logging.ERROR:
            logging.error("call server: %s", msg)
        else:
            logging.info("call server: %s", msg)

    def stop(self) -> None:
        """Serve all requests received so far, then close the server."""
        if self.ready:
            self._connections.stop()
            self._enqueue_received()
        super().stop()
        self.lingering.stop()
        self.caller_watch.stop()

    def _enqueue_received(self) -> None:
        # A connection that hasn't reached a worker yet is about to send its
        # first request. Idle keep-alive connections are not waited for.
        selector = self._connections._selector
        # Closing the socket resets connections that were not accepted.
        with contextlib.suppress(OSError):
            _sockets.ignore_new_connections(self.socket)
        for _ in range(_ACCEPT_BACKLOG):
            if not _is_readable(self.socket, _HANDSHAKE_S):
                break
            conn = self._connections._from_server_socket(self.socket)
            if conn is not None:
                self.requests.put(conn)
        selector.unregister(self.socket.fileno())
        self.socket.close()
        self.socket = None
        readable = {fd for fd, _ in selector.select(0)}
        for fd, conn in tuple(selector.connections):
            if conn is self or (conn.reached_worker and fd not in readable):
                continue
            selector.unregister(fd)
            self.requests.put(conn)


def _is_readable(listener: socket.socket, timeout_s: float) -> bool:
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(timeout_s * 1000))


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
