"""Hosts that may grant tokens of a rate, heard of or not."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh.state import _directory
from jasminecrank.mesh.state import _links

ABSENT_GRANTS_S = 60.0
"""Time for which hosts that are cut off may go on granting tokens.

They measure it from their last contact to the source, the others from the
removal of their entries, which is later.
"""
REPORTING_HOSTS = 8
"""Hosts that tell an arbiter of removed hosts when they reach it."""


@dataclass(slots=True)
class HostCensus:
    """Counts the hosts among which the rates are shared.

    The entry of a host that is cut off expires, but its node still grants its
    share. Only a server that was draining is known to have left. A node that
    has just started learns of removed hosts from the others.
    """

    _is_draining_by_host: dict[str, bool] = field(default_factory=dict)
    _removed_at_s_by_host: dict[str, float] = field(default_factory=dict)

    def update(
        self, servers: Iterable[_directory.BackendServer], now_s: float
    ) -> None:
        """Record the hosts of the servers that are listed now."""
        is_draining_by_host = {
            server.host: server.state is _directory.ServerState.DRAINING
            for server in servers
        }
        for host, is_draining in self._is_draining_by_host.items():
            if host not in is_draining_by_host and not is_draining:
                self._removed_at_s_by_host[host] = now_s
        for host in is_draining_by_host:
            self._removed_at_s_by_host.pop(host, None)
        self._is_draining_by_host = is_draining_by_host

    def add_removed(
        self, age_s_by_host: Mapping[str, float], now_s: float
    ) -> None:
        """Record hosts that another node has seen removed."""
        for host, age_s in age_s_by_host.items():
            if host not in self._is_draining_by_host:
                removed_at_s = now_s - max(0.0, age_s)
                self._removed_at_s_by_host[host] = max(
                    removed_at_s,
                    self._removed_at_s_by_host.get(host, removed_at_s),
                )

    def removed_age_s_by_host(self, now_s: float) -> dict[str, float]:
        """Return how long ago the hosts that still count were removed."""
        self._forget_removed(now_s)
        return {
            host: now_s - removed_at_s
            for host, removed_at_s in self._removed_at_s_by_host.items()
        }

    def count(self, own_host: str, now_s: float) -> int:
        """Return the number of hosts, this one and absent ones included."""
        self._forget_removed(now_s)
        hosts = self._is_draining_by_host.keys() | {own_host}
        return len(hosts | self._removed_at_s_by_host.keys())

    def reports_to(self, arbiter: str, own_host: str) -> bool:
        """Return whether this host tells an arbiter of the removed hosts."""
        hosts = self._is_draining_by_host.keys() - {arbiter}
        ranked = _links.rank_hosts(arbiter, hosts)
        return own_host in ranked[:REPORTING_HOSTS]

    def _forget_removed(self, now_s: float) -> None:
        for host, removed_at_s in list(self._removed_at_s_by_host.items()):
            if now_s - removed_at_s >= ABSENT_GRANTS_S:
                del self._removed_at_s_by_host[host]
