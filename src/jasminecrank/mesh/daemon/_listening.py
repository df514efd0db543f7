"""Opens the ports of a node, also while a previous process holds them.

The ports are bound first and serve together: a connection that one of them
took while another is held would get no answer.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import errno

from jasminecrank import exceptions
from jasminecrank.mesh import coordination
from jasminecrank.mesh import settings

RETRY_PERIOD_S = 0.05
"""Interval at which a port that is held is tried again."""
TEMPORARY_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


@dataclass(slots=True, frozen=True)
class Port:
    """An address and the function that makes a server there."""

    endpoint: settings.Endpoint
    listen: Callable[[str, int], Awaitable[asyncio.Server]]

    def error(self, error: OSError) -> exceptions.ListenError:
        """Return an error that names the setting and the address."""
        endpoint = self.endpoint
        return exceptions.ListenError(
            f"{endpoint.setting}: cannot listen at "
            f"{endpoint.host}:{endpoint.port}: {error}"
        )


async def start_serving(
    ports: Sequence[Port], servers: Sequence[asyncio.Server]
) -> None:
    """Accept connections at ports that were bound."""
    for port, server in zip(ports, servers, strict=True):
        try:
            await server.start_serving()
        except OSError as error:
            raise port.error(error) from error


async def bind(
    port: Port,
    deadline_s: float,
    clock: coordination.Clock,
    log: coordination.Log,
) -> asyncio.Server:
    """Bind a port, or raise ListenError at the deadline.

    A previous process that is still stopping may hold the port.
    """
    endpoint = port.endpoint
    is_waiting = False
    while True:
        try:
            return await port.listen(endpoint.host, endpoint.port)
        except OSError as error:
            left_s = deadline_s - clock.now_s()
            if error.errno not in TEMPORARY_ERRORS or left_s <= 0.0:
                raise port.error(error) from error
            if not is_waiting:
                is_waiting = True
                log.decision(
                    "port-held",
                    setting=endpoint.setting,
                    address=f"{endpoint.host}:{endpoint.port}",
                    waits_s=round(left_s, 1),
                    error=str(error),
                )
        await asyncio.sleep(min(RETRY_PERIOD_S, max(0.0, left_s)))
