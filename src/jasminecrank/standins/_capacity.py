"""Capacity of each role at the design size, computed from slopes."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
import math

from jasminecrank import const
from jasminecrank.standins import _slopes
from jasminecrank.standins import _synthetic

TABLE_CHANGES_PER_DAY = 6_500
FAILED_HOSTS_PER_DAY = 9
RESTARTS_PER_DAY = 660
CALLS_PER_S = 260_000
CONTROL_BYTES_LIMIT = 4_000.0
PROCESSOR_LIMIT = 1.0
MEMORY_LIMIT_MB = 256.0
SOURCE_CALLS_LIMIT = 2_000
CONVERGENCE_LIMIT_S = 14.0
_DAY_S = 86_400
_WATCH_RENEWAL_S = 25
_HOST_CHANGES_PER_RESTART = 2
"""The host list shows the host first as leaving and then as live."""

_RACK_HOSTS = 44
_RACK_LOSS_S = 60
_DATA_CENTRE_LOSS_S = 300
_SOURCE_RETRY_S = 6.0
"""Mean of the retry back-off at its maximum, 4 to 8 s."""

_START_CALLS = 5
"""One watch, which is answered immediately, and four documents."""


@dataclass(slots=True, frozen=True)
class Role:
    """Tasks of a node in addition to its own calls, and its links."""

    name: str
    links: int
    reads_source: bool
    calls_per_s: float
    state: str
    messages: str
    mechanism: str


@dataclass(slots=True, frozen=True)
class RoleFigures:
    """Resource usage of a role on an ordinary day."""

    role: Role
    control_bytes_per_s: float
    processor_percent: float
    memory_mb: float
    call_processor_percent: float


@dataclass(slots=True, frozen=True)
class SourceLoad:
    """Load on the configuration service in one situation."""

    situation: str
    pending_watches: int
    calls_per_s: float
    derivation: str


class Capacity:
    """Computes capacity figures from slopes measured in the same run."""

    def __init__(self, slopes: Iterable[_slopes.Slope]) -> None:
        self._slopes = tuple(slopes)
        size = _synthetic.DESIGN_SIZE
        self.hosts = size.hosts
        self.service_hosts = size.hosts / size.services
        self.data_centre_hosts = size.hosts // size.data_centres
        self.table_rows = sum(1 for _ in _table_rows(size))
        self.all_rows = (
            self.table_rows + size.hosts + size.teams + size.data_centres
        )
        self.watchers = size.data_centres * const.WATCHERS_PER_DATA_CENTRE

    def slope(self, size: str, figure: str) -> _slopes.Slope:
        """Return the first slope whose size and figure have these prefixes."""
        return next(
            one
            for one in self._slopes
            if one.size.startswith(size) and one.figure.startswith(figure)
        )

    def host_changes_per_s(self) -> float:
        """Return the number of host list versions per second."""
        hosts = FAILED_HOSTS_PER_DAY + RESTARTS_PER_DAY
        return _HOST_CHANGES_PER_RESTART * hosts / _DAY_S

    def table_changes_per_s(self) -> float:
        """Return the number of table versions per second."""
        return TABLE_CHANGES_PER_DAY / _DAY_S

    def changes_per_s(self) -> float:
        """Return the number of table and host list versions per second."""
        return self.table_changes_per_s() + self.host_changes_per_s()

    def roles(self) -> tuple[Role, ...]:
        """Return the roles with the number of links from the design page."""
        size = _synthetic.DESIGN_SIZE
        service = math.ceil(self.service_hosts)
        leaf = 2 + service
        relay = leaf + const.TREE_FAN_OUT
        watcher = relay + const.WATCHERS_PER_DATA_CENTRE - 1
        watcher += size.data_centres - 1
        calls = CALLS_PER_S / size.hosts
        return (
            Role(
                "node (leaf of both trees)",
                leaf,
                False,
                0.0,
                "four documents, one snapshot, one version vector a peer",
                "Heartbeat, DocumentDelta, FetchDocument",
                "ConfigActor and MembershipActor; two trees a data centre",
            ),
            Role(
                "relay (inner node of a tree)",
                relay,
                False,
                0.0,
                "as a node, for more peers",
                "as a node, and a DocumentDelta to each child",
                "delta against the version the child last showed",
            ),
            Role(
                "watcher (and relay)",
                watcher,
                True,
                0.0,
                "as a relay, and one watch at the source",
                "as a relay, and GET /v1/watch, GET /v1/documents",
                "SourceReader on three hosts a data centre",
            ),
            Role(
                "admitting node",
                leaf,
                False,
                calls,
                "slots, per-team queues, 4,096 idempotency answers",
                "AdmitCall, CallFinished inside the node; HTTP/1.1",
                "AdmissionActor and the worker threads",
            ),
            Role(
                "quota holder",
                leaf,
                False,
                0.0,
                f"{size.teams} ledgers, one for each team of its service",
                "LoanRequest, LoanGrant to service peers",
                "QuotaState; equal shares, lent for 2 s",
            ),
        )

    def figures(self, role: Role) -> RoleFigures:
        """Compute the resource usage of a role on an ordinary day."""
        change_bytes = self.slope("changes/s", "control bytes, median")
        peers = self.slope("changes/s", "control bytes, median").size
        measured_peers = float(peers.split()[1])
        per_link = change_bytes.per_size / measured_peers
        changes = self.changes_per_s()
        control = self.slope("peers", "heartbeat bytes").value_at(role.links)
        control += changes * per_link * role.links
        offer_ms = self.slope("rows of all", "offer of one").value_at(
            self.all_rows
        )
        processor = self.slope("peers", "processor time").value_at(role.links)
        processor += changes * self.slope("changes/s", "processor").per_size
        processor += changes * offer_ms / 10
        memory = self.slope("peers", "peak memory").value_at(role.links)
        memory += self.slope("rows of all", "memory").value_at(self.all_rows)
        if role.reads_source:
            control += self.source_bytes_per_s()
            decode_ms = self.slope("table rows", "published decode").value_at(
                self.table_rows
            )
            processor += changes * decode_ms / 10
            memory += 2 * self.published_bytes() / 1e6
        calls = self.slope("calls/s", "processor time")
        return RoleFigures(
            role=role,
            control_bytes_per_s=control,
            processor_percent=processor,
            memory_mb=memory,
            call_processor_percent=calls.per_size * role.calls_per_s,
        )

    def published_bytes(self) -> float:
        """Return the size of the table and host list in published form."""
        return self._table_bytes() + self._hosts_bytes()

    def source_bytes_per_s(self) -> float:
        """Return the read rate of a watcher that fetches whole documents."""
        return (
            self.table_changes_per_s() * self._table_bytes()
            + self.host_changes_per_s() * self._hosts_bytes()
        )

    def split_source_bytes_per_s(self) -> float:
        """Return the read rate if each value held only one service."""
        services = _synthetic.DESIGN_SIZE.services
        return self.source_bytes_per_s() / services

    def convergence_s(self) -> float:
        """Return the processor time on the longest path of a change."""
        levels = math.ceil(
            math.log(self.data_centre_hosts, const.TREE_FAN_OUT)
        )
        offer_ms = self.slope("rows of all", "offer of one").value_at(
            self.all_rows
        )
        decode_ms = self.slope("hosts rows", "published decode").value_at(
            self.hosts
        )
        return (decode_ms + (levels + 2) * offer_ms) / 1000

    def source_loads(self) -> Iterator[SourceLoad]:
        """Yield the load on the configuration service in each situation."""
        size = _synthetic.DESIGN_SIZE
        renewals = self.watchers / _WATCH_RENEWAL_S
        yield SourceLoad(
            "ordinary day",
            self.watchers,
            renewals + 2 * self.watchers * self.changes_per_s(),
            "watch renewed after 25 s; a read and a new watch a change",
        )
        yield SourceLoad(
            "loss of a rack",
            self.watchers,
            renewals + 2 * self.watchers * _RACK_HOSTS / _RACK_LOSS_S,
            f"{_RACK_HOSTS} versions of the host list in {_RACK_LOSS_S} s",
        )
        left = self.watchers - const.WATCHERS_PER_DATA_CENTRE
        versions = self.data_centre_hosts + 1
        yield SourceLoad(
            "loss of a data centre",
            left,
            left / _WATCH_RENEWAL_S
            + 2 * left * versions / _DATA_CENTRE_LOSS_S,
            f"{versions} versions in {_DATA_CENTRE_LOSS_S} s",
        )
        cut = self.watchers * (size.regions - 1) // size.regions
        yield SourceLoad(
            "loss of the link between regions",
            self.watchers - cut,
            renewals + cut / _SOURCE_RETRY_S,
            f"{cut} watchers cannot reach the source and try every 4 to 8 s",
        )
        yield SourceLoad(
            "mass return, within the call budget",
            self.watchers,
            0.5 * SOURCE_CALLS_LIMIT,
            f"{self.hosts} x {_START_CALLS} calls at 0.5 x 2,000/s take "
            f"{self.hosts * _START_CALLS / (0.5 * SOURCE_CALLS_LIMIT):.0f} s",
        )
        yield SourceLoad(
            "mass return, if every node read at once",
            self.watchers,
            float(self.hosts * _START_CALLS),
            "all calls within one second, without the call budget",
        )

    def _table_bytes(self) -> float:
        return self.slope("table rows", "published form").value_at(
            self.table_rows
        )

    def _hosts_bytes(self) -> float:
        return self.slope("hosts rows", "published form").value_at(self.hosts)


def _table_rows(size: _synthetic.FleetSize) -> Iterator[object]:
    for rows in _synthetic.build_rows(size).items():
        name, found = rows
        if name.value == "table":
            yield from found
