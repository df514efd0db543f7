"""Limits a node's retries to its part of the fleet's retry budget."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import math

from jasminecrank.mesh.state import _host_census

UNANSWERED_RETRY_SHARE = 0.6
"""Share of the fleet's retry budget for calls without a server response.

The rest covers nodes that disagree about the fleet size, and the downstream
calls that backend servers repeat when they run a retried call, as far as they
exceed the part of the budget that the servers' own nodes have for them.
"""
FAILED_RETRY_SHARE = 0.1
"""Share for idempotent calls to which a server responded with a failure.

Each retry also repeats the downstream calls of the backend server.
"""
STARTED_SHARE = 0.3
"""Most of the budget that nodes which have started use.

The platform still counts what was used before, up to the share above.
"""


@dataclass(slots=True, frozen=True)
class RetryBudgetBounds:
    """The fleet-wide retry budget, as bounded by the platform."""

    ratio: float
    window_s: float
    slack: float


@dataclass(slots=True)
class RetryBudget:
    """Counts first attempts and retries per service in a sliding window.

    A node that has started does not know the retries that were made before,
    nor which hosts are cut off. It uses a smaller share of what its calls earn
    for one window, and of the slack until hosts that are cut off no longer
    count; the share of the slack rises in the first window, so that two starts
    in one window stay within the budget. A node that has lost the source uses
    less of the slack too, one window before others no longer count its host.
    """

    bounds: RetryBudgetBounds
    host_count: int = 1
    started_at_s: float = -math.inf
    confirmed_at_s: float | None = None
    """When the source last confirmed the entries; None if not known."""
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

    def record_repeat(self, service: str, now_s: float) -> None:
        """Count the call of a run that is a retry, which can't be refused.

        It leaves fewer retries for other calls, and earns none.
        """
        self._retries_by_service.setdefault(service, deque()).append(now_s)
        self._discard_expired(self._retries_by_service[service], now_s)

    def try_retry(self, service: str, share: float, now_s: float) -> bool:
        """Count a retry and return True unless the budget share is used up."""
        first_attempts = self._first_attempts_by_service.setdefault(
            service, deque()
        )
        retries = self._retries_by_service.setdefault(service, deque())
        self._discard_expired(first_attempts, now_s)
        self._discard_expired(retries, now_s)
        age_s = now_s - self.started_at_s
        earned = self.bounds.ratio * len(first_attempts)
        slack = self.bounds.slack / max(1, self.host_count)
        allowed = (
            min(share, self._max_earned_share(age_s)) * earned
            + min(share, self._max_slack_share(now_s)) * slack
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now_s)
        return True

    def _max_earned_share(self, age_s: float) -> float:
        return 1.0 if age_s >= self.bounds.window_s else STARTED_SHARE

    def _max_slack_share(self, now_s: float) -> float:
        age_s = now_s - self.started_at_s
        if age_s >= max(_host_census.ABSENT_GRANTS_S, self.bounds.window_s):
            return STARTED_SHARE if self._may_be_uncounted(now_s) else 1.0
        risen = min(1.0, age_s / self.bounds.window_s)
        return FAILED_RETRY_SHARE + risen * (
            STARTED_SHARE - FAILED_RETRY_SHARE
        )

    def _may_be_uncounted(self, now_s: float) -> bool:
        """Return whether others may count this host no longer in a window."""
        return (
            self.confirmed_at_s is not None
            and now_s - self.confirmed_at_s
            > _host_census.ABSENT_GRANTS_S - self.bounds.window_s
        )

    def _discard_expired(self, times_s: deque[float], now_s: float) -> None:
        while times_s and times_s[0] <= now_s - self.bounds.window_s:
            times_s.popleft()
