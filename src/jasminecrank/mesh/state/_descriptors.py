"""Which connections give way before a process is out of descriptors."""

from collections.abc import Mapping
from dataclasses import dataclass
import heapq
import typing

MAX_RESERVED = 64
"""Descriptors kept for new calls, links, and connections to servers."""
RESERVED_RATIO = 0.25
"""The same as a fraction of a small limit."""
USED_MARGIN_S = 0.5
"""Time by which a connection that has carried requests counts as idle later.

Without it, a burst of connections that carry none would displace it.
"""
FRESH_S = 0.1
"""Time in which a connection that has just opened or been used is expected
to carry a request."""


@dataclass(slots=True, frozen=True)
class DescriptorUse:
    """Descriptors that a process has open, and how many it may open."""

    used: int
    limit: int | None
    """None if there is no limit."""

    @property
    def excess(self) -> int:
        """Return how many idle connections have to give way."""
        return self._above(1.0)

    @property
    def urgent_excess(self) -> int:
        """Return how many of these have to, even if they are fresh."""
        return self._above(0.5)

    def _above(self, reserved_part: float) -> int:
        if self.limit is None:
            return 0
        reserved = min(MAX_RESERVED, int(self.limit * RESERVED_RATIO))
        return max(0, self.used - self.limit + int(reserved * reserved_part))


@dataclass(slots=True, frozen=True)
class Idleness:
    """How long a connection has been idle, and whether it has been used."""

    used: bool
    since_s: float

    @property
    def order_s(self) -> float:
        """Return the key by which connections give way, least first."""
        return self.since_s + USED_MARGIN_S * self.used


_Connection = typing.TypeVar("_Connection")


def connections_to_yield(
    idleness_by_connection: Mapping[_Connection, Idleness],
    use: DescriptorUse,
    now_s: float,
) -> list[_Connection]:
    """Return the connections to close, the first to give way first."""
    longest_idle = heapq.nsmallest(
        use.excess,
        idleness_by_connection,
        key=lambda connection: idleness_by_connection[connection].order_s,
    )
    return [
        connection
        for rank, connection in enumerate(longest_idle)
        if rank < use.urgent_excess
        or now_s - idleness_by_connection[connection].since_s >= FRESH_S
    ]
