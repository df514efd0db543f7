"""Decides which readers of the source push entries to which hosts."""

from dataclasses import dataclass
import typing

from jasminecrank.mesh.state import _fleet_snapshot
from jasminecrank.mesh.state import _links


@dataclass(slots=True, frozen=True)
class SourceReaders:
    """The hosts that read the source, as seen by one host of the fleet.

    Each host of a large fleet is in the part of one watcher, and of one
    standby watcher.
    """

    own_host: str
    watchers: tuple[str, ...] = ()
    standby_watchers: tuple[str, ...] = ()

    @classmethod
    def from_fleet(
        cls, own_host: str, fleet: _fleet_snapshot.FleetSnapshot
    ) -> typing.Self:
        """Return the readers of a fleet."""
        return cls(
            own_host,
            _links.watcher_hosts(fleet),
            _links.standby_watcher_hosts(fleet),
        )

    @property
    def is_watcher(self) -> bool:
        """Return whether this host is a watcher."""
        return self.own_host in self.watchers

    @property
    def is_standby(self) -> bool:
        """Return whether this host is a standby watcher."""
        return self.own_host in self.standby_watchers

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads the source for others."""
        return self.is_watcher or self.is_standby

    def is_fellow(self, host: str) -> bool:
        """Return whether a host divides the fleet with this one."""
        return host != self.own_host and host in self._group()

    def pushes_read_to(self, host: str) -> bool:
        """Return whether this host pushes to a host what it has read."""
        return self.is_fellow(host) or self._has_in_part(host)

    def relays_to(self, host: str) -> bool:
        """Return whether this host pushes to a host what a fellow has read.

        It may never read that itself, since its reading position moves on
        once it has the entries.
        """
        return not self.is_fellow(host) and self._has_in_part(host)

    def _has_in_part(self, host: str) -> bool:
        ranked = _links.rank_hosts(host, self._group())
        return ranked[:1] == [self.own_host]

    def _group(self) -> tuple[str, ...]:
        if self.is_watcher:
            return self.watchers
        return self.standby_watchers if self.is_standby else ()
