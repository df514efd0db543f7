"""Learns how much work the calls of a class are, apart from server speeds."""

from dataclasses import dataclass
from dataclasses import field
import math
import typing

MIN_RUNS = 20
"""Runs of a class before it is told from the other calls of its route."""
LOG_WEIGHT = 0.05
"""Weight of the latest run in the averages of logarithms."""
INITIAL_VARIANCE = 0.25
MIN_DEVIATION = 0.05
LENGTH_STEP = 4.0
"""Ratio of body lengths that belong to different classes."""


@dataclass(slots=True, frozen=True)
class CallClass:
    """What a node knows of a call before it runs."""

    route: str
    method: bytes
    length_step: int
    """Logarithm of the body's length."""
    is_nested: bool
    """Whether a run of a backend server makes it."""

    @classmethod
    def from_call(
        cls, route: str, method: bytes, body_bytes: int, is_nested: bool
    ) -> typing.Self:
        """Return the class of a call."""
        step = int(math.log(1 + body_bytes, LENGTH_STEP))
        return cls(route, method, step, is_nested)


@dataclass(slots=True, frozen=True)
class CallOutlook:
    """How long a call is expected to run, and until when it is in time.

    Run times are taken as lognormal: their spread grows with their mean.
    """

    target_left_s: float
    """Time until the call misses its latency objective."""
    log_ratio: float
    """Mean logarithm of the run time, relative to its server's average."""
    log_deviation: float

    def run_time_s(self, server_average_s: float) -> float:
        """Return the expected run time at a server."""
        return server_average_s * math.exp(
            self.log_ratio + self.log_deviation**2 / 2.0
        )

    def late_probability(
        self, wait_s: float, server_average_s: float
    ) -> float:
        """Return how likely a call misses its objective at a server."""
        left_s = self.target_left_s - wait_s
        if left_s <= 0.0 or server_average_s <= 0.0:
            return 1.0
        log_left = math.log(left_s / server_average_s) - self.log_ratio
        return 0.5 * math.erfc(log_left / self.log_deviation / math.sqrt(2.0))


@dataclass(slots=True)
class _Work:
    """Averages of the logarithms of relative run times."""

    log_ratio: float = 0.0
    variance: float = INITIAL_VARIANCE
    runs: int = 0

    def record(self, log_ratio: float) -> None:
        """Learn from a run; the first ones count more."""
        self.runs += 1
        weight = max(LOG_WEIGHT, 1.0 / (self.runs + 1))
        error = log_ratio - self.log_ratio
        self.log_ratio += weight * error
        self.variance += weight * (error * error - self.variance)


@dataclass(slots=True)
class WorkModel:
    """Relative run times of classes of calls, and of whole routes."""

    _work_by_class: dict[CallClass, _Work] = field(default_factory=dict)
    _work_by_route: dict[str, _Work] = field(default_factory=dict)

    def record(
        self, call_class: CallClass, run_time_s: float, server_average_s: float
    ) -> None:
        """Learn from a run at a server with an average run time."""
        if run_time_s <= 0.0 or server_average_s <= 0.0:
            return
        log_ratio = math.log(run_time_s / server_average_s)
        for work in (
            self._work_by_class.setdefault(call_class, _Work()),
            self._work_by_route.setdefault(call_class.route, _Work()),
        ):
            work.record(log_ratio)

    def outlook(
        self, call_class: CallClass, target_left_s: float
    ) -> CallOutlook | None:
        """Return what is expected of a call, None if too little is known."""
        work = self._work_by_class.get(call_class)
        if work is None or work.runs < MIN_RUNS:
            work = self._work_by_route.get(call_class.route)
        if work is None or work.runs < MIN_RUNS:
            return None
        deviation = max(MIN_DEVIATION, math.sqrt(work.variance))
        return CallOutlook(target_left_s, work.log_ratio, deviation)

    def retain(self, routes: typing.Collection[str]) -> None:
        """Discard the routes that the table no longer has."""
        for route in self._work_by_route.keys() - set(routes):
            del self._work_by_route[route]
        for call_class in list(self._work_by_class):
            if call_class.route not in routes:
                del self._work_by_class[call_class]
