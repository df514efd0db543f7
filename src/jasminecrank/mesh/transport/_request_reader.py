"""Reads HTTP/1.1 requests from the bytes of a connection."""

import typing

import httptools

from jasminecrank.mesh import protocol
from jasminecrank.mesh import state


class RequestOwner(typing.Protocol):
    """Callbacks for what has been read."""

    def on_request_begin(self) -> None:
        """Handle the first bytes of a request."""

    def on_expect_continue(self) -> None:
        """Handle a request whose body waits for 100 Continue."""

    def on_request(self, raw: protocol.RawRequest, keep_alive: bool) -> None:
        """Handle a complete request."""

    def on_invalid(self, kind: state.RefusalKind, detail: str) -> None:
        """Handle a request that is not read to its end."""


class RequestReader:
    """Reads requests up to the last one, or to one that is refused."""

    def __init__(self, owner: RequestOwner) -> None:
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._limits = state.CallerLimits()
        self._ended = False
        """Whether the last request has been read or refused."""
        self._reset()

    def feed(self, data: bytes, limits: state.CallerLimits) -> None:
        """Read further bytes."""
        if self._ended:
            return
        self._limits = limits
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(state.RefusalKind.REQUEST_INVALID, "upgrade")
        except httptools.HttpParserError as error:
            self.refuse(state.RefusalKind.REQUEST_INVALID, str(error))

    def refuse(self, kind: state.RefusalKind, detail: str) -> None:
        """Refuse the request that is being read, and read nothing more."""
        if self._ended:
            return
        self._ended = True
        self._reset()
        self._owner.on_invalid(kind, detail)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()
        if not self._ended:
            self._owner.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which can arrive in parts."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and count its bytes, 4 of them delimiters."""
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Refuse an upgrade, and ask for a body that waits for that."""
        if self._ended:
            return
        if self._parser.should_upgrade():
            self.refuse(state.RefusalKind.REQUEST_INVALID, "upgrade")
            return
        self._method = self._parser.get_method()
        self._keep_alive = self._parser.should_keep_alive()
        if protocol.find_header(self._headers, b"expect") is not None:
            self._owner.on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Append to the body and refuse a request that is too large."""
        if self._ended:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.max_body_bytes:
            self.refuse(state.RefusalKind.TOO_LARGE, "body")

    def on_message_complete(self) -> None:
        """Hand over a complete request."""
        if self._ended:
            return
        raw = protocol.RawRequest(
            self._method,
            self._target,
            tuple(self._headers),
            b"".join(self._body),
        )
        self._ended = not self._keep_alive
        keep_alive = self._keep_alive
        self._reset()
        self._owner.on_request(raw, keep_alive)

    def _count_head(self, added_bytes: int) -> None:
        self._head_bytes += added_bytes
        if self._head_bytes > self._limits.max_header_bytes:
            self.refuse(state.RefusalKind.TOO_LARGE, "headers")

    def _reset(self) -> None:
        self._method = b""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._keep_alive = True
