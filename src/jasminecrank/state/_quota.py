"""Quota ledgers: shares of each team's rate and burst."""

from dataclasses import dataclass
from dataclasses import field

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank.state import _invariants
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot


@dataclass(slots=True)
class ShareLedger:
    """One node's share of the rate and burst of one team at a service."""

    limit: _rows.LimitRow
    share_ppb: int
    tokens: float
    minted_at_s: float

    def take(self, now_s: float) -> bool:
        """Take one token if there is one."""
        self._mint(now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self, now_s: float) -> None:
        """Give one token back, up to the share of the burst."""
        self.tokens += 1.0
        self._mint(now_s)

    def wait_s(self) -> float:
        """Return the time until the next token is minted."""
        rate = self.limit.rate * self.share_ppb / const.SHARE_WHOLE
        if rate <= 0.0:
            return const.LOAN_TTL_S
        return max(0.0, (1.0 - self.tokens) / rate)

    def _mint(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.minted_at_s)
        self.minted_at_s = max(self.minted_at_s, now_s)
        share = self.share_ppb / const.SHARE_WHOLE
        cap = share * self.limit.burst
        self.tokens = min(
            cap, self.tokens + elapsed_s * self.limit.rate * share
        )
        _invariants.check(
            exceptions.ResultCode.INVARIANT_QUOTA,
            self.tokens <= self.limit.burst,
            "%s at %s holds %f tokens",
            self.limit.team,
            self.limit.service,
            self.tokens,
        )


@dataclass(slots=True)
class QuotaState:
    """Owns the ledgers of one node."""

    host: str
    started_at_s: float
    by_limit: dict[tuple[str, str], ShareLedger] = field(default_factory=dict)

    @classmethod
    def from_host(cls, host: str, now_s: float) -> "QuotaState":
        """Return the state of a process that has just started."""
        return cls(host, now_s)

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, now_s: float
    ) -> None:
        """Follow the limits and shares of a new snapshot."""
        own = snapshot.by_host.get(self.host)
        if own is None:
            self.by_limit.clear()
            return
        holders = len(snapshot.hosts_by_service[own.service])
        share_ppb = const.SHARE_WHOLE // holders
        by_limit: dict[tuple[str, str], ShareLedger] = {}
        for key, limit in snapshot.by_limit.items():
            if limit.service != own.service:
                continue
            ledger = self.by_limit.get(key)
            tokens = ledger.tokens if ledger else 0.0
            since_s = ledger.minted_at_s if ledger else now_s
            by_limit[key] = ShareLedger(limit, share_ppb, tokens, since_s)
        self.by_limit = by_limit

    def take(
        self, service: str, team: str, now_s: float, repeated: bool = False
    ) -> float | None:
        """Take a token; return None on success, else the wait in seconds.

        A request that waited and tries again says so; it is no new demand.
        """
        del repeated
        ledger = self.by_limit.get((service, team))
        if ledger is None:
            return const.LOAN_TTL_S
        if ledger.take(now_s):
            return None
        return ledger.wait_s()

    def refund(self, service: str, team: str, now_s: float) -> None:
        """Give back the token of a call that did not run."""
        ledger = self.by_limit.get((service, team))
        if ledger is not None:
            ledger.refund(now_s)
