"""Busy hosts, stops of many nodes and late starts, drawn from a seed."""

from dataclasses import dataclass
import random
import signal

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _series

FIRST_S = 2.0
MEAN_BUSY_INTERVAL_S = 6.0
MEAN_LATE_START_INTERVAL_S = 12.0
STOPS_RATIO = 0.5
"""Fraction of runs in which many nodes stop at once."""
MANY_STOPPED_S = 6.0
"""Time in which all nodes may be stopping, before the last faults."""


@dataclass(slots=True, frozen=True)
class Turn:
    """A pause of a process and the time for which it runs afterwards."""

    paused_s: float
    run_s: float


@dataclass(slots=True, frozen=True)
class HostsBusy:
    """Node processes get their processors late, and signals meanwhile."""

    hosts: tuple[int, ...]
    turns: tuple[Turn, ...]
    signals: tuple[_series.TimedSignal, ...]


@dataclass(slots=True, frozen=True)
class ManyStopped:
    """Many nodes get a SIGTERM within moments while the store fails."""

    delay_s_by_host: tuple[tuple[int, float], ...]
    outage: fleet.Outage
    outage_delay_s: float
    outage_s: float


@dataclass(slots=True, frozen=True)
class SettingsMissing:
    """A node restarts while its settings file is missing."""

    host: int
    missing_s: float


@dataclass(slots=True, frozen=True)
class PortsHeld:
    """A successor waits for a process that is paused in its stop."""

    host: int
    delay_s: float
    """Time between the SIGTERM and the pause."""
    paused_s: float


BusyHostFault = HostsBusy | ManyStopped | SettingsMissing | PortsHeld


def make_faults(
    seed: int, hosts: int, end_s: float
) -> list[tuple[float, BusyHostFault]]:
    """Return faults, each with the time in the run at which it begins."""
    faults: list[tuple[float, BusyHostFault]] = []
    rng = random.Random(f"busy hosts {seed}")
    at_s = FIRST_S
    while at_s < end_s:
        faults.append((at_s, _draw_busy(rng, hosts)))
        at_s += rng.expovariate(1.0 / MEAN_BUSY_INTERVAL_S)
    rng = random.Random(f"stops of many {seed}")
    if rng.random() < STOPS_RATIO:
        latest_s = max(FIRST_S, end_s - MANY_STOPPED_S)
        at_s = rng.uniform(FIRST_S, latest_s)
        faults.append((at_s, _draw_stops(rng, hosts)))
    rng = random.Random(f"late starts {seed}")
    at_s = FIRST_S + rng.expovariate(1.0 / MEAN_LATE_START_INTERVAL_S)
    while at_s < end_s:
        faults.append((at_s, _draw_late_start(rng, hosts)))
        at_s += rng.expovariate(1.0 / MEAN_LATE_START_INTERVAL_S)
    return faults


def _draw_busy(rng: random.Random, hosts: int) -> HostsBusy:
    count = rng.choice((1, 1, max(1, hosts // 3)))
    duration_s = rng.uniform(2.0, 8.0)
    turns = []
    left_s = duration_s
    while left_s > 0.0:
        turn = Turn(rng.uniform(0.05, 0.25), rng.uniform(0.02, 0.08))
        turns.append(turn)
        left_s -= turn.paused_s + turn.run_s
    delays = sorted(rng.uniform(0.0, duration_s) for _ in range(2))
    return HostsBusy(
        tuple(sorted(rng.sample(range(hosts), count))),
        tuple(turns),
        tuple(
            _series.TimedSignal(
                delay, rng.choice((signal.SIGTERM, *_series.SIGNALS))
            )
            for delay in delays
        ),
    )


def _draw_stops(rng: random.Random, hosts: int) -> ManyStopped:
    count = rng.choice((hosts, rng.randint((hosts + 1) // 2, hosts)))
    within_s = rng.choice((0.05, 1.0))
    return ManyStopped(
        tuple(
            (host, rng.uniform(0.0, within_s))
            for host in rng.sample(range(hosts), count)
        ),
        rng.choice(
            (fleet.Outage.SILENT, fleet.Outage.BUSY, fleet.Outage.RESET)
        ),
        rng.uniform(0.0, 1.0),
        rng.uniform(1.0, 5.0),
    )


def _draw_late_start(rng: random.Random, hosts: int) -> BusyHostFault:
    host = rng.randrange(hosts)
    if rng.random() < 0.5:
        return SettingsMissing(host, rng.uniform(3.0, 8.0))
    return PortsHeld(host, rng.uniform(0.0, 0.5), rng.uniform(6.5, 9.0))
