"""Task that requests quota tokens of teams' rates, and grants them."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _mailbox
from jasminecrank.mesh.coordination import _messages
from jasminecrank.mesh.coordination import _peer_messages

REQUEST_TIMEOUT_S = 0.25
"""Time limit for an arbiter's reply, which usually takes milliseconds."""
SUSPECT_S = 1.0
"""Time for which an arbiter that did not reply gets no requests."""
ARBITER_CHANGE_WAIT_S = 0.6
"""Time after a change of arbiters in which calls wait instead of being denied.

The new arbiter grants its full rate once all nodes have reported the change
to it.
"""
TICK_S = 0.1
"""Period of the check for requests without a reply."""
FULL_PRESENCE_EVERY = 5
"""One in this many periodic presence reports lists the reachable arbiters."""
SPARE_TOKEN_TTL_S = 1.0
"""Time for which an unused token can be used by another call."""
_MAX_REMOVED_AGE_MS = round(1000 * state.ABSENT_GRANTS_S)


@dataclass(slots=True)
class _TeamRequests:
    """Calls of a team that wait for tokens, and the pending request."""

    team: state.Team
    waiting: deque[int] = field(default_factory=deque)
    arbiter: str | None = None
    """Arbiter of the pending request; None if there is none."""
    requested: int = 0
    requested_at_s: float = 0.0
    no_token_until_s: float = -1e9
    """Time of the next token, as reported by the arbiter."""
    spare_tokens: int = 0
    spare_added_at_s: float = 0.0


class QuotaTask(_mailbox.MailboxTask[_messages.QuotaMessage]):
    """Owns this node's token requests, and the token buckets it grants from.

    Each team has one arbiter, chosen among those that this node can reach. The
    task also counts the hosts among which the rates and the retry budget are
    shared.
    """

    def __init__(
        self,
        own_host: str,
        arbiter: state.QuotaArbiter,
        to_entry: Callable[[_messages.EntryMessage], None],
        clock: _mailbox.Clock,
        log: _mailbox.Log,
    ) -> None:
        super().__init__(log)
        self._own_host = own_host
        self._arbiter = arbiter
        self._to_entry = to_entry
        self._clock = clock
        self._table: state.Table | None = None
        self._arbiters: tuple[str, ...] = ()
        self._reachable: tuple[str, ...] = ()
        self._send_by_host: dict[str, _peer_messages.SendToPeer] = {}
        self._silent_hosts: set[str] = set()
        self._suspect_until_s_by_host: dict[str, float] = {}
        self._requests_by_team: dict[str, _TeamRequests] = {}
        self._presence_sent_at_s = -1e9
        self._presence_periods = 0
        self._arbiters_changed_at_s = -1e9
        self._census = state.HostCensus()

    async def run_ticks(self) -> None:
        """Send periodic ticks to the mailbox until the task is cancelled."""
        while True:
            self.mailbox.tell(_messages.QuotaTick())
            await asyncio.sleep(TICK_S)

    def handle(self, message: _messages.QuotaMessage) -> None:
        """Process one message."""
        now_s = self._clock.now_s()
        match message:
            case _messages.QuotaRequested(number, team):
                self._quota_requested(number, team, now_s)
            case _messages.QuotaUnused(team_name):
                self._add_spare_token(team_name, now_s)
            case _messages.RequesterMessageReceived(host, request, send):
                self._requester_message(host, request, send, now_s)
            case _messages.ArbiterGranted(host, granted):
                self._arbiter_granted(host, granted, now_s)
            case _messages.RequesterDisconnected(host):
                self._arbiter.remove_host(host)
            case _messages.FleetChanged(fleet):
                self._fleet_changed(fleet, now_s)
            case _messages.PeerUp(host, send):
                self._send_by_host[host] = send
                self._silent_hosts.discard(host)
                self._suspect_until_s_by_host.pop(host, None)
                self._update_reachable(now_s)
            case _messages.PeerSilent(host):
                self._silent_hosts.add(host)
                self._update_reachable(now_s)
            case _messages.PeerDown(host):
                self._send_by_host.pop(host, None)
                self._update_reachable(now_s)
            case _messages.SourceConfirmed(at_s):
                self._arbiter.confirmed_at_s = at_s
                self._census.confirm(at_s, now_s)
            case _messages.BoundsChanged(quota):
                self._arbiter.bounds = quota
            case _messages.QuotaTick():
                self._tick(now_s)
            case _:
                typing.assert_never(message)

    def _quota_requested(
        self, number: int, team: state.Team, now_s: float
    ) -> None:
        requests = self._requests_by_team.setdefault(
            team.name, _TeamRequests(team)
        )
        requests.team = team
        if (
            requests.spare_tokens
            and now_s - requests.spare_added_at_s <= SPARE_TOKEN_TTL_S
        ):
            requests.spare_tokens -= 1
            self._reply(number, True, 0.0)
            return
        if now_s < requests.no_token_until_s and not requests.waiting:
            self._reply(number, False, requests.no_token_until_s - now_s)
            return
        requests.waiting.append(number)
        if requests.arbiter is None:
            self._request_tokens(requests, now_s)

    def _request_tokens(self, requests: _TeamRequests, now_s: float) -> None:
        """Request one token for each waiting call."""
        count = len(requests.waiting)
        name = requests.team.name
        arbiter = state.choose_arbiter(name, self._reachable, self._own_host)
        requests.requested = count
        requests.requested_at_s = now_s
        if arbiter == self._own_host:
            grant = self._arbiter.acquire(requests.team, count, now_s)
            self._apply_grant(requests, grant.granted, grant.wait_s, now_s)
            return
        requests.arbiter = arbiter
        self._send_by_host[arbiter](
            _peer_messages.TokensRequested(name, count)
        )

    def _apply_grant(
        self,
        requests: _TeamRequests,
        granted: int,
        wait_s: float,
        now_s: float,
    ) -> None:
        """Reply to the calls for which tokens were requested."""
        requests.arbiter = None
        requested, requests.requested = requests.requested, 0
        # A late reply may be to an earlier request.
        granted = min(granted, requested)
        for _ in range(granted):
            self._reply(requests.waiting.popleft(), True, 0.0)
        if granted < requested:
            if now_s - self._arbiters_changed_at_s < ARBITER_CHANGE_WAIT_S:
                return
            requests.no_token_until_s = now_s + wait_s
            for _ in range(requested - granted):
                self._reply(requests.waiting.popleft(), False, wait_s)
        if requests.waiting:
            self._request_tokens(requests, now_s)

    def _reply(self, number: int, granted: bool, wait_s: float) -> None:
        self._to_entry(_messages.QuotaDecided(number, granted, wait_s))

    def _add_spare_token(self, team: str, now_s: float) -> None:
        requests = self._requests_by_team.get(team)
        if requests is None:
            return
        if now_s - requests.spare_added_at_s > SPARE_TOKEN_TTL_S:
            requests.spare_tokens = 0
        requests.spare_tokens += 1
        requests.spare_added_at_s = now_s

    def _requester_message(
        self,
        host: str,
        request: _peer_messages.QuotaPeerMessage,
        send: _peer_messages.SendToPeer,
        now_s: float,
    ) -> None:
        match request:
            case _peer_messages.Presence(arbiters):
                if arbiters is None:
                    self._arbiter.refresh_presence(host, now_s)
                else:
                    self._arbiter.record_presence(host, arbiters, now_s)
            case _peer_messages.TokensRequested(name, count):
                grant = state.Grant(0, 0.5)
                if self._table is not None:
                    team = self._table.team_by_name.get(name)
                    if team is not None:
                        grant = self._arbiter.acquire(team, count, now_s)
                send(
                    _peer_messages.TokensGranted(
                        name, grant.granted, round(1000 * grant.wait_s)
                    )
                )
            case _peer_messages.HostsRemoved(age_ms_by_host):
                self._census.add_removed(
                    {
                        name: age_ms / 1000
                        for name, age_ms in age_ms_by_host
                        if 0 <= age_ms <= _MAX_REMOVED_AGE_MS
                    },
                    now_s,
                )
                self._count_hosts(now_s)
            case _:
                typing.assert_never(request)

    def _arbiter_granted(
        self, host: str, message: _peer_messages.TokensGranted, now_s: float
    ) -> None:
        requests = self._requests_by_team.get(message.team)
        if requests is None or requests.arbiter != host:
            return
        self._apply_grant(
            requests, message.granted, message.wait_ms / 1000, now_s
        )

    def _fleet_changed(self, fleet: state.FleetSnapshot, now_s: float) -> None:
        self._table = fleet.table
        self._census.update(fleet.server_by_id.values(), now_s)
        self._count_hosts(now_s)
        self._arbiters = state.arbiter_hosts(fleet)
        self._update_reachable(now_s)

    def _count_hosts(self, now_s: float) -> None:
        host_count = self._census.count(self._own_host, now_s)
        if host_count != self._arbiter.host_count:
            self._arbiter.host_count = host_count
            self._to_entry(_messages.HostsCounted(host_count))
            self.log.decision("quota-hosts", hosts=host_count)

    def _update_reachable(self, now_s: float) -> None:
        """Update the set of reachable arbiters, and report it to them."""
        reachable = tuple(
            host
            for host in self._arbiters
            if host == self._own_host
            or (
                host in self._send_by_host
                and host not in self._silent_hosts
                and self._suspect_until_s_by_host.get(host, 0.0) <= now_s
            )
        )
        if reachable == self._reachable:
            return
        for host in set(reachable) - {self._own_host, *self._reachable}:
            self._report_removed(host, now_s)
        self._reachable = reachable
        self._arbiters_changed_at_s = now_s
        self.log.decision("quota-arbiters", reachable=reachable)
        self._send_presence(now_s)
        for requests in self._requests_by_team.values():
            if (
                requests.arbiter is not None
                and requests.arbiter not in reachable
            ):
                requests.arbiter = None
                self._request_tokens(requests, now_s)

    def _report_removed(self, arbiter: str, now_s: float) -> None:
        """Tell an arbiter, which may have started later, of removed hosts."""
        age_s_by_host = self._census.reported_age_s_by_host(now_s)
        if age_s_by_host and self._census.reports_to(
            arbiter, self._own_host, self._arbiters
        ):
            self._send_by_host[arbiter](
                _peer_messages.HostsRemoved(
                    tuple(
                        (host, round(1000 * age_s))
                        for host, age_s in age_s_by_host.items()
                    )
                )
            )

    def _send_presence(self, now_s: float, full: bool = True) -> None:
        self._presence_sent_at_s = now_s
        self._arbiter.record_presence(self._own_host, self._reachable, now_s)
        presence = _peer_messages.Presence(self._reachable if full else None)
        for host in self._arbiters:
            send = self._send_by_host.get(host)
            if send is not None:
                send(presence)

    def _tick(self, now_s: float) -> None:
        self._count_hosts(now_s)
        for requests in list(self._requests_by_team.values()):
            if requests.arbiter is not None and (
                now_s - requests.requested_at_s > REQUEST_TIMEOUT_S
            ):
                self._suspect_until_s_by_host[requests.arbiter] = (
                    now_s + SUSPECT_S
                )
        self._update_reachable(now_s)
        for requests in self._requests_by_team.values():
            if requests.waiting and requests.arbiter is None:
                self._request_tokens(requests, now_s)
        if now_s - self._presence_sent_at_s >= state.PRESENCE_INTERVAL_S:
            self._presence_periods += 1
            full = self._presence_periods % FULL_PRESENCE_EVERY == 0
            self._send_presence(now_s, full)
            arbitrates = (
                self._own_host in self._arbiters or not self._reachable
            )
            if arbitrates and self._table is not None:
                self._arbiter.refill_buckets(
                    self._table.team_by_name.values(), now_s
                )
