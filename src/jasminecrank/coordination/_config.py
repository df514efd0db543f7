"""Actor that owns the configuration documents in force."""

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
    """Identity of this node and the pace of its source calls."""

    host: str
    data_centre: str
    asks_peers_first: bool = False
    fleet_hosts: int = const.FLEET_HOSTS_MAX


class ConfigActor(_actors.NodeActor):
    """Accept documents from the source and peers and distribute them."""

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
        self._source_client = _source_client.SourceClient.from_start(
            settings.host,
            settings.data_centre,
            now_s,
            rng,
            settings.asks_peers_first,
            settings.fleet_hosts,
        )
        self._published_versions = state.VersionVector()
        self._published_readiness = state.Readiness(False, "starting", now_s)
        self._started_s = now_s
        self._confirmed_s: float | None = None
        self._unconfirmed_reported = False
        self._reported_conflicts: set[tuple[state.DocumentName, str]] = set()
        self._subscribers: tuple[_messages.Mailbox, ...] = ()
        self._membership: _messages.Mailbox | None = None
        self._source_reader: _messages.Mailbox | None = None

    def connect(
        self,
        membership: _messages.Mailbox,
        source: _messages.Mailbox,
        subscribers: tuple[_messages.Mailbox, ...],
    ) -> None:
        """Set the mailboxes of the other actors and run the first tick."""
        self._membership = membership
        self._source_reader = source
        self._subscribers = subscribers
        self._tick(self._clock.monotonic_s())

    def on_receive(self, message: object) -> object:
        """Handle a message, after checking whether the process was paused."""
        now_s = self._clock.monotonic_s()
        self._detect_pause(now_s)
        match message:
            case _messages.Tick():
                self._tick(now_s)
            case (
                _messages.WatchCompleted()
                | _messages.DocumentRead()
                | _messages.DocumentUnreadable()
                | _messages.SourceFailed()
            ):
                self._handle_source_message(message, now_s)
            case _messages.PeerUp():
                self._handle_peer_up(message, now_s)
            case _messages.PeerDown():
                self._send(self._exchange.peer_down(message.host, now_s))
            case _messages.PeerMessageReceived():
                self._handle_peer_message(message.host, message.message, now_s)
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
            "peers still report older versions after %s s: %s",
            const.CONVERGENCE_LIMIT_S,
            lagging,
        )
        self._report_unconfirmed_versions(now_s)
        self._publish_readiness(now_s)
        self._call_source(now_s)
        self._timers.call_later(
            const.TICK_PERIOD_S, self.actor_ref, _messages.Tick()
        )

    def _detect_pause(self, now_s: float) -> None:
        if not self._readiness.detect_pause(now_s):
            return
        self._record("paused", {})
        for host in sorted(self._exchange.by_peer):
            self._request_versions(host)
        self._publish_readiness(now_s)

    def _request_versions(self, host: str) -> None:
        request = _messages.VersionsRequest(self._readiness.query_id)
        self._tell_peer(host, request)

    def _handle_peer_up(self, message: _messages.PeerUp, now_s: float) -> None:
        self._send(
            self._exchange.peer_up(message.host, message.versions, now_s)
        )
        if self._readiness.query_id > 0:
            self._request_versions(message.host)
        else:
            self._readiness.record_answer(0, message.versions, now_s)
        self._report_conflicts(message.host, message.versions)
        self._publish_readiness(now_s)

    def _handle_peer_message(
        self, host: str, message: _messages.PeerMessage, now_s: float
    ) -> None:
        match message:
            case _messages.Hello():
                self._receive_versions(host, message.versions, now_s)
            case _messages.Heartbeat():
                self._receive_versions(host, message.versions, now_s)
                own_versions = self._exchange.config.versions()
                age_s = message.confirmed_age_s
                if own_versions.covers(message.versions) and math.isfinite(
                    age_s
                ):
                    self._record_confirmation(now_s - age_s)
            case _messages.VersionsRequest():
                self._tell_peer(host, self._versions_reply(message.query_id))
            case _messages.VersionsReply():
                self._receive_versions(host, message.versions, now_s)
                self._readiness.record_answer(
                    message.query_id, message.versions, now_s
                )
                self._publish_readiness(now_s)
            case _messages.DocumentDelta():
                self._process_offer(
                    self._exchange.receive_delta(host, message.delta, now_s),
                    message.delta.name,
                    message.delta.target,
                    host,
                )
            case _messages.DocumentSnapshot():
                document = message.document
                self._process_offer(
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
                _messages.LoanRequestMessage()
                | _messages.LoanGrantMessage()
                | _messages.ShareReportMessage()
                | _messages.Goodbye()
            ):
                return
            case _:
                typing.assert_never(message)

    def _receive_versions(
        self, host: str, versions: state.VersionVector, now_s: float
    ) -> None:
        self._send(self._exchange.receive_versions(host, versions, now_s))
        self._report_conflicts(host, versions)

    def _versions_reply(self, query_id: int) -> _messages.VersionsReply:
        return _messages.VersionsReply(
            query_id, self._exchange.config.versions()
        )

    def _handle_source_message(
        self, message: _source_client.SourceMessage, now_s: float
    ) -> None:
        if isinstance(message, _messages.DocumentRead):
            document = message.document
            result = self._exchange.receive_document(None, document, now_s)
            self._process_offer(result, document.name, document.version, None)
            events = self._source_client.handle_document(
                document, result.offer_result, now_s
            )
        else:
            events = self._source_client.handle_answer(message, now_s)
        for event in events:
            self._tell_membership(event)
        own_versions = self._exchange.config.versions()
        if not isinstance(message, _messages.SourceFailed):
            source_versions = _versions_in_answer(message, own_versions)
            self._readiness.record_answer(
                self._source_client.query_id, source_versions, now_s
            )
        if self._source_client.caught_up:
            self._record_confirmation(now_s)
        self._publish_readiness(now_s)
        self._call_source(now_s)

    def _call_source(self, now_s: float) -> None:
        if self._source_reader is None:
            return
        call = self._source_client.next_call(
            self._exchange.config.versions(),
            self._exchange.by_peer.keys(),
            self._readiness.query_id,
            now_s,
        )
        if call is not None:
            self._source_reader.tell(call)

    def _process_offer(
        self,
        result: state.ReceiveResult,
        name: state.DocumentName,
        version: state.Version,
        origin: str | None,
    ) -> None:
        # Send to peers before publishing the snapshot: heartbeats report the
        # new version from then on, and a peer that receives one first would
        # fetch a document that is already being sent.
        self._send(result.sends)
        match result.offer_result:
            case state.Accepted():
                self._publish(result.offer_result, version, origin)
            case state.Conflict():
                self._report_conflict(name, version, origin or "source")
            case state.Invalid() if origin is not None:
                self._record(
                    "version-invalid",
                    {
                        "document": name.value,
                        "version": str(version),
                        "origin": origin,
                        "reason": result.offer_result.reason,
                    },
                )
            case state.Stale() | state.Invalid() | None:
                return
            case _:
                typing.assert_never(result.offer_result)

    def _publish(
        self,
        accepted: state.Accepted,
        version: state.Version,
        origin: str | None,
    ) -> None:
        snapshot = accepted.snapshot
        state.check(
            exceptions.ResultCode.INVARIANT_REVERTED,
            snapshot.versions.covers(self._published_versions)
            and not state.conflicting_documents(
                self._published_versions, snapshot.versions
            ),
            "versions in force would be reverted from %s to %s",
            self._published_versions,
            snapshot.versions,
        )
        self._published_versions = snapshot.versions
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
            self._source_client.update_topology(snapshot)
        self._publish_readiness(self._clock.monotonic_s())

    def _publish_readiness(self, now_s: float) -> None:
        """Send the readiness to the subscribers.

        The time of the last tick is part of it, so that subscribers can tell
        whether the process was paused even if nothing else has changed.
        """
        readiness = self._readiness.decide(
            self._exchange.config.versions(), now_s
        )
        if readiness == self._published_readiness:
            return
        self._published_readiness = readiness
        message = _messages.ReadinessChanged(
            self._published_readiness.ready,
            self._published_readiness.reason,
            self._published_readiness.ticked_s,
            self._confirmed_s,
        )
        for subscriber in self._subscribers:
            subscriber.tell(message)

    def _record_confirmation(self, confirmed_s: float) -> None:
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    def _report_unconfirmed_versions(self, now_s: float) -> None:
        """Record when versions become unconfirmed or confirmed again."""
        confirmed_s = self._confirmed_s
        since_s = self._started_s if confirmed_s is None else confirmed_s
        age_s = now_s - since_s
        unconfirmed = age_s > const.UNCONFIRMED_ALARM_S
        if unconfirmed == self._unconfirmed_reported:
            return
        self._unconfirmed_reported = unconfirmed
        name = "versions-unconfirmed" if unconfirmed else "versions-confirmed"
        self._record(name, {"age_s": f"{age_s:.1f}"})

    def _confirmed_age_s(self, now_s: float) -> float | None:
        if self._confirmed_s is None:
            return None
        return now_s - self._confirmed_s

    def _report_conflicts(
        self, host: str, versions: state.VersionVector
    ) -> None:
        own_versions = self._exchange.config.versions()
        for name in state.conflicting_documents(own_versions, versions):
            self._report_conflict(name, versions.get(name), host)

    def _report_conflict(
        self, name: state.DocumentName, version: state.Version, origin: str
    ) -> None:
        """Record a conflict once for each document and digest."""
        if (name, version.digest) in self._reported_conflicts:
            return
        self._reported_conflicts.add((name, version.digest))
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
            ready=self._published_readiness.ready,
            reason=self._published_readiness.reason,
            watching=self._source_client.watching,
            source_error=self._source_client.error,
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


def _versions_in_answer(
    message: _source_client.SourceMessage, own_versions: state.VersionVector
) -> state.VersionVector:
    """Return the versions in force, raised to those that an answer shows."""
    source_versions = own_versions
    match message:
        case _messages.WatchCompleted():
            for name in message.names:
                newer = state.Version(own_versions.get(name).number + 1, "")
                source_versions = source_versions.replace(name, newer)
        case _messages.DocumentRead():
            document = message.document
            source_versions = source_versions.replace(
                document.name, document.version
            )
        case _messages.DocumentUnreadable() | _messages.SourceFailed():
            return own_versions
        case _:
            typing.assert_never(message)
    return source_versions
