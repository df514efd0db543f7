"""Findings about the rows of a table before it is published."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import enum
import json
import re
import typing

from jasminecrank import const
from jasminecrank import state
from jasminecrank.operators import _diff
from jasminecrank.operators import _table_files

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_STATUS_USELESS_ENTRIES = 1
_STATUS_INVALID = 2

_RowNumbers = Mapping[str, int]


class FindingKind(enum.Enum):
    """What is wrong with an entry, or that it differs."""

    ERROR = "error"
    UNREACHABLE = "unreachable"
    CONTRADICTION = "contradiction"
    DIFFERENCE = "difference"


@dataclass(slots=True, frozen=True)
class Finding:
    """A statement about one place of a table.

    The row is 0 if the finding has no row in the files, the column is "-" if
    it concerns a whole row.
    """

    kind: FindingKind
    file: str
    row: int
    column: str
    value: str
    reason: str

    @classmethod
    def from_problem(cls, problem: _table_files.TableProblem) -> "Finding":
        """Return the finding for an invalid cell, row or header."""
        return cls(
            FindingKind.ERROR,
            problem.file,
            problem.row,
            problem.column,
            problem.value,
            f"{problem.value!r} is not {problem.expected}",
        )

    def __str__(self) -> str:
        place = f"{self.file}, row {self.row}, column {self.column}"
        if self.kind is FindingKind.ERROR:
            return f"{place}: {self.reason}"
        return f"{place}: {self.kind.value}: {self.value!r}: {self.reason}"

    def to_json(self) -> dict[str, str | int]:
        """Return the finding as JSON values."""
        return {
            "kind": self.kind.value,
            "file": self.file,
            "row": self.row,
            "column": self.column,
            "value": self.value,
            "reason": self.reason,
        }


def exit_status(findings: Iterable[Finding]) -> int:
    """Return the status of a check: 2 for errors, 1 for useless entries."""
    kinds = {finding.kind for finding in findings}
    if FindingKind.ERROR in kinds:
        return _STATUS_INVALID
    if kinds & {FindingKind.UNREACHABLE, FindingKind.CONTRADICTION}:
        return _STATUS_USELESS_ENTRIES
    return 0


def format_findings(findings: Iterable[Finding]) -> str:
    """Return the findings and the status as one JSON object."""
    findings = tuple(findings)
    return json.dumps(
        {
            "findings": [finding.to_json() for finding in findings],
            "status": exit_status(findings),
        }
    )


def check_table(
    files: _table_files.TableFiles,
    in_force: Mapping[state.DocumentName, state.Document] | None = None,
) -> tuple[Finding, ...]:
    """Return the findings about a table, optionally against another version.

    Rows that were not read would make others look unused, so only the errors
    are reported for an incomplete table.
    """
    findings = [Finding.from_problem(problem) for problem in files.problems]
    if files.is_complete:
        rows = [row for rows in files.rows_by_name.values() for row in rows]
        findings.extend(check_rows(rows, files.row_number_by_key))
    if in_force is not None and not files.problems:
        documents = files.documents(dict.fromkeys(state.DocumentName, 1))
        by_name = {document.name: document for document in documents}
        findings.extend(
            find_differences(in_force, by_name, files.row_number_by_key)
        )
    return tuple(findings)


def check_rows(
    rows: Iterable[state.Row], row_number_by_key: _RowNumbers
) -> Iterator[Finding]:
    """Yield the entries without effect and the contradictory limits."""
    index = _RowIndex.from_rows(rows, row_number_by_key)
    yield from _check_services(index)
    yield from _check_routes(index)
    yield from _check_limits(index)
    yield from _check_keys(index)
    yield from _check_hosts(index)
    yield from _check_outages(index)


def find_differences(
    before: Mapping[state.DocumentName, state.Document],
    after: Mapping[state.DocumentName, state.Document],
    row_number_by_key: _RowNumbers,
) -> Iterator[Finding]:
    """Yield a finding for each difference from the version in force."""
    for difference in _diff.diff_documents(before, after):
        match difference:
            case _diff.RowAdded():
                column, value = "-", difference.text
                reason = f"{difference.key} is not in the version in force"
            case _diff.RowRemoved():
                column, value = "-", difference.text
                reason = f"{difference.key} is only in the version in force"
            case _diff.FieldChanged():
                column, value = difference.field, str(difference.after)
                reason = (
                    f"{difference.key} has {str(difference.before)!r} in the "
                    "version in force"
                )
            case _:
                typing.assert_never(difference)
        yield Finding(
            FindingKind.DIFFERENCE,
            _table_files.file_of_key(difference.key),
            row_number_by_key.get(difference.key, 0),
            column,
            value,
            reason,
        )


@dataclass(slots=True, frozen=True)
class _RowIndex:
    """The rows of a table by type and by what they refer to."""

    row_number_by_key: _RowNumbers
    service_by_name: Mapping[str, state.ServiceRow]
    routes_by_service: Mapping[str, list[state.RouteRow]]
    limits_by_service: Mapping[str, list[state.LimitRow]]
    keys: list[state.KeyRow]
    hosts_by_service: Mapping[str, list[state.HostRow]]
    outages: list[state.OutageRow]

    @classmethod
    def from_rows(
        cls, rows: Iterable[state.Row], row_number_by_key: _RowNumbers
    ) -> "_RowIndex":
        """Group rows that were read completely."""
        index = cls(
            row_number_by_key,
            service_by_name := {},
            routes := defaultdict(list),
            limits := defaultdict(list),
            [],
            hosts := defaultdict(list),
            [],
        )
        for row in rows:
            match row:
                case state.ServiceRow():
                    service_by_name[row.service] = row
                case state.RouteRow():
                    routes[row.service].append(row)
                case state.LimitRow():
                    limits[row.service].append(row)
                case state.KeyRow():
                    index.keys.append(row)
                case state.HostRow():
                    hosts[row.service].append(row)
                case state.OutageRow():
                    index.outages.append(row)
                case _:
                    typing.assert_never(row)
        return index

    def all_hosts(self) -> list[state.HostRow]:
        """Return the hosts of all services."""
        return [h for hosts in self.hosts_by_service.values() for h in hosts]

    def unreachable(self, row: state.Row, column: str, reason: str) -> Finding:
        """Return a finding about an entry that never takes effect."""
        return self._finding(FindingKind.UNREACHABLE, row, column, reason)

    def contradiction(
        self, row: state.Row, column: str, reason: str
    ) -> Finding:
        """Return a finding about a value that another one contradicts."""
        return self._finding(FindingKind.CONTRADICTION, row, column, reason)

    def _finding(
        self, kind: FindingKind, row: state.Row, column: str, reason: str
    ) -> Finding:
        key = state.row_key(row)
        return Finding(
            kind,
            _table_files.file_of_key(key),
            self.row_number_by_key.get(key, 0),
            column,
            str(getattr(row, column)),
            reason,
        )


def _check_services(index: _RowIndex) -> Iterator[Finding]:
    for name, row in index.service_by_name.items():
        if not index.routes_by_service.get(name):
            yield index.unreachable(
                row, "service", "no route leads to this service"
            )
        if row.cold_slots > row.slots:
            yield index.contradiction(
                row, "cold_slots", f"slots is lower: {row.slots}"
            )
        if row.cold_slots == row.slots and row.ramp_s > 0.0:
            yield index.contradiction(
                row, "ramp_s", "cold_slots equals slots, so nothing ramps up"
            )
        usable = _usable_connections(row)
        if row.slots > usable:
            yield index.contradiction(
                row,
                "slots",
                f"max_connections {row.max_connections} leaves connections "
                f"for at most {usable}",
            )


def _usable_connections(row: state.ServiceRow) -> int:
    """Return the connections left for calls beside the health check's."""
    return max(1, row.max_connections - 1)


def _check_routes(index: _RowIndex) -> Iterator[Finding]:
    taken: dict[tuple[str, str], str] = {}
    routes = [r for rows in index.routes_by_service.values() for r in rows]
    # Nodes try routes with the same prefix in the order of their names, and
    # leave out those whose service has no host.
    for row in sorted(routes, key=lambda route: route.route):
        if not index.hosts_by_service.get(row.service):
            yield index.unreachable(
                row, "service", "hosts.csv has no host of this service"
            )
            continue
        if "?" in row.path_prefix:
            yield index.unreachable(
                row, "path_prefix", "paths are matched without their query"
            )
        first = taken.setdefault((row.method, row.path_prefix), row.route)
        if first != row.route:
            yield index.unreachable(
                row,
                "path_prefix",
                f"route {first!r} has the same method and prefix and is "
                "tried first",
            )


def _check_limits(index: _RowIndex) -> Iterator[Finding]:
    teams = {key.team for key in index.keys}
    for service, limits in index.limits_by_service.items():
        service_row = index.service_by_name.get(service)
        routes = index.routes_by_service.get(service, [])
        for row in limits:
            if not routes:
                yield index.unreachable(
                    row, "service", "no route leads to this service"
                )
            if row.team not in teams:
                yield index.unreachable(
                    row, "team", "no key was issued to this team"
                )
            if service_row is not None:
                yield from _check_in_flight(index, row, service_row)


def _check_in_flight(
    index: _RowIndex,
    row: state.LimitRow,
    service: state.ServiceRow,
) -> Iterator[Finding]:
    routes = index.routes_by_service.get(row.service, [])
    host_count = len(index.hosts_by_service.get(row.service, []))
    all_slots = service.slots * host_count
    # The limit also bounds the calls that wait on one host, so it is useless
    # only above the calls that a node can hold, one for each thread.
    if host_count and row.max_in_flight > max(all_slots, const.MAX_THREADS):
        yield index.contradiction(
            row,
            "max_in_flight",
            f"all hosts of the service have {all_slots} slots in total and a "
            f"node holds at most {const.MAX_THREADS} calls",
        )
    limits = index.limits_by_service[row.service]
    # Calls without a key on an open route wait with weight 1.
    total_weight = sum(limit.weight for limit in limits) + any(
        route.open_to_all for route in routes
    )
    # A server with internal routes reserves one slot for them.
    is_reserved = service.slots > 1 and any(
        route.priority is state.Priority.INTERNAL for route in routes
    )
    cold_slots = min(service.cold_slots, _usable_connections(service))
    cold_share = (cold_slots - is_reserved) * row.weight
    if row.max_in_flight * total_weight < cold_share:
        yield index.contradiction(
            row,
            "weight",
            f"max_in_flight {row.max_in_flight} is below the share of this "
            "weight even in the slots of a cold server",
        )


def _check_keys(index: _RowIndex) -> Iterator[Finding]:
    limits = [r for rows in index.limits_by_service.values() for r in rows]
    teams = {limit.team for limit in limits}
    for row in index.keys:
        if _DIGEST_PATTERN.fullmatch(row.digest) is None:
            yield index.unreachable(
                row,
                "digest",
                "a SHA-256 digest has 64 lower-case hexadecimal digits, so "
                "no key has this one",
            )
        if row.team not in teams:
            yield index.unreachable(
                row, "team", "limits.csv has no limit of this team"
            )


def _check_hosts(index: _RowIndex) -> Iterator[Finding]:
    for service, hosts in index.hosts_by_service.items():
        if service not in index.service_by_name:
            reason = "services.csv has no such service"
        elif not index.routes_by_service.get(service):
            reason = "no route leads to this service, so its server is unused"
        else:
            continue
        for row in hosts:
            yield index.unreachable(row, "service", reason)
    yield from _check_ports(index)


def _check_ports(index: _RowIndex) -> Iterator[Finding]:
    owner_by_endpoint: dict[tuple[str, int], str] = {}
    for row in index.all_hosts():
        # A host that is leaving may be replaced on its address.
        if row.state is not state.HostState.LIVE:
            continue
        # The server's port is left out: it may listen on another address.
        for column in ("call_port", "peer_port", "admin_port"):
            endpoint = (row.address, getattr(row, column))
            owner = f"{column} of {row.host!r}"
            first = owner_by_endpoint.setdefault(endpoint, owner)
            if first != owner:
                yield index.contradiction(
                    row, column, f"the same address and port is {first}"
                )


def _check_outages(index: _RowIndex) -> Iterator[Finding]:
    host_count = Counter(host.data_centre for host in index.all_hosts())
    for row in index.outages:
        if not host_count[row.data_centre]:
            yield index.unreachable(
                row, "data_centre", "hosts.csv has no host in it"
            )
