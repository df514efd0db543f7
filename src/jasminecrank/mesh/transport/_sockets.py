"""Socket options that limit the time to detect a dead peer."""

import asyncio
import socket

TCP_USER_TIMEOUT_MS = 2_500
"""Time without acknowledgement after which TCP closes a connection.

Longer than the 2.2 s after which a silent node is considered dead.
"""

MAX_UNSENT_KERNEL_BYTES = 131_072
"""Bytes in a link's socket that wait for their first transmission.

Other messages on the link wait behind them.
"""


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and set the TCP user timeout."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
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
