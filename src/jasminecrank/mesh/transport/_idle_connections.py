"""Closes idle connections when the process runs out of descriptors."""

import errno
import os
import resource
import typing

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

RETRY_STEP = 8
"""Further descriptors after which idle connections are looked for again."""


class IdleConnection(typing.Protocol):
    """Connection that anybody can open, and that may have to give way."""

    @property
    def idleness(self) -> state.Idleness | None:
        """Return how it is idle, or None if something is due on it."""

    def give_way(self) -> None:
        """Close it."""


class IdleConnections:
    """Connections of all ports that give way to those that are needed."""

    def __init__(
        self, clock: coordination.Clock, log: coordination.Log
    ) -> None:
        self._clock = clock
        self._log = log
        self._connections: set[IdleConnection] = set()
        self._retry_at_used = 0
        """Descriptors at which it is worth to look for idle ones again."""

    def add(self, connection: IdleConnection) -> None:
        """Add a connection that has opened."""
        use = _descriptor_use()
        if use.used >= self._retry_at_used:
            self._make_room(use)
        self._connections.add(connection)

    def discard(self, connection: IdleConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def make_room(self) -> None:
        """Close the longest idle connections if few descriptors are left."""
        self._make_room(_descriptor_use())

    def _make_room(self, use: state.DescriptorUse) -> None:
        self._retry_at_used = 0
        if not use.excess:
            return
        idleness_by_connection = {
            connection: idleness
            for connection in self._connections
            if (idleness := connection.idleness) is not None
        }
        yielding = state.connections_to_yield(
            idleness_by_connection, use, self._clock.now_s()
        )
        if not yielding:
            self._retry_at_used = use.used + RETRY_STEP
        for connection in yielding:
            self._connections.discard(connection)
            connection.give_way()
        self._log.connection(
            "descriptors-scarce",
            outcome="idle-closed" if yielding else "none-idle",
            closed=len(yielding),
            used=use.used,
            limit=use.limit,
        )


def _descriptor_use() -> state.DescriptorUse:
    """Return how many descriptors are open, as far as this is known.

    The kernel gives out the lowest free number, below which all are open.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return state.DescriptorUse(0, None)
    try:
        probe = os.eventfd(0)
    except OSError as error:
        if error.errno != errno.EMFILE:
            return state.DescriptorUse(0, None)
        return state.DescriptorUse(limit, limit)
    os.close(probe)
    return state.DescriptorUse(probe, limit)
