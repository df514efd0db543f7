"""Opens the ports of a node, also while a previous process holds them.

All ports are opened together: a connection that one of them took while another
is held would get no answer.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
import errno
import socket

from jasminecrank import exceptions
from jasminecrank.mesh import coordination
from jasminecrank.mesh import settings

RETRY_PERIOD_S = 0.05
"""Interval at which a port that is held is tried again."""
HELD_LOG_PERIOD_S = 10.0
"""Interval at which a port that stays held is logged."""
TEMPORARY_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
BACKLOG = 512
"""Connections waiting to be accepted until a server sets its own number."""


@dataclass(slots=True, frozen=True)
class Port:
    """An address and the function that serves a socket there."""

    endpoint: settings.Endpoint
    serve: Callable[[socket.socket], Awaitable[asyncio.Server]]

    @property
    def address(self) -> str:
        """Return the host and port number."""
        return f"{self.endpoint.host}:{self.endpoint.port}"


@dataclass(slots=True, frozen=True)
class OpenPort:
    """A socket that listens at a port."""

    port: Port
    sock: socket.socket


async def open_ports(
    ports: Sequence[Port],
    clock: coordination.Clock,
    log: coordination.Log,
) -> list[OpenPort]:
    """Return listening sockets, or raise ListenError if it can't succeed.

    A previous process that is still stopping may hold a port, for longer than
    its grace period if it was paused.
    """
    began_at_s = clock.now_s()
    logged_at_s_by_setting: dict[str, float] = {}
    while True:
        try:
            return await _try_open(ports)
        except _PortError as failed:
            now_s = clock.now_s()
            endpoint = failed.port.endpoint
            if failed.error.errno not in TEMPORARY_ERRORS:
                raise exceptions.ListenError(
                    f"{endpoint.setting}: cannot listen at "
                    f"{failed.port.address}: {failed.error}"
                ) from failed.error
            logged_at_s = logged_at_s_by_setting.get(endpoint.setting)
            if logged_at_s is None or now_s >= logged_at_s + HELD_LOG_PERIOD_S:
                logged_at_s_by_setting[endpoint.setting] = now_s
                log.decision(
                    "port-held",
                    setting=endpoint.setting,
                    address=failed.port.address,
                    waited_s=round(now_s - began_at_s, 1),
                    error=str(failed.error),
                )
        await asyncio.sleep(RETRY_PERIOD_S)


class _PortError(Exception):
    def __init__(self, port: Port, error: OSError) -> None:
        super().__init__(str(error))
        self.port = port
        self.error = error


async def _try_open(ports: Sequence[Port]) -> list[OpenPort]:
    """Bind all ports and then listen, or raise an error and open none."""
    with contextlib.ExitStack() as stack:
        opened = []
        for port in ports:
            try:
                for sock in await _bind(port.endpoint, stack):
                    opened.append(OpenPort(port, sock))
            except OSError as error:
                raise _PortError(port, error) from error
        for item in opened:
            # Two processes can bind a port, but only one can listen.
            try:
                item.sock.listen(BACKLOG)
            except OSError as error:
                raise _PortError(item.port, error) from error
        stack.pop_all()
        return opened


async def _bind(
    endpoint: settings.Endpoint, stack: contextlib.ExitStack
) -> list[socket.socket]:
    """Return sockets bound to the addresses of a host, closed by the stack."""
    found = await asyncio.get_running_loop().getaddrinfo(
        endpoint.host,
        endpoint.port,
        type=socket.SOCK_STREAM,
        flags=socket.AI_PASSIVE,
    )
    sockets = []
    for family, kind, protocol, _, address in dict.fromkeys(found):
        sock = stack.enter_context(socket.socket(family, kind, protocol))
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(address)
        sockets.append(sock)
    return sockets
