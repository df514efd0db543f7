"""TCP server that responds to requests with scripted faults."""

import collections.abc
import contextlib
import dataclasses
import enum
import socket
import struct
import threading

_TIMEOUT_S = 20.0
_MAX_FILLER_BYTES = 64_000_000


def encode_response(request_id, status="200 OK", headers=(), body=b"done"):
    """Return an encoded HTTP response."""
    lines = [f"HTTP/1.1 {status}", *headers]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    if not any("length" in line or "Transfer" in line for line in lines):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class ConnectionEnd(enum.Enum):
    """What the server does with the connection after a response."""

    KEEP = 0
    CLOSE = 1
    CLOSE_IDLE = 2
    CLOSE_SECOND = 3
    RESET = 4
    HANG = 5
    SLOW_BYTES = 6


@dataclasses.dataclass(frozen=True)
class ScriptedResponse:
    """Response to each request, and whether the request counts as run."""

    encode: collections.abc.Callable[[str], bytes] = encode_response
    end: ConnectionEnd = ConnectionEnd.KEEP
    runs_request: bool = True
    repeats: collections.abc.Callable[[str], bytes] | None = None
    """Refusal of a connection's first request, sent again before others."""
    filler: bytes = b""
    """Bytes that follow the response until the node closes."""
    filler_pause_s: float = 0.0
    """Pause after each part of the filler."""


def no_response(request_id):
    """Return an empty response."""
    del request_id
    return b""


def with_status(status):
    """Return a whole response with another status code."""
    return ScriptedResponse(
        lambda r: encode_response(r).replace(b" 200 ", b" %b " % status, 1)
    )


def cut_head(end):
    """Return a response whose head ends with these bytes, then closes."""
    encoded = encode_response("", headers=["X-A: b"], body=b"0123456789")
    cut = encoded[: encoded.index(end) + len(end)]
    return ScriptedResponse(lambda request_id: cut, ConnectionEnd.CLOSE)


def chunked_response(body):
    """Return an encoder of responses with a chunked body."""
    headers = ["Transfer-Encoding: chunked"]
    return lambda request_id: encode_response(
        request_id, "200 OK", headers, body
    )


def response_with_headers(status, *headers):
    """Return an encoder of responses with these headers."""
    return lambda request_id: encode_response(
        request_id, status, headers, b"done"
    )


def node_refusal(code, run_state):
    """Return an encoder of refusals as a node sends them."""
    return response_with_headers(
        "503 Refused", f"X-Result-Code: {code}", f"X-Run-State: {run_state}"
    )


def refusal_without_id(header):
    """Return an encoder of refusals that do not name their request."""
    return lambda request_id: encode_response("", "503 Busy", [header])


OVERSIZED_CHUNKS = (
    b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
) * 17 + b"0\r\n\r\n"
RESPONSE_BY_FAULT = {
    "none": ScriptedResponse(),
    "reports its health": ScriptedResponse(
        lambda r: encode_response(r, body=b'{"started_at_ms":1,"load":0.5}')
    ),
    "closes after its first answer": ScriptedResponse(
        end=ConnectionEnd.CLOSE_IDLE
    ),
    "closes after the second request": ScriptedResponse(
        end=ConnectionEnd.CLOSE_SECOND
    ),
    "closes without an answer": ScriptedResponse(
        no_response, ConnectionEnd.CLOSE
    ),
    "resets without an answer": ScriptedResponse(
        no_response, ConnectionEnd.RESET
    ),
    "never answers": ScriptedResponse(end=ConnectionEnd.HANG),
    "sends a byte at a time": ScriptedResponse(end=ConnectionEnd.SLOW_BYTES),
    "cuts its body": ScriptedResponse(
        lambda r: encode_response(r)[:-2], ConnectionEnd.CLOSE
    ),
    "cuts its headers": ScriptedResponse(
        lambda r: encode_response(r)[:20], ConnectionEnd.CLOSE
    ),
    "cuts its status line": cut_head(b"200 O"),
    "cuts a header value": cut_head(b"Content-Length: 1"),
    "cuts after a header line": cut_head(b"X-A: b\r\n"),
    "cuts its last line end": cut_head(b"Content-Length: 10\r\n\r"),
    "answers with status 000": with_status(b"000"),
    "answers with status 600": with_status(b"600"),
    "cuts its chunks": ScriptedResponse(
        chunked_response(b"5\r\nabcde\r\n"), ConnectionEnd.CLOSE
    ),
    "breaks its chunks": ScriptedResponse(
        chunked_response(b"xyz\r\nabcde\r\n0\r\n\r\n")
    ),
    "ends with its connection": ScriptedResponse(
        lambda r: b"HTTP/1.1 200 OK\r\n\r\npart", ConnectionEnd.CLOSE
    ),
    "names two lengths": ScriptedResponse(
        response_with_headers(
            "200 OK", "Content-length: 4", "Content-length: 2"
        )
    ),
    "sends an interim answer": ScriptedResponse(
        lambda r: b"HTTP/1.1 103 Early Hints\r\n\r\n" + encode_response(r)
    ),
    "answers another call": ScriptedResponse(
        lambda r: encode_response("another")
    ),
    "answers twice": ScriptedResponse(
        lambda r: encode_response(r) + encode_response("another")
    ),
    "answers a megabyte": ScriptedResponse(
        lambda r: encode_response(r, body=b"x" * 1_000_000)
    ),
    "answers at length": ScriptedResponse(
        lambda r: encode_response(r, body=b"x" * 1_000_001)
    ),
    "answers at length in chunks": ScriptedResponse(
        chunked_response(OVERSIZED_CHUNKS)
    ),
    "answers 503": ScriptedResponse(response_with_headers("503 Broken")),
    "poses as a node": ScriptedResponse(
        response_with_headers(
            "200 OK", "X-Run-State: not-run", "X-Result-Code: 207"
        )
    ),
    "sheds, not run": ScriptedResponse(
        response_with_headers("503 Busy", "X-Run-State: not-run"),
        runs_request=False,
    ),
    "sheds, no id": ScriptedResponse(
        refusal_without_id("X-Run-State: not-run"), runs_request=False
    ),
    "repeats its refusal, no id": ScriptedResponse(
        repeats=refusal_without_id("X-Run-State: not-run")
    ),
    "repeats its 503, no id": ScriptedResponse(
        repeats=refusal_without_id("Retry-After: 1")
    ),
    "repeats another call's refusal": ScriptedResponse(
        repeats=response_with_headers("503 Busy", "X-Run-State: not-run")
    ),
    "endless header lines": ScriptedResponse(
        lambda r: b"HTTP/1.1 200 OK\r\n", filler=b"x-a: b\r\n" * 1000
    ),
    "endless header value": ScriptedResponse(
        lambda r: b"HTTP/1.1 200 OK\r\nx-a: ", filler=b"b" * 8000
    ),
    "endless status line": ScriptedResponse(
        lambda r: b"HTTP/1.1 200 ", filler=b"O" * 8000
    ),
    "endless interim responses": ScriptedResponse(
        lambda r: b"", filler=b"HTTP/1.1 103 Early Hints\r\n\r\n" * 300
    ),
    "endless 100 responses": ScriptedResponse(
        lambda r: b"", filler=b"HTTP/1.1 100 Continue\r\n\r\n" * 300
    ),
    "endless body, no length": ScriptedResponse(
        lambda r: b"HTTP/1.1 200 OK\r\n\r\n", filler=b"x" * 8000
    ),
    "endless body, slowly": ScriptedResponse(
        lambda r: b"HTTP/1.1 200 OK\r\n\r\n",
        filler=b"x",
        filler_pause_s=0.02,
    ),
    "endless chunks": ScriptedResponse(
        chunked_response(b""), filler=b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
    ),
    "endless one-byte chunks": ScriptedResponse(
        chunked_response(b""), filler=b"1\r\nx\r\n" * 1000
    ),
    "endless chunk extension": ScriptedResponse(
        chunked_response(b"1;"), filler=b"x" * 8000
    ),
    "endless trailers": ScriptedResponse(
        chunked_response(b"0\r\n"), filler=b"x-a: b\r\n" * 1000
    ),
    "sheds, no run state": ScriptedResponse(
        response_with_headers("503 Busy", "Retry-After: 1"), runs_request=False
    ),
    "refuses as a node, queue full": ScriptedResponse(
        node_refusal(207, "not-run"), runs_request=False
    ),
    "refuses as a node, rate exceeded": ScriptedResponse(
        node_refusal(205, "not-run"), runs_request=False
    ),
    "refuses as a node, answer cut": ScriptedResponse(
        node_refusal(303, "may-have-run")
    ),
}


class ScriptedServer:
    """Serves each connection in a thread and counts the requests run."""

    def __init__(self, fault):
        self.fault = fault
        self.runs = 0
        self.filler_bytes = 0
        self.requests = []
        self.stopped = threading.Event()
        self.sending_closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(_TIMEOUT_S)
        self.port = self.listener.getsockname()[1]
        if fault == "refuses":
            self.listener.close()
            return
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def close(self):
        """Stop the threads and close the listening socket."""
        self.stopped.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _serve(self):
        with contextlib.suppress(OSError):
            while not self.stopped.is_set():
                connection, _ = self.listener.accept()
                connection.settimeout(_TIMEOUT_S)
                threading.Thread(
                    target=self._serve_connection,
                    args=(connection,),
                    daemon=True,
                ).start()

    def _serve_connection(self, connection):
        with connection, contextlib.suppress(OSError):
            if self.fault == "closes unread":
                return
            request_index = 0
            refusal = b""
            while not self.stopped.is_set():
                request = self._read(connection)
                if not request:
                    return
                response = RESPONSE_BY_FAULT[self.fault]
                is_refused = (
                    response.repeats is not None and request_index == 0
                )
                # Counted before the first byte, after which a caller may
                # have its answer and the test reads the count.
                self.runs += response.runs_request and not is_refused
                if response.repeats is not None:
                    refusal = refusal or response.repeats(_request_id(request))
                    connection.sendall(refusal)
                if is_refused:
                    request_index += 1
                    continue
                if not self._reply(connection, request, request_index):
                    return
                request_index += 1

    def _read(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            received = connection.recv(
                10 if self.fault == "resets within the request" else 65536
            )
            if not received:
                return b""
            data += received
            if self.fault == "resets within the request":
                _reset(connection)
                return b""
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            received = connection.recv(65536)
            if not received:
                return b""
            body += received
        self.requests.append(head + b"\r\n\r\n" + body)
        return self.requests[-1]

    def _reply(self, connection, request, request_index):
        request_id = _request_id(request)
        response = RESPONSE_BY_FAULT[self.fault]
        if response.end is ConnectionEnd.HANG:
            self.stopped.wait(_TIMEOUT_S)
            return False
        if response.end is ConnectionEnd.SLOW_BYTES:
            return self._send_slowly(connection, request_id)
        if response.end is ConnectionEnd.CLOSE_SECOND and request_index == 1:
            return False
        connection.sendall(response.encode(request_id))
        while (
            response.filler
            and not self.stopped.is_set()
            and self.filler_bytes < _MAX_FILLER_BYTES
        ):
            self.filler_bytes += connection.send(response.filler)
            if response.filler_pause_s:
                self.stopped.wait(response.filler_pause_s)
        if response.end is ConnectionEnd.RESET:
            _reset(connection)
        if response.end is ConnectionEnd.CLOSE_IDLE:
            connection.shutdown(socket.SHUT_WR)
            self.sending_closed.set()
        return response.end in (ConnectionEnd.KEEP, ConnectionEnd.CLOSE_SECOND)

    def _send_slowly(self, connection, request_id):
        for byte in encode_response(request_id) * 100:
            connection.sendall(bytes([byte]))
            if self.stopped.wait(0.02):
                break
        return False


def _request_id(request):
    """Return the ID in the headers of a request, or an empty string."""
    for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        if line.lower().startswith(b"x-request-id:"):
            return line.split(b":")[1].strip().decode()
    return ""


def _reset(connection):
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
