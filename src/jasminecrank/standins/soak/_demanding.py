"""Callers that pipeline requests, and that send and read slowly."""

import asyncio
from collections.abc import Iterator
import dataclasses
from dataclasses import dataclass
import enum
import itertools
import math
import random
import socket
import typing

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _connections
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _server
from jasminecrank.standins.soak import observed

DEADLINE_S = 15.0
RESPONSE_TIMEOUT_S = 20.0
RECONNECT_DELAY_S = 0.05
ENDS_SENDING_RATIO = 0.2
MAX_PAUSE_S = 0.3
"""Longest pause of a caller between two loads."""
KIB = 1024
MAX_BODY_BYTES = 2 * KIB * KIB
MAX_ANSWER_BYTES = 3 * KIB * KIB
MAX_READING_S = 4.5
MAX_READING_PAUSE_S = 4.0
MAX_UPLOAD_S = 1.5
READ_BYTES = 16 * KIB
"""Size of the read buffer; a slow reader holds no more."""
RECEIVE_BUFFERS_BYTES = (4 * KIB, 64 * KIB, None)
"""SO_RCVBUF of connections; None for the default."""


class Form(enum.Enum):
    """How a request is written."""

    PLAIN = "plain"
    CHUNKED = "chunked"
    """A chunked body with a trailer."""
    EXPECT = "expect"
    """`Expect: 100-continue`, which the body does not wait for."""
    HALVES = "halves"
    """The head in two parts."""

    @property
    def has_body(self) -> bool:
        """Whether the form is that of a body."""
        return self in (Form.CHUNKED, Form.EXPECT)


@dataclass(slots=True, frozen=True)
class Load:
    """Requests sent in a row on one connection."""

    method: str
    target: str
    requests: int
    body_bytes: int = 0
    upload_s: float = 0.0
    """Time over which the parts of the bodies are sent."""
    reading_s: float = 0.0
    """Time over which the answers are read, with the pause."""
    pause_s: float = 0.0
    """Pause in the middle of an answer."""
    form: Form = Form.PLAIN
    ends_sending: bool = False
    """Whether the caller ends its sending side after the last request."""


def draw_load(rng: random.Random) -> Load:
    """Return a load after which the caller may end its sending side."""
    ends_sending = rng.random() < ENDS_SENDING_RATIO
    return dataclasses.replace(_draw_kind(rng), ends_sending=ends_sending)


def _draw_kind(rng: random.Random) -> Load:
    """Return pipelined small requests, slow uploads or slow downloads."""
    kind = rng.randrange(4)
    if kind == 0:
        method, target = rng.choice(
            (("GET", "/open/1"), ("GET", "/files/2000"), ("POST", "/upload/9"))
        )
        return Load(method, target, rng.randint(2, 8))
    if kind == 1:
        body_bytes = round(math.exp(rng.uniform(*map(math.log, _BODIES))))
        return Load(
            "POST",
            f"/upload/{body_bytes}",
            1,
            body_bytes,
            rng.uniform(0.0, MAX_UPLOAD_S),
        )
    answer_bytes = rng.randint(100 * KIB, MAX_ANSWER_BYTES)
    requests = 1 if kind == 2 else rng.randint(2, 4)
    pause_s = rng.choice((0.0, rng.uniform(0.0, MAX_READING_PAUSE_S)))
    method, path = rng.choice((("GET", "files"), ("POST", "upload")))
    return Load(
        method,
        f"/{path}/{answer_bytes // requests}",
        requests,
        reading_s=pause_s + rng.uniform(0.1, MAX_READING_S - pause_s),
        pause_s=pause_s,
    )


_BODIES = (KIB, MAX_BODY_BYTES)


class DemandingCaller:
    """Keeps a connection until it ends, then opens the next one."""

    _numbers = itertools.count(1)
    _receive_buffers: typing.ClassVar[tuple[int | None, ...]] = (
        RECEIVE_BUFFERS_BYTES
    )

    def __init__(
        self,
        deployment: _deployment.SoakDeployment,
        number: int,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._number = number
        self._rng = rng
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self._connection = observed.Connection(0.0, frozenset())
        self._closing = False
        """Whether the head of an answer closes the connection."""

    async def run(self) -> None:
        """Send loads until the task is cancelled."""
        try:
            while True:
                if self._streams is None:
                    await self._connect()
                    continue
                await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
                await self._play(*self._streams, draw_load(self._rng))
        finally:
            self._close()

    async def send_once(self, load: Load) -> None:
        """Send a load on a new connection, unless the node is down."""
        try:
            await self._connect()
            if self._streams is not None:
                await self._play(*self._streams, load)
        finally:
            self._close()

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None

    async def _connect(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        buffer_bytes = self._rng.choice(self._receive_buffers)
        if buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        address = (
            self._deployment.host(self._number),
            self._deployment.ports["callers"],
        )
        try:
            opening = _connections.Opening(self._deployment, self._number)
            await asyncio.get_running_loop().sock_connect(sock, address)
            self._connection = opening.complete()
            self._closing = False
            self._streams = await asyncio.open_connection(
                sock=sock, limit=READ_BYTES
            )
        except OSError:
            # The node is down.
            sock.close()
            await asyncio.sleep(RECONNECT_DELAY_S)
        except asyncio.CancelledError:
            sock.close()
            raise

    async def _play(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        load: Load,
    ) -> None:
        # A flushed buffer means that the kernel has taken the last byte.
        writer.transport.set_write_buffer_limits(0)
        attempts: list[observed.Attempt] = []
        closed_s = math.inf
        last: observed.Attempt | None = None
        try:
            try:
                for _ in range(load.requests):
                    attempt = self._begin(load)
                    attempts.append(attempt)
                    await self._send(writer, load, attempt)
                if load.ends_sending:
                    writer.write_eof()
            except OSError:
                pass  # The node closed the connection; read what it sent.
            for attempt in attempts:
                attempt.end = "behind an answer that closes the connection"
                if closed_s == math.inf:
                    last = attempt
                    closed_s = await self._receive(reader, load, attempt)
                    attempt.ended_s = self._deployment.now_s()
                else:
                    attempt.ended_s = closed_s
                    # A slow reader does not know since when it was closed.
                    attempt.behind_close = (
                        load.reading_s > 0.0
                        and last is not attempts[0]
                        and last is not None
                        and last.status != 0
                    )
                    attempt.abandoned = any(
                        earlier.abandoned for earlier in attempts
                    )
        except asyncio.CancelledError:
            for attempt in attempts:
                attempt.abandoned = attempt.status == 0
            raise
        if (
            closed_s < math.inf
            or len(attempts) < load.requests
            or load.ends_sending
        ):
            self._close()

    def _begin(self, load: Load) -> observed.Attempt:
        """Record a request that is about to be sent."""
        attempt = observed.Attempt(
            f"d{next(self._numbers):015x}",
            self._number,
            self._deployment.nodes[self._number].incarnation,
            load.method,
            None,
            self._deployment.now_s(),
            connection=self._connection,
            load=(
                f"{load.requests} {load.form.value} {load.method} "
                f"{load.target}{', then FIN' if load.ends_sending else ''}"
            ),
            upload_s=math.inf,
            reading_s=load.reading_s,
            limit_s=_server.timeout_ms(load.target) / 1000.0,
            ends_sending=load.ends_sending,
        )
        self._deployment.records.attempts.append(attempt)
        return attempt

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        load: Load,
        attempt: observed.Attempt,
    ) -> None:
        for delay_s, part in encode_request(load, attempt.request_id):
            await asyncio.sleep(delay_s)
            writer.write(part)
            await writer.drain()
        attempt.upload_s = self._deployment.now_s() - attempt.sent_s

    async def _receive(
        self,
        reader: asyncio.StreamReader,
        load: Load,
        attempt: observed.Attempt,
    ) -> float:
        """Read a response; return when it closed the connection, or inf."""
        status = 0
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while status in (0, 100):
                    status, headers = fleet.parse_head(
                        await reader.readuntil(b"\r\n\r\n")
                    )
                attempt.head_s = self._deployment.now_s()
                # A slow caller learns now that nothing follows the body.
                self._closing = headers.get("connection") == "close"
                body = await _read_slowly(
                    reader, int(headers["content-length"]), load
                )
        except TimeoutError:
            attempt.abandoned = True
            return self._deployment.now_s()
        except (OSError, asyncio.IncompleteReadError) as error:
            attempt.end = f"{error!r} after status {status or 'none'}"
            return self._deployment.now_s()
        attempt.status = status
        attempt.stamped = "server-stamp" in headers
        attempt.response_intact = status != 200 or (
            body == _server.encode_answer(attempt.request_id, load.target)
            and headers.get("server-stamp") == f"stamp-{attempt.request_id}"
        )
        return attempt.head_s if self._closing else math.inf


def encode_request(
    load: Load, request_id: str
) -> Iterator[tuple[float, bytes]]:
    """Yield the parts of a request, each with the delay before it."""
    length = f"Content-Length: {load.body_bytes}"
    framing = {
        Form.CHUNKED: "Transfer-Encoding: chunked\r\nTrailer: Sum",
        Form.EXPECT: f"Expect: 100-continue\r\n{length}",
    }.get(load.form, length)
    head = (
        f"{load.method} {load.target} HTTP/1.1\r\nHost: a.example\r\n"
        f"Request-Id: {request_id}\r\n"
        f"Deadline-Ms: {round(1000 * DEADLINE_S)}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()
    cut = len(head) // 2 if load.form is Form.HALVES else len(head)
    yield 0.0, head[:cut]
    if head[cut:]:
        yield load.upload_s, head[cut:]
    parts = min(20, 1 + load.body_bytes // KIB) if load.body_bytes else 0
    delay_s = 0.0 if head[cut:] or not parts else load.upload_s / parts
    for part in range(parts):
        begin, end = (
            load.body_bytes * index // parts for index in (part, part + 1)
        )
        if load.form is Form.CHUNKED:
            size = f"{end - begin:x}\r\n".encode()
            yield delay_s, size + bytes(end - begin) + b"\r\n"
        else:
            yield delay_s, bytes(end - begin)
    if load.form is Form.CHUNKED:
        yield delay_s, b"0\r\nSum: 1\r\n\r\n"


async def _read_slowly(
    reader: asyncio.StreamReader, length: int, load: Load
) -> bytes:
    """Read a body at the load's rate, with its pause in the middle."""
    now_s = asyncio.get_running_loop().time
    body = bytearray()
    pause_s = load.pause_s / load.requests
    reading_s = load.reading_s / load.requests - pause_s
    start_s = now_s()
    while len(body) < length:
        part = await reader.read(min(READ_BYTES, length - len(body)))
        if not part:
            raise asyncio.IncompleteReadError(bytes(body), length)
        if pause_s and len(body) + len(part) >= length // 2:
            await asyncio.sleep(pause_s)
            start_s += pause_s
            pause_s = 0.0
        body += part
        # Late parts don't add up: the answer is read in the planned time.
        due_s = start_s + reading_s * len(body) / length
        if due_s > now_s():
            await asyncio.sleep(due_s - now_s())
    return bytes(body)
