"""Prometheus counters of the control traffic of a node."""

import socket
import typing

import prometheus_client
import urllib3
import urllib3.connection
import urllib3.connectionpool
from websockets.sync import client
from websockets.sync import server

from jasminecrank.transport import _source_limits

_control_bytes = prometheus_client.Counter(
    "jasminecrank_control_bytes",
    "Bytes on the sockets of peers and of the configuration service.",
    ("socket", "direction"),
)
_peer_sent = _control_bytes.labels("peer", "sent")
_peer_received = _control_bytes.labels("peer", "received")
_source_sent = _control_bytes.labels("source", "sent")
_source_received = _control_bytes.labels("source", "received")
_source_calls = prometheus_client.Counter(
    "jasminecrank_source_calls",
    "Reads and watches sent to the configuration service.",
)

_STATUS_LINE_BYTES = len("HTTP/1.1 200 OK\r\n\r\n")
_HEADER_SEPARATOR_BYTES = len(": \r\n")


class _CountingSocket:
    """Socket wrapper that counts the bytes of a WebSocket connection."""

    __slots__ = ("_socket",)

    def __init__(self, wrapped_socket: socket.socket) -> None:
        self._socket = wrapped_socket

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._socket, name)

    def recv(self, size: int) -> bytes:
        """Receive data and add its size to the metric."""
        data = self._socket.recv(size)
        _peer_received.inc(len(data))
        return data

    def sendall(self, data: bytes) -> None:
        """Send data and add its size to the metric."""
        self._socket.sendall(data)
        _peer_sent.inc(len(data))


class CountingClientConnection(client.ClientConnection):
    """Client side of a peer link that counts its bytes."""

    def __init__(
        self, sock: socket.socket, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        counting_socket = typing.cast(socket.socket, _CountingSocket(sock))
        super().__init__(counting_socket, *args, **kwargs)


class CountingServerConnection(server.ServerConnection):
    """Server side of a peer link that counts its bytes."""

    def __init__(
        self, sock: socket.socket, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        counting_socket = typing.cast(socket.socket, _CountingSocket(sock))
        super().__init__(counting_socket, *args, **kwargs)


class _CountingHttpConnection(urllib3.connection.HTTPConnection):
    response_class = _source_limits.LimitedResponse

    def send(self, data: typing.Any) -> None:
        super().send(data)
        _source_sent.inc(len(data))


class _CountingHttpPool(urllib3.connectionpool.HTTPConnectionPool):
    ConnectionCls = _CountingHttpConnection


def create_source_pool() -> urllib3.PoolManager:
    """Return a single-connection pool that counts request bytes."""
    pool = urllib3.PoolManager(num_pools=1, maxsize=1)
    pool.pool_classes_by_scheme = {"http": _CountingHttpPool}
    return pool


def count_source_call() -> None:
    """Count one read or watch, the unit of the service's call limit."""
    _source_calls.inc()


def count_source_response(response: urllib3.BaseHTTPResponse) -> None:
    """Count the bytes of a response of the configuration service."""
    header_bytes = sum(
        len(name) + len(value) + _HEADER_SEPARATOR_BYTES
        for name, value in response.headers.items()
    )
    _source_received.inc(
        _STATUS_LINE_BYTES + header_bytes + len(response.data)
    )
