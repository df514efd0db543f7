"""WebSocket links between nodes."""

import socket
import struct
import threading

from absl import logging
import pykka
from websockets import exceptions as websocket_exceptions
from websockets.sync import client
from websockets.sync import connection
from websockets.sync import server

from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _metrics

_OPEN_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 1.0
_HELLO_TIMEOUT_S = 2.0
_SEND_TIMEOUT_S = 5


class PeerLink(coordination.NodeActor):
    """Owns the sending side of one link; a thread reads the other side."""

    def __init__(
        self,
        own_host: str,
        address: str,
        membership: coordination.Mailbox,
        socket_connection: connection.Connection | None,
    ) -> None:
        super().__init__()
        self._own_host = own_host
        self._address = address
        self._membership = membership
        self._connection = socket_connection

    def open(self, hello: coordination.Hello) -> None:
        """Dial the peer and exchange greetings."""
        try:
            dialled = client.connect(
                f"ws://{self._address}/",
                compression=None,
                proxy=None,
                create_connection=_metrics.CountingClientConnection,
                ping_interval=None,
                open_timeout=_OPEN_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
                max_size=protocol.MAX_FRAME_BYTES,
            )
            self._connection = dialled
            dialled.send(_hello_frame(self._own_host, hello))
            peer_hello = receive_hello(dialled)
        except (
            OSError,
            TimeoutError,
            websocket_exceptions.WebSocketException,
            exceptions.MessageError,
        ) as error:
            self._report_down(f"{type(error).__name__}: {error}")
            self.stop()
            return
        self.begin(peer_hello, self._own_host)

    def begin(self, peer_hello: coordination.Hello, dialled_by: str) -> None:
        """Announce the open link and start reading from it."""
        if self._connection is not None:
            _limit_sends(self._connection.socket)
        self._membership.tell(
            coordination.LinkUp(
                peer_hello, self.actor_ref, dialled_by, self._address
            )
        )
        threading.Thread(
            target=self._read, name=f"read-{peer_hello.host}", daemon=True
        ).start()

    def on_receive(self, message: object) -> object:
        """Send one message or close the link."""
        match message:
            case coordination.Envelope():
                self._send(message)
            case coordination.StopRequested():
                self.stop()
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected message {message!r}"
                )
        return None

    def on_stop(self) -> None:
        """Close the socket, which also ends the reading thread."""
        if self._connection is not None:
            self._connection.close()

    def _send(self, envelope: coordination.Envelope) -> None:
        if self._connection is None:
            return
        try:
            self._connection.send(protocol.encode_envelope(envelope))
        except (OSError, websocket_exceptions.WebSocketException) as error:
            self._report_down(f"{type(error).__name__}: {error}")
            self.stop()

    def _read(self) -> None:
        if self._connection is None:
            return
        reason = "closed"
        try:
            for frame in self._connection:
                envelope = protocol.decode_envelope(_as_bytes(frame))
                self._membership.tell(coordination.EnvelopeReceived(envelope))
        except (
            OSError,
            websocket_exceptions.WebSocketException,
            exceptions.MessageError,
        ) as error:
            reason = f"{type(error).__name__}: {error}"
        except pykka.ActorDeadError:
            return
        self._report_down(reason)

    def _report_down(self, reason: str) -> None:
        coordination.tell_if_alive(
            self._membership,
            coordination.LinkDown(self._address, self.actor_ref, reason),
        )


class PeerServer:
    """Accepts links from other nodes."""

    __slots__ = ("_membership", "_own_host", "_server")

    def __init__(
        self,
        own_host: str,
        membership: pykka.ActorRef[coordination.MembershipActor],
        listener: socket.socket,
    ) -> None:
        self._own_host = own_host
        self._membership = membership
        self._server = server.serve(
            self._handle,
            sock=listener,
            create_connection=_metrics.CountingServerConnection,
            compression=None,
            ping_interval=None,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            max_size=protocol.MAX_FRAME_BYTES,
            server_header=None,
        )

    @classmethod
    def start(
        cls,
        own_host: str,
        membership: pykka.ActorRef[coordination.MembershipActor],
        listener: socket.socket,
    ) -> "PeerServer":
        """Return a server with a running accept thread."""
        peer_server = cls(own_host, membership, listener)
        threading.Thread(
            target=peer_server._server.serve_forever,
            name="peer-accept",
            daemon=True,
        ).start()
        return peer_server

    def stop(self) -> None:
        """Stop accepting links."""
        self._server.shutdown()

    def _handle(self, accepted: server.ServerConnection) -> None:
        try:
            peer_hello = receive_hello(accepted)
            hello = coordination.ask(self._membership, coordination.GetHello())
            accepted.send(_hello_frame(self._own_host, hello))
        except (
            OSError,
            TimeoutError,
            websocket_exceptions.WebSocketException,
            exceptions.MessageError,
            pykka.ActorDeadError,
            pykka.Timeout,
        ) as error:
            logging.warning("peer link refused: %s", error)
            return
        link = PeerLink.start(self._own_host, "", self._membership, accepted)
        link.proxy().begin(peer_hello, peer_hello.host)
        # The connection is closed when this handler returns.
        link.actor_stopped.wait()


def receive_hello(accepted: connection.Connection) -> coordination.Hello:
    """Return the greeting that opens a link."""
    frame = accepted.recv(timeout=_HELLO_TIMEOUT_S)
    message = protocol.decode_envelope(_as_bytes(frame)).message
    if not isinstance(message, coordination.Hello):
        raise exceptions.MessageError(
            f"link opened with {type(message).__name__}, not with Hello"
        )
    return message


def start_dial(
    hello: coordination.Hello,
    address: str,
    membership: coordination.Mailbox,
) -> None:
    """Begin to open a link to a peer."""
    link = PeerLink.start(hello.host, address, membership, None)
    link.proxy().open(hello)


def _hello_frame(own_host: str, hello: coordination.Hello) -> bytes:
    stamp = state.Stamp(0, 0, own_host)
    return protocol.encode_envelope(
        coordination.Envelope(own_host, stamp, hello)
    )


def _limit_sends(peer_socket: socket.socket) -> None:
    """Let a send to a peer that no longer reads fail.

    Without the limit a paused peer would block the link's actor, which then
    could not be stopped.
    """
    peer_socket.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_SNDTIMEO,
        struct.pack("ll", _SEND_TIMEOUT_S, 0),
    )


def _as_bytes(frame: str | bytes) -> bytes:
    return frame if isinstance(frame, bytes) else frame.encode()
