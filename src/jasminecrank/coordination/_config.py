"""The actor that owns the documents in force."""

from dataclasses import dataclass
import math
import random
import typing

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _messages
from jasminecrank.coordination import _source_client
from jasminecrank.coordination import _timers


@dataclass(slots=True, frozen=True)
class ConfigSettings:
    """Who this node is."""

    host: str
    data_centre: str
    asks_peers_first: bool = False
    fleet_hosts: int = const.FLEET_HOSTS_MAX


class ConfigActor(_actors.NodeActor):
    """Accepts documents from source and peers and passes them on."""

    def __init__(
        self,
        settings: ConfigSettings,
        clock: state.Clock,
        timers: _timers.Timers,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._timers = timers
        now_s = clock.monotonic_s()
        self._exchange = state.ExchangeState.from_host(settings.host)
        self._readiness = state.ReadinessState.from_start(now_s)
        self._source = _source_client.SourceClient.from_start(
            settings.host,
            settings.data_centre,
            now_s,
            rng,
            settings.asks_peers_first,
            settings.fleet_hosts,
        )
        self._published = state.VersionVector()
        self._decided = state.Readiness(False, "starting", now_s)
        self._started_s = now_s
        self._confirmed_s: float | None = None
        self._unconfirmed = False
        self._conflicts: set[tuple[state.DocumentName, str]] = set()
        self._subscribers: tuple[_messages.Mailbox, ...] = ()
        self._membership: _messages.Mailbox | None = None
        self._reader: _messages.Mailbox | None = None

    def connect(
        self,
        membership: _messages.Mailbox,
        source: _messages.Mailbox,
        subscribers: tuple[_messages.Mailbox, ...],
    ) -> None:
        """Take the mailboxes of the other actors and begin."""
        self._membership = membership
        self._reader = source
        self._subscribers = subscribers
        self._tick(self._clock.monotonic_s())

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        now_s = self._clock.monotonic_s()
        self._detect_pause(now_s)
        match message:
            case _messages.Tick():
                self._tick(now_s)
            case (
                _messages.SourceChanged()
                | _messages.DocumentRead()
                | _messages.DocumentUnreadable()
                | _messages.SourceFailed()
            ):
                self._handle_source(message, now_s)
            case _messages.PeerUp():
                self._peer_up(message, now_s)
            case _messages.PeerDown():
                self._send(self._exchange.peer_down(message.host, now_s))
            case _messages.Delivered():
                self._handle_peer(message.host, message.message, now_s)
            case _messages.GetStatus():
                return self._status(now_s)
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected message {message!r}"
                )
        return None

    def _tick(self, now_s: float) -> None:
        self._readiness.tick(now_s)
        self._send(self._exchange.fetch_due(now_s))
        lagging = self._exchange.lagging_peers(now_s)
        state.check(
            exceptions.ResultCode.INVARIANT_REVERTED,
            not lagging,
            "peers still show an older version after %s s: %s",
            const.CONVERGENCE_LIMIT_S,
            lagging,
        )
        self._note_confirmation(now_s)
        self._decide(now_s)
        self._call_source(now_s)
        self._timers.call_later(
            const.TICK_PERIOD_S, self.actor_ref, _messages.Tick()
        )

    def _detect_pause(self, now_s: float) -> None:
        if not self._readiness.detect_pause(now_s):
            return
        self._record("paused", {})
        for host in sorted(self._exchange.by_peer):
            self._ask_versions(host)
        self._decide(now_s)

    def _ask_versions(self, host: str) -> None:
        request = _messages.VersionsRequest(self._readiness.query_id)
        self._tell_peer(host, request)

    def _peer_up(self, message: _messages.PeerUp, now_s: float) -> None:
        self._send(
            self._exchange.peer_up(message.host, message.versions, now_s)
        )
        if self._readiness.query_id > 0:
            self._ask_versions(message.host)
        else:
            self._readiness.record_answer(0, message.versions, now_s)
        self._note_conflicts(message.host, message.versions)
        self._decide(now_s)

    def _handle_peer(
        self, host: str, message: _messages.PeerMessage, now_s: float
    ) -> None:
        match message:
            case _messages.Hello():
                self._peer_shows(host, message.versions, now_s)
            case _messages.Heartbeat():
                self._peer_shows(host, message.versions, now_s)
                own = self._exchange.config.versions()
                age_s = message.confirmed_age_s
                if own.covers(message.versions) and math.isfinite(age_s):
                    self._confirm(now_s - age_s)
            case _messages.VersionsRequest():
                self._tell_peer(host, self._versions_reply(message.inquiry))
            case _messages.VersionsReply():
                self._peer_shows(host, message.versions, now_s)
                self._readiness.record_answer(
                    message.inquiry, message.versions, now_s
                )
                self._decide(now_s)
            case _messages.DocumentDelta():
                self._offered(
                    self._exchange.receive_delta(host, message.delta, now_s),
                    message.delta.name,
                    message.delta.target,
                    host,
                )
            case _messages.DocumentSnapshot():
                document = message.document
                self._offered(
                    self._exchange.receive_document(host, document, now_s),
                    document.name,
                    document.version,
                    host,
                )
            case _messages.FetchDocument():
                self._send(
                    self._exchange.receive_fetch(
                        host, message.name, message.have
                    )
                )
            case (
                _messages.LoanRequest()
                | _messages.LoanGrant()
                | _messages.ShareNotice()
                | _messages.Goodbye()
            ):
                return
            case _:
                typing.assert_never(message)

    def _peer_shows(
        self, host: str, versions: state.VersionVector, now_s: float
    ) -> None:
        self._send(self._exchange.receive_versions(host, versions, now_s))
        self._note_conflicts(host, versions)

    def _versions_reply(self, inquiry: int) -> _messages.VersionsReply:
        return _messages.VersionsReply(
            inquiry, self._exchange.config.versions()
        )

    def _handle_source(
        self, message: _source_client.SourceMessage, now_s: float
    ) -> None:
        if isinstance(message, _messages.DocumentRead):
            document = message.document
            offered = self._exchange.receive_document(None, document, now_s)
            self._offered(offered, document.name, document.version, None)
            events = self._source.read(document, offered.offer_result, now_s)
        else:
            events = self._source.handle(message, now_s)
        for event in events:
            self._tell_membership(event)
        own = self._exchange.config.versions()
        if not isinstance(message, _messages.SourceFailed):
            shown = _shown_by_source(message, own)
            self._readiness.record_answer(self._source.inquiry, shown, now_s)
        if self._source.caught_up:
            self._confirm(now_s)
        self._decide(now_s)
        self._call_source(now_s)

    def _call_source(self, now_s: float) -> None:
        if self._reader is None:
            return
        call = self._source.next_call(
            self._exchange.config.versions(),
            self._exchange.by_peer.keys(),
            self._readiness.query_id,
            now_s,
        )
        if call is not None:
            self._reader.tell(call)

    def _offered(
        self,
        offered: state.ReceiveResult,
        name: state.DocumentName,
        version: state.Version,
        origin: str | None,
    ) -> None:
        # Peers come first: a heartbeat sent after the snapshot has changed
        # shows the new version, and a peer would fetch what is on its way.
        self._send(offered.sends)
        match offered.offer_result:
            case state.Accepted():
                self._publish(offered.offer_result, version, origin)
            case state.Conflict():
                self._note_conflict(name, version, origin or "source")
            case state.Invalid() if origin is not None:
                self._record(
                    "version-invalid",
                    {
                        "document": name.value,
                        "version": str(version),
                        "origin": origin,
                        "reason": offered.offer_result.reason,
                    },
                )
            case state.Stale() | state.Invalid() | None:
                return
            case _:
                typing.assert_never(offered.offer_result)

    def _publish(
        self,
        accepted: state.Accepted,
        version: state.Version,
        origin: str | None,
    ) -> None:
        snapshot = accepted.snapshot
        state.check(
            exceptions.ResultCode.INVARIANT_REVERTED,
            snapshot.versions.covers(self._published)
            and not state.conflicting_documents(
                self._published, snapshot.versions
            ),
            "versions in force would revert from %s to %s",
            self._published,
            snapshot.versions,
        )
        self._published = snapshot.versions
        for subscriber in self._subscribers:
            subscriber.tell(_messages.SnapshotChanged(snapshot))
        self._record(
            "version-accepted",
            {
                "document": accepted.delta.name.value,
                "version": str(version),
                "origin": origin or "source",
            },
        )
        if accepted.delta.name is state.DocumentName.HOSTS:
            self._source.hosts_changed(snapshot)
        self._decide(self._clock.monotonic_s())

    def _decide(self, now_s: float) -> None:
        """Publish the readiness, also unchanged, as a sign of no pause."""
        decided = self._readiness.decide(
            self._exchange.config.versions(), now_s
        )
        if decided == self._decided:
            return
        self._decided = decided
        message = _messages.ReadinessChanged(
            self._decided.ready,
            self._decided.reason,
            self._decided.ticked_s,
            self._confirmed_s,
        )
        for subscriber in self._subscribers:
            subscriber.tell(message)

    def _confirm(self, confirmed_s: float) -> None:
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    def _note_confirmation(self, now_s: float) -> None:
        """Record when the versions have gone unconfirmed for too long."""
        confirmed_s = self._confirmed_s
        since_s = self._started_s if confirmed_s is None else confirmed_s
        age_s = now_s - since_s
        unconfirmed = age_s > const.UNCONFIRMED_ALARM_S
        if unconfirmed == self._unconfirmed:
            return
        self._unconfirmed = unconfirmed
        name = "versions-unconfirmed" if unconfirmed else "versions-confirmed"
        self._record(name, {"age_s": f"{age_s:.1f}"})

    def _confirmed_age_s(self, now_s: float) -> float | None:
        if self._confirmed_s is None:
            return None
        return now_s - self._confirmed_s

    def _note_conflicts(
        self, host: str, versions: state.VersionVector
    ) -> None:
        own = self._exchange.config.versions()
        for name in state.conflicting_documents(own, versions):
            self._note_conflict(name, versions.get(name), host)

    def _note_conflict(
        self, name: state.DocumentName, version: state.Version, origin: str
    ) -> None:
        """Raise the alarm once for each digest."""
        if (name, version.digest) in self._conflicts:
            return
        self._conflicts.add((name, version.digest))
        in_force = self._exchange.config.versions().get(name)
        self._record(
            "version-conflict",
            {
                "document": name.value,
                "version": str(version),
                "in_force": str(in_force),
                "origin": origin,
            },
        )

    def _status(self, now_s: float) -> _messages.ConfigStatus:
        return _messages.ConfigStatus(
            versions=self._exchange.config.versions(),
            ready=self._decided.ready,
            reason=self._decided.reason,
            watching=self._source.watching,
            source_error=self._source.error,
            confirmed_age_s=self._confirmed_age_s(now_s),
        )

    def _send(self, sends: tuple[state.Send, ...]) -> None:
        for send in sends:
            match send:
                case state.SendDelta():
                    message: _messages.PeerMessage = _messages.DocumentDelta(
                        send.delta
                    )
                case state.SendDocument():
                    message = _messages.DocumentSnapshot(send.document)
                case state.SendFetch():
                    message = _messages.FetchDocument(send.name, send.have)
                case state.SendVersions():
                    message = self._versions_reply(-1)
                case _:
                    typing.assert_never(send)
            self._tell_peer(send.host, message)

    def _tell_peer(self, host: str, message: _messages.PeerMessage) -> None:
        self._tell_membership(_messages.SendToPeer(host, message))

    def _record(self, name: str, fields: dict[str, str]) -> None:
        self._tell_membership(_messages.RecordEvent(name, fields))

    def _tell_membership(self, message: object) -> None:
        if self._membership is not None:
            self._membership.tell(message)


def _shown_by_source(
    message: _source_client.SourceMessage, own: state.VersionVector
) -> state.VersionVector:
    """Return the versions that an answer of the source shows."""
    shown = own
    match message:
        case _messages.SourceChanged():
            for name in message.names:
                newer = state.Version(own.get(name).number + 1, "")
                shown = shown.replace(name, newer)
        case _messages.DocumentRead():
            document = message.document
            shown = shown.replace(document.name, document.version)
        case _messages.DocumentUnreadable() | _messages.SourceFailed():
            return own
        case _:
            typing.assert_never(message)
    return shown
