"""The actor that owns the documents in force."""

from dataclasses import dataclass
import random
import typing

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _messages
from jasminecrank.coordination import _timers

_RETRY_FIRST_S = 0.5
_RETRY_MAX_S = 8.0


@dataclass(slots=True, frozen=True)
class ConfigSettings:
    """Who this node is."""

    host: str
    data_centre: str


class ConfigActor(_actors.NodeActor):
    """Accepts documents from source and peers and passes them on."""

    def __init__(
        self,
        settings: ConfigSettings,
        timers: _timers.Timers,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._config = state.ConfigState.empty()
        self._by_peer: dict[str, state.VersionVector] = {}
        self._subscribers: tuple[_messages.Mailbox, ...] = ()
        self._membership: _messages.Mailbox | None = None
        self._source: _messages.Mailbox | None = None
        self._source_busy = False
        self._source_failures = 0
        self._source_error = ""
        self._ready = False

    def connect(
        self,
        membership: _messages.Mailbox,
        source: _messages.Mailbox,
        subscribers: tuple[_messages.Mailbox, ...],
    ) -> None:
        """Take the mailboxes of the other actors and begin."""
        self._membership = membership
        self._source = source
        self._subscribers = subscribers
        self._read_source()

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        match message:
            case _messages.DocumentRead():
                self._offer(message.document, None)
            case _messages.SourceAnswered():
                self._source_answered()
            case _messages.SourceFailed():
                self._source_failed(message.reason)
            case _messages.Tick():
                self._read_source()
            case _messages.PeerUp():
                self._by_peer[message.host] = message.versions
                self._fetch_newer(message.host, message.versions)
            case _messages.PeerDown():
                self._by_peer.pop(message.host, None)
            case _messages.Delivered():
                self._handle_peer(message.host, message.message)
            case _messages.GetStatus():
                return self._status()
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected message {message!r}"
                )
        return None

    def _handle_peer(self, host: str, message: _messages.PeerMessage) -> None:
        match message:
            case _messages.Hello() | _messages.Heartbeat():
                self._by_peer[host] = message.versions
                self._fetch_newer(host, message.versions)
            case _messages.DocumentDelta():
                self._apply_delta(host, message.delta)
            case _messages.DocumentSnapshot():
                self._offer(message.document, host)
            case _messages.FetchDocument():
                self._answer_fetch(host, message)
            case (
                _messages.LoanRequest()
                | _messages.LoanGrant()
                | _messages.ShareNotice()
                | _messages.Goodbye()
            ):
                return
            case _:
                typing.assert_never(message)

    def _fetch_newer(self, host: str, versions: state.VersionVector) -> None:
        own = self._config.versions()
        for name in state.DocumentName:
            if versions.get(name).number > own.get(name).number:
                self._send(host, _messages.FetchDocument(name, own.get(name)))

    def _apply_delta(self, host: str, delta: state.Delta) -> None:
        base = self._config.by_name[delta.name]
        if delta.target.number <= base.version.number:
            return
        document = state.apply_delta(base, delta)
        if document is None:
            self._send(host, _messages.FetchDocument(delta.name, base.version))
            return
        self._offer(document, host)

    def _answer_fetch(
        self, host: str, message: _messages.FetchDocument
    ) -> None:
        document = self._config.by_name[message.name]
        if document.version.number > message.have.number:
            self._send(host, _messages.DocumentSnapshot(document))

    def _offer(self, document: state.Document, origin: str | None) -> None:
        result = self._config.offer(document)
        fields = {
            "document": document.name.value,
            "version": str(document.version),
            "origin": origin or "source",
        }
        match result:
            case state.Accepted():
                self._record("version-accepted", fields)
                self._publish(result, origin)
            case state.Stale():
                return
            case state.Conflict():
                fields["in_force"] = str(result.in_force)
                self._record("version-conflict", fields)
            case state.Invalid():
                fields["reason"] = result.reason
                self._record("version-invalid", fields)
            case _:
                typing.assert_never(result)

    def _publish(self, accepted: state.Accepted, origin: str | None) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(_messages.SnapshotChanged(accepted.snapshot))
        self._update_ready()
        delta = accepted.delta
        for host in sorted(self._by_peer):
            shown = self._by_peer[host].get(delta.name)
            if host == origin or shown.number >= delta.target.number:
                continue
            self._send(host, _messages.DocumentDelta(delta))

    def _update_ready(self) -> None:
        versions = self._config.versions()
        ready = versions.table.number > 0 and versions.hosts.number > 0
        if ready == self._ready:
            return
        self._ready = ready
        for subscriber in self._subscribers:
            subscriber.tell(_messages.ReadinessChanged(ready, "configured"))

    def _read_source(self) -> None:
        if self._source is None or self._source_busy:
            return
        self._source_busy = True
        have = self._config.versions()
        if self._config.versions().hosts.number == 0:
            self._source.tell(_messages.ReadSource(have))
            return
        if self._is_watcher():
            self._source.tell(_messages.WatchSource(have))
            return
        self._source_busy = False

    def _is_watcher(self) -> bool:
        chosen = state.watchers(
            self._config.snapshot, self._settings.data_centre
        )
        return any(host.host == self._settings.host for host in chosen)

    def _source_answered(self) -> None:
        self._source_busy = False
        self._source_failures = 0
        self._source_error = ""
        self._read_source()

    def _source_failed(self, reason: str) -> None:
        self._source_busy = False
        if not self._source_error:
            self._record("source-failed", {"reason": reason})
        self._source_error = reason
        limit_s = min(_RETRY_MAX_S, _RETRY_FIRST_S * 2**self._source_failures)
        self._source_failures = min(self._source_failures + 1, 8)
        delay_s = self._rng.uniform(limit_s / 2, limit_s)
        self._timers.call_later(delay_s, self.actor_ref, _messages.Tick())

    def _status(self) -> _messages.ConfigStatus:
        return _messages.ConfigStatus(
            versions=self._config.versions(),
            ready=self._ready,
            reason="configured" if self._ready else "no configuration",
            watching=self._is_watcher(),
            source_error=self._source_error,
        )

    def _send(self, host: str, message: _messages.PeerMessage) -> None:
        if self._membership is not None:
            self._membership.tell(_messages.SendToPeer(host, message))

    def _record(self, name: str, fields: dict[str, str]) -> None:
        if self._membership is not None:
            self._membership.tell(_messages.RecordEvent(name, fields))
