"""Decides when a node watches the source in place of the watchers."""

from collections.abc import Collection
from dataclasses import dataclass

from jasminecrank.mesh.state import _links

STANDBY_AFTER_S = 1.25
"""Age of all complete replies at which the standby watchers take over.

An idle watcher receives one every 0.8 s.
"""
STALE_AFTER_S = 1.6
"""Age at which any node takes over, of the start of all replies.

It leaves time to read the source within the 2 s in which a table has to be in
force. Watchers that all receive a large table at once do not exceed it.
"""
RECENT_S = 0.5 * STANDBY_AFTER_S
"""Age of a complete reply up to which a node leaves the watch to a peer."""


@dataclass(slots=True)
class SourceContact:
    """When a host last heard from the source, as far as this node knows."""

    host: str
    confirmed_at_s: float = -1e9
    """End of its last reply, which confirms the entries that the host has."""
    replied_at_s: float = -1e9
    """Start of its last reply."""

    def is_receiving(self, now_s: float) -> bool:
        """Return whether the host was receiving a reply recently."""
        return (
            self.confirmed_at_s < self.replied_at_s
            and now_s - self.replied_at_s <= STALE_AFTER_S
        )


def takes_over(
    peers: Collection[SourceContact], is_standby: bool, now_s: float
) -> bool:
    """Return whether a node that does not watch the source begins to."""
    if not is_standby:
        return all(now_s - peer.replied_at_s > STALE_AFTER_S for peer in peers)
    # Watchers may be lost while they receive a large table.
    is_received = any(peer.is_receiving(now_s) for peer in peers)
    limit_s = RECENT_S if is_received else STANDBY_AFTER_S
    return all(now_s - peer.confirmed_at_s > limit_s for peer in peers)


def keeps_watching(
    peers: Collection[SourceContact], own_host: str, now_s: float
) -> bool:
    """Return whether a node that has taken over goes on.

    It stops only for a peer that precedes it. If every node left the watch to
    any other, all would stop at once.
    """
    return not any(
        now_s - peer.confirmed_at_s <= RECENT_S
        and _links.outranks(peer.host, own_host)
        for peer in peers
    )
