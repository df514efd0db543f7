"""What a node may spend of the fleet's retry budget."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

UNSERVED_PART = 0.6
"""Part of the fleet's retry budget for calls that no server has answered.

The rest covers nodes that disagree about the size of the fleet, and calls
that backend servers make again because they run again.
"""
FAILED_PART = 0.1
"""Part for idempotent calls that a server answered with a failure.

Each repeat also repeats the calls that the backend server makes.
"""


@dataclass(slots=True, frozen=True)
class RetryBounds:
    """The fleet's retry budget, from the platform's bounds."""

    ratio: float
    window_s: float
    slack: float


@dataclass(slots=True)
class RetryBudget:
    """Repeats to a service that a node may send in a sliding window."""

    bounds: RetryBounds
    hosts: int = 1
    _firsts: dict[str, deque[float]] = field(default_factory=dict)
    _repeats: dict[str, deque[float]] = field(default_factory=dict)

    def first(self, service: str, now_s: float) -> None:
        """Count the first attempt of a call."""
        self._firsts.setdefault(service, deque()).append(now_s)
        self._trim(self._firsts[service], now_s)

    def try_repeat(self, service: str, part: float, now_s: float) -> bool:
        """Count a repeat unless a part of the budget is used up."""
        firsts = self._firsts.setdefault(service, deque())
        repeats = self._repeats.setdefault(service, deque())
        self._trim(firsts, now_s)
        self._trim(repeats, now_s)
        allowed = part * (
            self.bounds.ratio * len(firsts)
            + self.bounds.slack / max(1, self.hosts)
        )
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now_s)
        return True

    def _trim(self, times: deque[float], now_s: float) -> None:
        while times and times[0] <= now_s - self.bounds.window_s:
            times.popleft()
