"""Entries that peers have announced and that have not arrived yet."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import random

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _peer_messages

REFETCH_AFTER_S = 0.6
"""Time after which a requested entry is requested again, from another peer.

A large entry takes up to 0.4 s on a link of 5 Mbit/s.
"""


@dataclass(slots=True)
class _PendingEntry:
    position: state.Position
    request_at_s: float
    overdue_at_s: float
    announcers: list[_peer_messages.SendToPeer] = field(default_factory=list)
    requested: bool = False


class PendingEntries:
    """Decides when to request which announced entry from which peer."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entry_by_key: dict[str, _PendingEntry] = {}

    def add(
        self,
        key: str,
        position: state.Position,
        announcer: _peer_messages.SendToPeer,
        request_at_s: float,
        overdue_at_s: float,
    ) -> None:
        """Add an announcement of an entry that this node does not have.

        The first announcement of a key decides when it is overdue.
        """
        pending = self._entry_by_key.get(key)
        if pending is None:
            pending = _PendingEntry(position, request_at_s, overdue_at_s)
            self._entry_by_key[key] = pending
        elif pending.position < position:
            pending.position = position
            if not pending.requested:
                pending.request_at_s = min(pending.request_at_s, request_at_s)
        if announcer not in pending.announcers:
            pending.announcers.append(announcer)

    def defer(
        self,
        key: str,
        announcer: _peer_messages.SendToPeer,
        request_at_s: float,
    ) -> None:
        """Postpone the request for an entry, which the peer still offers."""
        pending = self._entry_by_key.get(key)
        if pending is None:
            return
        if announcer not in pending.announcers:
            pending.announcers.append(announcer)
        pending.requested = False
        pending.request_at_s = request_at_s

    def awaits(self, key: str) -> bool:
        """Return whether a newer entry of a key has been announced."""
        return key in self._entry_by_key

    def remove_received(self, items: Iterable[state.SourceItem]) -> None:
        """Remove the entries that have arrived.

        One that has been superseded meanwhile is requested again.
        """
        for item in items:
            pending = self._entry_by_key.get(item.key)
            if pending is None:
                continue
            if pending.position <= item.position:
                del self._entry_by_key[item.key]
            elif pending.requested:
                pending.requested = False
                pending.request_at_s = 0.0

    def take_due(
        self, now_s: float
    ) -> dict[_peer_messages.SendToPeer, list[str]]:
        """Return the keys to request now, by a random announcer of each."""
        keys_by_announcer: dict[_peer_messages.SendToPeer, list[str]] = {}
        for key, pending in list(self._entry_by_key.items()):
            if pending.request_at_s > now_s:
                continue
            if not pending.announcers:
                del self._entry_by_key[key]
                continue
            chosen = self._rng.randrange(len(pending.announcers))
            announcer = pending.announcers.pop(chosen)
            pending.request_at_s = now_s + REFETCH_AFTER_S
            pending.requested = True
            keys_by_announcer.setdefault(announcer, []).append(key)
        return keys_by_announcer

    def is_overdue(self, now_s: float) -> bool:
        """Return whether an entry has been missing for too long."""
        return any(
            pending.overdue_at_s <= now_s
            for pending in self._entry_by_key.values()
        )
