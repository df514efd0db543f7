"""Persistent connections between nodes that multiplex calls."""

import asyncio
import itertools
import random
import typing

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh.transport import _sockets

CONNECT_TIMEOUT_S = 0.5
"""Timeout for connecting; the most distant host is 35 ms away."""
REDIAL_MIN_S = 0.05
REDIAL_MAX_S = 0.6
"""Maximum backoff, shorter than the restart of a killed node takes."""
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""Size of the send buffer above which a link is aborted."""


class LinkOwner(typing.Protocol):
    """Callbacks for the events of links."""

    def on_link_opened(self, link: "Link", hello: coordination.Hello) -> None:
        """Handle a link whose peer has sent its Hello."""

    def on_message(
        self, link: "Link", message: coordination.PeerMessage
    ) -> None:
        """Handle a message from the peer."""

    def on_link_ended(self, link: "Link") -> None:
        """Handle the end of a link that was reported as opened."""


class Link(asyncio.Protocol):
    """Connection between two nodes."""

    _ids = itertools.count(1)

    def __init__(
        self,
        owner: LinkOwner,
        hello: coordination.Hello,
        dialled: bool,
        log: coordination.Log,
    ) -> None:
        self.link_id = next(self._ids)
        self.dialled = dialled
        self.peer: coordination.Hello | None = None
        self.closed = asyncio.get_running_loop().create_future()
        self._owner = owner
        self._hello = hello
        self._log = log
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    def send(self, message: coordination.PeerMessage) -> None:
        """Send a message, unless the link is closing.

        Aborts the link if its peer reads too slowly.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        try:
            transport.write(protocol.encode(message))
        except RuntimeError:
            # uvloop raises this between a reset and its report to the link.
            self._log.count("links", "reset")
            self._log.decision(
                "link-reset",
                peer=self.peer_host,
                message=type(message).__name__,
            )
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._log.decision("link-blocked", peer=self.peer_host)
            transport.abort()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the peer has not acknowledged."""
        if self._transport is None or self._transport.is_closing():
            return 0
        return _sockets.undelivered_bytes(self._transport)

    @property
    def peer_host(self) -> str:
        """Return the peer's host, or an empty string before its Hello."""
        return "" if self.peer is None else self.peer.host

    def abort(self) -> None:
        """Abort the link without flushing pending data."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the Hello that identifies this node."""
        transport = typing.cast(asyncio.Transport, transport)
        self._transport = transport
        _sockets.set_socket_options(transport)
        self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        """Split the stream into frames and handle the complete ones."""
        self._buffer += data
        buffer = self._buffer
        start = 0
        prefix_bytes = protocol.FRAME_LENGTH.size
        while len(buffer) - start >= prefix_bytes:
            (length,) = protocol.FRAME_LENGTH.unpack_from(buffer, start)
            if length > protocol.MAX_FRAME_BYTES:
                self._log.decision("link-garbled", peer=self.peer_host)
                self.abort()
                return
            if len(buffer) - start - prefix_bytes < length:
                break
            body = bytes(
                buffer[start + prefix_bytes : start + prefix_bytes + length]
            )
            start += prefix_bytes + length
            if not self._handle_frame(body):
                return
        del buffer[:start]

    def _handle_frame(self, body: bytes) -> bool:
        try:
            message = protocol.decode(body)
        except protocol.LinkError as error:
            self._log.failure("link-garbled", error, peer=self.peer_host)
            self.abort()
            return False
        if isinstance(message, coordination.Hello):
            if self.peer is None:
                self.peer = message
                self._owner.on_link_opened(self, message)
        elif self.peer is not None:
            self._owner.on_message(self, message)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner and complete the `closed` future."""
        self._log.decision(
            "link-ended",
            peer=self.peer_host,
            dialled=self.dialled,
            error=None if exc is None else repr(exc),
        )
        # A closed transport of uvloop raises an error on each use.
        self._transport = None
        if self.peer is not None:
            self._owner.on_link_ended(self)
        if not self.closed.done():
            self.closed.set_result(None)


class Dialler:
    """Keeps a link open to each host of a set."""

    def __init__(
        self,
        owner: LinkOwner,
        hello: coordination.Hello,
        port: int,
        rng: random.Random,
        log: coordination.Log,
    ) -> None:
        self._owner = owner
        self._hello = hello
        self._port = port
        self._rng = rng
        self._log = log
        self._task_by_host: dict[str, asyncio.Task[None]] = {}
        self._link_by_host: dict[str, Link] = {}

    def set_hosts(self, hosts: set[str]) -> None:
        """Set the hosts to keep links to.

        A link to a removed host stays open until its calls have ended.
        """
        for host in self._task_by_host.keys() - hosts:
            self._task_by_host.pop(host).cancel()
        for host in hosts - self._task_by_host.keys():
            self._task_by_host[host] = asyncio.create_task(
                self._maintain_link(host)
            )

    def redial_now(self, host: str) -> None:
        """Dial a host without backoff, since it has just dialled this one."""
        task = self._task_by_host.get(host)
        if task is None or host in self._link_by_host:
            return
        task.cancel()
        self._task_by_host[host] = asyncio.create_task(
            self._maintain_link(host)
        )

    async def _maintain_link(self, host: str) -> None:
        delay_s = REDIAL_MIN_S
        while True:
            link = await self._connect(host)
            if link is not None:
                delay_s = REDIAL_MIN_S
                self._link_by_host[host] = link
                try:
                    await asyncio.shield(link.closed)
                finally:
                    self._link_by_host.pop(host, None)
            await asyncio.sleep(delay_s * (0.5 + self._rng.random()))
            delay_s = min(REDIAL_MAX_S, 2 * delay_s)

    async def _connect(self, host: str) -> Link | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: Link(self._owner, self._hello, True, self._log),
                    host,
                    self._port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            self._log.count("dials", "failed")
            if not isinstance(error, OSError | TimeoutError):
                self._log.failure("dial-failed", error, peer=host)
            return None
        self._log.count("dials", "connected")
        return link


async def listen_for_links(
    owner: LinkOwner,
    hello: coordination.Hello,
    address: tuple[str, int],
    log: coordination.Log,
) -> asyncio.Server:
    """Accept links that other nodes open."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link(owner, hello, False, log), *address, backlog=512
    )
