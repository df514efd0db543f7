"""HTTP client that reuses one connection, for tests."""

import asyncio
import contextlib
import itertools

from jasminecrank.standins.fleet import _http

RESPONSE_TIMEOUT_S = 5.0
"""Client-side timeout; longer than any deadline that a test sends."""


class Caller:
    """Client of a node that sends one request at a time."""

    _request_numbers = itertools.count(1)

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.last_request_id = ""

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection for the next request."""
        return self._writer is not None

    async def connect(self) -> None:
        """Open a connection unless there is one."""
        if not self.is_connected:
            self._reader, self._writer = await asyncio.open_connection(
                *self._address
            )

    async def send(
        self,
        method: str = "GET",
        target: str = "/lots/1",
        key: str | None = "k1",
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
        has_length: bool = True,
    ) -> None:
        """Send a request without waiting for its response."""
        await self.connect()
        assert self._writer is not None
        self.last_request_id = f"{next(self._request_numbers):016x}"
        framing = {"Content-Length": "0"}
        if method == "GET" or not has_length:
            framing = {}
        fields = {
            "Host": "a.example",
            "Request-Id": self.last_request_id,
            "Deadline-Ms": str(deadline_ms),
            **({} if key is None else {"Authorization": f"Token {key}"}),
            **framing,
            **(headers or {}),
        }
        lines = [f"{method} {target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in fields.items())
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def write(self, data: bytes) -> None:
        """Send a part of the request's body."""
        assert self._writer is not None
        self._writer.write(data)

    async def receive_interim(self) -> bytes:
        """Return an interim response."""
        assert self._reader is not None
        return await self._reader.readuntil(b"\r\n\r\n")

    async def receive(
        self, timeout_s: float = RESPONSE_TIMEOUT_S
    ) -> _http.Response:
        """Return the next response, with status 0 if none arrives in time."""
        assert self._reader is not None
        response = _http.Response(0, {}, b"")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                response = await _http.read_response(self._reader)
        if response.status == 0 or (
            response.headers.get("connection") == "close"
        ):
            self.close()
        return response

    async def request(
        self,
        method: str = "GET",
        target: str = "/lots/1",
        key: str | None = "k1",
        deadline_ms: int = 2000,
    ) -> _http.Response:
        """Send a request and return its response."""
        await self.send(method, target, key, deadline_ms)
        return await self.receive()

    def close(self) -> None:
        """Abort the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None
