"""Opens the ports of a node, also while a previous process holds them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import errno
import typing

from jasminecrank import exceptions
from jasminecrank.mesh import coordination
from jasminecrank.mesh import settings

RETRY_PERIOD_S = 0.05
"""Interval at which a port that is held is tried again."""
TEMPORARY_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)

_T = typing.TypeVar("_T")


async def open_port(
    endpoint: settings.Endpoint,
    listen: Callable[[str, int], Awaitable[_T]],
    deadline_s: float,
    clock: coordination.Clock,
    log: coordination.Log,
) -> _T:
    """Listen at an address, or raise ListenError at the deadline.

    A previous process that is still stopping may hold the port.
    """
    is_waiting = False
    while True:
        try:
            return await listen(endpoint.host, endpoint.port)
        except OSError as error:
            left_s = deadline_s - clock.now_s()
            if error.errno not in TEMPORARY_ERRORS or left_s <= 0.0:
                raise exceptions.ListenError(
                    f"{endpoint.setting}: cannot listen at "
                    f"{endpoint.host}:{endpoint.port}: {error}"
                ) from error
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
