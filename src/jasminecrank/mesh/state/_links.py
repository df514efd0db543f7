"""Selects the hosts to link to, source watchers and quota arbiters."""

from collections.abc import Iterable
import functools
import hashlib

from jasminecrank.mesh.state import _entries
from jasminecrank.mesh.state import _fleet_snapshot

WATCHER_COUNT = 3
"""Nodes that watch the source for the fleet; two may fail at once."""
ARBITER_COUNT = 5
"""Nodes that grant rate tokens; each team has one arbiter at a time.

The watchers are among them, so that a node needs few links beyond those to
servers.
"""
MAX_LINKS_PER_SERVICE = 12
"""Hosts per service that a node sends calls to in a large fleet."""
MAX_LOCAL_LINKS_PER_SERVICE = 8
"""How many of these are chosen from the node's own data centre first."""

RANKS_CACHED = 16_384
"""Ranks kept; a node ranks each host by a few seeds, at each change."""

_WATCH_SEED = "watch"


def rank_hosts(seed: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts ordered by their rendezvous hash for a seed."""
    return sorted(hosts, key=lambda host: _rank_key(seed, host))


def outranks(host: str, other: str) -> bool:
    """Return whether a host precedes another one as a watcher."""
    return _rank_key(_WATCH_SEED, host) < _rank_key(_WATCH_SEED, other)


@functools.lru_cache(maxsize=RANKS_CACHED)
def _rank_key(seed: str, host: str) -> bytes:
    return hashlib.blake2b(f"{seed}/{host}".encode(), digest_size=8).digest()


def watcher_hosts(fleet: _fleet_snapshot.FleetSnapshot) -> tuple[str, ...]:
    """Return the hosts whose nodes watch the source for the fleet."""
    return _coordinators(fleet)[:WATCHER_COUNT]


def standby_watcher_hosts(
    fleet: _fleet_snapshot.FleetSnapshot,
) -> tuple[str, ...]:
    """Return the hosts whose nodes take over from the watchers first.

    All nodes are linked to them, since they are arbiters.
    """
    return _coordinators(fleet)[WATCHER_COUNT:]


def arbiter_hosts(fleet: _fleet_snapshot.FleetSnapshot) -> tuple[str, ...]:
    """Return the hosts whose nodes grant rate tokens, sorted."""
    return tuple(sorted(_coordinators(fleet)))


def _coordinators(fleet: _fleet_snapshot.FleetSnapshot) -> tuple[str, ...]:
    hosts = {
        server.host
        for server in fleet.server_by_id.values()
        if server.state is _entries.ServerState.READY
    }
    return tuple(rank_hosts(_WATCH_SEED, hosts)[:ARBITER_COUNT])


def link_targets(
    fleet: _fleet_snapshot.FleetSnapshot, own_host: str, own_data_centre: str
) -> set[str]:
    """Return the hosts that a node keeps links to."""
    servers_by_service: dict[str, list[_entries.BackendServer]] = {}
    for server in fleet.server_by_id.values():
        servers_by_service.setdefault(server.service, []).append(server)
    targets = set(_coordinators(fleet))
    for servers in servers_by_service.values():
        targets |= _service_targets(servers, own_host, own_data_centre)
    targets.discard(own_host)
    return targets


def _service_targets(
    servers: list[_entries.BackendServer],
    own_host: str,
    own_data_centre: str,
) -> set[str]:
    hosts = {server.host for server in servers}
    if len(hosts) <= MAX_LINKS_PER_SERVICE:
        return hosts
    local = {
        server.host
        for server in servers
        if server.data_centre == own_data_centre
    }
    chosen = rank_hosts(own_host, local)[:MAX_LOCAL_LINKS_PER_SERVICE]
    remote = rank_hosts(own_host, hosts - set(chosen))
    return {*chosen, *remote[: MAX_LINKS_PER_SERVICE - len(chosen)]}
