"""Series of signals and restarts that overlap, drawn from a seed."""

from collections.abc import Callable
from dataclasses import dataclass
import random
import signal

FIRST_SERIES_S = 2.0
MEAN_SERIES_INTERVAL_S = 1.2
START_S = 0.5
"""Age up to which a process gets the signals of its start."""
STOP_S = 6.5
"""Time after a SIGTERM in which further signals follow."""
SIGNALS = (signal.SIGHUP, signal.SIGTERM)


@dataclass(slots=True, frozen=True)
class TimedSignal:
    """A signal and its delay from the begin of a series."""

    delay_s: float
    number: signal.Signals


@dataclass(slots=True, frozen=True)
class StartSignals:
    """A node is restarted, and the new process gets signals at its start."""

    host: int
    signals: tuple[TimedSignal, ...]


@dataclass(slots=True, frozen=True)
class StopSignals:
    """A node gets a SIGTERM, and more signals while it stops."""

    host: int
    signals: tuple[TimedSignal, ...]


@dataclass(slots=True, frozen=True)
class RestartOverlapped:
    """A node starts while its predecessor still stops and holds the ports."""

    host: int
    delay_s: float
    """Time between the SIGTERM and the start of the successor."""
    written_ratio: float
    """Fraction of the settings file that is written at that moment."""
    completed_s: float
    """Time until the settings file is complete."""


@dataclass(slots=True, frozen=True)
class ForeignEntries:
    """Another writer puts entries at the addresses of servers."""

    hosts: tuple[int, ...]
    duration_s: float | None
    """None if the entries stay."""


Series = StartSignals | StopSignals | RestartOverlapped | ForeignEntries


def make_series(
    seed: int, hosts: int, end_s: float
) -> list[tuple[float, Series]]:
    """Return series, each with the time in the run at which it begins."""
    rng = random.Random(f"series {seed}")
    plan: list[tuple[float, Series]] = []
    at_s = FIRST_SERIES_S
    while at_s < end_s:
        plan.append((at_s, rng.choice(_GENERATORS)(rng, hosts)))
        at_s += rng.expovariate(1.0 / MEAN_SERIES_INTERVAL_S)
    return plan


def _draw_signals(
    rng: random.Random, most: int, within_s: float
) -> tuple[TimedSignal, ...]:
    delays = sorted(
        rng.uniform(0.0, within_s) for _ in range(rng.randint(1, most))
    )
    return tuple(TimedSignal(delay, rng.choice(SIGNALS)) for delay in delays)


def _draw_restart(rng: random.Random, hosts: int) -> Series:
    return RestartOverlapped(
        rng.randrange(hosts),
        rng.uniform(0.0, 1.0),
        rng.choice((1.0, rng.random())),
        rng.uniform(0.2, 1.5),
    )


def _draw_foreign_entries(rng: random.Random, hosts: int) -> Series:
    count = rng.choice((1, hosts))
    return ForeignEntries(
        tuple(sorted(rng.sample(range(hosts), count))),
        rng.choice((None, rng.uniform(0.5, 5.0))),
    )


_GENERATORS: tuple[Callable[[random.Random, int], Series], ...] = (
    lambda rng, n: StartSignals(
        rng.randrange(n), _draw_signals(rng, 4, START_S)
    ),
    lambda rng, n: StartSignals(
        rng.randrange(n), _draw_signals(rng, 4, START_S)
    ),
    lambda rng, n: StopSignals(rng.randrange(n), _draw_signals(rng, 5, 1.0)),
    lambda rng, n: StopSignals(
        rng.randrange(n), _draw_signals(rng, 5, STOP_S)
    ),
    _draw_restart,
    _draw_restart,
    _draw_foreign_entries,
)
