"""Which nodes a node keeps links to, and which nodes watch the source."""

from collections.abc import Iterable
import hashlib

from jasminecrank.mesh.state import _directory

WATCHERS = 3
"""Nodes that watch the source for all others; two may fail at once."""
ARBITERS = 5
"""Nodes that grant the tokens of teams; each team has one at a time.

The watchers are among them, so that a node needs few links besides those to
servers.
"""
LINKS_PER_SERVICE = 12
"""Servers of a service that a node sends calls to in a large fleet."""
OWN_DATA_CENTRE_LINKS = 8
"""Of these, servers of the node's own data centre."""


def rank(seed: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts by falling rendezvous hash under a seed."""
    return sorted(
        hosts,
        key=lambda host: hashlib.blake2b(
            f"{seed}/{host}".encode(), digest_size=8
        ).digest(),
    )


def watchers(fleet: _directory.Fleet) -> tuple[str, ...]:
    """Return the hosts whose nodes watch the source."""
    return _coordinators(fleet)[:WATCHERS]


def arbiters(fleet: _directory.Fleet) -> tuple[str, ...]:
    """Return the hosts whose nodes grant tokens, in a fixed order."""
    return tuple(sorted(_coordinators(fleet)))


def _coordinators(fleet: _directory.Fleet) -> tuple[str, ...]:
    hosts = {
        server.host
        for server in fleet.server_by_id.values()
        if server.state is _directory.ServerState.READY
    }
    return tuple(rank("watch", hosts)[:ARBITERS])


def link_targets(
    fleet: _directory.Fleet, own_host: str, own_data_centre: str
) -> set[str]:
    """Return the hosts whose nodes a node keeps links to."""
    servers_by_service: dict[str, list[_directory.BackendServer]] = {}
    for server in fleet.server_by_id.values():
        servers_by_service.setdefault(server.service, []).append(server)
    targets = set(_coordinators(fleet))
    for servers in servers_by_service.values():
        targets |= _service_targets(servers, own_host, own_data_centre)
    targets.discard(own_host)
    return targets


def _service_targets(
    servers: list[_directory.BackendServer],
    own_host: str,
    own_data_centre: str,
) -> set[str]:
    hosts = {server.host for server in servers}
    if len(hosts) <= LINKS_PER_SERVICE:
        return hosts
    near = {
        server.host
        for server in servers
        if server.data_centre == own_data_centre
    }
    chosen = rank(own_host, near)[:OWN_DATA_CENTRE_LINKS]
    far = rank(own_host, hosts - set(chosen))
    return {*chosen, *far[: LINKS_PER_SERVICE - len(chosen)]}
