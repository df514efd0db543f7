"""The actor that owns peer links, the logical clock and the event ring."""

from collections.abc import Callable
from dataclasses import dataclass
import random
import typing

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _messages
from jasminecrank.coordination import _timers

_REDIAL_MIN_S = 0.5
_REDIAL_MAX_S = 8.0


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Who this node is and whom it may ask before it knows the hosts."""

    host: str
    data_centre: str
    incarnation: int
    seed_peers: tuple[str, ...]


@dataclass(slots=True)
class _Link:
    mailbox: _messages.Mailbox
    dialled_by: str
    versions: state.VersionVector
    last_heard_s: float


Dial = Callable[[str, _messages.Hello, _messages.Mailbox], None]
EventSink = Callable[[state.Event], None]


class MembershipActor(_actors.NodeActor):
    """Keeps links to the planned peers and passes their messages on.

    All peer messages and all events of the process pass through this actor,
    so that one logical clock orders them.
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
        self._by_host: dict[str, _Link] = {}
        self._dialling: set[str] = set()
        self._draining = False
        self._config: _messages.Mailbox | None = None
        self._admission: _messages.Mailbox | None = None

    def connect(
        self, config: _messages.Mailbox, admission: _messages.Mailbox
    ) -> None:
        """Take the mailboxes of the other actors and begin."""
        self._config = config
        self._admission = admission
        for address in self._settings.seed_peers:
            self._start_dial(address)
        self._schedule_tick()

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        match message:
            case _messages.Received():
                self._receive(message.envelope)
            case _messages.SendToPeer():
                self._send(message.host, message.message)
            case _messages.RecordEvent():
                self._record(message.name, dict(message.fields))
            case _messages.LinkUp():
                self._link_up(message)
            case _messages.LinkDown():
                self._link_down(message)
            case _messages.SnapshotChanged():
                self._snapshot = message.snapshot
                self._dial_planned()
            case _messages.Tick():
                self._tick()
            case _messages.ReadinessChanged():
                self._record(
                    "readiness",
                    {"ready": str(message.ready), "reason": message.reason},
                )
            case _messages.StopRequested():
                self._stop_links()
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
        link = self._by_host.get(envelope.sender)
        if link is None:
            return
        self._journal.observe(envelope.stamp, self._clock.wall_ms())
        link.last_heard_s = self._clock.monotonic_s()
        delivered = _messages.Delivered(envelope.sender, envelope.message)
        match envelope.message:
            case _messages.Heartbeat():
                link.versions = envelope.message.versions
                self._tell(self._config, delivered)
            case (
                _messages.Hello()
                | _messages.DocumentDelta()
                | _messages.DocumentSnapshot()
                | _messages.FetchDocument()
            ):
                self._tell(self._config, delivered)
            case (
                _messages.LoanRequest()
                | _messages.LoanGrant()
                | _messages.ShareNotice()
            ):
                self._tell(self._admission, delivered)
            case _messages.Goodbye():
                self._record("peer-leaving", {"peer": envelope.sender})
            case _:
                typing.assert_never(envelope.message)

    def _send(self, host: str, message: _messages.PeerMessage) -> None:
        link = self._by_host.get(host)
        if link is None:
            return
        stamp = self._journal.stamp(self._clock.wall_ms())
        envelope = _messages.Envelope(self._settings.host, stamp, message)
        _timers.deliver(link.mailbox, envelope)

    def _link_up(self, message: _messages.LinkUp) -> None:
        host = message.hello.host
        self._dialling.discard(self._address_of(host))
        known = self._by_host.get(host)
        if host == self._settings.host or (
            known is not None and known.dialled_by < message.dialled_by
        ):
            _timers.deliver(message.mailbox, _messages.StopRequested())
            return
        if known is not None:
            _timers.deliver(known.mailbox, _messages.StopRequested())
        self._by_host[host] = _Link(
            message.mailbox,
            message.dialled_by,
            message.hello.versions,
            self._clock.monotonic_s(),
        )
        self._record("peer-up", {"peer": host})
        peer_up = _messages.PeerUp(host, message.hello.versions)
        self._tell(self._config, peer_up)
        self._tell(self._admission, peer_up)

    def _link_down(self, message: _messages.LinkDown) -> None:
        self._dialling.discard(message.address)
        for host, link in tuple(self._by_host.items()):
            if link.mailbox == message.mailbox:
                self._drop(host, message.reason)

    def _drop(self, host: str, reason: str) -> None:
        link = self._by_host.pop(host)
        _timers.deliver(link.mailbox, _messages.StopRequested())
        self._record("peer-down", {"peer": host, "reason": reason})
        self._tell(self._config, _messages.PeerDown(host))
        self._tell(self._admission, _messages.PeerDown(host))

    def _tick(self) -> None:
        now_s = self._clock.monotonic_s()
        for host, link in tuple(self._by_host.items()):
            if now_s - link.last_heard_s > const.PEER_SILENCE_LIMIT_S:
                self._drop(host, "silent")
        heartbeat = _messages.Heartbeat(
            self._snapshot.versions, self._draining
        )
        for host in tuple(self._by_host):
            self._send(host, heartbeat)
        self._dial_planned()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        period_s = const.HEARTBEAT_PERIOD_S
        delay_s = self._rng.uniform(0.8 * period_s, period_s)
        self._timers.call_later(delay_s, self.actor_ref, _messages.Tick())

    def _dial_planned(self) -> None:
        if self._draining:
            return
        for peer in state.plan_links(self._snapshot, self._settings.host):
            if peer.host not in self._by_host:
                self._start_dial(f"{peer.address}:{peer.peer_port}")

    def _start_dial(self, address: str) -> None:
        if address in self._dialling:
            return
        self._dialling.add(address)
        self._dial(address, self._hello(), self.actor_ref)

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

    def _stop_links(self) -> None:
        self._draining = True
        for host in tuple(self._by_host):
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
            for host, link in sorted(self._by_host.items())
        )

    def _tell(
        self, mailbox: _messages.Mailbox | None, message: object
    ) -> None:
        if mailbox is not None:
            mailbox.tell(message)
