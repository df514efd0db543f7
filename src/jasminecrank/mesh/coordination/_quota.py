"""The task that gets tokens of the teams' rates, and grants them."""

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

ASK_TIMEOUT_S = 0.25
"""Time for an arbiter's answer, which usually takes a few milliseconds."""
SUSPECT_S = 1.0
"""Time for which an arbiter that did not answer is not asked."""
SETTLE_S = 0.6
"""Time after a change of arbiters in which calls without a token wait.

The new arbiter grants in full once all nodes have told it of the change.
"""
TICK_S = 0.1
"""Period at which open requests are looked at."""
WHOLE_PRESENCE_EACH = 5
"""One in so many periodic messages names the arbiters that can be reached."""
SPARE_S = 1.0
"""Time for which a token that was not used serves another call."""


@dataclass(slots=True)
class _Asking:
    """Calls of a team that wait for tokens."""

    team: state.Team
    waiting: deque[int] = field(default_factory=deque)
    arbiter: str | None = None
    """Whom the open request went to."""
    asked: int = 0
    asked_at_s: float = 0.0
    none_until_s: float = -1e9
    """Time of the next token, as the arbiter has said."""
    spare: int = 0
    spare_at_s: float = 0.0


class QuotaTask(_mailbox.MailboxTask[_messages.QuotaMessage]):
    """Owns the requests for tokens, and the buckets this node grants from."""

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
        self._silent: set[str] = set()
        self._suspect_until_by_host: dict[str, float] = {}
        self._asking_by_team: dict[str, _Asking] = {}
        self._shown_at_s = -1e9
        self._periods = 0
        self._changed_at_s = -1e9

    async def run_ticks(self) -> None:
        """Put a tick into the mailbox until the task is cancelled."""
        while True:
            self.mailbox.tell(_messages.QuotaTick())
            await asyncio.sleep(TICK_S)

    def handle(self, message: _messages.QuotaMessage) -> None:
        """Act on one message."""
        now_s = self._clock.now_s()
        match message:
            case _messages.QuotaAsked(number, team):
                self._call_asks(number, team, now_s)
            case _messages.QuotaUnused(team_name):
                self._unused(team_name, now_s)
            case _messages.PeerAsked(host, asked, send):
                self._peer_asked(host, asked, send, now_s)
            case _messages.PeerGranted(host, granted):
                self._granted(host, granted, now_s)
            case _messages.CallersLost(host):
                self._arbiter.remove_host(host)
            case _messages.FleetChanged(fleet):
                self._fleet_changed(fleet, now_s)
            case _messages.PeerUp(host, send):
                self._send_by_host[host] = send
                self._silent.discard(host)
                self._suspect_until_by_host.pop(host, None)
                self._choose_arbiters(now_s)
            case _messages.PeerSilent(host):
                self._silent.add(host)
                self._choose_arbiters(now_s)
            case _messages.PeerDown(host):
                self._send_by_host.pop(host, None)
                self._choose_arbiters(now_s)
            case _messages.BoundsChanged(quota):
                self._arbiter.bounds = quota
            case _messages.QuotaTick():
                self._tick(now_s)
            case _:
                typing.assert_never(message)

    def _call_asks(self, number: int, team: state.Team, now_s: float) -> None:
        asking = self._asking_by_team.setdefault(team.name, _Asking(team))
        asking.team = team
        if asking.spare and now_s - asking.spare_at_s <= SPARE_S:
            asking.spare -= 1
            self._answer(number, True, 0.0)
            return
        if now_s < asking.none_until_s and not asking.waiting:
            self._answer(number, False, asking.none_until_s - now_s)
            return
        asking.waiting.append(number)
        if asking.arbiter is None:
            self._ask(asking, now_s)

    def _ask(self, asking: _Asking, now_s: float) -> None:
        """Ask for a token for each waiting call."""
        count = len(asking.waiting)
        name = asking.team.name
        arbiter = state.choose_arbiter(name, self._reachable, self._own_host)
        asking.asked = count
        asking.asked_at_s = now_s
        if arbiter == self._own_host:
            grant = self._arbiter.acquire(asking.team, count, now_s)
            self._settle(asking, grant.granted, grant.wait_s, now_s)
            return
        asking.arbiter = arbiter
        self._send_by_host[arbiter](_peer_messages.TokensAsked(name, count))

    def _settle(
        self, asking: _Asking, granted: int, wait_s: float, now_s: float
    ) -> None:
        """Answer the calls for which tokens were asked."""
        asking.arbiter = None
        asked, asking.asked = asking.asked, 0
        for _ in range(granted):
            self._answer(asking.waiting.popleft(), True, 0.0)
        if granted < asked:
            if now_s - self._changed_at_s < SETTLE_S:
                return
            asking.none_until_s = now_s + wait_s
            for _ in range(asked - granted):
                self._answer(asking.waiting.popleft(), False, wait_s)
        if asking.waiting:
            self._ask(asking, now_s)

    def _answer(self, number: int, granted: bool, wait_s: float) -> None:
        self._to_entry(_messages.QuotaAnswered(number, granted, wait_s))

    def _unused(self, team: str, now_s: float) -> None:
        asking = self._asking_by_team.get(team)
        if asking is None:
            return
        if now_s - asking.spare_at_s > SPARE_S:
            asking.spare = 0
        asking.spare += 1
        asking.spare_at_s = now_s

    def _peer_asked(
        self,
        host: str,
        asked: _peer_messages.Presence | _peer_messages.TokensAsked,
        send: _peer_messages.SendToPeer,
        now_s: float,
    ) -> None:
        match asked:
            case _peer_messages.Presence(arbiters):
                if arbiters is None:
                    self._arbiter.refresh_presence(host, now_s)
                else:
                    self._arbiter.record_presence(host, arbiters, now_s)
            case _peer_messages.TokensAsked(name, count):
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
            case _:
                typing.assert_never(asked)

    def _granted(
        self, host: str, message: _peer_messages.TokensGranted, now_s: float
    ) -> None:
        asking = self._asking_by_team.get(message.team)
        if asking is None or asking.arbiter != host:
            return
        self._settle(asking, message.granted, message.wait_ms / 1000, now_s)

    def _fleet_changed(self, fleet: state.FleetSnapshot, now_s: float) -> None:
        self._table = fleet.table
        hosts = {server.host for server in fleet.server_by_id.values()}
        self._arbiter.host_count = len(hosts | {self._own_host})
        self._arbiters = state.arbiter_hosts(fleet)
        self._choose_arbiters(now_s)

    def _choose_arbiters(self, now_s: float) -> None:
        """Find out which arbiters can be asked, and tell them."""
        reachable = tuple(
            host
            for host in self._arbiters
            if host == self._own_host
            or (
                host in self._send_by_host
                and host not in self._silent
                and self._suspect_until_by_host.get(host, 0.0) <= now_s
            )
        )
        if reachable == self._reachable:
            return
        self._reachable = reachable
        self._changed_at_s = now_s
        self.log.decision("quota-arbiters", reachable=reachable)
        self._show_presence(now_s)
        for asking in self._asking_by_team.values():
            if asking.arbiter is not None and asking.arbiter not in reachable:
                asking.arbiter = None
                self._ask(asking, now_s)

    def _show_presence(self, now_s: float, whole: bool = True) -> None:
        self._shown_at_s = now_s
        self._arbiter.record_presence(self._own_host, self._reachable, now_s)
        shown = _peer_messages.Presence(self._reachable if whole else None)
        for host in self._arbiters:
            send = self._send_by_host.get(host)
            if send is not None:
                send(shown)

    def _tick(self, now_s: float) -> None:
        for asking in list(self._asking_by_team.values()):
            if asking.arbiter is not None and (
                now_s - asking.asked_at_s > ASK_TIMEOUT_S
            ):
                self._suspect_until_by_host[asking.arbiter] = now_s + SUSPECT_S
        self._choose_arbiters(now_s)
        for asking in self._asking_by_team.values():
            if asking.waiting and asking.arbiter is None:
                self._ask(asking, now_s)
        if now_s - self._shown_at_s >= state.PRESENCE_INTERVAL_S:
            self._periods += 1
            whole = self._periods % WHOLE_PRESENCE_EACH == 0
            self._show_presence(now_s, whole)
            arbitrates = (
                self._own_host in self._arbiters or not self._reachable
            )
            if arbitrates and self._table is not None:
                self._arbiter.refill_buckets(
                    self._table.team_by_name.values(), now_s
                )
