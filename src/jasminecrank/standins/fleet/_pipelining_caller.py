"""HTTP client that pipelines requests and reads slowly, for tests."""

import asyncio
import itertools
import socket
import time

from jasminecrank.standins.fleet import _http

RECEIVE_BUFFER_BYTES = 65_536
SEGMENT_BYTES = 1_400
"""Segment of an Ethernet, since those of loopback fill the buffer at once."""
READ_BYTES = 16_384


class PipeliningCaller:
    """Client of a node that sends several requests on one connection."""

    _request_numbers = itertools.count(1)

    def __init__(
        self, address: tuple[str, int], mbit_per_s: float = 0.0
    ) -> None:
        self.request_ids: list[str] = []
        self._address = address
        self._bytes_per_s = mbit_per_s * 125_000
        """Rate at which responses are read; 0 for no limit."""
        self._received = bytearray()
        self._socket = socket.socket()

    async def connect(self) -> None:
        """Open the connection."""
        sock = self._socket
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await asyncio.get_running_loop().sock_connect(sock, self._address)

    async def send(
        self,
        method: str = "GET",
        target: str = "/lots/1",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send the head of a request without waiting for a response."""
        await self.write(self._encode(method, target, headers or {}))

    def send_blocking(self) -> None:
        """Send a request while the event loop stands still.

        Opens the connection first unless there is one.
        """
        sock = self._socket
        sock.setblocking(True)
        try:
            sock.getpeername()
        except OSError:
            sock.connect(self._address)
        sock.sendall(self._encode("GET", "/lots/1", {}))
        sock.setblocking(False)

    def _encode(
        self, method: str, target: str, headers: dict[str, str]
    ) -> bytes:
        request_id = f"p{next(self._request_numbers):015x}"
        self.request_ids.append(request_id)
        fields = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": "20000",
            "Authorization": "Token k1",
            **({} if method == "GET" else {"Content-Length": "0"}),
            **headers,
        }
        lines = [f"{method} {target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in fields.items())
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def write(self, data: bytes) -> bool:
        """Send bytes; return whether the connection has taken them."""
        try:
            await asyncio.get_running_loop().sock_sendall(self._socket, data)
        except OSError:
            return False
        return True

    async def receive_all(self, timeout_s: float) -> list[_http.Response]:
        """Return the complete responses received until the node closes."""
        due_s = 0.0
        try:
            async with asyncio.timeout(timeout_s):
                while data := await self._receive():
                    if self._bytes_per_s:
                        now_s = time.monotonic()
                        due_s = max(due_s, now_s)
                        due_s += len(data) / self._bytes_per_s
                        await asyncio.sleep(due_s - now_s)
        except (OSError, TimeoutError):
            pass
        return await self._parse()

    async def receive_until(self, end: bytes) -> bytes:
        """Return what has been received once it contains some bytes."""
        while end not in self._received:
            if not await self._receive():
                raise ConnectionError("the node closed the connection")
        return bytes(self._received)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    async def _receive(self) -> bytes:
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self._socket, READ_BYTES)
        self._received += data
        return data

    async def _parse(self) -> list[_http.Response]:
        reader = asyncio.StreamReader()
        reader.feed_data(bytes(self._received))
        reader.feed_eof()
        responses = []
        while (response := await _http.read_response(reader)).status:
            responses.append(response)
        return responses
