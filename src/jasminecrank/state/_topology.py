"""Selects the hosts that watch the source and the links between hosts."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import functools
import hashlib
import itertools

from jasminecrank import const
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot

_WATCH_SEED = "watch"
_TREE_SEEDS = ("tree-1", "tree-2")
# Ring offsets for large services; both directions give 8 links per host. The
# offset 1 alone keeps the service connected if any one host fails.
_SERVICE_OFFSETS = (1, 2, 4, 8)
_RankedHosts = tuple[_rows.HostRow, ...]


def rendezvous_rank(
    hosts: Iterable[_rows.HostRow], seed: str
) -> tuple[_rows.HostRow, ...]:
    """Return the hosts in the order of their rendezvous hash with a seed."""
    return tuple(
        sorted(hosts, key=lambda host: _rendezvous_hash(seed, host.host))
    )


def _rendezvous_hash(seed: str, host_id: str) -> bytes:
    return hashlib.blake2b(
        f"{seed}/{host_id}".encode(), digest_size=8
    ).digest()


# Only for seeds of the topology, which are few and fixed; a cache for calls
# would not help because each call has its own seed.
_cached_rendezvous_hash = functools.lru_cache(maxsize=32_768)(_rendezvous_hash)


@dataclass(slots=True, frozen=True)
class Topology:
    """The ranking of all hosts, which determines the links between them.

    Hosts with the same host list compute the same links.
    """

    by_host: Mapping[str, _rows.HostRow]
    watch_rank_by_data_centre: Mapping[str, _RankedHosts]
    trees_by_data_centre: Mapping[str, tuple[_RankedHosts, ...]]
    rank_by_service: Mapping[str, _RankedHosts]

    @classmethod
    def from_snapshot(cls, snapshot: _snapshot.Snapshot) -> "Topology":
        """Build the topology from the host list of a snapshot."""
        by_data_centre = snapshot.hosts_by_data_centre
        return cls(
            by_host=snapshot.by_host,
            watch_rank_by_data_centre={
                data_centre: _rank_watch_candidates(hosts)
                for data_centre, hosts in by_data_centre.items()
            },
            trees_by_data_centre={
                data_centre: _rank_trees(hosts)
                for data_centre, hosts in by_data_centre.items()
            },
            rank_by_service={
                service: _rank_hosts(hosts, service)
                for service, hosts in snapshot.hosts_by_service.items()
            },
        )

    def watchers(
        self, data_centre: str, down: Collection[str] = ()
    ) -> _RankedHosts:
        """Return the hosts of a data centre that watch the source."""
        rank = self.watch_rank_by_data_centre.get(data_centre, ())
        present = (host for host in rank if host.host not in down)
        return tuple(itertools.islice(present, const.WATCHERS_PER_DATA_CENTRE))

    def watch_candidates(self, data_centre: str) -> _RankedHosts:
        """Return the watchers and their standbys, by rank."""
        rank = self.watch_rank_by_data_centre.get(data_centre, ())
        return rank[: const.WATCHERS_PER_DATA_CENTRE + const.WATCH_STANDBYS]

    def watcher_count(self) -> int:
        """Return the number of hosts in the fleet that watch the source."""
        return sum(
            min(len(rank), const.WATCHERS_PER_DATA_CENTRE)
            for rank in self.watch_rank_by_data_centre.values()
        )

    def links(
        self, host_id: str, data_centre: str = ""
    ) -> tuple[_rows.HostRow, ...]:
        """Return the peers that a host keeps links with, sorted by id.

        A host missing from an outdated host list keeps links with the
        watchers of its data centre.
        """
        own_host = self.by_host.get(host_id)
        if own_host is None:
            peers = set(self.watchers(data_centre))
        else:
            peers = {
                *self._tree_peers(own_host),
                *self._watch_peers(own_host),
                *self._service_peers(own_host),
            }
            peers.discard(own_host)
        return tuple(sorted(peers, key=lambda host: host.host))

    def _tree_peers(self, own_host: _rows.HostRow) -> Iterator[_rows.HostRow]:
        for rank in self.trees_by_data_centre[own_host.data_centre]:
            position = rank.index(own_host)
            if position > 0:
                yield rank[(position - 1) // const.TREE_FAN_OUT]
            first = position * const.TREE_FAN_OUT + 1
            yield from rank[first : first + const.TREE_FAN_OUT]

    def _watch_peers(self, own_host: _rows.HostRow) -> Iterator[_rows.HostRow]:
        candidates = self.watch_candidates(own_host.data_centre)
        if own_host not in candidates:
            return
        yield from candidates
        local = self.watchers(own_host.data_centre)
        if own_host not in local:
            return
        position = local.index(own_host)
        for data_centre in self.watch_rank_by_data_centre:
            if data_centre == own_host.data_centre:
                continue
            remote = self.watchers(data_centre)
            for remote_position, host in enumerate(remote):
                if remote_position == position % len(
                    remote
                ) or position == remote_position % len(local):
                    yield host

    def _service_peers(
        self, own_host: _rows.HostRow
    ) -> Iterator[_rows.HostRow]:
        rank = self.rank_by_service[own_host.service]
        if len(rank) <= const.SERVICE_PEERS_FULL_MESH:
            yield from rank
            return
        position = rank.index(own_host)
        for offset in _SERVICE_OFFSETS:
            yield rank[(position + offset) % len(rank)]
            yield rank[(position - offset) % len(rank)]


def _rank_hosts(hosts: Iterable[_rows.HostRow], seed: str) -> _RankedHosts:
    return tuple(
        sorted(
            hosts, key=lambda host: _cached_rendezvous_hash(seed, host.host)
        )
    )


def _rank_watch_candidates(hosts: Iterable[_rows.HostRow]) -> _RankedHosts:
    rank = _rank_hosts(hosts, _WATCH_SEED)
    return tuple(
        sorted(rank, key=lambda host: host.state is _rows.HostState.LEAVING)
    )


def _rank_trees(hosts: tuple[_rows.HostRow, ...]) -> tuple[_RankedHosts, ...]:
    """Return the breadth-first orders of the two trees.

    Inner hosts of the first tree come last in the second one, which makes
    them leaves there. If any one host fails, one of the trees still connects
    all others.
    """
    first = _rank_hosts(hosts, _TREE_SEEDS[0])
    inner_count = -(-(len(first) - 1) // const.TREE_FAN_OUT)
    inner = {host.host for host in first[:inner_count]}
    second = _rank_hosts(hosts, _TREE_SEEDS[1])
    return first, tuple(sorted(second, key=lambda host: host.host in inner))


def watchers(
    snapshot: _snapshot.Snapshot, data_centre: str
) -> tuple[_rows.HostRow, ...]:
    """Return the hosts of a data centre that watch the source."""
    return Topology.from_snapshot(snapshot).watchers(data_centre)


def plan_links(
    snapshot: _snapshot.Snapshot, host_id: str
) -> tuple[_rows.HostRow, ...]:
    """Return the peers that a host keeps links with, sorted by id."""
    return Topology.from_snapshot(snapshot).links(host_id)
