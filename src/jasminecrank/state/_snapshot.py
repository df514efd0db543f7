"""The one derived view by which calls are decided."""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import hmac

from jasminecrank import exceptions
from jasminecrank.state import _invariants
from jasminecrank.state import _rows
from jasminecrank.state import _versions


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Everything a node enforces, derived from one set of versions."""

    versions: _versions.VersionVector
    by_service: Mapping[str, _rows.ServiceRow]
    routes: tuple[_rows.RouteRow, ...]
    by_limit: Mapping[tuple[str, str], _rows.LimitRow]
    by_key_digest: Mapping[str, _rows.KeyRow]
    by_host: Mapping[str, _rows.HostRow]
    hosts_by_service: Mapping[str, tuple[_rows.HostRow, ...]]
    hosts_by_data_centre: Mapping[str, tuple[_rows.HostRow, ...]]
    data_centres_out: frozenset[str]

    @classmethod
    def empty(cls) -> "Snapshot":
        """Return the snapshot of a node that has received nothing."""
        return cls.from_rows(_versions.VersionVector(), ())

    @classmethod
    def from_rows(
        cls, versions: _versions.VersionVector, rows: Iterable[_rows.Row]
    ) -> "Snapshot":
        """Return the snapshot that valid rows define.

        A route is left out until its service and a host of it are known,
        because table and hosts arrive separately and may cross.
        """
        by_service: dict[str, _rows.ServiceRow] = {}
        by_limit: dict[tuple[str, str], _rows.LimitRow] = {}
        by_key_digest: dict[str, _rows.KeyRow] = {}
        by_host: dict[str, _rows.HostRow] = {}
        routes: list[_rows.RouteRow] = []
        out: set[str] = set()
        for row in rows:
            match row:
                case _rows.ServiceRow():
                    by_service[row.service] = row
                case _rows.RouteRow():
                    routes.append(row)
                case _rows.LimitRow():
                    by_limit[row.service, row.team] = row
                case _rows.KeyRow():
                    by_key_digest[row.digest] = row
                case _rows.HostRow():
                    by_host[row.host] = row
                case _rows.OutageRow():
                    if row.state is _rows.OutageState.OUT:
                        out.add(row.data_centre)
        hosts_by_service = _group_hosts(by_host, "service")
        snapshot = cls(
            versions=versions,
            by_service=by_service,
            routes=_usable_routes(routes, by_service, hosts_by_service),
            by_limit=by_limit,
            by_key_digest=by_key_digest,
            by_host=by_host,
            hosts_by_service=hosts_by_service,
            hosts_by_data_centre=_group_hosts(by_host, "data_centre"),
            data_centres_out=frozenset(out),
        )
        snapshot._check_routes()
        return snapshot

    def _check_routes(self) -> None:
        for route in self.routes:
            _invariants.check(
                exceptions.ResultCode.INVARIANT_DANGLING_ROUTE,
                route.service in self.by_service
                and bool(self.hosts_by_service.get(route.service)),
                "route %s points at %s, which is absent",
                route.route,
                route.service,
            )

    def find_route(self, method: str, path: str) -> _rows.RouteRow | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes:
            if route.method == method and path.startswith(route.path_prefix):
                return route
        return None

    def team_of(self, key_digest: str) -> str | None:
        """Return the team a key was issued to, None if it is unknown."""
        row = self.by_key_digest.get(key_digest)
        if row is None or not hmac.compare_digest(row.digest, key_digest):
            return None
        return row.team

    def accepts_new_work(self, host: _rows.HostRow) -> bool:
        """Return whether the host may be given new work."""
        return (
            host.state is _rows.HostState.LIVE
            and host.data_centre not in self.data_centres_out
        )


def _group_hosts(
    by_host: Mapping[str, _rows.HostRow], field: str
) -> dict[str, tuple[_rows.HostRow, ...]]:
    grouped: defaultdict[str, list[_rows.HostRow]] = defaultdict(list)
    for host_id in sorted(by_host):
        host = by_host[host_id]
        grouped[getattr(host, field)].append(host)
    return {key: tuple(hosts) for key, hosts in grouped.items()}


def _usable_routes(
    routes: Iterable[_rows.RouteRow],
    by_service: Mapping[str, _rows.ServiceRow],
    hosts_by_service: Mapping[str, tuple[_rows.HostRow, ...]],
) -> tuple[_rows.RouteRow, ...]:
    usable = [
        route
        for route in routes
        if route.service in by_service and hosts_by_service.get(route.service)
    ]
    usable.sort(key=lambda route: (-len(route.path_prefix), route.route))
    return tuple(usable)
