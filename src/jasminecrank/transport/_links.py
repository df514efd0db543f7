"""WebSocket connections between nodes."""

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
    """Actor that sends on one peer link, with a thread that receives."""

    def __init__(
        self,
        own_host: str,
        address: str,
        membership: coordination.Mailbox,
        peer_connection: connection.Connection | None,
    ) -> None:
        super().__init__()
        self._own_host = own_host
        self._address = address
        self._membership = membership
        self._connection = peer_connection

    def open(self, hello: coordination.Hello) -> None:
        """Connect to the peer and perform the Hello handshake."""
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
        self.start_reading(peer_hello, self._own_host)

    def start_reading(
        self, peer_hello: coordination.Hello, dialled_by: str
    ) -> None:
        """Report the link as up and start its receive thread."""
        if self._connection is not None:
            _set_send_timeout(self._connection.socket)
        self._membership.tell(
            coordination.LinkUp(
                peer_hello, self.actor_ref, dialled_by, self._address
            )
        )
        threading.Thread(
            target=self._read, name=f"read-{peer_hello.host}", daemon=True
        ).start()

    def on_receive(self, message: object) -> object:
        """Send a message, or close the link on StopRequested."""
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
        """Close the connection, which also ends the receive thread."""
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
    """Accepts peer links from other nodes."""

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
        """Start the accept thread and return the server."""
        peer_server = cls(own_host, membership, listener)
        threading.Thread(
            target=peer_server._server.serve_forever,
            name="peer-accept",
            daemon=True,
        ).start()
        return peer_server

    def stop(self) -> None:
        """Shut down the accept loop."""
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
            logging.warning("rejected incoming peer link: %s", error)
            return
        link = PeerLink.start(self._own_host, "", self._membership, accepted)
        link.proxy().start_reading(peer_hello, peer_hello.host)
        # The library closes the connection when this handler returns.
        link.actor_stopped.wait()


def receive_hello(
    peer_connection: connection.Connection,
) -> coordination.Hello:
    """Receive the Hello message that opens a link."""
    frame = peer_connection.recv(timeout=_HELLO_TIMEOUT_S)
    message = protocol.decode_envelope(_as_bytes(frame)).message
    if not isinstance(message, coordination.Hello):
        raise exceptions.MessageError(
            f"first message is {type(message).__name__}, expected Hello"
        )
    return message


def start_dial(
    hello: coordination.Hello,
    address: str,
    membership: coordination.Mailbox,
) -> None:
    """Start an actor that connects to a peer."""
    link = PeerLink.start(hello.host, address, membership, None)
    link.proxy().open(hello)


def _hello_frame(own_host: str, hello: coordination.Hello) -> bytes:
    stamp = state.Stamp(0, 0, own_host)
    return protocol.encode_envelope(
        coordination.Envelope(own_host, stamp, hello)
    )


def _set_send_timeout(peer_socket: socket.socket) -> None:
    """Make sends fail when the peer stops reading.

    Without a send timeout, a paused peer would block the link's actor, which
    then could not be stopped.
    """
    peer_socket.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_SNDTIMEO,
        struct.pack("ll", _SEND_TIMEOUT_S, 0),
    )


def _as_bytes(frame: str | bytes) -> bytes:
    return frame if isinstance(frame, bytes) else frame.encode()
