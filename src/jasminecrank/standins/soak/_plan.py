"""The faults of a run, drawn from its seed."""

from collections.abc import Callable
from dataclasses import dataclass
import random

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _proxy

FIRST_FAULT_S = 2.0
MEAN_FAULT_INTERVAL_S = 0.7
"""Mean time between faults, so that several overlap."""
RECOVERY_S = 8.0
"""Time at the end in which no fault begins."""


@dataclass(slots=True, frozen=True)
class NodesKilled:
    """Processes end at once, and are started again."""

    hosts: tuple[int, ...]
    with_servers: bool
    """The hosts lose power: their servers come back with new ids, cold."""


@dataclass(slots=True, frozen=True)
class NodePaused:
    """A process is stopped for a while and goes on."""

    host: int
    duration_s: float


@dataclass(slots=True, frozen=True)
class NodeTerminated:
    """A process is asked to stop, and is started again."""

    host: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """The settings file gets another retry slack; SIGHUP follows."""

    host: int
    retry_slack: int


@dataclass(slots=True, frozen=True)
class LinksDegraded:
    """Links between two groups of hosts fail for a while."""

    hosts: tuple[int, ...]
    condition: _proxy.LinkCondition
    duration_s: float


@dataclass(slots=True, frozen=True)
class StoreOutage:
    """The store fails all hosts for a while."""

    outage: fleet.Outage
    duration_s: float


@dataclass(slots=True, frozen=True)
class StoreUnreachable:
    """Some hosts do not reach the store for a while."""

    hosts: tuple[int, ...]
    condition: _proxy.LinkCondition
    duration_s: float


@dataclass(slots=True, frozen=True)
class StoreCompacted:
    """The store drops its history."""


@dataclass(slots=True, frozen=True)
class ServerCrashed:
    """A server ends and comes back with another id, cold."""

    host: int
    duration_s: float


@dataclass(slots=True, frozen=True)
class ServerReplaced:
    """A server drains, and another one follows at its address."""

    host: int


@dataclass(slots=True, frozen=True)
class ServerMisbehaves:
    """A server answers all requests badly for a while."""

    host: int
    behaviour: fleet.Behaviour
    duration_s: float


@dataclass(slots=True, frozen=True)
class KeyWithdrawn:
    """A team gets a new key and loses its oldest one."""

    team: int


@dataclass(slots=True, frozen=True)
class TableUpdateBurst:
    """Versions come in quick succession."""

    versions: int


@dataclass(slots=True, frozen=True)
class DataCentreOut:
    """A data centre is taken out of service, and back."""

    number: int
    duration_s: float


ProcessFault = NodesKilled | NodePaused | NodeTerminated | SettingsChanged
NetworkFault = LinksDegraded | StoreOutage | StoreUnreachable | StoreCompacted
ServerFault = ServerCrashed | ServerReplaced | ServerMisbehaves
OperatorChange = KeyWithdrawn | TableUpdateBurst | DataCentreOut
Fault = ProcessFault | NetworkFault | ServerFault | OperatorChange

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
    """A fault and the second of the run at which it begins."""

    at_s: float
    fault: Fault


def make_plan(seed: int, hosts: int, duration_s: float) -> list[PlannedFault]:
    """Return the faults of a run, in order."""
    rng = random.Random(seed)
    plan = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s - RECOVERY_S:
        generate_fault = rng.choice(_FAULT_GENERATORS)
        plan.append(PlannedFault(at_s, generate_fault(rng, hosts)))
        # Series and overlaps: half of the gaps are much shorter.
        interval_s = MEAN_FAULT_INTERVAL_S * (
            0.1 if rng.random() < 0.5 else 1.9
        )
        at_s += rng.expovariate(1.0 / interval_s)
    return plan


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
    lambda rng, n: StoreUnreachable(
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
