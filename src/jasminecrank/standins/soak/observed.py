"""Observations of callers and servers, and the faults injected."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import enum
import math
import typing

SETTLE_S = 3.0
"""Time without a fault after which limits apply, the platform's contactMs."""


class Excused(enum.Enum):
    """Which lost requests a disturbance excuses."""

    ALL = "all"
    OWN = "own"
    """Those sent to its hosts."""
    NONE = "none"


@dataclass(slots=True, frozen=True)
class Connection:
    """A caller's connection to the node of a host."""

    opened_s: float
    incarnations: frozenset[int]
    """Processes that had started and not ended when it was opened."""


@dataclass(slots=True)
class Attempt:
    """A request as observed by its caller."""

    request_id: str
    host: int
    incarnation: int
    """Incarnation of the node when the request was sent."""
    method: str
    key: str | None
    sent_s: float
    connection: Connection = field(kw_only=True)
    ended_s: float = math.inf
    status: int = 0
    """0 if no response was received."""
    response_intact: bool = True
    abandoned: bool = False
    """Whether the caller disconnected without waiting for the response."""
    load: str = ""
    """Type, number and size of the requests sent in a row."""
    end: str = ""
    """How the connection ended, if no response was received."""
    upload_s: float = 0.0
    """Time until the last byte was sent, infinite if it never was."""
    reading_s: float = 0.0
    """Least time in which the caller reads this response and earlier ones."""
    behind_close: bool = False
    """Whether an earlier answer on the connection closed it."""
    head_s: float = math.inf
    """When the head of the response was received, if it was read slowly."""
    stamped: bool = False
    """Whether the response is that of a server."""
    limit_s: float = math.inf
    """Least of the deadline and the route's timeout."""
    ends_sending: bool = False
    """Whether the caller ended its sending side and read on."""

    @property
    def is_lost(self) -> bool:
        """Whether the connection ended without a complete response."""
        return self.status == 0 and not self.abandoned

    @property
    def may_be_given_up(self) -> bool:
        """Whether its node cancels it as if its caller had left.

        It has to be answered all the same.
        """
        return self.ends_sending and self.method == "GET"


@dataclass(slots=True)
class Arrival:
    """A request that a server started to run, and what became of it."""

    request_id: str
    host: int
    at_s: float
    team: str
    caller_service: str
    has_key: bool
    cold: bool
    ended_s: float = math.inf
    """When the server had answered, broken off or lost its client."""
    status: int = 0
    """Status of the whole answer that the server made, if any."""
    broken_off: bool = False
    """Whether the server itself ended the run without a proper answer."""


@dataclass(slots=True)
class Disturbance:
    """A period in which limits do not apply to some hosts."""

    begin_s: float
    hosts: frozenset[int] | None
    """None for all hosts."""
    planned: bool = False
    """A SIGTERM or an operator change, after which service goes on."""
    excused: Excused = Excused.ALL
    end_s: float = math.inf

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Return whether limits do not apply in a period."""
        return self.begin_s <= to_s and self.end_s >= from_s - SETTLE_S

    def excuses_loss(self, host: int) -> bool:
        """Return whether a request to a host may be lost."""
        match self.excused:
            case Excused.ALL:
                return True
            case Excused.OWN:
                return self.hosts is None or host in self.hosts
            case Excused.NONE:
                return False
            case _:
                typing.assert_never(self.excused)


@dataclass(slots=True, frozen=True)
class Probe:
    """A request to an open route, or to one that was added."""

    host: int
    incarnation: int
    added_route: int
    """0 for the open route."""
    sent_s: float
    ended_s: float
    status: int


@dataclass(slots=True)
class OutOfServicePeriod:
    """A period in which a host's server must not get new requests."""

    host: int
    from_s: float
    until_s: float = math.inf
    limit_s: float = 0.0
    """Time from the acknowledgement until `from_s`."""


@dataclass(slots=True, frozen=True)
class Renewal:
    """What a restored store had lost is written again."""

    back_s: float
    """When the store was back."""
    written_s: float
    """When all of it was acknowledged."""

    def binds_from_s(self, limit_s: float) -> float:
        """Return when what was written binds undisturbed hosts again."""
        settled_s = math.nextafter(self.back_s + SETTLE_S, math.inf)
        return max(settled_s, self.written_s + limit_s)


@dataclass(slots=True)
class ForeignEntryPeriod:
    """A period with entries of another writer at servers' addresses."""

    begin_s: float
    end_s: float = math.inf
    """Infinite if the entries stay."""


@dataclass(slots=True, frozen=True)
class SentSignal:
    """A signal that the soak sent to a process."""

    number: int
    age_s: float
    cpu_s: float
    """Processor time that the process had used."""


@dataclass(slots=True, frozen=True)
class Termination:
    """A SIGTERM to a node process."""

    host: int
    incarnation: int
    at_s: float


@dataclass(slots=True, frozen=True)
class Reload:
    """A SIGHUP to a node process."""

    host: int
    incarnation: int
    at_s: float


@dataclass(slots=True, frozen=True)
class ProcessEnd:
    """The end of a node process."""

    host: int
    incarnation: int
    at_s: float
    status: int
    """Exit status, or the negated number of the signal that ended it."""
    signals: tuple[SentSignal, ...] = ()


@dataclass(slots=True)
class Records:
    """All observations that the checks evaluate."""

    attempts: list[Attempt] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    received_s_by_request_id: dict[str, list[float]] = field(
        default_factory=dict
    )
    """When servers received each request, rejected ones included."""
    disturbances: list[Disturbance] = field(default_factory=list)
    out_of_service_periods: list[OutOfServicePeriod] = field(
        default_factory=list
    )
    """Of draining servers and of servers in an evacuated data centre."""
    probes: list[Probe] = field(default_factory=list)
    written_s_by_route: dict[int, float] = field(default_factory=dict)
    """When tables with added routes were acknowledged."""
    renewals: list[Renewal] = field(default_factory=list)
    withdrawn_s_by_key: dict[str, float] = field(default_factory=dict)
    team_by_key: dict[str, str] = field(default_factory=dict)
    terminations: list[Termination] = field(default_factory=list)
    unfinished_s_by_id: dict[str, float] = field(default_factory=dict)
    """When servers gave up requests whose nodes had disconnected."""
    server_ends: list[tuple[int, float]] = field(default_factory=list)
    """Hosts whose servers ended and broke off all connections, and when."""
    reloads: list[Reload] = field(default_factory=list)
    foreign_entry_periods: list[ForeignEntryPeriod] = field(
        default_factory=list
    )
    process_ends: list[ProcessEnd] = field(default_factory=list)
    peak_bytes_by_process: dict[tuple[int, int], int] = field(
        default_factory=dict
    )
    """Largest resident size by host and incarnation."""
    delays: list[tuple[float, float]] = field(default_factory=list)
    """When the soak itself ran late, and by how many seconds."""
    tracebacks: list[tuple[int, str]] = field(default_factory=list)
    """Last lines of the tracebacks in the nodes' logs, by host."""

    def begin_disturbance(
        self,
        now_s: float,
        hosts: Iterable[int] | None,
        planned: bool = False,
        excused: Excused | None = None,
    ) -> Disturbance:
        """Record the start of a disturbance.

        By itself, planned work excuses no lost request, and a fault excuses
        all.
        """
        affected_hosts = None if hosts is None else frozenset(hosts)
        if excused is None:
            excused = Excused.NONE if planned else Excused.ALL
        disturbance = Disturbance(now_s, affected_hosts, planned, excused)
        self.disturbances.append(disturbance)
        return disturbance

    def is_undisturbed(
        self,
        host: int | None,
        from_s: float,
        to_s: float,
        include_planned: bool,
    ) -> bool:
        """Return whether a host, or every host if None, was undisturbed."""
        return not any(
            disturbance.overlaps(from_s, to_s)
            and (include_planned or not disturbance.planned)
            and (
                host is None
                or disturbance.hosts is None
                or host in disturbance.hosts
            )
            for disturbance in self.disturbances
        )

    def is_bound(
        self, hosts: Iterable[int], from_s: float, limit_s: float, at_s: float
    ) -> bool:
        """Return whether hosts must have heeded an entry at a moment.

        It binds them from a moment on, or from when it was written again,
        unless one of them has been disturbed since.
        """
        begins_s = [from_s]
        begins_s.extend(
            renewal.binds_from_s(limit_s) for renewal in self.renewals
        )
        return any(
            from_s <= begin_s < at_s
            and all(
                self.is_undisturbed(host, begin_s, at_s, True)
                for host in hosts
            )
            for begin_s in begins_s
        )

    def excuses_loss(self, host: int, from_s: float, to_s: float) -> bool:
        """Return whether a request to a host may be lost in a period."""
        return any(
            disturbance.overlaps(from_s, to_s)
            and disturbance.excuses_loss(host)
            for disturbance in self.disturbances
        )
