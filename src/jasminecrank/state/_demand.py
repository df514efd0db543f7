"""Demand estimate for a quota, and the audit of one node's usage."""

from dataclasses import dataclass
import math

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank.state import _invariants
from jasminecrank.state import _rows

_SLOW_DECAY_S = 1.5
_FAST_DECAY_S = 0.2
_TOKEN_TOLERANCE = 1e-6
"""Rounding error of sums of floating-point tokens."""


@dataclass(slots=True)
class DemandEstimate:
    """Request rate as the larger of two exponential moving averages.

    The fast average is reduced by its statistical variation, so that it
    reports a sudden rise at once and ignores noise.
    """

    slow_per_s: float
    fast_per_s: float
    updated_at_s: float

    def rate(self, now_s: float) -> float:
        """Return the estimated requests per second."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        slow = self.slow_per_s * math.exp(-elapsed_s / _SLOW_DECAY_S)
        fast = self.fast_per_s * math.exp(-elapsed_s / _FAST_DECAY_S)
        return max(slow, fast - math.sqrt(fast / _FAST_DECAY_S))

    def rate_lower_bound(self, now_s: float) -> float:
        """Return a rate that recent demand almost certainly exceeds."""
        rate = self.rate(now_s)
        return max(0.0, rate - 2.0 * math.sqrt(rate / (2 * _SLOW_DECAY_S)))

    def observe(self, now_s: float) -> None:
        """Add one request to both averages."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.slow_per_s *= math.exp(-elapsed_s / _SLOW_DECAY_S)
        self.slow_per_s += 1.0 / _SLOW_DECAY_S
        self.fast_per_s *= math.exp(-elapsed_s / _FAST_DECAY_S)
        self.fast_per_s += 1.0 / _FAST_DECAY_S
        self.updated_at_s = max(self.updated_at_s, now_s)


@dataclass(slots=True)
class QuotaAudit:
    """Leaky bucket that checks one node against the whole quota.

    It asserts invariant 907 independently of the ledger: the tokens that
    one node takes must fit in the rate and burst of the team. The rate
    includes the margin of the loan time for clock drift, because tokens
    may come from peers whose clocks run faster.
    """

    level: float
    updated_at_s: float

    def count_token(self, limit: _rows.LimitRow, now_s: float) -> None:
        """Count a token and assert that the whole quota covers it."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.updated_at_s = max(self.updated_at_s, now_s)
        rate = limit.rate * (1 + const.LOAN_RETURN_MARGIN)
        self.level = max(0.0, self.level - elapsed_s * rate) + 1.0
        _invariants.check(
            exceptions.ResultCode.INVARIANT_QUOTA,
            self.level <= limit.burst + _TOKEN_TOLERANCE,
            "team %s of service %s took %f tokens, above its burst of %d",
            limit.team,
            limit.service,
            self.level,
            limit.burst,
        )
