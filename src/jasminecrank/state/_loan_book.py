"""Loans of one node: requested, granted and accepted."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import enum
import random

from jasminecrank import const
from jasminecrank.state import _borrowing
from jasminecrank.state import _ledger
from jasminecrank.state import _quota_messages

_LOAN_ID_BITS = 31


class QuotaPolicy(enum.Enum):
    """Whether hosts keep equal shares or lend them to each other."""

    EQUAL_SHARES = "equal-shares"
    LOANS = "loans"


@dataclass(slots=True, frozen=True)
class _PendingRequest:
    peer: str
    requested_at_s: float
    service: str
    ttl_s: float
    shares: tuple[_quota_messages.ShareRequest, ...]


@dataclass(slots=True)
class LoanManager:
    """Requests loans from peers and replies to their requests.

    It shares the ledgers and the outbox with its quota state.
    """

    host: str
    policy: QuotaPolicy
    rng: random.Random
    by_limit: dict[tuple[str, str], _ledger.ShareLedger]
    outbox: list[_quota_messages.OutgoingMessage]
    request_budget: _borrowing.ByteBudget
    answer_budget: _borrowing.ByteBudget
    next_loan_id: int
    service: str = ""
    service_hosts: frozenset[str] = frozenset()
    peers: set[str] = field(default_factory=set)
    lend_all: bool = False
    tracker_by_team: dict[str, _borrowing.RequestTracker] = field(
        default_factory=dict
    )
    pending_by_id: dict[int, _PendingRequest] = field(default_factory=dict)
    peer_offset: int = 0

    @classmethod
    def from_ledgers(
        cls,
        host: str,
        policy: QuotaPolicy,
        rng: random.Random,
        by_limit: dict[tuple[str, str], _ledger.ShareLedger],
        outbox: list[_quota_messages.OutgoingMessage],
        now_s: float,
    ) -> "LoanManager":
        """Return the manager of a process that has just started."""
        return cls(
            host=host,
            policy=policy,
            rng=rng,
            by_limit=by_limit,
            outbox=outbox,
            request_budget=_borrowing.ByteBudget(
                const.LOAN_REQUEST_BYTES_PER_S, 0.0, now_s
            ),
            answer_budget=_borrowing.ByteBudget(
                const.LOAN_ANSWER_BYTES_PER_S, 0.0, now_s
            ),
            # The previous process of this host may have requests in transit,
            # so a random start keeps its loan IDs apart.
            next_loan_id=rng.getrandbits(_LOAN_ID_BITS),
        )

    def change_service(self, service: str) -> None:
        """Drop the requests to hosts of the previous service."""
        self.service = service
        self.tracker_by_team.clear()
        self.pending_by_id.clear()

    def awaits_grant(self, team: str, now_s: float) -> bool:
        """Return whether a grant for a team may still arrive."""
        tracker = self.tracker_by_team.get(team)
        return tracker is not None and tracker.awaits_grant(now_s)

    def is_active(self) -> bool:
        """Return whether requests are pending or loans may need renewal."""
        return bool(self.pending_by_id) or any(
            ledger.borrowed_by_lender for ledger in self.by_limit.values()
        )

    def tick(self, now_s: float) -> None:
        """Drop requests whose grant would be expired, and renew loans."""
        self.peer_offset = self.rng.getrandbits(16)
        for loan_id, request in tuple(self.pending_by_id.items()):
            if now_s - request.requested_at_s >= const.LOAN_TTL_S:
                del self.pending_by_id[loan_id]
        self._renew(now_s)

    def lend(
        self, host: str, request: _quota_messages.LoanRequest, now_s: float
    ) -> None:
        """Reply to the request of a peer, within the byte budget."""
        if self.policy is not QuotaPolicy.LOANS:
            return
        teams = [wanted.team for wanted in request.shares]
        size_bytes = _borrowing.exchange_bytes(teams) // 2
        if not self.answer_budget.try_spend(size_bytes, now_s):
            return
        shares = tuple(
            self._lend_share(host, request, wanted, now_s)
            for wanted in request.shares
        )
        self._send(host, _quota_messages.LoanGrant(request.loan_id, shares))

    def _lend_share(
        self,
        host: str,
        request: _quota_messages.LoanRequest,
        wanted: _quota_messages.ShareRequest,
        now_s: float,
    ) -> _quota_messages.ShareGrant:
        ledger = self.by_limit.get((request.service, wanted.team))
        if (
            ledger is None
            or host not in self.service_hosts
            or wanted.limit_crc != ledger.limit_crc()
        ):
            return _quota_messages.ShareGrant(0, 0.0)
        grant = ledger.lend(
            host,
            request.loan_id,
            wanted.share_ppb,
            min(request.ttl_s, const.LOAN_TTL_S),
            now_s,
            self._lends_all(ledger, host),
        )
        return _quota_messages.ShareGrant(grant.share_ppb, grant.tokens)

    def _lends_all(self, ledger: _ledger.ShareLedger, host: str) -> bool:
        """Return whether to lend the share regardless of own demand.

        If the burst is so small that the own share holds no whole token,
        only one host at a time can use it: the host with the lowest name
        that has calls gets it.
        """
        own_burst_ppb = ledger.own_ppb * ledger.limit.burst
        yields_share = (
            own_burst_ppb < const.FULL_SHARE_PPB and host < self.host
        )
        return self.lend_all or yields_share

    def accept(
        self, host: str, grant: _quota_messages.LoanGrant, now_s: float
    ) -> None:
        """Add the loans that a peer has granted."""
        request = self.pending_by_id.get(grant.loan_id)
        if request is None or request.peer != host:
            return
        del self.pending_by_id[grant.loan_id]
        for wanted, granted in zip(request.shares, grant.shares, strict=False):
            team = wanted.team
            ledger = self.by_limit.get((request.service, team))
            if ledger is None or wanted.limit_crc != ledger.limit_crc():
                continue
            gained = granted.share_ppb > ledger.borrowed_from_ppb(host)
            self._tracker(team).record_grant(host, gained, now_s)
            if granted.share_ppb > 0:
                loan = _ledger.BorrowedShare(
                    grant.loan_id,
                    granted.share_ppb,
                    request.requested_at_s + request.ttl_s,
                    request.ttl_s == const.LOAN_TTL_S,
                )
                ledger.accept(host, loan, granted.tokens, now_s)
            self.borrow(ledger, now_s)

    def borrow(self, ledger: _ledger.ShareLedger, now_s: float) -> None:
        """Request loans for a team, and for others in the same requests."""
        if self.policy is not QuotaPolicy.LOANS:
            return
        peers = self._rotated_peers()
        first_plan = self._plan(ledger, peers, now_s)
        if not first_plan.share_by_peer:
            return
        shares_by_peer = {
            peer: {ledger.limit.team: share_ppb}
            for peer, share_ppb in first_plan.share_by_peer.items()
        }
        for other in self.by_limit.values():
            if other is ledger:
                continue
            other.refill(now_s)
            plan = self._plan(other, peers, now_s)
            if plan.long_term != first_plan.long_term:
                continue
            for peer, share_ppb in plan.share_by_peer.items():
                share_by_team = shares_by_peer.setdefault(peer, {})
                share_by_team[other.limit.team] = share_ppb
        ttl_s = (
            const.LOAN_TTL_S
            if first_plan.long_term
            else const.LOAN_SHORT_TTL_S
        )
        for peer, share_by_team in shares_by_peer.items():
            self._request_shares(
                peer,
                share_by_team,
                ttl_s,
                now_s,
                const.LOAN_REQUEST_BYTES_PER_S // 2,
            )

    def _plan(
        self,
        ledger: _ledger.ShareLedger,
        peers: Sequence[str],
        now_s: float,
    ) -> _borrowing.LoanPlan:
        tracker = self._tracker(ledger.limit.team)
        return _borrowing.plan_loans(ledger, tracker, peers, now_s)

    def _rotated_peers(self) -> list[str]:
        """Return the peers from an offset that differs by node and time."""
        peers = sorted(self.peers & self.service_hosts)
        start = self.peer_offset % len(peers) if peers else 0
        return peers[start:] + peers[:start]

    def _renew(self, now_s: float) -> None:
        """Renew loans that expire soon, with others of the same lenders."""
        shares_by_peer: dict[str, dict[str, int]] = {}
        due_peers: set[str] = set()
        equal_share_ppb = const.FULL_SHARE_PPB // max(
            1, len(self.service_hosts)
        )
        for ledger in self.by_limit.values():
            ledger.refill(now_s)
            team = ledger.limit.team
            renewals = _borrowing.plan_renewals(ledger, equal_share_ppb, now_s)
            for peer, share_ppb in renewals.items():
                if peer not in self.peers:
                    continue
                shares_by_peer.setdefault(peer, {})[team] = share_ppb
                if _borrowing.is_renewal_due(ledger, peer, now_s):
                    due_peers.add(peer)
        for peer in sorted(due_peers):
            share_by_team = shares_by_peer[peer]
            self._request_shares(
                peer, share_by_team, const.LOAN_TTL_S, now_s, 0
            )

    def _request_shares(
        self,
        peer: str,
        share_by_team: Mapping[str, int],
        ttl_s: float,
        now_s: float,
        reserve_bytes: int,
    ) -> None:
        size_bytes = _borrowing.exchange_bytes(share_by_team)
        if not self.request_budget.try_spend(size_bytes, now_s, reserve_bytes):
            return
        teams = tuple(sorted(share_by_team))
        request = _quota_messages.LoanRequest(
            self.next_loan_id,
            self.service,
            ttl_s,
            tuple(
                _quota_messages.ShareRequest(
                    team, share_by_team[team], self._limit_crc(team)
                )
                for team in teams
            ),
        )
        self.next_loan_id += 1
        self.pending_by_id[request.loan_id] = _PendingRequest(
            peer, now_s, request.service, ttl_s, request.shares
        )
        for team in teams:
            self._tracker(team).record_request(peer, now_s)
        self._send(peer, request)

    def _limit_crc(self, team: str) -> int:
        return self.by_limit[self.service, team].limit_crc()

    def _tracker(self, team: str) -> _borrowing.RequestTracker:
        return self.tracker_by_team.setdefault(
            team, _borrowing.RequestTracker()
        )

    def _send(self, host: str, message: _quota_messages.QuotaMessage) -> None:
        self.outbox.append(_quota_messages.OutgoingMessage(host, message))
