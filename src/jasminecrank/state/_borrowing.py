"""Decisions on how much to borrow, from which peers and when."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import math

from jasminecrank import const
from jasminecrank.state import _ledger

_RENEW_AHEAD_S = 0.15 + const.QUOTA_TICK_S
"""Remaining time at which a loan is due for renewal."""
_RENEW_BATCH_S = 1.4
"""Remaining time at which a loan is renewed along with others."""
_MIN_REQUEST_INTERVAL_S = 0.01
_GRANT_TIMEOUT_S = 0.25
_DENIAL_BACKOFF_S = 0.125
_DENIAL_BACKOFF_MAX_S = 4.0
_MIN_LENDERS = 2
_DEMAND_HEADROOM = 1.5
_SKEW_THRESHOLD = 1.4
"""Demand, in equal shares, above which load is considered uneven."""
_MIN_RENEWAL_RATIO = 0.02
_BUDGET_BURST_S = 2.0
_EXCHANGE_BYTES = 190
_TEAM_BYTES = 22


def exchange_bytes(teams: Iterable[str]) -> int:
    """Return the size of a request and its grant as link frames."""
    return _EXCHANGE_BYTES + sum(_TEAM_BYTES + len(team) for team in teams)


@dataclass(slots=True)
class ByteBudget:
    """Token bucket that limits the bytes of loan messages."""

    bytes_per_s: float
    available_bytes: float
    updated_at_s: float

    def try_spend(
        self, size_bytes: int, now_s: float, reserve_bytes: int = 0
    ) -> bool:
        """Deduct a message from the budget; return whether it fits."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.updated_at_s = max(self.updated_at_s, now_s)
        self.available_bytes = min(
            _BUDGET_BURST_S * self.bytes_per_s,
            self.available_bytes + elapsed_s * self.bytes_per_s,
        )
        if self.available_bytes < size_bytes + reserve_bytes:
            return False
        self.available_bytes -= size_bytes
        return True


@dataclass(slots=True)
class RequestTracker:
    """Pending and denied loan requests of one team."""

    requested_at_s_by_peer: dict[str, float] = field(default_factory=dict)
    denials_by_peer: dict[str, int] = field(default_factory=dict)
    retry_at_s_by_peer: dict[str, float] = field(default_factory=dict)
    last_request_at_s: float = -math.inf

    def record_request(self, peer: str, now_s: float) -> None:
        """Record a request, which blocks others to the peer for a time."""
        self.requested_at_s_by_peer[peer] = now_s
        self.last_request_at_s = now_s

    def record_grant(self, peer: str, gained: bool, now_s: float) -> None:
        """Record a grant; one that adds nothing delays the next request."""
        self.requested_at_s_by_peer.pop(peer, None)
        if not gained:
            denials = self.denials_by_peer.get(peer, 0)
            self.denials_by_peer[peer] = denials + 1
            delay_s = min(
                _DENIAL_BACKOFF_MAX_S,
                _DENIAL_BACKOFF_S * 2.0 ** min(denials, 8),
            )
            self.retry_at_s_by_peer[peer] = now_s + delay_s
        else:
            self.denials_by_peer.pop(peer, None)
            self.retry_at_s_by_peer.pop(peer, None)

    def awaits_grant(self, now_s: float) -> bool:
        """Return whether a grant may still arrive."""
        return any(
            now_s - at_s < _GRANT_TIMEOUT_S
            for at_s in self.requested_at_s_by_peer.values()
        )

    def may_request(self, peer: str, now_s: float) -> bool:
        """Return whether a request may be sent to the peer."""
        requested_at_s = self.requested_at_s_by_peer.get(peer, -math.inf)
        retry_at_s = self.retry_at_s_by_peer.get(peer, -math.inf)
        return (
            now_s - requested_at_s >= _GRANT_TIMEOUT_S and now_s >= retry_at_s
        )


@dataclass(slots=True, frozen=True)
class LoanPlan:
    """Total shares to request from each peer.

    A long-term loan serves load that is concentrated on this host. A
    short-term loan transfers tokens: it expires before the lender has lost
    many newly generated tokens, and the borrower keeps the tokens that fit
    its own share.
    """

    long_term: bool
    share_by_peer: dict[str, int]


_NO_LOANS = LoanPlan(False, {})


def is_renewal_due(
    ledger: _ledger.ShareLedger, lender: str, now_s: float
) -> bool:
    """Return whether a long-term loan expires soon and needs renewal."""
    loan = ledger.long_term_loan_from(lender)
    return loan is not None and loan.expires_at_s - now_s <= _RENEW_AHEAD_S


def plan_renewals(
    ledger: _ledger.ShareLedger, equal_share_ppb: int, now_s: float
) -> dict[str, int]:
    """Return the shares to renew by lender, for loans still needed."""
    loan_by_lender = {
        lender: loan
        for lender in ledger.borrowed_by_lender
        if (loan := ledger.long_term_loan_from(lender)) is not None
    }
    total_ppb = sum(loan.share_ppb for loan in loan_by_lender.values())
    if total_ppb == 0:
        return {}
    needed_ppb = target_share_ppb(
        ledger, equal_share_ppb, now_s
    ) - ledger.free_ppb(now_s)
    ratio = min(1.0, needed_ppb / total_ppb)
    if ratio < _MIN_RENEWAL_RATIO:
        return {}
    return {
        lender: int(loan.share_ppb * ratio)
        for lender, loan in loan_by_lender.items()
        if loan.expires_at_s - now_s <= _RENEW_BATCH_S
    }


def plan_loans(
    ledger: _ledger.ShareLedger,
    tracker: RequestTracker,
    peers: Sequence[str],
    now_s: float,
) -> LoanPlan:
    """Return the shares to request if demand needs more than is held.

    Several peers are asked at once, each for more than its part, because a
    busy peer grants nothing. Peers at the start of `peers` are preferred.
    """
    if (
        now_s - tracker.last_request_at_s < _MIN_REQUEST_INTERVAL_S
        or not peers
    ):
        return _NO_LOANS
    watermark = ledger.low_watermark(now_s)
    if ledger.tokens >= watermark or not ledger.has_demand(now_s):
        return _NO_LOANS
    equal_share_ppb = math.ceil(const.FULL_SHARE_PPB / (len(peers) + 1))
    share_ppb = ledger.share_ppb(now_s)
    missing_ppb = target_share_ppb(ledger, equal_share_ppb, now_s) - share_ppb
    long_term = missing_ppb > 0
    if not long_term:
        tokens = 2.0 * watermark - ledger.tokens
        missing_ppb = int(tokens / ledger.limit.burst * const.FULL_SHARE_PPB)
    missing_ppb = min(missing_ppb, const.FULL_SHARE_PPB - share_ppb)
    room_by_peer = {
        peer: equal_share_ppb - ledger.borrowed_from_ppb(peer)
        for peer in peers
        if tracker.may_request(peer, now_s)
    }
    lenders = [
        peer
        for peer, ppb in room_by_peer.items()
        if ppb > equal_share_ppb // 8
    ]
    if missing_ppb <= 0 or not lenders:
        return _NO_LOANS
    count = max(_MIN_LENDERS, math.ceil(1.5 * missing_ppb / equal_share_ppb))
    chosen = lenders[:count]
    part_ppb = int(1.5 * missing_ppb / len(chosen)) + 1
    return LoanPlan(
        long_term,
        {
            peer: ledger.borrowed_from_ppb(peer)
            + min(room_by_peer[peer], part_ppb)
            for peer in chosen
        },
    )


def target_share_ppb(
    ledger: _ledger.ShareLedger, equal_share_ppb: int, now_s: float
) -> int:
    """Return the total share needed if load is concentrated here, else 0."""
    whole, rate = const.FULL_SHARE_PPB, ledger.limit.rate
    if (
        ledger.demand.rate_lower_bound(now_s) * whole
        < _SKEW_THRESHOLD * equal_share_ppb * rate
    ):
        return 0
    demand = ledger.demand.rate(now_s) / rate
    share = (
        _DEMAND_HEADROOM * demand
        + ledger.reserve_tokens(now_s) / ledger.limit.burst
    )
    return min(whole, int(share * whole))
