"""Quotas over all hosts: own shares, loans and the ledgers they feed."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import enum
import random
import typing

from jasminecrank import const
from jasminecrank.state import _borrowing
from jasminecrank.state import _ledger
from jasminecrank.state import _quota_messages
from jasminecrank.state import _shares
from jasminecrank.state import _snapshot

_ID_BITS = 31
_LOAN_WAIT_S = 0.02
"""Wait told to a request whose node has just asked peers for tokens."""
_REPORT_PERIOD_S = 1.0
_REPORT_PERIOD_MAX_S = 5.0


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
class QuotaState:
    """Owns the ledgers of one node and decides whom to ask for loans.

    Messages for peers are collected until `drain` is called.
    """

    host: str
    policy: QuotaPolicy
    rng: random.Random
    quiet_until_s: float
    shares: _shares.ShareTracker
    budget: _borrowing.ByteBudget
    answer_budget: _borrowing.ByteBudget
    next_id: int
    lend_all: bool = False
    draining: bool = False
    peers: set[str] = field(default_factory=set)
    service_hosts: frozenset[str] = frozenset()
    by_limit: dict[tuple[str, str], _ledger.ShareLedger] = field(
        default_factory=dict
    )
    retired_at_s: dict[tuple[str, str], float] = field(default_factory=dict)
    asks_by_team: dict[str, _borrowing.TeamAsks] = field(default_factory=dict)
    pending_by_id: dict[int, _PendingAsk] = field(default_factory=dict)
    outbox: list[_quota_messages.Outgoing] = field(default_factory=list)
    rotation: int = 0
    report_at_s: float = 0.0
    report_period_s: float = _REPORT_PERIOD_S

    @classmethod
    def from_host(
        cls,
        host: str,
        now_s: float,
        policy: QuotaPolicy = QuotaPolicy.LOANS,
        rng: random.Random | None = None,
    ) -> "QuotaState":
        """Return the state of a process that has just started."""
        rng = rng or random.Random()  # noqa: S311
        return cls(
            host=host,
            policy=policy,
            rng=rng,
            quiet_until_s=now_s + const.LOAN_RETURN_S,
            shares=_shares.ShareTracker(host),
            budget=_borrowing.ByteBudget(const.LOAN_BYTES_PER_S, 0.0, now_s),
            answer_budget=_borrowing.ByteBudget(
                const.LOAN_ANSWER_BYTES_PER_S, 0.0, now_s
            ),
            # A former process of this host may have asks under way.
            next_id=rng.getrandbits(_ID_BITS),
        )

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, now_s: float
    ) -> None:
        """Follow the limits, hosts and outages of a new snapshot."""
        own = snapshot.by_host.get(self.host)
        service = "" if own is None else own.service
        if service != self.shares.service:
            self._change_service(service, now_s)
        hosts = snapshot.hosts_by_service.get(service, ())
        self.service_hosts = frozenset(host.host for host in hosts)
        self.lend_all = own is not None and not snapshot.accepts_new_work(own)
        if own is not None:
            self.shares.apply(
                snapshot.versions.hosts,
                {host.share_slot: host.host for host in hosts},
            )
        self._follow_limits(snapshot, now_s)
        self._report_soon(now_s)

    def take(
        self, service: str, team: str, now_s: float, repeated: bool = False
    ) -> float | None:
        """Take a token; return None on success, else the wait in seconds.

        A request that waited and tries again says so; it is no new demand.
        """
        ledger = self.by_limit.get((service, team))
        if ledger is None:
            return const.LOAN_TTL_S
        if not repeated:
            ledger.demand.observe(now_s)
        taken = ledger.take(now_s)
        self._borrow(ledger, now_s)
        if taken:
            return None
        wait_s = ledger.wait_s(now_s)
        asks = self.asks_by_team.get(team)
        if asks is not None and asks.is_waiting(now_s):
            wait_s = min(wait_s, _LOAN_WAIT_S)
        return wait_s

    def refund(self, service: str, team: str, now_s: float) -> None:
        """Put back the token of a request that was not run."""
        ledger = self.by_limit.get((service, team))
        if ledger is not None:
            ledger.refund(now_s)

    def tick(self, now_s: float) -> None:
        """Renew loans, raise proved shares and repeat reports."""
        self._forget(now_s)
        self.rotation = self.rng.getrandbits(16)
        if self.shares.advance(now_s):
            for ledger in self.by_limit.values():
                ledger.change(ledger.limit, self.shares.share_ppb(), now_s)
        if self.shares.is_pending() and now_s >= self.report_at_s:
            for peer in sorted(self.peers & self.service_hosts):
                self._send(peer, self.shares.report())
            self.report_at_s = now_s + self.report_period_s
            self.report_period_s = min(
                _REPORT_PERIOD_MAX_S, 1.5 * self.report_period_s
            )
        self._renew(now_s)

    def drain(self) -> tuple[_quota_messages.Outgoing, ...]:
        """Return the messages to send and forget them."""
        messages = tuple(self.outbox)
        self.outbox.clear()
        return messages

    def peer_up(self, host: str, now_s: float) -> None:
        """Note that a peer can be asked."""
        self.peers.add(host)
        self._report_soon(now_s)

    def peer_down(self, host: str) -> None:
        """Note that a peer cannot be asked."""
        self.peers.discard(host)

    def receive(
        self, host: str, message: _quota_messages.QuotaMessage, now_s: float
    ) -> None:
        """Handle the message of a peer."""
        match message:
            case _quota_messages.LoanAsk():
                self._lend(host, message, now_s)
            case _quota_messages.LoanOffer():
                self._accept(host, message, now_s)
            case _shares.ShareReport():
                self._learn(host, message, now_s)
            case _:
                typing.assert_never(message)

    def is_usable(self, now_s: float) -> bool:
        """Return whether this node mints tokens of its own."""
        return now_s >= self.quiet_until_s and self.shares.share_ppb() > 0

    def _change_service(self, service: str, now_s: float) -> None:
        """Start anew: nothing of another service carries over.

        Quiet, because the former host on the same share slot may have lent
        just before it was lost.
        """
        self.quiet_until_s = now_s + const.LOAN_RETURN_S
        self.shares = _shares.ShareTracker(self.host, service)
        self.by_limit.clear()
        self.retired_at_s.clear()
        self.asks_by_team.clear()
        self.pending_by_id.clear()

    def _follow_limits(
        self, snapshot: _snapshot.Snapshot, now_s: float
    ) -> None:
        own_ppb = self.shares.share_ppb()
        service = self.shares.service
        limits = {
            key: limit
            for key, limit in snapshot.by_limit.items()
            if limit.service == service
        }
        for key in self.by_limit.keys() - limits.keys():
            del self.by_limit[key]
            self.retired_at_s[key] = now_s
        for key, limit in limits.items():
            ledger = self.by_limit.get(key)
            if ledger is not None:
                ledger.change(limit, own_ppb, now_s)
                continue
            # A limit that comes back may still be on loan.
            retired_at_s = self.retired_at_s.pop(key, None)
            quiet_until_s = self.quiet_until_s
            if retired_at_s is not None:
                quiet_until_s = max(
                    quiet_until_s, retired_at_s + const.LOAN_RETURN_S
                )
            self.by_limit[key] = _ledger.ShareLedger.from_limit(
                limit, own_ppb, now_s, quiet_until_s
            )

    def _lend(
        self, host: str, ask: _quota_messages.LoanAsk, now_s: float
    ) -> None:
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
        return self.lend_all or self.draining or useless

    def _accept(
        self, host: str, offer: _quota_messages.LoanOffer, now_s: float
    ) -> None:
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
            self._borrow(ledger, now_s)

    def _learn(
        self, host: str, report: _shares.ShareReport, now_s: float
    ) -> None:
        before_ppb = self.shares.share_ppb()
        lacks = self.shares.receive(report)
        if self.shares.share_ppb() != before_ppb:
            for ledger in self.by_limit.values():
                ledger.change(ledger.limit, self.shares.share_ppb(), now_s)
        if lacks:
            self._send(host, self.shares.report())

    def _borrow(self, ledger: _ledger.ShareLedger, now_s: float) -> None:
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
            self.shares.service,
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
        return self.by_limit[self.shares.service, team].limit_crc()

    def _asks(self, team: str) -> _borrowing.TeamAsks:
        return self.asks_by_team.setdefault(team, _borrowing.TeamAsks())

    def _forget(self, now_s: float) -> None:
        for loan_id, ask in tuple(self.pending_by_id.items()):
            if now_s - ask.asked_at_s >= const.LOAN_TTL_S:
                del self.pending_by_id[loan_id]
        for key, retired_at_s in tuple(self.retired_at_s.items()):
            if now_s - retired_at_s >= const.LOAN_RETURN_S:
                del self.retired_at_s[key]
                self.asks_by_team.pop(key[1], None)

    def _report_soon(self, now_s: float) -> None:
        self.report_at_s = now_s
        self.report_period_s = _REPORT_PERIOD_S

    def _send(self, host: str, message: _quota_messages.QuotaMessage) -> None:
        self.outbox.append(_quota_messages.Outgoing(host, message))
