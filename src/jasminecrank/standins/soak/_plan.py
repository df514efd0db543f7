"""The faults of a run, drawn from its seed."""

from collections.abc import Callable
from dataclasses import dataclass
import random

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _proxy

FIRST_FAULT_S = 2.0
MEAN_GAP_S = 0.7
"""Mean time between faults, so that several overlap."""
HEAL_S = 8.0
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
    for_s: float


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
class LinksHarmed:
    """Links between two groups of hosts fail for a while."""

    hosts: tuple[int, ...]
    condition: _proxy.Condition
    for_s: float


@dataclass(slots=True, frozen=True)
class StoreHarmed:
    """The store fails all hosts for a while."""

    outage: fleet.Outage
    for_s: float


@dataclass(slots=True, frozen=True)
class StoreCut:
    """Some hosts do not reach the store for a while."""

    hosts: tuple[int, ...]
    condition: _proxy.Condition
    for_s: float


@dataclass(slots=True, frozen=True)
class StoreCompacted:
    """The store drops its history."""


@dataclass(slots=True, frozen=True)
class ServerCrashed:
    """A server ends and comes back with another id, cold."""

    host: int
    for_s: float


@dataclass(slots=True, frozen=True)
class ServerReplaced:
    """A server drains, and another one follows at its address."""

    host: int


@dataclass(slots=True, frozen=True)
class ServerMisbehaves:
    """A server answers all requests badly for a while."""

    host: int
    behaviour: fleet.Behaviour
    for_s: float


@dataclass(slots=True, frozen=True)
class KeyWithdrawn:
    """A team gets a new key and loses its oldest one."""

    team: int


@dataclass(slots=True, frozen=True)
class TableStorm:
    """Versions come in quick succession."""

    versions: int


@dataclass(slots=True, frozen=True)
class DataCentreOut:
    """A data centre is taken out of service, and back."""

    number: int
    for_s: float


ProcessFault = NodesKilled | NodePaused | NodeTerminated | SettingsChanged
NetworkFault = LinksHarmed | StoreHarmed | StoreCut | StoreCompacted
ServerFault = ServerCrashed | ServerReplaced | ServerMisbehaves
OperatorChange = KeyWithdrawn | TableStorm | DataCentreOut
Fault = ProcessFault | NetworkFault | ServerFault | OperatorChange

_BAD_LINKS = (
    _proxy.Condition.SLOW,
    _proxy.Condition.RESET,
    _proxy.Condition.SILENT,
    _proxy.Condition.ONE_WAY,
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
class Planned:
    """A fault and the second of the run at which it begins."""

    at_s: float
    fault: Fault


def make_plan(seed: int, hosts: int, duration_s: float) -> list[Planned]:
    """Return the faults of a run, in order."""
    rng = random.Random(seed)
    plan = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s - HEAL_S:
        draw = rng.choice(_DRAWS)
        plan.append(Planned(at_s, draw(rng, hosts)))
        # Series and overlaps: half of the gaps are much shorter.
        gap_s = MEAN_GAP_S * (0.1 if rng.random() < 0.5 else 1.9)
        at_s += rng.expovariate(1.0 / gap_s)
    return plan


def _some(rng: random.Random, hosts: int, part: float) -> tuple[int, ...]:
    count = max(1, round(part * hosts))
    return tuple(sorted(rng.sample(range(hosts), count)))


def _time_s(rng: random.Random) -> float:
    return rng.uniform(0.3, 4.0)


_DRAWS: tuple[Callable[[random.Random, int], Fault], ...] = (
    lambda rng, n: NodesKilled((rng.randrange(n),), False),
    lambda rng, n: NodesKilled(_some(rng, n, rng.choice((0.3, 1.0))), False),
    lambda rng, n: NodesKilled(_some(rng, n, rng.choice((0.3, 1.0))), True),
    lambda rng, n: NodePaused(rng.randrange(n), _time_s(rng)),
    lambda rng, n: NodeTerminated(rng.randrange(n)),
    lambda rng, n: NodeTerminated(rng.randrange(n)),
    lambda rng, n: SettingsChanged(rng.randrange(n), rng.randrange(10, 40)),
    lambda rng, n: LinksHarmed(
        _some(rng, n, rng.choice((0.1, 0.5))),
        rng.choice(_BAD_LINKS),
        _time_s(rng),
    ),
    lambda rng, n: StoreHarmed(rng.choice(_OUTAGES), _time_s(rng)),
    lambda rng, n: StoreCut(
        _some(rng, n, 0.35), rng.choice(_BAD_LINKS), _time_s(rng)
    ),
    lambda rng, n: StoreCompacted(),
    lambda rng, n: ServerCrashed(rng.randrange(n), _time_s(rng)),
    lambda rng, n: ServerReplaced(rng.randrange(n)),
    lambda rng, n: ServerMisbehaves(
        rng.randrange(n), rng.choice(_BEHAVIOURS), _time_s(rng)
    ),
    lambda rng, n: KeyWithdrawn(rng.randrange(2)),
    lambda rng, n: TableStorm(rng.randint(3, 10)),
    lambda rng, n: DataCentreOut(rng.randrange(2), rng.uniform(2.0, 6.0)),
)
