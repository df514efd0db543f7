"""Immutable view of all active documents, used to decide calls."""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from dataclasses import dataclass
import hmac

from jasminecrank import exceptions
from jasminecrank.state import _invariants
from jasminecrank.state import _rows
from jasminecrank.state import _versions

_ROW_TYPES_BY_DOCUMENT: Mapping[_versions.DocumentName, tuple[type, ...]] = {
    _versions.DocumentName.TABLE: (
        _rows.ServiceRow,
        _rows.RouteRow,
        _rows.LimitRow,
    ),
    _versions.DocumentName.KEYS: (_rows.KeyRow,),
    _versions.DocumentName.HOSTS: (_rows.HostRow,),
    _versions.DocumentName.OUTAGES: (_rows.OutageRow,),
}


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The configuration that a node enforces, from one set of versions."""

    versions: _versions.VersionVector
    by_service: Mapping[str, _rows.ServiceRow]
    routes: tuple[_rows.RouteRow, ...]
    published_routes: tuple[_rows.RouteRow, ...]
    by_limit: Mapping[tuple[str, str], _rows.LimitRow]
    by_key_digest: Mapping[str, _rows.KeyRow]
    by_host: Mapping[str, _rows.HostRow]
    hosts_by_service: Mapping[str, tuple[_rows.HostRow, ...]]
    hosts_by_data_centre: Mapping[str, tuple[_rows.HostRow, ...]]
    outage_by_data_centre: Mapping[str, _rows.OutageState]
    data_centres_out: frozenset[str]

    @classmethod
    def empty(cls) -> "Snapshot":
        """Return the snapshot of a node without any documents."""
        return cls.from_rows(_versions.VersionVector(), ())

    @classmethod
    def from_rows(
        cls, versions: _versions.VersionVector, rows: Iterable[_rows.Row]
    ) -> "Snapshot":
        """Build a snapshot from validated rows."""
        rows = tuple(rows)
        snapshot = cls(
            versions, {}, (), (), {}, {}, {}, {}, {}, {}, frozenset()
        )
        for name in _versions.DocumentName:
            types = _ROW_TYPES_BY_DOCUMENT[name]
            document_rows = [row for row in rows if isinstance(row, types)]
            snapshot = snapshot.with_rows(
                name, versions.get(name), document_rows
            )
        return snapshot

    def with_rows(
        self,
        name: _versions.DocumentName,
        version: _versions.Version,
        rows: Iterable[_rows.Row],
    ) -> "Snapshot":
        """Return the snapshot with one document replaced as a whole.

        Routes are left out until their service and a host for it are known
        because the table and the host list arrive in any order.
        """
        versions = self.versions.replace(name, version)
        match name:
            case _versions.DocumentName.TABLE:
                changed = self._with_table(rows)
            case _versions.DocumentName.KEYS:
                changed = dataclasses.replace(
                    self,
                    by_key_digest={
                        row.digest: row
                        for row in rows
                        if isinstance(row, _rows.KeyRow)
                    },
                )
            case _versions.DocumentName.HOSTS:
                changed = self._with_hosts(rows)
            case _versions.DocumentName.OUTAGES:
                changed = self._with_outages(rows)
        snapshot = dataclasses.replace(
            changed,
            versions=versions,
            routes=_usable_routes(changed),
        )
        snapshot._check_routes()
        return snapshot

    def _with_table(self, rows: Iterable[_rows.Row]) -> "Snapshot":
        by_service: dict[str, _rows.ServiceRow] = {}
        by_limit: dict[tuple[str, str], _rows.LimitRow] = {}
        routes: list[_rows.RouteRow] = []
        for row in rows:
            match row:
                case _rows.LimitRow():
                    by_limit[row.service, row.team] = row
                case _rows.RouteRow():
                    routes.append(row)
                case _rows.ServiceRow():
                    by_service[row.service] = row
                case _:
                    continue
        routes.sort(key=lambda route: (-len(route.path_prefix), route.route))
        return dataclasses.replace(
            self,
            by_service=by_service,
            published_routes=tuple(routes),
            by_limit=by_limit,
        )

    def _with_hosts(self, rows: Iterable[_rows.Row]) -> "Snapshot":
        by_host = {
            row.host: row for row in rows if isinstance(row, _rows.HostRow)
        }
        return dataclasses.replace(
            self,
            by_host=by_host,
            hosts_by_service=_group_hosts(by_host, "service"),
            hosts_by_data_centre=_group_hosts(by_host, "data_centre"),
        )

    def _with_outages(self, rows: Iterable[_rows.Row]) -> "Snapshot":
        by_data_centre = {
            row.data_centre: row.state
            for row in rows
            if isinstance(row, _rows.OutageRow)
        }
        out = {
            data_centre
            for data_centre, outage_state in by_data_centre.items()
            if outage_state is _rows.OutageState.OUT_OF_SERVICE
        }
        return dataclasses.replace(
            self,
            outage_by_data_centre=by_data_centre,
            data_centres_out=frozenset(out),
        )

    def row_count(self, name: _versions.DocumentName) -> int:
        """Return the number of active rows of a document."""
        match name:
            case _versions.DocumentName.TABLE:
                return (
                    len(self.by_service)
                    + len(self.published_routes)
                    + len(self.by_limit)
                )
            case _versions.DocumentName.KEYS:
                return len(self.by_key_digest)
            case _versions.DocumentName.HOSTS:
                return len(self.by_host)
            case _versions.DocumentName.OUTAGES:
                return len(self.outage_by_data_centre)

    def _check_routes(self) -> None:
        for route in self.routes:
            _invariants.check(
                exceptions.ResultCode.INVARIANT_DANGLING_ROUTE,
                route.service in self.by_service
                and bool(self.hosts_by_service.get(route.service)),
                "route %s refers to service %s, which is missing or "
                "has no hosts",
                route.route,
                route.service,
            )

    def find_route(self, method: str, path: str) -> _rows.RouteRow | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes:
            if route.method == method and path.startswith(route.path_prefix):
                return route
        return None

    def find_team(self, key_digest: str) -> str | None:
        """Return the team that a key was issued to, or None if unknown."""
        row = self.by_key_digest.get(key_digest)
        if row is None or not hmac.compare_digest(row.digest, key_digest):
            return None
        return row.team

    def accepts_new_work(self, host: _rows.HostRow) -> bool:
        """Return whether new calls may be sent to the host."""
        return (
            host.state is _rows.HostState.LIVE
            and host.data_centre not in self.data_centres_out
        )


def _group_hosts(
    by_host: Mapping[str, _rows.HostRow], attribute: str
) -> dict[str, tuple[_rows.HostRow, ...]]:
    grouped: defaultdict[str, list[_rows.HostRow]] = defaultdict(list)
    for host_id in sorted(by_host):
        host = by_host[host_id]
        grouped[getattr(host, attribute)].append(host)
    return {key: tuple(hosts) for key, hosts in grouped.items()}


def _usable_routes(snapshot: Snapshot) -> tuple[_rows.RouteRow, ...]:
    return tuple(
        route
        for route in snapshot.published_routes
        if route.service in snapshot.by_service
        and snapshot.hosts_by_service.get(route.service)
    )
