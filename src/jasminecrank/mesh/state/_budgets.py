"""What a node may spend of the fleet's retry budget."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

UNANSWERED_RETRY_SHARE = 0.6
"""Part of the fleet's retry budget for calls that no server has answered.

The rest covers nodes that disagree about the size of the fleet, and calls
that backend servers make again because they run again.
"""
FAILED_RETRY_SHARE = 0.1
"""Part for idempotent calls that a server answered with a failure.

Each repeat also retries the calls that the backend server makes.
"""


@dataclass(slots=True, frozen=True)
class RetryBudgetBounds:
    """The fleet's retry budget, from the platform's bounds."""

    ratio: float
    window_s: float
    slack: float


@dataclass(slots=True)
class RetryBudget:
    """Repeats to a service that a node may send in a sliding window."""

    bounds: RetryBudgetBounds
    host_count: int = 1
    _first_attempts_by_service: dict[str, deque[float]] = field(
        default_factory=dict
    )
    _retries_by_service: dict[str, deque[float]] = field(default_factory=dict)

    def record_first_attempt(self, service: str, now_s: float) -> None:
        """Count the first attempt of a call."""
        self._first_attempts_by_service.setdefault(service, deque()).append(
            now_s
        )
        self._discard_expired(self._first_attempts_by_service[service], now_s)

    def try_retry(self, service: str, share: float, now_s: float) -> bool:
        """Count a repeat unless a share of the budget is used up."""
        first_attempts = self._first_attempts_by_service.setdefault(
            service, deque()
        )
        retries = self._retries_by_service.setdefault(service, deque())
        self._discard_expired(first_attempts, now_s)
        self._discard_expired(retries, now_s)
        allowed = share * (
            self.bounds.ratio * len(first_attempts)
            + self.bounds.slack / max(1, self.host_count)
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now_s)
        return True

    def _discard_expired(self, times_s: deque[float], now_s: float) -> None:
        while times_s and times_s[0] <= now_s - self.bounds.window_s:
            times_s.popleft()
