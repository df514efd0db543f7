"""Socket options that limit the time to detect a dead peer."""

import asyncio
import fcntl
import socket
import struct
import termios

TCP_USER_TIMEOUT_MS = 2_500
"""Time without acknowledgement after which TCP closes a connection.

Longer than the 2.2 s after which a silent node is considered dead.
"""
CALLER_TCP_USER_TIMEOUT_MS = 30_000
"""The same for callers, which may pause reading while they are alive."""


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


def undelivered_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the written bytes that the peer has not acknowledged.

    Until then a reset, as after closing with unread bytes, discards them.
    """
    if transport.is_closing():
        return transport.get_write_buffer_size()
    return transport.get_write_buffer_size() + _kernel_unsent_bytes(transport)


def _kernel_unsent_bytes(transport: asyncio.BaseTransport) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    # On a socket, TIOCOUTQ is SIOCOUTQ.
    found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    (unsent_bytes,) = struct.unpack("i", found)
    return int(unsent_bytes)
