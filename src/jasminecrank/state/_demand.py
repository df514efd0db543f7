"""Recent demand for a quota, and the audit of what one node takes."""

from dataclasses import dataclass
import math

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank.state import _invariants
from jasminecrank.state import _rows

_SLOW_DECAY_S = 1.5
_FAST_DECAY_S = 0.2
_TOKEN_TOLERANCE = 1e-6
"""Tokens by which sums of floats may differ."""


@dataclass(slots=True)
class DemandEstimate:
    """Recent requests per second, averaged with exponential decay.

    The fast average counts only by what it exceeds its own chance
    variation, so that a sudden rise shows at once and noise does not.
    """

    slow_per_s: float
    fast_per_s: float
    updated_at_s: float

    def rate(self, now_s: float) -> float:
        """Return the recent requests per second."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        slow = self.slow_per_s * math.exp(-elapsed_s / _SLOW_DECAY_S)
        fast = self.fast_per_s * math.exp(-elapsed_s / _FAST_DECAY_S)
        return max(slow, fast - math.sqrt(fast / _FAST_DECAY_S))

    def rate_lower_bound(self, now_s: float) -> float:
        """Return a rate that recent demand exceeds almost certainly."""
        rate = self.rate(now_s)
        return max(0.0, rate - 2.0 * math.sqrt(rate / (2 * _SLOW_DECAY_S)))

    def observe(self, now_s: float) -> None:
        """Count one request."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.slow_per_s *= math.exp(-elapsed_s / _SLOW_DECAY_S)
        self.slow_per_s += 1.0 / _SLOW_DECAY_S
        self.fast_per_s *= math.exp(-elapsed_s / _FAST_DECAY_S)
        self.fast_per_s += 1.0 / _FAST_DECAY_S
        self.updated_at_s = max(self.updated_at_s, now_s)


@dataclass(slots=True)
class QuotaAudit:
    """An independent bucket of the whole quota, for invariant 907.

    What one node takes alone must fit in the rate and burst of the team.
    Its tokens may come from peers whose clocks run faster by as much as the
    loan time allows for.
    """

    level: float
    updated_at_s: float

    def count_token(self, limit: _rows.LimitRow, now_s: float) -> None:
        """Count a token and assert that the whole quota has it."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.updated_at_s = max(self.updated_at_s, now_s)
        rate = limit.rate * (1 + const.LOAN_RETURN_MARGIN)
        self.level = max(0.0, self.level - elapsed_s * rate) + 1.0
        _invariants.check(
            exceptions.ResultCode.INVARIANT_QUOTA,
            self.level <= limit.burst + _TOKEN_TOLERANCE,
            "%s at %s took %f tokens in a burst of %d",
            limit.team,
            limit.service,
            self.level,
            limit.burst,
        )
