"""Readiness and metrics over HTTP."""

import asyncio
from collections.abc import Callable
import typing

import httptools

from jasminecrank.mesh import protocol


class StatusConnection(asyncio.Protocol):
    """Answers small GET requests of the platform and of operators."""

    def __init__(
        self, respond: Callable[[bytes], protocol.RawResponse]
    ) -> None:
        self._respond = respond
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        transport = typing.cast(asyncio.Transport, transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a request."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Keep a piece of the target."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answer a whole request."""
        raw = self._respond(self._url)
        self._url = b""
        if self._transport is None:
            return
        close = not self._parser.should_keep_alive()
        self._transport.write(protocol.encode_response(raw, b"GET", close))
        if close:
            self._transport.close()


async def listen_for_status(
    respond: Callable[[bytes], protocol.RawResponse], host: str, port: int
) -> asyncio.Server:
    """Serve status requests at an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: StatusConnection(respond), host, port
    )
