"""Fault plans, generated from a seed."""

from collections.abc import Callable
from dataclasses import dataclass
import random

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _busy_hosts
from jasminecrank.standins.soak import _proxy
from jasminecrank.standins.soak import _restores
from jasminecrank.standins.soak import _series

FIRST_FAULT_S = 2.0
MEAN_FAULT_INTERVAL_S = 0.7
"""Mean time between faults, short enough for several to overlap."""
RECOVERY_S = 8.0
"""Time at the end of a run in which no fault starts."""


@dataclass(slots=True, frozen=True)
class NodesKilled:
    """Node processes are killed and restarted."""

    hosts: tuple[int, ...]
    with_servers: bool
    """Power loss: the servers of the hosts restart too, cold, with new ids."""


@dataclass(slots=True, frozen=True)
class NodePaused:
    """A node process is suspended for a while and resumed."""

    host: int
    duration_s: float


@dataclass(slots=True, frozen=True)
class NodeTerminated:
    """A node process gets a SIGTERM and is restarted."""

    host: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """A settings file gets another retry slack, and its node a SIGHUP."""

    host: int
    retry_slack: int


@dataclass(slots=True, frozen=True)
class LinksDegraded:
    """Links between two groups of hosts are impaired for a while."""

    hosts: tuple[int, ...]
    condition: _proxy.LinkCondition
    duration_s: float


@dataclass(slots=True, frozen=True)
class StoreOutage:
    """The store fails for all hosts for a while."""

    outage: fleet.Outage
    duration_s: float


@dataclass(slots=True, frozen=True)
class StoreLinksDegraded:
    """The connections of some hosts to the store are impaired for a while."""

    hosts: tuple[int, ...]
    condition: _proxy.LinkCondition
    duration_s: float


@dataclass(slots=True, frozen=True)
class StoreCompacted:
    """The store discards its history."""


@dataclass(slots=True, frozen=True)
class ServerCrashed:
    """A server crashes and restarts cold with a new id."""

    host: int
    duration_s: float


@dataclass(slots=True, frozen=True)
class ServerReplaced:
    """A server drains and another one starts at its address."""

    host: int


@dataclass(slots=True, frozen=True)
class ServerMisbehaves:
    """A server fails all requests in one way for a while."""

    host: int
    behaviour: fleet.Behaviour
    duration_s: float


@dataclass(slots=True, frozen=True)
class KeyWithdrawn:
    """A team gets a new key and its oldest one is withdrawn."""

    team: int


@dataclass(slots=True, frozen=True)
class TableUpdateBurst:
    """Table versions are published in quick succession."""

    versions: int


@dataclass(slots=True, frozen=True)
class DataCentreOut:
    """A data centre is taken out of service and restored."""

    number: int
    duration_s: float


ProcessFault = NodesKilled | NodePaused | NodeTerminated | SettingsChanged
NetworkFault = (
    LinksDegraded | StoreOutage | StoreLinksDegraded | StoreCompacted
)
ServerFault = ServerCrashed | ServerReplaced | ServerMisbehaves
OperatorChange = KeyWithdrawn | TableUpdateBurst | DataCentreOut
Fault = (
    ProcessFault
    | NetworkFault
    | ServerFault
    | OperatorChange
    | _series.Series
    | _busy_hosts.BusyHostFault
    | _restores.StoreRestored
)
PLANNED_WORK = (
    NodeTerminated,
    SettingsChanged,
    StoreCompacted,
    ServerReplaced,
    KeyWithdrawn,
    TableUpdateBurst,
)

_LINK_FAULTS = (
    _proxy.LinkCondition.SLOW,
    _proxy.LinkCondition.RESET,
    _proxy.LinkCondition.SILENT,
    _proxy.LinkCondition.ONE_WAY,
)
_OUTAGES = tuple(
    outage for outage in fleet.Outage if outage is not fleet.Outage.NONE
)
_BEHAVIOURS = tuple(
    behaviour
    for behaviour in fleet.Behaviour
    if behaviour is not fleet.Behaviour.SERVE
)


@dataclass(slots=True, frozen=True)
class PlannedFault:
    """A fault and the time in the run at which it starts."""

    at_s: float
    fault: Fault


def make_plan(
    seed: int, hosts: int, duration_s: float, planned_only: bool = False
) -> list[PlannedFault]:
    """Return the faults of a run in order of start time.

    With planned work only, each lost request is a violation; beside other
    faults, few are judged.
    """
    rng = random.Random(seed)
    plan = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s - RECOVERY_S:
        generate_fault = rng.choice(_FAULT_GENERATORS)
        plan.append(PlannedFault(at_s, generate_fault(rng, hosts)))
        # Half of the intervals are much shorter, for bursts and overlaps.
        interval_s = MEAN_FAULT_INTERVAL_S * (
            0.1 if rng.random() < 0.5 else 1.9
        )
        at_s += rng.expovariate(1.0 / interval_s)
    if planned_only:
        plan = [item for item in plan if isinstance(item.fault, PLANNED_WORK)]
    # Own draws, so that the other faults of a seed stay the same.
    for at_s, fault in (
        *_series.make_series(seed, hosts, duration_s - RECOVERY_S),
        *_busy_hosts.make_faults(seed, hosts, duration_s - RECOVERY_S),
        *_restores.make_restores(seed, duration_s - RECOVERY_S),
    ):
        plan.append(PlannedFault(at_s, fault))
    return sorted(plan, key=lambda item: item.at_s)


def _sample_hosts(
    rng: random.Random, hosts: int, fraction: float
) -> tuple[int, ...]:
    count = max(1, round(fraction * hosts))
    return tuple(sorted(rng.sample(range(hosts), count)))


def _draw_duration_s(rng: random.Random) -> float:
    return rng.uniform(0.3, 4.0)


_FAULT_GENERATORS: tuple[Callable[[random.Random, int], Fault], ...] = (
    lambda rng, n: NodesKilled((rng.randrange(n),), False),
    lambda rng, n: NodesKilled(
        _sample_hosts(rng, n, rng.choice((0.3, 1.0))), False
    ),
    lambda rng, n: NodesKilled(
        _sample_hosts(rng, n, rng.choice((0.3, 1.0))), True
    ),
    lambda rng, n: NodePaused(rng.randrange(n), _draw_duration_s(rng)),
    lambda rng, n: NodeTerminated(rng.randrange(n)),
    lambda rng, n: NodeTerminated(rng.randrange(n)),
    lambda rng, n: SettingsChanged(rng.randrange(n), rng.randrange(10, 40)),
    lambda rng, n: LinksDegraded(
        _sample_hosts(rng, n, rng.choice((0.1, 0.5))),
        rng.choice(_LINK_FAULTS),
        _draw_duration_s(rng),
    ),
    lambda rng, n: StoreOutage(rng.choice(_OUTAGES), _draw_duration_s(rng)),
    lambda rng, n: StoreLinksDegraded(
        _sample_hosts(rng, n, 0.35),
        rng.choice(_LINK_FAULTS),
        _draw_duration_s(rng),
    ),
    lambda rng, n: StoreCompacted(),
    lambda rng, n: ServerCrashed(rng.randrange(n), _draw_duration_s(rng)),
    lambda rng, n: ServerReplaced(rng.randrange(n)),
    lambda rng, n: ServerMisbehaves(
        rng.randrange(n), rng.choice(_BEHAVIOURS), _draw_duration_s(rng)
    ),
    lambda rng, n: KeyWithdrawn(rng.randrange(2)),
    lambda rng, n: TableUpdateBurst(rng.randint(3, 10)),
    lambda rng, n: DataCentreOut(rng.randrange(2), rng.uniform(2.0, 6.0)),
)
