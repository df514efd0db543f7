"""A TCP server that answers requests with scripted faults."""

import collections.abc
import contextlib
import dataclasses
import enum
import socket
import struct
import threading

_LIMIT_S = 20.0


def answer(request_id, status="200 OK", headers=(), body=b"done"):
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status}", *headers]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    if not any("length" in line or "Transfer" in line for line in lines):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class End(enum.Enum):
    """What happens to the connection after an answer."""

    KEEP = 0
    CLOSE = 1
    CLOSE_IDLE = 2
    CLOSE_SECOND = 3
    RESET = 4
    HANG = 5
    DRIBBLE = 6


@dataclasses.dataclass(frozen=True)
class Play:
    """What a server sends for each request, and whether it runs it."""

    send: collections.abc.Callable[[str], bytes] = answer
    end: End = End.KEEP
    runs: bool = True


def nothing(request_id):
    """Return no answer."""
    del request_id
    return b""


def chunks(body):
    """Return what sends a chunked body."""
    headers = ["Transfer-Encoding: chunked"]
    return lambda request_id: answer(request_id, "200 OK", headers, body)


def with_headers(status, *headers):
    """Return what sends an answer with these headers."""
    return lambda request_id: answer(request_id, status, headers, b"done")


def node_refusal(code, run_state):
    """Return what sends the refusal of a node."""
    return with_headers(
        "503 Refused", f"X-Result-Code: {code}", f"X-Run-State: {run_state}"
    )


LONG_CHUNKS = (b"10000\r\n" + b"x" * 0x10000 + b"\r\n") * 17 + b"0\r\n\r\n"
PLAYS = {
    "none": Play(),
    "closes after its first answer": Play(end=End.CLOSE_IDLE),
    "closes after the second request": Play(end=End.CLOSE_SECOND),
    "closes without an answer": Play(nothing, End.CLOSE),
    "resets without an answer": Play(nothing, End.RESET),
    "never answers": Play(end=End.HANG),
    "sends a byte at a time": Play(end=End.DRIBBLE),
    "cuts its body": Play(lambda r: answer(r)[:-2], End.CLOSE),
    "cuts its headers": Play(lambda r: answer(r)[:20], End.CLOSE),
    "cuts its chunks": Play(chunks(b"5\r\nabcde\r\n"), End.CLOSE),
    "breaks its chunks": Play(chunks(b"xyz\r\nabcde\r\n0\r\n\r\n")),
    "ends with its connection": Play(
        lambda r: b"HTTP/1.1 200 OK\r\n\r\npart", End.CLOSE
    ),
    "names two lengths": Play(
        with_headers("200 OK", "Content-length: 4", "Content-length: 2")
    ),
    "sends an interim answer": Play(
        lambda r: b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer(r)
    ),
    "answers another call": Play(lambda r: answer("another")),
    "answers twice": Play(lambda r: answer(r) + answer("another")),
    "answers at length": Play(lambda r: answer(r, body=b"x" * 1_000_001)),
    "answers at length in chunks": Play(chunks(LONG_CHUNKS)),
    "answers 503": Play(with_headers("503 Broken")),
    "poses as a node": Play(
        with_headers("200 OK", "X-Run-State: not-run", "X-Result-Code: 207")
    ),
    "sheds, not run": Play(
        with_headers("503 Busy", "X-Run-State: not-run"), runs=False
    ),
    "sheds, no run state": Play(
        with_headers("503 Busy", "Retry-After: 1"), runs=False
    ),
    "refuses as a node, queue full": Play(
        node_refusal(207, "not-run"), runs=False
    ),
    "refuses as a node, rate exceeded": Play(
        node_refusal(205, "not-run"), runs=False
    ),
    "refuses as a node, answer cut": Play(node_refusal(303, "may-have-run")),
}


class ScriptedServer:
    """Serves one connection after another; counts the requests it runs."""

    def __init__(self, fault):
        self.fault = fault
        self.runs = 0
        self.requests = []
        self.stopped = threading.Event()
        self.idle_closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(_LIMIT_S)
        self.port = self.listener.getsockname()[1]
        if fault == "refuses":
            self.listener.close()
            return
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def close(self):
        """Stop serving."""
        self.stopped.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _serve(self):
        with contextlib.suppress(OSError):
            while not self.stopped.is_set():
                peer, _ = self.listener.accept()
                peer.settimeout(_LIMIT_S)
                threading.Thread(
                    target=self._serve_peer, args=(peer,), daemon=True
                ).start()

    def _serve_peer(self, peer):
        with peer, contextlib.suppress(OSError):
            if self.fault == "closes unread":
                return
            number = 0
            while not self.stopped.is_set():
                request = self._read(peer)
                if not request or not self._reply(peer, request, number):
                    return
                number += 1

    def _read(self, peer):
        data = b""
        while b"\r\n\r\n" not in data:
            part = peer.recv(
                10 if self.fault == "resets within the request" else 65536
            )
            if not part:
                return b""
            data += part
            if self.fault == "resets within the request":
                _reset(peer)
                return b""
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            part = peer.recv(65536)
            if not part:
                return b""
            body += part
        self.requests.append(head + b"\r\n\r\n" + body)
        return self.requests[-1]

    def _reply(self, peer, request, number):
        request_id = ""
        for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n"):
            if line.lower().startswith(b"x-request-id:"):
                request_id = line.split(b":")[1].strip().decode()
        play = PLAYS[self.fault]
        self.runs += play.runs
        if play.end is End.HANG:
            self.stopped.wait(_LIMIT_S)
            return False
        if play.end is End.DRIBBLE:
            return self._dribble(peer, request_id)
        if play.end is End.CLOSE_SECOND and number == 1:
            return False
        peer.sendall(play.send(request_id))
        if play.end is End.RESET:
            _reset(peer)
        if play.end is End.CLOSE_IDLE:
            peer.shutdown(socket.SHUT_WR)
            self.idle_closed.set()
        return play.end in (End.KEEP, End.CLOSE_SECOND)

    def _dribble(self, peer, request_id):
        for byte in answer(request_id) * 100:
            peer.sendall(bytes([byte]))
            if self.stopped.wait(0.02):
                break
        return False


def _reset(peer):
    peer.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
