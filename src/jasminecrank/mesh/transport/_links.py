"""Persistent connections between nodes that multiplex calls."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import typing

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_transfers
from jasminecrank.mesh.transport import _sockets

MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""Size of the send buffer above which a link is aborted."""
HELLO_TIMEOUT_S = 2.0
"""Time within which the peer has to identify itself with its Hello."""
LISTEN_BACKLOG = 512
"""Links waiting to be accepted, as after a restart in a large fleet."""
MAX_HELLO_BYTES = 4_096
"""Largest frame of a peer that has not sent its Hello."""


class LinkOwner(typing.Protocol):
    """Callbacks for the events of links."""

    def on_link_opened(self, link: "Link", hello: coordination.Hello) -> None:
        """Handle a link whose peer has sent its Hello."""

    def on_message(
        self, link: "Link", message: coordination.PeerMessage
    ) -> None:
        """Handle a message from the peer."""

    def on_call_arriving(
        self, link: "Link", call: coordination.CallSent
    ) -> None:
        """Handle the head of a call whose body is still to be received.

        `on_message` follows with the whole call, or with its cancellation.
        """

    def on_call_unsent(self, link: "Link", call_id: int) -> None:
        """Handle a call that the peer has not received whole.

        Reported before the end of the link.
        """

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
        budget: state.MemoryBudget | None = None,
    ) -> None:
        self.link_id = next(self._ids)
        self.dialled = dialled
        self.peer: coordination.Hello | None = None
        self.received_bytes = 0
        self.closed = asyncio.get_running_loop().create_future()
        self.replaceable = asyncio.get_running_loop().create_future()
        """Completed once another link to the host may be dialled."""
        self._idempotent_by_call_id: dict[int, bool] = {}
        """Calls that were sent and have not been answered."""
        self._unreplied_call_ids: set[int] = set()
        """Calls that were received whole and have no reply yet."""
        self._owner = owner
        self._hello = hello
        self._log = log
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._hello_timer: asyncio.TimerHandle | None = None
        self._has_ended = False
        """Whether nothing more is sent."""
        self._peer_has_ended = False
        """Whether the peer takes no more calls."""
        self._body_sender = _body_transfers.BodySender(self._write)
        self._body_receiver = _body_transfers.BodyReceiver(
            budget or state.MemoryBudget.from_memory_limit(0),
            log,
            self._write,
        )

    def send(self, message: coordination.PeerMessage) -> None:
        """Send a message, unless the link is closing.

        A large body follows in parts as the peer takes them.
        """
        if isinstance(message, coordination.CallSent) and (
            self._peer_has_ended or not self._is_open
        ):
            self._owner.on_call_unsent(self, message.call_id)
            return
        self._note_sent(message)
        if (
            isinstance(message, coordination.CallSent)
            and message.is_repeat
            and self._peer_version < coordination.FIRST_VERSION_WITH_REPEATS
        ):
            message = dataclasses.replace(message, is_repeat=False)
        match message:
            case coordination.CallSent() | coordination.CallServed() if (
                len(message.body) > state.SMALL_BODY_BYTES
            ):
                if self._is_open:
                    self._body_sender.start(message)
                return
            case coordination.CallCancelled(call_id):
                self._body_sender.cancel_call(call_id)
            case coordination.CallNotRun(call_id):
                self._body_receiver.refuse_call(call_id)
            case coordination.HostsRemoved() if self._peer_version < 1:
                return  # An older node ends a link on which it gets this.
            case coordination.EraBegun() | coordination.LatenessReported() if (
                self._peer_version < coordination.FIRST_VERSION_WITH_ERAS
            ):
                return
            case coordination.LoadChanged() if (
                self._peer_version
                < coordination.FIRST_VERSION_WITH_LOAD_CHANGES
            ):
                return
            case _:
                pass
        self._write(message)

    def _note_sent(self, message: coordination.PeerMessage) -> None:
        match message:
            case coordination.CallSent(call_id=call_id):
                self._idempotent_by_call_id[call_id] = message.idempotent
            case coordination.CallCancelled(call_id):
                self._idempotent_by_call_id.pop(call_id, None)
            case (
                coordination.CallServed(call_id=call_id)
                | coordination.CallNotRun(call_id=call_id)
                | coordination.CallMayHaveRun(call_id=call_id)
            ):
                self._unreplied_call_ids.discard(call_id)
            case _:
                pass

    def _note_received(self, message: coordination.PeerMessage) -> None:
        match message:
            case (
                coordination.CallServed(call_id=call_id)
                | coordination.CallNotRun(call_id=call_id)
                | coordination.CallMayHaveRun(call_id=call_id)
            ):
                self._idempotent_by_call_id.pop(call_id, None)
            case coordination.CallSent(call_id=call_id):
                self._unreplied_call_ids.add(call_id)
            case _:
                pass

    def pause_writing(self) -> None:
        """Stop sending bodies while the send buffer is full."""
        self._body_sender.pause()

    def resume_writing(self) -> None:
        """Continue to send bodies."""
        self._body_sender.resume()

    @property
    def _is_open(self) -> bool:
        """Return whether messages are written."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self._has_ended
        )

    def _write(self, message: coordination.PeerMessage) -> bool:
        """Write a message, and return whether the link was open.

        The link is aborted if its peer reads too slowly.
        """
        transport = self._transport
        if transport is None or not self._is_open:
            return False
        try:
            transport.write(protocol.encode(message, self._peer_version))
        except RuntimeError:
            # uvloop raises this between a reset and its report to the link.
            self._log.count("links", "reset")
            self._log.decision(
                "link-reset",
                peer=self.peer_host,
                message=type(message).__name__,
            )
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._log.decision("link-blocked", peer=self.peer_host)
            transport.abort()
        return True

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the peer has not acknowledged."""
        if self._transport is None or self._transport.is_closing():
            return 0
        return (
            _sockets.undelivered_bytes(self._transport)
            + self._body_sender.unsent_bytes
        )

    @property
    def awaits_answers(self) -> bool:
        """Return whether calls wait on it that no other server may run."""
        return not all(self._idempotent_by_call_id.values())

    @property
    def has_calls(self) -> bool:
        """Return whether any calls wait on it."""
        return bool(self._idempotent_by_call_id)

    def let_replace(self) -> None:
        """Let another link to the host be dialled beside this one."""
        if not self.replaceable.done():
            self.replaceable.set_result(None)

    @property
    def peer_host(self) -> str:
        """Return the peer's host, or an empty string before its Hello."""
        return "" if self.peer is None else self.peer.host

    @property
    def _peer_version(self) -> int:
        """Return the version of the protocol that the peer speaks."""
        return 0 if self.peer is None else self.peer.protocol_version

    def abort(self) -> None:
        """Abort the link without flushing pending data."""
        if self._transport is not None:
            self._transport.abort()

    def end(self, has_replied: bool) -> None:
        """Send nothing more, and leave it to the peer to close the link.

        It does so once it has read everything. Closing here would reset the
        link if the peer still sends, and so discard what it has not read.
        `has_replied`: no call is taken any more, and all have their replies,
        but for those that failed in the node.
        """
        if self._transport is None or not self._is_open:
            return
        if has_replied and self._peer_version >= 2:
            unsent = {
                *self._unreplied_call_ids,
                *self._body_sender.unsent_replies(),
            }
            self._write(coordination.LinkEnding(tuple(unsent)))
        self._has_ended = True
        self._transport.write_eof()

    def _peer_ends(self, message: coordination.LinkEnding) -> None:
        """Report the calls that the peer has not received."""
        self._peer_has_ended = True
        for call_id in list(self._idempotent_by_call_id):
            if call_id not in message.unsent_call_ids:
                del self._idempotent_by_call_id[call_id]
                self._owner.on_call_unsent(self, call_id)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the Hello that identifies this node."""
        transport = typing.cast(asyncio.Transport, transport)
        if self.closed.done():
            transport.abort()
            return
        self._transport = transport
        _sockets.set_socket_options(transport)
        _sockets.limit_unsent_bytes(transport)
        self._hello_timer = asyncio.get_running_loop().call_later(
            HELLO_TIMEOUT_S, self._reject_peer, "no-hello"
        )
        self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        """Split the stream into frames and handle the complete ones."""
        if self.closed.done():
            return
        self.received_bytes += len(data)
        self._buffer += data
        buffer = self._buffer
        start = 0
        prefix_bytes = protocol.FRAME_LENGTH.size
        while len(buffer) - start >= prefix_bytes:
            (length,) = protocol.FRAME_LENGTH.unpack_from(buffer, start)
            if self.peer is None and length > MAX_HELLO_BYTES:
                self._reject_peer("frame-before-hello")
                return
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
        if self._body_receiver.receives_reply:
            self._yield_reading()

    def _yield_reading(self) -> None:
        """Read no more in this turn of the event loop.

        uvloop reads up to 8 MB of a link in a turn, while the callers whose
        answers nobody reads are disconnected in the next one only.
        """
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(RuntimeError):  # As in _write.
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(RuntimeError):  # As in _write.
            self._transport.resume_reading()

    def _handle_frame(self, body: bytes) -> bool:
        try:
            message = protocol.decode(body, self._peer_version)
            if isinstance(message, coordination.Hello):
                self._hello_received(message)
                return True
            if self.peer is None:
                self._reject_peer("frame-before-hello")
                return False
            whole = self._join_bodies(message)
        except protocol.LinkError as error:
            self._log.failure("link-garbled", error, peer=self.peer_host)
            self.abort()
            return False
        if whole is not None:
            self._note_received(whole)
            self._owner.on_message(self, whole)
        return True

    def _hello_received(self, hello: coordination.Hello) -> None:
        if self.peer is None:
            self._cancel_hello_timer()
            self.peer = hello
            self._owner.on_link_opened(self, hello)

    def _reject_peer(self, reason: str) -> None:
        """Abort the link of a peer that has not identified itself."""
        self._log.count("links", reason)
        self._log.connection("link-rejected", reason=reason)
        self.abort()

    def _cancel_hello_timer(self) -> None:
        if self._hello_timer is not None:
            self._hello_timer.cancel()
            self._hello_timer = None

    def _join_bodies(
        self, message: coordination.PeerMessage
    ) -> coordination.PeerMessage | None:
        """Return a whole message, or None while its body is incomplete."""
        match message:
            case coordination.BodyPart():
                return self._body_receiver.add(message)
            case coordination.BodyFollows():
                call = self._body_receiver.begin(message)
                if call is not None:
                    self._owner.on_call_arriving(self, call)
                return None
            case coordination.BodyAbandoned():
                self._body_receiver.abandon(message)
                return None
            case coordination.LinkEnding():
                self._peer_ends(message)
                return None
            case coordination.CallNotRun(call_id):
                self._body_sender.cancel_call(call_id)
            case _:
                pass
        return message

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner and complete the `closed` future."""
        if self.closed.done():
            return
        self._cancel_hello_timer()
        # Anybody can open a connection that ends without a Hello.
        known = self.peer is not None
        log = self._log.decision if known else self._log.connection
        log(
            "link-ended",
            peer=self.peer_host,
            dialled=self.dialled,
            error=None if exc is None else repr(exc),
        )
        # A closed transport of uvloop raises an error on each use.
        self._transport = None
        unsent_calls = self._body_sender.unsent_calls()
        self._body_sender.close()
        self._body_receiver.close()
        self._buffer.clear()
        if self.peer is not None:
            for call in unsent_calls:
                self._owner.on_call_unsent(self, call.call_id)
            self._owner.on_link_ended(self)
        self.closed.set_result(None)
        self.let_replace()

    def abandon(self) -> None:
        """End the link of a dial that was given up.

        uvloop does not report the end of such a connection to the link.
        """
        if self.closed.done():
            return
        if self._transport is None:
            self.closed.set_result(None)
            self.let_replace()
            return
        self._transport.abort()
        self.connection_lost(None)


async def listen_for_links(
    owner: LinkOwner,
    hello: coordination.Hello,
    sock: socket.socket,
    log: coordination.Log,
    budget: state.MemoryBudget | None = None,
) -> asyncio.Server:
    """Accept links that other nodes open to a listening socket."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link(owner, hello, False, log, budget),
        sock=sock,
        backlog=LISTEN_BACKLOG,
    )
