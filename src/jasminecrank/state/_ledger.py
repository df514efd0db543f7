"""Ledger of one team's quota on one node."""

from dataclasses import dataclass
from dataclasses import field
import math
import zlib

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank.state import _demand
from jasminecrank.state import _invariants
from jasminecrank.state import _rows

_MIN_DEMAND_PER_S = 0.1
_GRANT_LATENCY_S = 0.05
_TOKEN_TOLERANCE = 1e-6
"""Rounding error of sums of floating-point tokens."""


@dataclass(slots=True, frozen=True)
class BorrowedShare:
    """Share borrowed from a peer by one granted request."""

    loan_id: int
    share_ppb: int
    expires_at_s: float
    long_term: bool


@dataclass(slots=True, frozen=True)
class LentShare:
    """Share that a borrower may use and that returns at a given time."""

    loan_id: int
    share_ppb: int
    returns_at_s: float


@dataclass(slots=True, frozen=True)
class Grant:
    """Share and tokens that a lender deducted for a borrower."""

    share_ppb: int
    tokens: float


@dataclass(slots=True)
class ShareLedger:
    """Share and token bucket of one team on one node.

    Callers pass the current time to every method that depends on it.
    """

    limit: _rows.LimitRow
    own_ppb: int
    tokens: float
    refilled_at_s: float
    share_withheld_until_s: float
    demand: _demand.DemandEstimate
    audit: _demand.QuotaAudit
    borrowed_by_lender: dict[str, tuple[BorrowedShare, ...]] = field(
        default_factory=dict
    )
    last_id_by_lender: dict[str, int] = field(default_factory=dict)
    lent_by_borrower: dict[str, tuple[LentShare, ...]] = field(
        default_factory=dict
    )

    @classmethod
    def from_limit(
        cls,
        limit: _rows.LimitRow,
        own_ppb: int,
        now_s: float,
        share_withheld_until_s: float,
    ) -> "ShareLedger":
        """Return an empty ledger that withholds its own share at first."""
        return cls(
            limit=limit,
            own_ppb=own_ppb,
            tokens=0.0,
            refilled_at_s=now_s,
            share_withheld_until_s=share_withheld_until_s,
            demand=_demand.DemandEstimate(0.0, 0.0, now_s),
            audit=_demand.QuotaAudit(0.0, now_s),
        )

    def update(
        self, limit: _rows.LimitRow, own_ppb: int, now_s: float
    ) -> None:
        """Apply a new limit or own share and drop the tokens above it.

        A lower limit empties the ledger: tokens generated under the higher
        limit must not be lent to peers that never used it.
        """
        self.refill(now_s)
        if limit != self.limit:
            self.audit = _demand.QuotaAudit(0.0, now_s)
        if limit.rate < self.limit.rate or limit.burst < self.limit.burst:
            self.tokens = 0.0
        self.limit = limit
        self.own_ppb = own_ppb
        self._clamp(now_s)

    def take(self, now_s: float) -> bool:
        """Take one token if available; return whether it was."""
        self.refill(now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.audit.count_token(self.limit, now_s)
        return True

    def refund(self, now_s: float) -> None:
        """Return the token of a request that did not run."""
        self.refill(now_s)
        self.tokens += 1.0
        self.audit.level = max(0.0, self.audit.level - 1.0)
        self._clamp(now_s)

    def holds_token(self, now_s: float) -> bool:
        """Return whether a token is available or the share cannot hold one."""
        self.refill(now_s)
        share_ppb = self.share_ppb(now_s)
        return (
            self.tokens >= 1.0
            or share_ppb * self.limit.burst < const.FULL_SHARE_PPB
        )

    def limit_crc(self) -> int:
        """Return a checksum of the current rate and burst."""
        return zlib.crc32(f"{self.limit.rate}/{self.limit.burst}".encode())

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next token is available."""
        share = self.share_ppb(now_s) / const.FULL_SHARE_PPB
        rate = self.limit.rate * share
        if rate <= 0.0 or share * self.limit.burst < 1.0:
            return const.LOAN_TTL_S
        return min(const.LOAN_TTL_S, max(0.0, (1.0 - self.tokens) / rate))

    def refill(self, now_s: float) -> None:
        """Add the tokens generated since the last refill.

        A loan that began or ended in this period counts for neither lender
        nor borrower for the whole period, so that the shares of all hosts
        never add up to more than the quota.
        """
        elapsed_s = max(0.0, now_s - self.refilled_at_s)
        share_ppb = self._unlent_ppb(self.refilled_at_s) + self._borrowed_ppb(
            now_s
        )
        self.refilled_at_s = max(self.refilled_at_s, now_s)
        share = share_ppb / const.FULL_SHARE_PPB
        self.tokens += elapsed_s * self.limit.rate * share
        self._drop_expired(now_s)
        self._clamp(now_s)

    def share_ppb(self, now_s: float) -> int:
        """Return the share that generates tokens now."""
        return self._unlent_ppb(now_s) + self._borrowed_ppb(now_s)

    def free_ppb(self, now_s: float) -> int:
        """Return the part of the own share that is not lent."""
        return self._unlent_ppb(now_s)

    def borrowed_from_ppb(self, lender: str) -> int:
        """Return the share borrowed from one peer."""
        loans = self.borrowed_by_lender.get(lender, ())
        return max((loan.share_ppb for loan in loans), default=0)

    def long_term_loan_from(self, lender: str) -> BorrowedShare | None:
        """Return the long-term loan from a peer that expires last."""
        loans = [
            loan for loan in self.borrowed_by_lender[lender] if loan.long_term
        ]
        return max(loans, key=lambda loan: loan.expires_at_s, default=None)

    def has_demand(self, now_s: float) -> bool:
        """Return whether recent demand is above the minimum."""
        return self.demand.rate(now_s) >= _MIN_DEMAND_PER_S

    def reserve_tokens(self, now_s: float) -> float:
        """Return the tokens that absorb short-term variation of demand."""
        rate = self.demand.rate(now_s)
        return 1.0 + 0.5 * math.sqrt(rate)

    def low_watermark(self, now_s: float) -> float:
        """Return the tokens below which more are requested from peers.

        They cover the requests that arrive while a grant is in transit.
        """
        margin = 3.0 * math.sqrt(self.demand.rate(now_s) * _GRANT_LATENCY_S)
        share = max(self.own_ppb, self.share_ppb(self.refilled_at_s))
        cap = share * self.limit.burst / const.FULL_SHARE_PPB
        return 1.0 + min(0.25 * cap, margin)

    def spare_ppb(self, ttl_s: float, now_s: float) -> int:
        """Return the share that this node can lend for a time.

        The remaining tokens and those generated in this time must cover
        recent demand and its statistical variation.
        """
        demand = self.demand.rate(now_s)
        rate, burst = self.limit.rate, self.limit.burst
        share = self.share_ppb(now_s) / const.FULL_SHARE_PPB
        reserved = 0.0
        if demand >= _MIN_DEMAND_PER_S:
            reserved = 1.0 + 2.0 * math.sqrt(demand * ttl_s)
        tokens = self.tokens + (share * rate - demand) * ttl_s - reserved
        return int(tokens / (burst + rate * ttl_s) * const.FULL_SHARE_PPB)

    def lend(
        self,
        borrower: str,
        loan_id: int,
        wanted_ppb: int,
        ttl_s: float,
        now_s: float,
        lend_all: bool,
    ) -> Grant:
        """Deduct a loan from this ledger and return what is granted.

        Tokens are lent only with a share that was not lent to the borrower
        before, because the burst of that share covers tokens in transit. A
        request that arrives after a later one gets nothing, because the
        borrower would count the tokens of both grants for the same share.
        """
        self.refill(now_s)
        entries = self.lent_by_borrower.get(borrower, ())
        if any(entry.loan_id >= loan_id for entry in entries):
            return Grant(0, 0.0)
        before_ppb = self._lent_ppb(borrower)
        free_ppb = self._unlent_ppb(now_s)
        spare_ppb = free_ppb if lend_all else self.spare_ppb(ttl_s, now_s)
        share_ppb = min(
            wanted_ppb,
            before_ppb + min(free_ppb, spare_ppb),
            self._lendable_ppb(borrower, now_s),
        )
        if share_ppb <= 0:
            return Grant(0, 0.0)
        moved_ppb = max(0, share_ppb - before_ppb)
        burst = moved_ppb * self.limit.burst / const.FULL_SHARE_PPB
        tokens = max(0.0, min(burst, self.tokens))
        self.tokens -= tokens
        returns_at_s = now_s + ttl_s * (1 + const.LOAN_RETURN_MARGIN)
        entry = LentShare(loan_id, share_ppb, returns_at_s)
        self.lent_by_borrower[borrower] = (*entries, entry)
        self._clamp(now_s)
        self._check(
            self._unlent_ppb(now_s) == free_ppb - moved_ppb, "lent share"
        )
        return Grant(share_ppb, tokens)

    def accept(
        self, lender: str, loan: BorrowedShare, tokens: float, now_s: float
    ) -> bool:
        """Add a loan; return False if it is expired or superseded."""
        self.refill(now_s)
        if loan.loan_id <= self.last_id_by_lender.get(lender, -1):
            return False
        if loan.expires_at_s <= now_s:
            return False
        self.last_id_by_lender[lender] = loan.loan_id
        self.borrowed_by_lender[lender] = (
            *self.borrowed_by_lender.get(lender, ()),
            loan,
        )
        self.tokens += tokens
        self._clamp(now_s)
        return True

    def _unlent_ppb(self, now_s: float) -> int:
        if now_s < self.share_withheld_until_s:
            return 0
        return max(
            0, self.own_ppb - sum(map(self._lent_ppb, self.lent_by_borrower))
        )

    def _lendable_ppb(self, borrower: str, now_s: float) -> int:
        """Return the own share that is not lent to other borrowers.

        It limits renewals too, because the own share may have become
        smaller since the loan was granted.
        """
        if now_s < self.share_withheld_until_s:
            return 0
        others = (peer for peer in self.lent_by_borrower if peer != borrower)
        return self.own_ppb - sum(map(self._lent_ppb, others))

    def _borrowed_ppb(self, now_s: float) -> int:
        return sum(
            max(
                (
                    loan.share_ppb
                    for loan in loans
                    if loan.expires_at_s > now_s
                ),
                default=0,
            )
            for loans in self.borrowed_by_lender.values()
        )

    def _lent_ppb(self, borrower: str) -> int:
        entries = self.lent_by_borrower.get(borrower, ())
        return max((entry.share_ppb for entry in entries), default=0)

    def _drop_expired(self, now_s: float) -> None:
        for lender, loans in tuple(self.borrowed_by_lender.items()):
            active_loans = tuple(
                loan for loan in loans if loan.expires_at_s > now_s
            )
            if active_loans:
                self.borrowed_by_lender[lender] = active_loans
            else:
                del self.borrowed_by_lender[lender]
        for borrower, entries in tuple(self.lent_by_borrower.items()):
            active_entries = tuple(
                entry for entry in entries if entry.returns_at_s > now_s
            )
            if active_entries:
                self.lent_by_borrower[borrower] = active_entries
            else:
                del self.lent_by_borrower[borrower]

    def _clamp(self, now_s: float) -> None:
        share_ppb = self.share_ppb(now_s)
        self._check(0 <= share_ppb <= const.FULL_SHARE_PPB, "share")
        cap = share_ppb * self.limit.burst / const.FULL_SHARE_PPB
        self.tokens = min(cap, self.tokens)
        self._check(self.tokens >= -_TOKEN_TOLERANCE, "tokens")

    def _check(self, holds: bool, what: str) -> None:
        _invariants.check(
            exceptions.ResultCode.INVARIANT_QUOTA,
            holds,
            "invalid %s for team %s of service %s: "
            "own share %d ppb, borrowed %s, lent %s, %f tokens",
            what,
            self.limit.team,
            self.limit.service,
            self.own_ppb,
            self.borrowed_by_lender,
            self.lent_by_borrower,
            self.tokens,
        )
