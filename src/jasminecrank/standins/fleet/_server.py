"""Stand-in for a backend server."""

import asyncio
from collections import Counter
import enum
import typing

from jasminecrank.standins.fleet import _http

QUEUE_SIZE = 4
"""Requests accepted beyond the slots; further ones hang."""


class Behaviour(enum.Enum):
    """How a server handles a request."""

    SERVE = "serve"
    FAIL = "fail"
    SHED = "shed"
    SHED_LATE = "shed-late"
    """Reject a request that has waited for as long as a run takes."""
    SHED_UNNAMED = "shed-without-an-id"
    REPEAT_REJECTION = "repeat-an-earlier-rejection"
    REPEAT_UNNAMED = "repeat-an-earlier-rejection-without-an-id"
    RESET_AFTER_RUN = "reset-after-run"
    CUT = "cut"
    CUT_STATUS = "close-in-the-status-line"
    CUT_NAME = "close-in-a-header-name"
    CUT_VALUE = "close-in-a-header-value"
    CUT_LINE = "close-after-a-header-line"
    CUT_HEAD_END = "close-before-the-last-byte-of-the-head"
    CUT_BODY = "close-after-the-head"
    CUT_AFTER_INTERIM = "close-in-the-head-after-an-interim-response"
    CUT_UNFRAMED = "close-in-a-head-without-a-length"
    GARBLED = "garbled"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed-reset"
    TRAILER = "answer-with-the-trailer-x-sum"
    TRAILER_NOT_RUN = "answer-with-the-trailer-not-run"
    TRAILER_CLOSE = "answer-with-the-trailer-close"
    EXTRA = "extra"
    LATE_EXTRA = "late-extra"
    TIMED_OUT = "fail-at-the-deadline"
    HANG = "hang"
    ENDLESS_BODY = "send-a-body-without-end"
    ENDLESS_CHUNKS = "send-chunks-without-end"
    ENDLESS_LARGE_CHUNKS = "send-chunks-of-64-kb-without-end"
    ENDLESS_TINY_CHUNKS = "send-chunks-of-one-byte-without-end"
    ENDLESS_LENGTH = "send-a-body-of-a-terabyte"
    ENDLESS_HEADERS = "send-headers-without-end"
    ENDLESS_HEADER = "send-one-header-without-end"
    ENDLESS_TRAILERS = "send-trailers-without-end"
    ENDLESS_INTERIM = "send-interim-responses-without-end"


ENDLESS_MAX_BYTES = 256 * 1024 * 1024
"""Bytes after which a test of an endless response is given up."""
ENDLESS_PART_BYTES = 65_536
_TRAILER_BY_BEHAVIOUR = {
    Behaviour.TRAILER: b"X-Sum: 1",
    Behaviour.TRAILER_NOT_RUN: b"Not-Executed: 1",
    Behaviour.TRAILER_CLOSE: b"Connection: close",
}
_ENDLESS_BY_BEHAVIOUR = {
    Behaviour.ENDLESS_BODY: (b"Connection: close\r\n\r\n", b"x"),
    Behaviour.ENDLESS_CHUNKS: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10\r\n0123456789abcdef\r\n",
    ),
    Behaviour.ENDLESS_LARGE_CHUNKS: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + bytes(65_536) + b"\r\n",
    ),
    Behaviour.ENDLESS_TINY_CHUNKS: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    Behaviour.ENDLESS_LENGTH: (
        b"Content-Length: 1000000000000\r\n\r\n",
        b"x",
    ),
    Behaviour.ENDLESS_HEADERS: (b"", b"X-Line: 1\r\n"),
    Behaviour.ENDLESS_HEADER: (b"X-Value: ", b"x"),
    Behaviour.ENDLESS_TRAILERS: (
        b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        b"X-Line: 1\r\n",
    ),
    Behaviour.ENDLESS_INTERIM: (
        b"\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n",
    ),
}
"""End of the response's head, and the bytes repeated after it."""


class Server:
    """Server with slots, a short queue and faults; hangs when it is full."""

    def __init__(self, server_id: str, slots: int = 4) -> None:
        self.server_id = server_id
        self.slots = slots
        self.run_s = 0.02
        self.late_s = 0.0
        """Time after its deadline at which a run is given up."""
        self.min_body_bytes = 0
        """Bytes to which shorter bodies of responses are filled up."""
        self.cold_s = 0.0
        self.status_lines: list[str] = []
        """Status codes and reasons of the next responses, in order."""
        self.behaviours: list[Behaviour] = []
        """For the next requests, in order; then `default_behaviour`."""
        self.default_behaviour = Behaviour.SERVE
        self.runs_by_request_id: Counter[str] = Counter()
        self.arrivals_by_request_id: Counter[str] = Counter()
        """Requests received, rejected ones included."""
        self.run_times_s: list[float] = []
        self.requests: list[_http.Request] = []
        self.peak_concurrency = 0
        self.cancelled_runs = 0
        self.connection_count = 0
        self.endless_bytes = 0
        """Bytes of endless responses that a client has accepted."""
        self.endless_max_bytes = ENDLESS_MAX_BYTES
        self.endless_health = False
        """Whether health checks are answered by the default behaviour too."""
        self._concurrency = 0
        self._deferred_response: bytes = b""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Simulate a crash: abort all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connection_count += 1
        is_kept = False
        try:
            while (request := await _http.read_request(reader)) is not None:
                was_kept, is_kept = is_kept, True
                if request.target == "/healthz":
                    if self.endless_health:
                        await self._send_endlessly(
                            writer, self.default_behaviour, {}
                        )
                        return
                    writer.write(self._encode_health())
                    continue
                response = asyncio.ensure_future(
                    self._handle(request, writer, was_kept)
                )
                if not await self._wait_for_response(response, reader):
                    return
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass  # The client has disconnected.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_for_response(
        self, response: "asyncio.Future[bool]", reader: asyncio.StreamReader
    ) -> bool:
        """Wait for a response; cancel the run if its client disconnects."""
        while not response.done():
            await asyncio.wait([response], timeout=0.01)
            if reader.at_eof() or reader.exception() is not None:
                response.cancel()
                self.cancelled_runs += 1
                return False
        return response.result()

    def _answer_body(self, request_id: str, request: _http.Request) -> bytes:
        body = f"body of {request_id}".encode()
        return body.ljust(self.min_body_bytes, b".")

    def _encode_health(self) -> bytes:
        headers = {"Instance-Id": self.server_id}
        if self.cold_s > 0:
            headers["Cold-Ms"] = str(round(self.cold_s * 1000))
        return _http.encode_response(200, b"", headers)

    async def _handle(
        self,
        request: _http.Request,
        writer: asyncio.StreamWriter,
        is_kept: bool,
    ) -> bool:
        request_id = request.headers.get("request-id", "")
        self.arrivals_by_request_id[request_id] += 1
        echoed_headers = {"Request-Id": request_id}
        expected_id = request.headers.get("expect-instance", self.server_id)
        if expected_id != self.server_id:
            writer.write(
                _http.encode_response(
                    421, b"", {**echoed_headers, "Instance-Id": self.server_id}
                )
            )
            return True
        behaviour = (
            self.behaviours.pop(0)
            if self.behaviours
            else self.default_behaviour
        )
        match behaviour:
            case Behaviour.SHED:
                writer.write(_encode_rejection(echoed_headers))
                return True
            case Behaviour.SHED_LATE:
                await asyncio.sleep(self.run_s)
                writer.write(_encode_rejection(echoed_headers))
                return True
            case Behaviour.SHED_UNNAMED:
                writer.write(_encode_rejection({}))
                return True
            case Behaviour.REPEAT_REJECTION if is_kept:
                writer.write(_encode_rejection({"Request-Id": "earlier"}))
            case Behaviour.REPEAT_UNNAMED if is_kept:
                writer.write(_encode_rejection({}))
            case _:
                pass
        behaviour = await self._run(request, behaviour)
        headers = {**echoed_headers, "Server-Stamp": f"stamp-{request_id}"}
        body = self._answer_body(request_id, request)
        response = _http.encode_response(200, body, headers)
        if self.status_lines:
            line = f"HTTP/1.1 {self.status_lines.pop(0)}".encode()
            response = line + response[response.index(b"\r\n") :]
        if behaviour in _ENDLESS_BY_BEHAVIOUR:
            await self._send_endlessly(writer, behaviour, headers)
            return False
        return self._send(writer, behaviour, response, headers, body)

    async def _send_endlessly(
        self,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
        headers: dict[str, str],
    ) -> None:
        """Send bytes until the client closes the connection."""
        head_end, repeated = _ENDLESS_BY_BEHAVIOUR[behaviour]
        interim = behaviour is Behaviour.ENDLESS_INTERIM
        lines = [f"HTTP/1.1 {102 if interim else 200} OK"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        writer.write(("\r\n".join(lines) + "\r\n").encode() + head_end)
        part = repeated * max(1, ENDLESS_PART_BYTES // len(repeated))
        while self.endless_bytes < self.endless_max_bytes:
            writer.write(part)
            await writer.drain()
            self.endless_bytes += len(part)
            await asyncio.sleep(0)

    def _run_time_s(self, request: _http.Request) -> float:
        return self.run_s

    async def _run(
        self, request: _http.Request, behaviour: Behaviour
    ) -> Behaviour:
        """Run a request; return how to answer it."""
        if (
            self._concurrency >= self.slots + QUEUE_SIZE
            or behaviour is Behaviour.HANG
        ):
            await asyncio.sleep(60.0)
        self._concurrency += 1
        self.peak_concurrency = max(self.peak_concurrency, self._concurrency)
        self.requests.append(request)
        self.runs_by_request_id[request.headers.get("request-id", "")] += 1
        self.run_times_s.append(asyncio.get_running_loop().time())
        run_s = self._run_time_s(request)
        deadline_s = _deadline_s(request)
        try:
            await asyncio.sleep(min(run_s, deadline_s + self.late_s))
        finally:
            self._concurrency -= 1
        return behaviour if run_s <= deadline_s else Behaviour.TIMED_OUT

    def _send(
        self,
        writer: asyncio.StreamWriter,
        behaviour: Behaviour,
        response: bytes,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        deferred, self._deferred_response = self._deferred_response, b""
        match behaviour:
            case (
                Behaviour.SERVE
                | Behaviour.REPEAT_REJECTION
                | Behaviour.REPEAT_UNNAMED
            ):
                writer.write(deferred + response)
            case Behaviour.FAIL:
                writer.write(_http.encode_response(500, b"failed", headers))
            case Behaviour.TIMED_OUT:
                writer.write(_http.encode_response(504, b"too late", headers))
            case Behaviour.RESET_AFTER_RUN:
                writer.transport.abort()
                return False
            case Behaviour.CUT:
                writer.write(response[:-3])
                return False
            case (
                Behaviour.CUT_STATUS
                | Behaviour.CUT_NAME
                | Behaviour.CUT_VALUE
                | Behaviour.CUT_LINE
                | Behaviour.CUT_HEAD_END
                | Behaviour.CUT_BODY
                | Behaviour.CUT_AFTER_INTERIM
                | Behaviour.CUT_UNFRAMED
            ):
                writer.write(_cut_head(response, behaviour))
                return False
            case Behaviour.GARBLED:
                writer.write(b"\x00\x01 this is no answer\r\n\r\n")
                return False
            case Behaviour.UNFRAMED | Behaviour.UNFRAMED_RESET:
                lines = ["HTTP/1.1 200 OK", "Connection: close"]
                lines.extend(
                    f"{name}: {value}" for name, value in headers.items()
                )
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                if behaviour is Behaviour.UNFRAMED_RESET:
                    _reset(writer)
                return False
            case (
                Behaviour.TRAILER
                | Behaviour.TRAILER_NOT_RUN
                | Behaviour.TRAILER_CLOSE
            ):
                trailer = _TRAILER_BY_BEHAVIOUR[behaviour]
                writer.write(_encode_chunked(headers, body, trailer))
            case Behaviour.EXTRA:
                writer.write(response + response)
            case Behaviour.LATE_EXTRA:
                writer.write(response)
                self._deferred_response = response
            case (
                Behaviour.SHED
                | Behaviour.SHED_LATE
                | Behaviour.SHED_UNNAMED
                | Behaviour.HANG
                | Behaviour.ENDLESS_BODY
                | Behaviour.ENDLESS_CHUNKS
                | Behaviour.ENDLESS_LARGE_CHUNKS
                | Behaviour.ENDLESS_TINY_CHUNKS
                | Behaviour.ENDLESS_LENGTH
                | Behaviour.ENDLESS_HEADERS
                | Behaviour.ENDLESS_HEADER
                | Behaviour.ENDLESS_TRAILERS
                | Behaviour.ENDLESS_INTERIM
            ):
                pass
            case _:
                typing.assert_never(behaviour)
        return True


def _deadline_s(request: _http.Request) -> float:
    """Return how long a run may take, at the end of which it is given up."""
    return float(request.headers.get("deadline-ms", "inf")) / 1000


def _encode_rejection(headers: dict[str, str]) -> bytes:
    return _http.encode_response(503, b"", {**headers, "Not-Executed": "1"})


def _encode_chunked(
    headers: dict[str, str], body: bytes, trailer: bytes
) -> bytes:
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    return head + chunk + b"0\r\n" + trailer + b"\r\n\r\n"


def _cut_head(response: bytes, behaviour: Behaviour) -> bytes:
    """Return the part of a response that is sent before the server closes."""
    head_bytes = response.index(b"\r\n\r\n") + 4
    stamp = response.index(b"Server-Stamp")
    match behaviour:
        case Behaviour.CUT_STATUS:
            end = len(b"HTTP/1.1 20")
        case Behaviour.CUT_NAME:
            end = stamp + len(b"Server-")
        case Behaviour.CUT_VALUE:
            end = stamp + len(b"Server-Stamp: st")
        case Behaviour.CUT_LINE:
            end = response.index(b"\r\n", stamp) + 2
        case Behaviour.CUT_HEAD_END:
            end = head_bytes - 1
        case Behaviour.CUT_AFTER_INTERIM:
            return b"HTTP/1.1 100 Continue\r\n\r\n" + response[:stamp]
        case Behaviour.CUT_UNFRAMED:
            length = response.index(b"Content-Length")
            length_end = response.index(b"\r\n", length) + 2
            return response[:length] + response[length_end : head_bytes - 2]
        case _:
            end = head_bytes
    return response[:end]


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset after the data written so far."""
    import socket
    import struct

    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()
