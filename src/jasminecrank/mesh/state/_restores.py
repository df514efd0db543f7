"""Decides which entries of a lost era are kept when the source is restored.

A restored source has the entries of a copy, and what was written since is
gone until its authors write it again. An entry is older than a known one if
its author wrote it earlier, whatever their positions are.
"""

from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh.state import _entries

HOLD_HEARTBEATS = 3.0
"""Heartbeats without a renewal after which the source removes a server."""


def is_older(
    listed: _entries.PublishedEntry | None,
    known: _entries.PublishedEntry | None,
    removed_server: _entries.BackendServer | None,
) -> bool:
    """Return whether an entry of the new era is older than a known one.

    None stands for a key without an entry. `removed_server` is the server
    that the key had before its removal, if it is known.
    """
    match known, listed:
        case _entries.TableEntry(), None | _entries.InvalidEntry():
            return True
        case _entries.TableEntry(old), _entries.TableEntry(new):
            return new.version <= old.version
        case _entries.DataCentreOutEntry(), None:
            return True
        case None, _entries.DataCentreOutEntry():
            return True
        case _entries.ServerEntry(old), _entries.ServerEntry(new):
            return _is_older_server(new, old)
        case None, _entries.ServerEntry(new):
            return removed_server is None or (
                (new.created_at_ms, new.sequence)
                <= (removed_server.created_at_ms, removed_server.sequence)
            )
        case _:
            return False


def _is_older_server(
    new: _entries.BackendServer, old: _entries.BackendServer
) -> bool:
    if new.created_at_ms != old.created_at_ms:
        return new.created_at_ms < old.created_at_ms
    # A server that drains does not become ready again.
    leaves = old.state is _entries.ServerState.DRAINING
    if leaves and new.state is not old.state:
        return True
    return new.sequence < old.sequence


@dataclass(slots=True)
class Holds:
    """Times until which retained entries wait for their authors.

    A server that lives keeps its entry, and one that has left loses it within
    that time. Operators write again what they had written.
    """

    until_s_by_key: dict[str, float] = field(default_factory=dict)

    def begin(
        self, key: str, now_s: float, heartbeat_s: float, grace_s: float
    ) -> None:
        """Hold an entry for as long as the source keeps that of a server."""
        hold_s = HOLD_HEARTBEATS * heartbeat_s + grace_s
        self.until_s_by_key[key] = now_s + hold_s

    def end(self, key: str, now_s: float) -> None:
        """End a hold early."""
        self.until_s_by_key[key] = min(now_s, self.until_s_by_key[key])

    def remove(self, key: str) -> None:
        """Forget a key that its author has written again."""
        self.until_s_by_key.pop(key, None)

    def remove_due(self, now_s: float) -> None:
        """Forget the keys that a listing has confirmed."""
        for key, until_s in list(self.until_s_by_key.items()):
            if until_s <= now_s:
                del self.until_s_by_key[key]

    def is_held(self, key: str, now_s: float) -> bool:
        """Return whether an entry still waits for its author."""
        return self.until_s_by_key.get(key, now_s) > now_s

    def has_due(self, now_s: float) -> bool:
        """Return whether the time of any entry is over."""
        return any(
            until_s <= now_s for until_s in self.until_s_by_key.values()
        )
