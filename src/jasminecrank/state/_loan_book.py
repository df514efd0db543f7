"""The loans of one node: asked for, given and taken over."""

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

_ID_BITS = 31


class QuotaPolicy(enum.Enum):
    """Whether nodes lend each other shares."""

    EQUAL_SHARES = "equal-shares"
    LOANS = "loans"


@dataclass(slots=True, frozen=True)
class _PendingAsk:
    peer: str
    asked_at_s: float
    service: str
    ttl_s: float
    wants: tuple[_quota_messages.LoanWant, ...]


@dataclass(slots=True)
class LoanBook:
    """Decides whom to ask for loans, and answers the asks of peers.

    The ledgers and the outbox are those of the quota state it belongs to.
    """

    host: str
    policy: QuotaPolicy
    rng: random.Random
    by_limit: dict[tuple[str, str], _ledger.ShareLedger]
    outbox: list[_quota_messages.Outgoing]
    budget: _borrowing.ByteBudget
    answer_budget: _borrowing.ByteBudget
    next_id: int
    service: str = ""
    service_hosts: frozenset[str] = frozenset()
    peers: set[str] = field(default_factory=set)
    lend_all: bool = False
    asks_by_team: dict[str, _borrowing.TeamAsks] = field(default_factory=dict)
    pending_by_id: dict[int, _PendingAsk] = field(default_factory=dict)
    rotation: int = 0

    @classmethod
    def from_ledgers(
        cls,
        host: str,
        policy: QuotaPolicy,
        rng: random.Random,
        by_limit: dict[tuple[str, str], _ledger.ShareLedger],
        outbox: list[_quota_messages.Outgoing],
        now_s: float,
    ) -> "LoanBook":
        """Return the book of a process that has just started."""
        return cls(
            host=host,
            policy=policy,
            rng=rng,
            by_limit=by_limit,
            outbox=outbox,
            budget=_borrowing.ByteBudget(const.LOAN_BYTES_PER_S, 0.0, now_s),
            answer_budget=_borrowing.ByteBudget(
                const.LOAN_ANSWER_BYTES_PER_S, 0.0, now_s
            ),
            # A former process of this host may have asks under way.
            next_id=rng.getrandbits(_ID_BITS),
        )

    def change_service(self, service: str) -> None:
        """Forget the loans of another service."""
        self.service = service
        self.asks_by_team.clear()
        self.pending_by_id.clear()

    def is_waiting(self, team: str, now_s: float) -> bool:
        """Return whether an answer for a team may still come."""
        asks = self.asks_by_team.get(team)
        return asks is not None and asks.is_waiting(now_s)

    def is_active(self) -> bool:
        """Return whether asks are under way or loans may need renewal."""
        return bool(self.pending_by_id) or any(
            ledger.borrowed for ledger in self.by_limit.values()
        )

    def tick(self, now_s: float) -> None:
        """Forget asks that cannot be answered any more; renew loans."""
        self.rotation = self.rng.getrandbits(16)
        for loan_id, ask in tuple(self.pending_by_id.items()):
            if now_s - ask.asked_at_s >= const.LOAN_TTL_S:
                del self.pending_by_id[loan_id]
        self._renew(now_s)

    def lend(
        self, host: str, ask: _quota_messages.LoanAsk, now_s: float
    ) -> None:
        """Answer the ask of a peer."""
        if self.policy is not QuotaPolicy.LOANS:
            return
        teams = [want.team for want in ask.wants]
        size_bytes = _borrowing.pair_bytes(teams) // 2
        if not self.answer_budget.spend(size_bytes, now_s):
            return
        parts = tuple(
            self._lend_part(host, ask, want, now_s) for want in ask.wants
        )
        self._send(host, _quota_messages.LoanOffer(ask.loan_id, parts))

    def _lend_part(
        self,
        host: str,
        ask: _quota_messages.LoanAsk,
        want: _quota_messages.LoanWant,
        now_s: float,
    ) -> _quota_messages.LoanPart:
        ledger = self.by_limit.get((ask.service, want.team))
        if (
            ledger is None
            or host not in self.service_hosts
            or want.limit_crc != ledger.limit_crc()
        ):
            return _quota_messages.LoanPart(0, 0.0)
        grant = ledger.lend(
            host,
            ask.loan_id,
            want.share_ppb,
            min(ask.ttl_s, const.LOAN_TTL_S),
            now_s,
            self._lends_all(ledger, host),
        )
        return _quota_messages.LoanPart(grant.share_ppb, grant.tokens)

    def _lends_all(self, ledger: _ledger.ShareLedger, host: str) -> bool:
        """Return whether the own demand counts for nothing here.

        A burst so small that the own share holds no whole token is of use
        to one host at a time only; the lowest one that has calls gets it.
        """
        own = ledger.own_ppb * ledger.limit.burst
        useless = own < const.SHARE_WHOLE and host < self.host
        return self.lend_all or useless

    def accept(
        self, host: str, offer: _quota_messages.LoanOffer, now_s: float
    ) -> None:
        """Take over what a peer has granted."""
        ask = self.pending_by_id.get(offer.loan_id)
        if ask is None or ask.peer != host:
            return
        del self.pending_by_id[offer.loan_id]
        for want, part in zip(ask.wants, offer.parts, strict=False):
            team = want.team
            ledger = self.by_limit.get((ask.service, team))
            if ledger is None or want.limit_crc != ledger.limit_crc():
                continue
            gained = part.share_ppb > ledger.borrowed_from(host)
            self._asks(team).answered(host, gained, now_s)
            if part.share_ppb > 0:
                loan = _ledger.Borrowed(
                    offer.loan_id,
                    part.share_ppb,
                    ask.asked_at_s + ask.ttl_s,
                    ask.ttl_s == const.LOAN_TTL_S,
                )
                ledger.accept(host, loan, part.tokens, now_s)
            self.borrow(ledger, now_s)

    def borrow(self, ledger: _ledger.ShareLedger, now_s: float) -> None:
        """Ask for a team that is short, and for others in the same asks."""
        if self.policy is not QuotaPolicy.LOANS:
            return
        peers = self._rotated_peers()
        first = self._plan(ledger, peers, now_s)
        if not first.share_by_peer:
            return
        wants_by_peer = {
            peer: {ledger.limit.team: share_ppb}
            for peer, share_ppb in first.share_by_peer.items()
        }
        for other in self.by_limit.values():
            if other is ledger:
                continue
            other.mint(now_s)
            plan = self._plan(other, peers, now_s)
            if plan.lasting != first.lasting:
                continue
            for peer, share_ppb in plan.share_by_peer.items():
                wants = wants_by_peer.setdefault(peer, {})
                wants[other.limit.team] = share_ppb
        ttl_s = const.LOAN_TTL_S if first.lasting else const.LOAN_SHORT_TTL_S
        for peer, wants in wants_by_peer.items():
            self._ask(peer, wants, ttl_s, now_s, const.LOAN_BYTES_PER_S // 2)

    def _plan(
        self,
        ledger: _ledger.ShareLedger,
        peers: Sequence[str],
        now_s: float,
    ) -> _borrowing.LoanPlan:
        asks = self._asks(ledger.limit.team)
        return _borrowing.plan_loans(ledger, asks, peers, now_s)

    def _rotated_peers(self) -> list[str]:
        """Return the peers in an order that differs by node and time."""
        peers = sorted(self.peers & self.service_hosts)
        start = self.rotation % len(peers) if peers else 0
        return peers[start:] + peers[:start]

    def _renew(self, now_s: float) -> None:
        """Renew loans that end soon, and others of the same lenders."""
        wants_by_peer: dict[str, dict[str, int]] = {}
        ending: set[str] = set()
        usual_ppb = const.SHARE_WHOLE // max(1, len(self.service_hosts))
        for ledger in self.by_limit.values():
            ledger.mint(now_s)
            team = ledger.limit.team
            renewals = _borrowing.plan_renewals(ledger, usual_ppb, now_s)
            for peer, share_ppb in renewals.items():
                if peer not in self.peers:
                    continue
                wants_by_peer.setdefault(peer, {})[team] = share_ppb
                if _borrowing.is_ending(ledger, peer, now_s):
                    ending.add(peer)
        for peer in sorted(ending):
            wants = wants_by_peer[peer]
            self._ask(peer, wants, const.LOAN_TTL_S, now_s, 0)

    def _ask(
        self,
        peer: str,
        wants: Mapping[str, int],
        ttl_s: float,
        now_s: float,
        keep_bytes: int,
    ) -> None:
        size_bytes = _borrowing.pair_bytes(wants)
        if not self.budget.spend(size_bytes, now_s, keep_bytes):
            return
        teams = tuple(sorted(wants))
        ask = _quota_messages.LoanAsk(
            self.next_id,
            self.service,
            ttl_s,
            tuple(
                _quota_messages.LoanWant(
                    team, wants[team], self._limit_crc(team)
                )
                for team in teams
            ),
        )
        self.next_id += 1
        self.pending_by_id[ask.loan_id] = _PendingAsk(
            peer, now_s, ask.service, ttl_s, ask.wants
        )
        for team in teams:
            self._asks(team).asked(peer, now_s)
        self._send(peer, ask)

    def _limit_crc(self, team: str) -> int:
        return self.by_limit[self.service, team].limit_crc()

    def _asks(self, team: str) -> _borrowing.TeamAsks:
        return self.asks_by_team.setdefault(team, _borrowing.TeamAsks())

    def _send(self, host: str, message: _quota_messages.QuotaMessage) -> None:
        self.outbox.append(_quota_messages.Outgoing(host, message))
