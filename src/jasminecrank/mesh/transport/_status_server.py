"""HTTP server for readiness and metrics."""

import asyncio
from collections.abc import Callable
import typing

import httptools

from jasminecrank.mesh import protocol


class StatusConnection(asyncio.Protocol):
    """Connection that answers GET requests of the platform and operators."""

    def __init__(
        self, respond: Callable[[bytes], protocol.RawResponse]
    ) -> None:
        self._respond = respond
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the responses."""
        transport = typing.cast(asyncio.Transport, transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are invalid."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which can arrive in parts."""
        self._url += url

    def on_message_complete(self) -> None:
        """Send the response to a complete request."""
        raw = self._respond(self._url)
        self._url = b""
        if self._transport is None:
            return
        close = not self._parser.should_keep_alive()
        self._transport.writelines(
            protocol.encode_response(raw, b"GET", close)
        )
        if close:
            self._transport.close()


async def listen_for_status(
    respond: Callable[[bytes], protocol.RawResponse], host: str, port: int
) -> asyncio.Server:
    """Serve readiness or metrics at an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: StatusConnection(respond), host, port
    )
