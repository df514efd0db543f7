"""What callers and servers saw, and what was done to the deployment."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import math

SETTLE_S = 3.0
"""Time without a fault after which bounds hold, the platform's contactMs."""


@dataclass(slots=True)
class Attempt:
    """A request as its caller saw it."""

    request_id: str
    host: int
    incarnation: int
    """Of the node, when the request was sent."""
    method: str
    key: str | None
    sent_s: float
    ended_s: float = math.inf
    status: int = 0
    """0 for a connection that ended without an answer."""
    response_intact: bool = True
    abandoned: bool = False
    """Whether the caller went away."""


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that a server began to run."""

    request_id: str
    host: int
    at_s: float
    team: str
    caller_service: str
    has_key: bool
    cold: bool


@dataclass(slots=True)
class Disturbance:
    """A time in which bounds don't hold at some hosts."""

    begin_s: float
    hosts: frozenset[int] | None
    """None for all hosts."""
    planned: bool = False
    """A SIGTERM or a change by operators, which must lose nothing."""
    end_s: float = math.inf


@dataclass(slots=True)
class OutOfServicePeriod:
    """Something that holds from a moment on, until another one."""

    host: int
    from_s: float
    until_s: float = math.inf


@dataclass(slots=True)
class Records:
    """Everything that the checks look at."""

    attempts: list[Attempt] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    out_of_service_periods: list[OutOfServicePeriod] = field(
        default_factory=list
    )
    """Servers that leave, or whose data centre is out of service."""
    withdrawn_s_by_key: dict[str, float] = field(default_factory=dict)
    team_by_key: dict[str, str] = field(default_factory=dict)
    terminations: list[tuple[int, float]] = field(default_factory=list)
    """Hosts whose nodes were asked to stop, and when."""

    def begin_disturbance(
        self, now_s: float, hosts: Iterable[int] | None, planned: bool = False
    ) -> Disturbance:
        """Note that a fault begins."""
        affected_hosts = None if hosts is None else frozenset(hosts)
        disturbance = Disturbance(now_s, affected_hosts, planned)
        self.disturbances.append(disturbance)
        return disturbance

    def is_undisturbed(
        self,
        host: int | None,
        from_s: float,
        to_s: float,
        include_planned: bool,
    ) -> bool:
        """Return whether no fault touched a host, or any host if None."""
        return not any(
            disturbance.begin_s <= to_s
            and disturbance.end_s >= from_s - SETTLE_S
            and (include_planned or not disturbance.planned)
            and (
                host is None
                or disturbance.hosts is None
                or host in disturbance.hosts
            )
            for disturbance in self.disturbances
        )
