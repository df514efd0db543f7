"""Quotas over all hosts: own shares, loans and the ledgers they feed."""

from dataclasses import dataclass
from dataclasses import field
import random
import typing

from jasminecrank import const
from jasminecrank.state import _ledger
from jasminecrank.state import _loan_book
from jasminecrank.state import _quota_messages
from jasminecrank.state import _shares
from jasminecrank.state import _snapshot

_LOAN_WAIT_S = 0.02
"""Wait told to a request whose node has just asked peers for tokens."""
_REPORT_PERIOD_S = 1.0
_REPORT_PERIOD_MAX_S = 5.0


@dataclass(slots=True)
class QuotaState:
    """Owns the ledgers of one node and decides whom to ask for loans.

    Messages for peers are collected until `drain` is called.
    """

    host: str
    quiet_until_s: float
    shares: _shares.ShareTracker
    loans: _loan_book.LoanBook
    by_limit: dict[tuple[str, str], _ledger.ShareLedger]
    outbox: list[_quota_messages.Outgoing]
    draining: bool = False
    retired_at_s: dict[tuple[str, str], float] = field(default_factory=dict)
    report_at_s: float = 0.0
    report_period_s: float = _REPORT_PERIOD_S

    @classmethod
    def from_host(
        cls,
        host: str,
        now_s: float,
        policy: _loan_book.QuotaPolicy = _loan_book.QuotaPolicy.LOANS,
        rng: random.Random | None = None,
    ) -> "QuotaState":
        """Return the state of a process that has just started."""
        by_limit: dict[tuple[str, str], _ledger.ShareLedger] = {}
        outbox: list[_quota_messages.Outgoing] = []
        loans = _loan_book.LoanBook.from_ledgers(
            host, policy, rng or random.Random(), by_limit, outbox, now_s
        )
        return cls(
            host=host,
            quiet_until_s=now_s + const.LOAN_RETURN_S,
            shares=_shares.ShareTracker(host),
            loans=loans,
            by_limit=by_limit,
            outbox=outbox,
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
        self.loans.service_hosts = frozenset(host.host for host in hosts)
        self.loans.lend_all = self.draining or (
            own is not None and not snapshot.accepts_new_work(own)
        )
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
        self.loans.borrow(ledger, now_s)
        if taken:
            return None
        wait_s = ledger.wait_s(now_s)
        if self.loans.is_waiting(team, now_s):
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
        if self.shares.advance(now_s):
            for ledger in self.by_limit.values():
                ledger.change(ledger.limit, self.shares.share_ppb(), now_s)
        if self.shares.is_pending() and now_s >= self.report_at_s:
            for peer in sorted(self.loans.peers & self.loans.service_hosts):
                self._send(peer, self.shares.report())
            self.report_at_s = now_s + self.report_period_s
            self.report_period_s = min(
                _REPORT_PERIOD_MAX_S, 1.5 * self.report_period_s
            )
        self.loans.tick(now_s)

    def next_tick_s(self) -> float:
        """Return the time until the next tick, longer while idle."""
        busy = self.shares.is_pending() or self.loans.is_active()
        return const.QUOTA_TICK_S if busy else const.QUOTA_IDLE_TICK_S

    def drain(self) -> tuple[_quota_messages.Outgoing, ...]:
        """Return the messages to send and forget them."""
        messages = tuple(self.outbox)
        self.outbox.clear()
        return messages

    def start_draining(self) -> None:
        """Lend everything from now on."""
        self.draining = True
        self.loans.lend_all = True

    def peer_up(self, host: str, now_s: float) -> None:
        """Note that a peer can be asked."""
        self.loans.peers.add(host)
        self._report_soon(now_s)

    def peer_down(self, host: str) -> None:
        """Note that a peer cannot be asked."""
        self.loans.peers.discard(host)

    def receive(
        self, host: str, message: _quota_messages.QuotaMessage, now_s: float
    ) -> None:
        """Handle the message of a peer."""
        match message:
            case _quota_messages.LoanAsk():
                self.loans.lend(host, message, now_s)
            case _quota_messages.LoanOffer():
                self.loans.accept(host, message, now_s)
            case _shares.ShareReport():
                self._learn(host, message, now_s)
            case _:
                typing.assert_never(message)

    def is_usable(self, now_s: float) -> bool:
        """Return whether this node mints and has a token for every team.

        After a start the first token of a small share takes longer than the
        loan time alone.
        """
        mints = now_s >= self.quiet_until_s and self.shares.share_ppb() > 0
        return mints and all(
            ledger.holds_token(now_s) for ledger in self.by_limit.values()
        )

    def _change_service(self, service: str, now_s: float) -> None:
        """Start anew: nothing of another service carries over.

        Quiet, because the former host on the same share slot may have lent
        just before it was lost.
        """
        self.quiet_until_s = now_s + const.LOAN_RETURN_S
        self.shares = _shares.ShareTracker(self.host, service)
        self.by_limit.clear()
        self.retired_at_s.clear()
        self.loans.change_service(service)

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

    def _forget(self, now_s: float) -> None:
        for key, retired_at_s in tuple(self.retired_at_s.items()):
            if now_s - retired_at_s >= const.LOAN_RETURN_S:
                del self.retired_at_s[key]
                self.loans.asks_by_team.pop(key[1], None)

    def _report_soon(self, now_s: float) -> None:
        self.report_at_s = now_s
        self.report_period_s = _REPORT_PERIOD_S

    def _send(self, host: str, message: _quota_messages.QuotaMessage) -> None:
        self.outbox.append(_quota_messages.Outgoing(host, message))
