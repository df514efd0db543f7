"""Estimates of how long the calls of a route run."""

from dataclasses import dataclass
from dataclasses import field

RUN_TIME_WEIGHT = 0.1
"""Weight of the latest run time in the exponential moving averages."""
FAILURE_WEIGHT = 0.08
"""Weight of the latest outcome in the failure rate's moving average."""
ESTIMATE_HALF_LIFE_S = 4.0
"""Half-life of what was measured at a server, by the age of the last call.

Without it, a server with a bad estimate would get no calls that could show
that it has recovered.
"""
RUN_TIME_HALF_LIFE_S = 2.0
"""Half-life of earlier run times when another one is measured.

Short, so that a few calls show that a server has recovered.
"""
TOGETHER_S = 0.005
"""Time within which calls that end count as one measurement.

A pause of the node or of its server delays all of its calls at once.
"""
LONGEST_RUN_DEVIATIONS = 4.0
"""Mean deviations above the average that few run times exceed.

RFC 6298 sets retransmission timeouts in the same way.
"""


def retained_share(
    age_s: float, half_life_s: float = ESTIMATE_HALF_LIFE_S
) -> float:
    """Return the share of a measured value that is kept after a time."""
    return float(0.5 ** (max(0.0, age_s) / half_life_s))


@dataclass(slots=True)
class AgeingRunTime:
    """Moving average of run times, in which those of an earlier time fade."""

    average_s: float = 0.0
    """0 until a call has completed."""
    _earlier_s: float = 0.0
    """Average before the calls that ended together last."""
    _retained: float = 0.0
    """Share of the earlier average that is kept."""
    _sum_s: float = 0.0
    _count: int = 0
    _ended_at_s: float = 0.0
    """When the first of these calls ended."""

    def record(self, run_time_s: float, now_s: float) -> None:
        """Record the run time of a completed call."""
        age_s = now_s - self._ended_at_s
        if not self._count or age_s >= TOGETHER_S:
            self._earlier_s = self.average_s
            self._sum_s = 0.0
            self._count = 0
            self._ended_at_s = now_s
            self._retained = (1.0 - RUN_TIME_WEIGHT) * retained_share(
                age_s, RUN_TIME_HALF_LIFE_S
            )
            if not self.average_s:
                self._retained = 0.0
        self._sum_s += run_time_s
        self._count += 1
        latest_s = self._sum_s / self._count
        self.average_s = latest_s + self._retained * (
            self._earlier_s - latest_s
        )


@dataclass(slots=True)
class FailureRate:
    """Moving average of failures, which fades while no call completes."""

    rate: float = 0.0
    _recorded_at_s: float = 0.0

    def record(self, failed: bool, now_s: float) -> None:
        """Record whether a call failed."""
        self.rate *= retained_share(now_s - self._recorded_at_s)
        self.rate += FAILURE_WEIGHT * (failed - self.rate)
        self._recorded_at_s = now_s


@dataclass(slots=True)
class _Estimate:
    average_s: float
    deviation_s: float

    def record(self, run_time_s: float) -> None:
        error_s = run_time_s - self.average_s
        self.average_s += RUN_TIME_WEIGHT * error_s
        self.deviation_s += RUN_TIME_WEIGHT * (abs(error_s) - self.deviation_s)


@dataclass(slots=True)
class RunTimes:
    """Moving averages of run times and of their deviations, by route."""

    _estimate_by_route: dict[str, _Estimate] = field(default_factory=dict)

    def record(self, route: str, run_time_s: float) -> None:
        """Record the run time of a completed call."""
        estimate = self._estimate_by_route.get(route)
        if estimate is None:
            estimate = _Estimate(run_time_s, run_time_s / 2)
            self._estimate_by_route[route] = estimate
        estimate.record(run_time_s)

    def clear(self) -> None:
        """Discard all estimates."""
        self._estimate_by_route.clear()

    def expected_s(self, route: str) -> float | None:
        """Return the average run time, or None before the first call."""
        estimate = self._estimate_by_route.get(route)
        return None if estimate is None else estimate.average_s

    def longest_s(self, route: str) -> float | None:
        """Return a run time that few calls exceed, or None."""
        estimate = self._estimate_by_route.get(route)
        if estimate is None:
            return None
        return (
            estimate.average_s + LONGEST_RUN_DEVIATIONS * estimate.deviation_s
        )
