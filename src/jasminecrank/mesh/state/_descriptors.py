"""Which connections give way before a process is out of descriptors."""

from collections.abc import Mapping
from dataclasses import dataclass
import heapq
import typing

MAX_RESERVED = 64
"""Descriptors kept for new calls, links, and connections to servers."""
RESERVED_RATIO = 0.25
"""The same as a fraction of a small limit."""


@dataclass(slots=True, frozen=True)
class DescriptorUse:
    """Descriptors that a process has open, and how many it may open."""

    used: int
    limit: int | None
    """None if there is no limit."""

    @property
    def excess(self) -> int:
        """Return how many idle connections have to give way."""
        if self.limit is None:
            return 0
        reserved = min(MAX_RESERVED, int(self.limit * RESERVED_RATIO))
        return max(0, self.used - (self.limit - reserved))


@dataclass(slots=True, frozen=True, order=True)
class Idleness:
    """Order in which idle connections give way."""

    used: bool
    """Whether it has carried a request; those that have not go first."""
    since_s: float


_Connection = typing.TypeVar("_Connection")


def connections_to_yield(
    idleness_by_connection: Mapping[_Connection, Idleness],
    use: DescriptorUse,
) -> list[_Connection]:
    """Return the connections to close, the first to give way first."""
    return heapq.nsmallest(
        use.excess,
        idleness_by_connection,
        key=idleness_by_connection.__getitem__,
    )
