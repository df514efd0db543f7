"""Hosts that may grant tokens of a rate, heard of or not."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh.state import _entries
from jasminecrank.mesh.state import _links

ABSENT_GRANTS_S = 60.0
"""Time for which hosts that are cut off may go on granting tokens.

They measure it from their last contact to the source, the others from the
removal of their entries, which is later.
"""
REPORTING_HOSTS = 8
"""Hosts, beside the other arbiters, that tell an arbiter of removed hosts."""
MAX_REPORTED_HOSTS = 4_400
"""Most removed hosts that are counted: twice the size to design for."""
CONTACT_S = 2.0
"""Time without the source after which hosts may have left unseen."""


@dataclass(slots=True)
class HostCensus:
    """Counts the hosts among which the rates are shared.

    The entry of a host that is cut off expires, but its node still grants its
    share. Only a server that was draining is known to have left. A node that
    has just started learns of removed hosts from the others.
    """

    _is_draining_by_host: dict[str, bool] = field(default_factory=dict)
    _removed_at_s_by_host: dict[str, float] = field(default_factory=dict)
    _left_at_s_by_host: dict[str, float] = field(default_factory=dict)
    """Hosts whose servers were draining, which others may not have seen."""
    _unsure_hosts: set[str] = field(default_factory=set)
    """Removed hosts that may have been draining, unseen by this node."""
    _confirmed_at_s: float | None = None
    _contact_since_s: float = -1e9

    def confirm(self, at_s: float, now_s: float) -> None:
        """Record when the source last confirmed the entries."""
        before_s = self._confirmed_at_s
        if before_s is not None and at_s - before_s > CONTACT_S:
            self._contact_since_s = now_s
        self._confirmed_at_s = at_s

    def update(
        self, servers: Iterable[_entries.BackendServer], now_s: float
    ) -> None:
        """Record the hosts of the servers that are listed now."""
        is_draining_by_host = {
            server.host: server.state is _entries.ServerState.DRAINING
            for server in servers
        }
        sure = self._has_contact(now_s)
        for host, is_draining in self._is_draining_by_host.items():
            if host in is_draining_by_host:
                continue
            if is_draining:
                self._left_at_s_by_host[host] = now_s
                continue
            self._removed_at_s_by_host[host] = now_s
            if not sure:
                self._unsure_hosts.add(host)
        for host in is_draining_by_host:
            self._removed_at_s_by_host.pop(host, None)
            self._left_at_s_by_host.pop(host, None)
            self._unsure_hosts.discard(host)
        self._is_draining_by_host = is_draining_by_host

    def add_removed(
        self, age_s_by_host: Mapping[str, float], now_s: float
    ) -> None:
        """Record hosts that another node has seen removed."""
        self._forget(now_s)
        for host, age_s in age_s_by_host.items():
            if (
                not 0.0 <= age_s < ABSENT_GRANTS_S
                or host in self._is_draining_by_host
                or host in self._left_at_s_by_host
                or len(self._removed_at_s_by_host) >= MAX_REPORTED_HOSTS
            ):
                continue
            # The age grows in transit, so that the first report is kept.
            self._removed_at_s_by_host.setdefault(host, now_s - age_s)
            self._unsure_hosts.discard(host)

    def reported_age_s_by_host(self, now_s: float) -> dict[str, float]:
        """Return how long ago hosts were removed that others must count."""
        self._forget(now_s)
        return {
            host: now_s - removed_at_s
            for host, removed_at_s in self._removed_at_s_by_host.items()
            if host not in self._unsure_hosts
        }

    def count(self, own_host: str, now_s: float) -> int:
        """Return the number of hosts, this one and absent ones included."""
        self._forget(now_s)
        hosts = self._is_draining_by_host.keys() | {own_host}
        return len(hosts | self._removed_at_s_by_host.keys())

    def reports_to(
        self, arbiter: str, own_host: str, arbiters: Collection[str]
    ) -> bool:
        """Return whether this host tells an arbiter of the removed hosts.

        The other arbiters do, which have been told themselves, and so do some
        hosts, in case that all arbiters have restarted.
        """
        if own_host in arbiters:
            return True
        hosts = self._is_draining_by_host.keys() - {arbiter}
        ranked = _links.rank_hosts(arbiter, hosts)
        return own_host in ranked[:REPORTING_HOSTS]

    def _has_contact(self, now_s: float) -> bool:
        return self._confirmed_at_s is None or (
            now_s - self._confirmed_at_s <= CONTACT_S
            and now_s - self._contact_since_s >= CONTACT_S
        )

    def _forget(self, now_s: float) -> None:
        for at_s_by_host in (
            self._removed_at_s_by_host,
            self._left_at_s_by_host,
        ):
            for host, at_s in list(at_s_by_host.items()):
                if now_s - at_s >= ABSENT_GRANTS_S:
                    del at_s_by_host[host]
                    self._unsure_hosts.discard(host)
