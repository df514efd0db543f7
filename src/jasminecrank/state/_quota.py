"""Quotas shared by all hosts: own shares, loans and their ledgers."""

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
"""Maximum wait reported while a loan request is pending."""
_REPORT_PERIOD_S = 1.0
_REPORT_PERIOD_MAX_S = 5.0


@dataclass(slots=True)
class QuotaState:
    """Quota state of one node: its shares, loans and ledgers.

    Messages to peers are collected until `drain_outbox` is called.
    """

    host: str
    share_withheld_until_s: float
    shares: _shares.ShareTracker
    loans: _loan_book.LoanManager
    by_limit: dict[tuple[str, str], _ledger.ShareLedger]
    outbox: list[_quota_messages.OutgoingMessage]
    draining: bool = False
    removed_at_s_by_limit: dict[tuple[str, str], float] = field(
        default_factory=dict
    )
    next_report_at_s: float = 0.0
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
        outbox: list[_quota_messages.OutgoingMessage] = []
        loans = _loan_book.LoanManager.from_ledgers(
            host, policy, rng or random.Random(), by_limit, outbox, now_s
        )
        return cls(
            host=host,
            share_withheld_until_s=now_s + const.LOAN_RETURN_S,
            shares=_shares.ShareTracker(host),
            loans=loans,
            by_limit=by_limit,
            outbox=outbox,
        )

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, now_s: float
    ) -> None:
        """Apply the limits, hosts and outages of a new snapshot."""
        own_host = snapshot.by_host.get(self.host)
        service = "" if own_host is None else own_host.service
        if service != self.shares.service:
            self._change_service(service, now_s)
        hosts = snapshot.hosts_by_service.get(service, ())
        self.loans.service_hosts = frozenset(host.host for host in hosts)
        self.loans.lend_all = self.draining or (
            own_host is not None and not snapshot.accepts_new_work(own_host)
        )
        if own_host is not None:
            self.shares.apply(
                snapshot.versions.hosts,
                {host.share_slot: host.host for host in hosts},
            )
        self._apply_limits(snapshot, now_s)
        self._schedule_report(now_s)

    def take(
        self, service: str, team: str, now_s: float, repeated: bool = False
    ) -> float | None:
        """Take a token; return None on success, else the wait in seconds.

        With `repeated`, a request that waited before is not counted as new
        demand.
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
        if self.loans.awaits_grant(team, now_s):
            wait_s = min(wait_s, _LOAN_WAIT_S)
        return wait_s

    def refund(self, service: str, team: str, now_s: float) -> None:
        """Return the token of a request that did not run."""
        ledger = self.by_limit.get((service, team))
        if ledger is not None:
            ledger.refund(now_s)

    def tick(self, now_s: float) -> None:
        """Renew loans, raise confirmed shares and repeat reports."""
        self._expire_removed_limits(now_s)
        if self.shares.advance(now_s):
            for ledger in self.by_limit.values():
                ledger.update(ledger.limit, self.shares.share_ppb(), now_s)
        if self.shares.is_pending() and now_s >= self.next_report_at_s:
            for peer in sorted(self.loans.peers & self.loans.service_hosts):
                self._send(peer, self.shares.report())
            self.next_report_at_s = now_s + self.report_period_s
            self.report_period_s = min(
                _REPORT_PERIOD_MAX_S, 1.5 * self.report_period_s
            )
        self.loans.tick(now_s)

    def tick_interval_s(self) -> float:
        """Return the time until the next tick, which is longer while idle."""
        busy = self.shares.is_pending() or self.loans.is_active()
        return const.QUOTA_TICK_S if busy else const.QUOTA_IDLE_TICK_S

    def drain_outbox(self) -> tuple[_quota_messages.OutgoingMessage, ...]:
        """Return the messages to send and clear the outbox."""
        messages = tuple(self.outbox)
        self.outbox.clear()
        return messages

    def start_draining(self) -> None:
        """Lend the whole share from now on."""
        self.draining = True
        self.loans.lend_all = True

    def peer_up(self, host: str, now_s: float) -> None:
        """Add a peer that can lend, and report shares at the next tick."""
        self.loans.peers.add(host)
        self._schedule_report(now_s)

    def peer_down(self, host: str) -> None:
        """Remove a peer that can no longer lend."""
        self.loans.peers.discard(host)

    def receive(
        self, host: str, message: _quota_messages.QuotaMessage, now_s: float
    ) -> None:
        """Handle a quota message of a peer."""
        match message:
            case _quota_messages.LoanRequest():
                self.loans.lend(host, message, now_s)
            case _quota_messages.LoanGrant():
                self.loans.accept(host, message, now_s)
            case _shares.ShareReport():
                self._receive_report(host, message, now_s)
            case _:
                typing.assert_never(message)

    def is_usable(self, now_s: float) -> bool:
        """Return whether this node owns a share and a token of every team.

        After a start, the first token of a small share takes longer than
        the loan return time alone.
        """
        owns_share = (
            now_s >= self.share_withheld_until_s
            and self.shares.share_ppb() > 0
        )
        return owns_share and all(
            ledger.holds_token(now_s) for ledger in self.by_limit.values()
        )

    def _change_service(self, service: str, now_s: float) -> None:
        """Reset the state, because nothing carries over between services.

        The own share is withheld for the loan return time, because the
        previous host of the share slot may have lent it just before it was
        lost.
        """
        self.share_withheld_until_s = now_s + const.LOAN_RETURN_S
        self.shares = _shares.ShareTracker(self.host, service)
        self.by_limit.clear()
        self.removed_at_s_by_limit.clear()
        self.loans.change_service(service)

    def _apply_limits(
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
            self.removed_at_s_by_limit[key] = now_s
        for key, limit in limits.items():
            ledger = self.by_limit.get(key)
            if ledger is not None:
                ledger.update(limit, own_ppb, now_s)
                continue
            # The share of a limit that was removed and added again may still
            # be lent.
            removed_at_s = self.removed_at_s_by_limit.pop(key, None)
            share_withheld_until_s = self.share_withheld_until_s
            if removed_at_s is not None:
                share_withheld_until_s = max(
                    share_withheld_until_s, removed_at_s + const.LOAN_RETURN_S
                )
            self.by_limit[key] = _ledger.ShareLedger.from_limit(
                limit, own_ppb, now_s, share_withheld_until_s
            )

    def _receive_report(
        self, host: str, report: _shares.ShareReport, now_s: float
    ) -> None:
        before_ppb = self.shares.share_ppb()
        peer_is_behind = self.shares.receive(report)
        if self.shares.share_ppb() != before_ppb:
            for ledger in self.by_limit.values():
                ledger.update(ledger.limit, self.shares.share_ppb(), now_s)
        if peer_is_behind:
            self._send(host, self.shares.report())

    def _expire_removed_limits(self, now_s: float) -> None:
        for key, removed_at_s in tuple(self.removed_at_s_by_limit.items()):
            if now_s - removed_at_s >= const.LOAN_RETURN_S:
                del self.removed_at_s_by_limit[key]
                self.loans.tracker_by_team.pop(key[1], None)

    def _schedule_report(self, now_s: float) -> None:
        self.next_report_at_s = now_s
        self.report_period_s = _REPORT_PERIOD_S

    def _send(self, host: str, message: _quota_messages.QuotaMessage) -> None:
        self.outbox.append(_quota_messages.OutgoingMessage(host, message))
