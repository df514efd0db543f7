"""Limits a node's retries to its part of the fleet's retry budget."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

UNANSWERED_RETRY_SHARE = 0.6
"""Share of the fleet's retry budget for calls without a server response.

The rest covers nodes that disagree about the fleet size, and the downstream
calls that backend servers repeat when they run a retried call.
"""
FAILED_RETRY_SHARE = 0.1
"""Share for idempotent calls to which a server responded with a failure.

Each retry also repeats the downstream calls of the backend server.
"""


@dataclass(slots=True, frozen=True)
class RetryBudgetBounds:
    """The fleet-wide retry budget, as bounded by the platform."""

    ratio: float
    window_s: float
    slack: float


@dataclass(slots=True)
class RetryBudget:
    """Counts first attempts and retries per service in a sliding window."""

    bounds: RetryBudgetBounds
    host_count: int = 1
    _first_attempts_by_service: dict[str, deque[float]] = field(
        default_factory=dict
    )
    _retries_by_service: dict[str, deque[float]] = field(default_factory=dict)

    def record_first_attempt(self, service: str, now_s: float) -> None:
        """Add a first attempt, which raises the number of allowed retries."""
        self._first_attempts_by_service.setdefault(service, deque()).append(
            now_s
        )
        self._discard_expired(self._first_attempts_by_service[service], now_s)

    def try_retry(self, service: str, share: float, now_s: float) -> bool:
        """Count a retry and return True unless the budget share is used up."""
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
