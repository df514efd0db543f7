"""Which hosts watch the source and which hosts link to each other."""

from collections.abc import Iterable
import hashlib

from jasminecrank import const
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot


def rendezvous_rank(
    hosts: Iterable[_rows.HostRow], seed: str
) -> tuple[_rows.HostRow, ...]:
    """Return the hosts by falling rendezvous hash under a seed."""
    return tuple(sorted(hosts, key=lambda host: _score(seed, host.host)))


def _score(seed: str, host_id: str) -> bytes:
    return hashlib.blake2b(
        f"{seed}/{host_id}".encode(), digest_size=8
    ).digest()


def watchers(
    snapshot: _snapshot.Snapshot, data_centre: str
) -> tuple[_rows.HostRow, ...]:
    """Return the hosts of a data centre that watch the source."""
    local = (
        host
        for host in snapshot.by_host.values()
        if host.data_centre == data_centre
    )
    return rendezvous_rank(local, "watch")[: const.WATCHERS_PER_DATA_CENTRE]


def plan_links(
    snapshot: _snapshot.Snapshot, host_id: str
) -> tuple[_rows.HostRow, ...]:
    """Return the hosts that a host keeps peer links with, sorted by id."""
    own = snapshot.by_host.get(host_id)
    if own is None:
        return ()
    by_host: dict[str, _rows.HostRow] = {}
    for peer in snapshot.hosts_by_service.get(own.service, ()):
        by_host[peer.host] = peer
    by_host.pop(host_id, None)
    return tuple(by_host[key] for key in sorted(by_host))
