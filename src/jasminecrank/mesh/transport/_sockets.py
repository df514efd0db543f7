"""Socket options that bound how long a dead peer goes unnoticed."""

import asyncio
import socket

TCP_USER_TIMEOUT_MS = 2_500
"""Unacknowledged bytes after which a connection is dead.

Above the 2.2 s after which a silent node is given up.
"""


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Send at once, and notice a peer that no longer answers."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
