"""Actor that owns the peer links, the logical clock and recent events."""

from collections.abc import Callable
from dataclasses import dataclass
import math
import random
import typing

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _messages
from jasminecrank.coordination import _timers

_UNPLANNED_LINK_GRACE_S = 60.0
"""Time for host lists to converge before an unplanned link is closed."""


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Identity of this node and the peers to dial without a host list."""

    host: str
    data_centre: str
    incarnation: int
    seed_peers: tuple[str, ...]


@dataclass(slots=True)
class _Link:
    mailbox: _messages.Mailbox
    dialled_by: str
    address: str
    incarnation: int
    versions: state.VersionVector
    last_heard_s: float
    unplanned_since_s: float | None = None
    leaving: bool = False


Dial = Callable[[str, _messages.Hello, _messages.Mailbox], None]
EventSink = Callable[[state.Event], None]


class MembershipActor(_actors.NodeActor):
    """Maintain links to the planned peers and route their messages.

    All peer messages and all events of the process pass through this actor,
    so that a single logical clock orders them.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        clock: state.Clock,
        timers: _timers.Timers,
        rng: random.Random,
        dial: Dial,
        event_sink: EventSink,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._dial = dial
        self._event_sink = event_sink
        self._journal = state.Journal.from_host(settings.host)
        self._snapshot = state.Snapshot.empty()
        self._link_by_host: dict[str, _Link] = {}
        self._topology = state.Topology.from_snapshot(self._snapshot)
        self._dial_schedule = state.DialSchedule(settings.host)
        self._dial_due_s = math.inf
        self._readiness: _messages.ReadinessChanged | None = None
        self._draining = False
        self._config: _messages.Mailbox | None = None
        self._admission: _messages.Mailbox | None = None

    def connect(
        self, config: _messages.Mailbox, admission: _messages.Mailbox
    ) -> None:
        """Set the mailboxes of the other actors and start dialling."""
        self._config = config
        self._admission = admission
        self._dial_planned_peers()
        self._schedule_tick()

    def on_receive(self, message: object) -> object:
        """Handle a message; queries return their result."""
        match message:
            case _messages.EnvelopeReceived():
                self._receive(message.envelope)
            case _messages.SendToPeer():
                self._send(message.host, message.message)
            case _messages.RecordEvent():
                self._record(message.name, dict(message.fields))
            case _messages.LinkUp():
                self._handle_link_up(message)
            case _messages.LinkDown():
                self._handle_link_down(message)
            case _messages.SnapshotChanged():
                self._apply_snapshot(message.snapshot)
            case _messages.DialDue():
                self._dial_due_s = math.inf
                self._dial_planned_peers()
            case _messages.Tick():
                self._tick()
            case _messages.ReadinessChanged():
                self._apply_readiness(message)
            case _messages.StopRequested():
                self._announce_stop()
            case _messages.GetStatus():
                return self._status()
            case _messages.GetHello():
                return self._hello()
            case _messages.GetEvents():
                return tuple(self._journal.events)
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected message {message!r}"
                )
        return None

    def _receive(self, envelope: _messages.Envelope) -> None:
        link = self._link_by_host.get(envelope.sender)
        if link is None:
            return
        self._journal.observe(envelope.stamp, self._clock.wall_ms())
        link.last_heard_s = self._clock.monotonic_s()
        received = _messages.PeerMessageReceived(
            envelope.sender, envelope.message
        )
        match envelope.message:
            case _messages.Heartbeat():
                link.versions = envelope.message.versions
                self._tell(self._config, received)
            case (
                _messages.Hello()
                | _messages.DocumentDelta()
                | _messages.DocumentSnapshot()
                | _messages.FetchDocument()
                | _messages.VersionsRequest()
                | _messages.VersionsReply()
            ):
                self._tell(self._config, received)
            case (
                _messages.LoanRequestMessage()
                | _messages.LoanGrantMessage()
                | _messages.ShareReportMessage()
            ):
                self._tell(self._admission, received)
            case _messages.Goodbye():
                self._handle_goodbye(envelope.sender, link)
                self._tell(self._admission, received)
            case _:
                typing.assert_never(envelope.message)

    def _send(self, host: str, message: _messages.PeerMessage) -> None:
        link = self._link_by_host.get(host)
        if link is None:
            return
        stamp = self._journal.stamp(self._clock.wall_ms())
        envelope = _messages.Envelope(self._settings.host, stamp, message)
        _timers.tell_if_alive(link.mailbox, envelope)

    def _handle_link_up(self, message: _messages.LinkUp) -> None:
        host = message.hello.host
        if message.address:
            self._dial_schedule.record_success(message.address)
        existing = self._link_by_host.get(host)
        if host == self._settings.host or (
            existing is not None and _keeps_existing_link(existing, message)
        ):
            _timers.tell_if_alive(message.mailbox, _messages.StopRequested())
            return
        if existing is not None:
            _timers.tell_if_alive(existing.mailbox, _messages.StopRequested())
        self._link_by_host[host] = _Link(
            message.mailbox,
            message.dialled_by,
            message.address or self._address_of(host),
            message.hello.incarnation,
            message.hello.versions,
            self._clock.monotonic_s(),
        )
        self._record("peer-up", {"peer": host})
        peer_up = _messages.PeerUp(host, message.hello.versions)
        self._tell(self._config, peer_up)
        self._tell(self._admission, peer_up)

    def _handle_link_down(self, message: _messages.LinkDown) -> None:
        if message.address:
            self._dial_schedule.record_failure(
                message.address, self._clock.monotonic_s(), self._rng
            )
        for host, link in tuple(self._link_by_host.items()):
            if link.mailbox == message.mailbox:
                self._close_link(host, message.reason)
        self._dial_planned_peers()

    def _close_link(self, host: str, reason: str) -> None:
        link = self._link_by_host.pop(host)
        _timers.tell_if_alive(link.mailbox, _messages.StopRequested())
        now_s = self._clock.monotonic_s()
        if link.leaving:
            self._dial_schedule.defer(link.address, now_s)
        elif link.address:
            self._dial_schedule.record_failure(link.address, now_s, self._rng)
        self._record("peer-down", {"peer": host, "reason": reason})
        if not link.leaving:
            self._tell(self._config, _messages.PeerDown(host))

    def _handle_goodbye(self, host: str, link: _Link) -> None:
        """Report a peer as down once it announces a planned stop.

        The link itself stays open until the peer closes it.
        """
        if link.leaving:
            return
        link.leaving = True
        self._record("peer-leaving", {"peer": host})
        self._tell(self._config, _messages.PeerDown(host))
        self._tell(self._admission, _messages.PeerDown(host))

    def _apply_snapshot(self, snapshot: state.Snapshot) -> None:
        hosts_changed = (
            snapshot.versions.hosts != self._snapshot.versions.hosts
        )
        self._snapshot = snapshot
        if hosts_changed:
            self._topology = state.Topology.from_snapshot(snapshot)
            self._dial_planned_peers()

    def _apply_readiness(self, message: _messages.ReadinessChanged) -> None:
        previous = self._readiness
        self._readiness = message
        if previous is not None and (previous.ready, previous.reason) == (
            message.ready,
            message.reason,
        ):
            return
        self._record(
            "readiness",
            {"ready": str(message.ready), "reason": message.reason},
        )

    def _tick(self) -> None:
        now_s = self._clock.monotonic_s()
        for host, link in tuple(self._link_by_host.items()):
            if now_s - link.last_heard_s > const.PEER_SILENCE_LIMIT_S:
                self._close_link(host, "silent")
        heartbeat = _messages.Heartbeat(
            self._snapshot.versions,
            self._draining,
            self._confirmed_age_s(now_s),
        )
        for host in tuple(self._link_by_host):
            self._send(host, heartbeat)
        self._close_unplanned_links(now_s)
        self._dial_planned_peers()
        self._schedule_tick()

    def _confirmed_age_s(self, now_s: float) -> float:
        if self._readiness is None or self._readiness.confirmed_s is None:
            return math.inf
        return now_s - self._readiness.confirmed_s

    def _close_unplanned_links(self, now_s: float) -> None:
        """Close links that this node dialled and that are no longer planned.

        The peer dials again if it still plans the link.
        """
        planned = {peer.host for peer in self._planned_peers()}
        for host, link in tuple(self._link_by_host.items()):
            if host in planned or link.dialled_by != self._settings.host:
                link.unplanned_since_s = None
            elif link.unplanned_since_s is None:
                link.unplanned_since_s = now_s
            elif (
                planned
                and now_s - link.unplanned_since_s >= _UNPLANNED_LINK_GRACE_S
            ):
                self._close_link(host, "no longer planned")

    def _schedule_tick(self) -> None:
        period_s = const.HEARTBEAT_PERIOD_S
        delay_s = self._rng.uniform(0.8 * period_s, period_s)
        self._timers.call_later(delay_s, self.actor_ref, _messages.Tick())

    def _planned_peers(self) -> tuple[state.HostRow, ...]:
        return self._topology.links(
            self._settings.host, self._settings.data_centre
        )

    def _dial_planned_peers(self) -> None:
        if self._draining:
            return
        targets = [
            state.DialTarget(peer.host, f"{peer.address}:{peer.peer_port}")
            for peer in self._planned_peers()
        ]
        if not self._topology.by_host:
            targets = [
                state.DialTarget("", address)
                for address in self._settings.seed_peers
            ]
        now_s = self._clock.monotonic_s()
        due = self._dial_schedule.take_due(
            targets, self._link_by_host.keys(), now_s, self._rng
        )
        for target in due:
            self._dial(target.address, self._hello(), self.actor_ref)
        self._schedule_dial(now_s)

    def _schedule_dial(self, now_s: float) -> None:
        due_s = self._dial_schedule.next_due_s()
        if due_s is None or due_s >= self._dial_due_s:
            return
        self._dial_due_s = due_s
        self._timers.call_later(
            max(0.0, due_s - now_s), self.actor_ref, _messages.DialDue()
        )

    def _hello(self) -> _messages.Hello:
        return _messages.Hello(
            self._settings.host,
            self._settings.data_centre,
            self._settings.incarnation,
            self._snapshot.versions,
        )

    def _address_of(self, host: str) -> str:
        row = self._snapshot.by_host.get(host)
        return f"{row.address}:{row.peer_port}" if row else ""

    def _announce_stop(self) -> None:
        self._draining = True
        for host in tuple(self._link_by_host):
            self._send(host, _messages.Goodbye("planned stop"))

    def _record(self, name: str, fields: dict[str, str]) -> None:
        event = self._journal.record(name, fields, self._clock.wall_ms())
        self._event_sink(event)

    def _status(self) -> tuple[_messages.PeerStatus, ...]:
        now_s = self._clock.monotonic_s()
        return tuple(
            _messages.PeerStatus(
                host, link.versions, now_s - link.last_heard_s
            )
            for host, link in sorted(self._link_by_host.items())
        )

    def _tell(
        self, mailbox: _messages.Mailbox | None, message: object
    ) -> None:
        if mailbox is not None:
            mailbox.tell(message)


def _keeps_existing_link(existing: _Link, message: _messages.LinkUp) -> bool:
    """Return whether an existing link is kept when a second one opens.

    Both sides keep the link to the newer process or, between the same two
    processes, the link that the host with the lower id dialled.
    """
    if existing.incarnation != message.hello.incarnation:
        return existing.incarnation > message.hello.incarnation
    return existing.dialled_by < message.dialled_by
