"""How much to borrow, from whom, and how often to ask."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import math

from jasminecrank import const
from jasminecrank.state import _ledger

_RENEW_AHEAD_S = 0.15 + const.QUOTA_TICK_S
"""Time left of a loan at which it is asked for again."""
_RENEW_WITH_S = 1.4
"""Time left at which a loan is renewed along with others, in one ask."""
_ASK_GAP_S = 0.01
_ANSWER_WAIT_S = 0.25
_DENIED_S = 0.125
_DENIED_MAX_S = 4.0
_PEERS_AT_ONCE = 2
_KEEP_FACTOR = 1.5
_RISE = 1.4
"""Demand in equal shares above which callers are not spread evenly."""
_SMALLEST_PART = 0.02
_BUDGET_TIME_S = 2.0
_PAIR_BYTES = 190
_TEAM_BYTES = 22


def pair_bytes(teams: Iterable[str]) -> int:
    """Return the size of an ask and its answer as frames of a link."""
    return _PAIR_BYTES + sum(_TEAM_BYTES + len(team) for team in teams)


@dataclass(slots=True)
class ByteBudget:
    """Bounds the bytes of loan messages with a token bucket."""

    rate: float
    left_bytes: float
    at_s: float

    def spend(
        self, size_bytes: int, now_s: float, keep_bytes: int = 0
    ) -> bool:
        """Return whether a message of this size may be sent."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.at_s = max(self.at_s, now_s)
        self.left_bytes = min(
            _BUDGET_TIME_S * self.rate,
            self.left_bytes + elapsed_s * self.rate,
        )
        if self.left_bytes < size_bytes + keep_bytes:
            return False
        self.left_bytes -= size_bytes
        return True


@dataclass(slots=True)
class TeamAsks:
    """The asks of one team that are under way or were turned down."""

    asked_at_by_peer: dict[str, float] = field(default_factory=dict)
    denials_by_peer: dict[str, int] = field(default_factory=dict)
    free_at_by_peer: dict[str, float] = field(default_factory=dict)
    last_at_s: float = -math.inf

    def asked(self, peer: str, now_s: float) -> None:
        """Note an ask."""
        self.asked_at_by_peer[peer] = now_s
        self.last_at_s = now_s

    def answered(self, peer: str, gained: bool, now_s: float) -> None:
        """Note an answer and whether it brought anything."""
        self.asked_at_by_peer.pop(peer, None)
        if not gained:
            denials = self.denials_by_peer.get(peer, 0)
            self.denials_by_peer[peer] = denials + 1
            delay_s = min(_DENIED_MAX_S, _DENIED_S * 2.0 ** min(denials, 8))
            self.free_at_by_peer[peer] = now_s + delay_s
        else:
            self.denials_by_peer.pop(peer, None)
            self.free_at_by_peer.pop(peer, None)

    def is_waiting(self, now_s: float) -> bool:
        """Return whether an answer may still come."""
        return any(
            now_s - at_s < _ANSWER_WAIT_S
            for at_s in self.asked_at_by_peer.values()
        )

    def may_ask(self, peer: str, now_s: float) -> bool:
        """Return whether the peer is free to be asked."""
        asked_at_s = self.asked_at_by_peer.get(peer, -math.inf)
        free_at_s = self.free_at_by_peer.get(peer, -math.inf)
        return now_s - asked_at_s >= _ANSWER_WAIT_S and now_s >= free_at_s


@dataclass(slots=True, frozen=True)
class LoanPlan:
    """The whole shares to ask for by peer.

    A lasting loan follows callers that come mostly here. A short one moves
    tokens: it ends before the lender has lost much of what it mints, and
    the borrower keeps the tokens that fit its own share.
    """

    lasting: bool
    share_by_peer: dict[str, int]


_NO_LOANS = LoanPlan(False, {})


def is_ending(ledger: _ledger.ShareLedger, lender: str, now_s: float) -> bool:
    """Return whether a lasting loan ends so soon that it is renewed."""
    loan = ledger.lasting_from(lender)
    return loan is not None and loan.expires_at_s - now_s <= _RENEW_AHEAD_S


def plan_renewals(
    ledger: _ledger.ShareLedger, usual_ppb: int, now_s: float
) -> dict[str, int]:
    """Return the shares to keep by lender, for loans worth renewing."""
    loan_by_lender = {
        lender: loan
        for lender in ledger.borrowed
        if (loan := ledger.lasting_from(lender)) is not None
    }
    total_ppb = sum(loan.share_ppb for loan in loan_by_lender.values())
    if total_ppb == 0:
        return {}
    keep_ppb = rise_ppb(ledger, usual_ppb, now_s) - ledger.free_ppb(now_s)
    ratio = min(1.0, keep_ppb / total_ppb)
    if ratio < _SMALLEST_PART:
        return {}
    return {
        lender: int(loan.share_ppb * ratio)
        for lender, loan in loan_by_lender.items()
        if loan.expires_at_s - now_s <= _RENEW_WITH_S
    }


def plan_loans(
    ledger: _ledger.ShareLedger,
    asks: TeamAsks,
    peers: Sequence[str],
    now_s: float,
) -> LoanPlan:
    """Return what to ask for, if demand calls for more than is held.

    Several peers are asked at once, each for more than its part, because
    one that is busy itself gives nothing. The first ones are preferred.
    """
    if now_s - asks.last_at_s < _ASK_GAP_S or not peers:
        return _NO_LOANS
    low = ledger.low_water(now_s)
    if ledger.tokens >= low or not ledger.has_demand(now_s):
        return _NO_LOANS
    usual_ppb = math.ceil(const.SHARE_WHOLE / (len(peers) + 1))
    share_ppb = ledger.share_ppb(now_s)
    lacking_ppb = rise_ppb(ledger, usual_ppb, now_s) - share_ppb
    lasting = lacking_ppb > 0
    if not lasting:
        tokens = 2.0 * low - ledger.tokens
        lacking_ppb = int(tokens / ledger.limit.burst * const.SHARE_WHOLE)
    lacking_ppb = min(lacking_ppb, const.SHARE_WHOLE - share_ppb)
    room_by_peer = {
        peer: usual_ppb - ledger.borrowed_from(peer)
        for peer in peers
        if asks.may_ask(peer, now_s)
    }
    free = [peer for peer, ppb in room_by_peer.items() if ppb > usual_ppb // 8]
    if lacking_ppb <= 0 or not free:
        return _NO_LOANS
    count = max(_PEERS_AT_ONCE, math.ceil(1.5 * lacking_ppb / usual_ppb))
    chosen = free[:count]
    part_ppb = int(1.5 * lacking_ppb / len(chosen)) + 1
    return LoanPlan(
        lasting,
        {
            peer: ledger.borrowed_from(peer)
            + min(room_by_peer[peer], part_ppb)
            for peer in chosen
        },
    )


def rise_ppb(ledger: _ledger.ShareLedger, usual_ppb: int, now_s: float) -> int:
    """Return the whole share for callers that come mostly here, else 0."""
    whole, rate = const.SHARE_WHOLE, ledger.limit.rate
    if ledger.demand.firm_rate(now_s) * whole < _RISE * usual_ppb * rate:
        return 0
    demand = ledger.demand.rate(now_s) / rate
    share = _KEEP_FACTOR * demand + ledger.reserve(now_s) / ledger.limit.burst
    return min(whole, int(share * whole))
