"""Socket options that limit the time to detect a dead peer."""

import asyncio
import contextlib
import fcntl
import os
import socket
import struct
import termios

TCP_USER_TIMEOUT_MS = 2_500
"""Time without acknowledgement after which TCP closes a connection.

Longer than the 2.2 s after which a silent node is considered dead.
"""
MAX_UNSENT_KERNEL_BYTES = 131_072
"""Bytes in a link's socket that wait for their first transmission.

Other messages on the link wait behind them.
"""
SLOW_TCP_USER_TIMEOUT_MS = 30_000
"""The same for peers that may pause reading while they are alive.

These are callers, and servers that receive a body larger than their buffers.
"""
TCP_ESTABLISHED = 1
TCP_CLOSE = 7
"""State of a connection that the kernel has given up."""
_TCP_INFO_UNACKED = struct.Struct("24xI")
"""The field tcpi_unacked of struct tcp_info, behind 8 octets and 4 words."""


def set_socket_options(
    transport: asyncio.BaseTransport,
    user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
) -> None:
    """Disable Nagle's algorithm and set the TCP user timeout."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )


def set_user_timeout(
    transport: asyncio.BaseTransport, user_timeout_ms: int
) -> None:
    """Change the TCP user timeout of a connection."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
        )


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Discard what is not sent when the connection is closed.

    The kernel would keep the connection until its peer has taken it.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )


def limit_unsent_bytes(transport: asyncio.BaseTransport) -> None:
    """Keep the queue of a socket short, so that messages can overtake."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_NOTSENT_LOWAT,
            MAX_UNSENT_KERNEL_BYTES,
        )


def undelivered_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the written bytes that the peer has not acknowledged.

    Until then a reset, as after closing with unread bytes, discards them.
    """
    if transport.is_closing():
        return transport.get_write_buffer_size()
    return transport.get_write_buffer_size() + _kernel_unsent_bytes(transport)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel has received and nobody has read."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    return _read_int(sock, termios.FIONREAD)


def is_established(transport: asyncio.BaseTransport) -> bool:
    """Return whether neither side has closed or reset the connection.

    The kernel knows before the transport has read the end of the stream.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    return _tcp_state(sock) == TCP_ESTABLISHED


def shut_down_sending(transport: asyncio.BaseTransport) -> None:
    """Tell the peer at once that nothing more will be sent.

    A transport closes its socket only after the current callbacks.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    with (
        socket.socket(fileno=os.dup(sock.fileno())) as duplicate,
        contextlib.suppress(OSError),  # The peer has reset the connection.
    ):
        duplicate.shutdown(socket.SHUT_WR)


def unaccepted_connections(sock: socket.socket) -> int:
    """Return the connections that a listening socket has not accepted."""
    if sock.fileno() < 0:
        return 0
    info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_UNACKED.size
    )
    # For a listening socket, the kernel reports its accept queue here.
    (count,) = _TCP_INFO_UNACKED.unpack(info)
    return int(count)


def _kernel_unsent_bytes(transport: asyncio.BaseTransport) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    # After a reset the queue is empty, but its size is not updated.
    if _tcp_state(sock) == TCP_CLOSE:
        return 0
    # On a socket, TIOCOUTQ is SIOCOUTQ.
    return _read_int(sock, termios.TIOCOUTQ)


def _tcp_state(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def _read_int(sock: socket.socket, request: int) -> int:
    found = fcntl.ioctl(sock.fileno(), request, struct.pack("i", 0))
    return int(struct.unpack("i", found)[0])
