"""Distributes document versions among peers until all have the newest."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import hashlib

from jasminecrank import const
from jasminecrank.state import _config
from jasminecrank.state import _documents
from jasminecrank.state import _versions

SEND_ORDER = (
    _versions.DocumentName.KEYS,
    _versions.DocumentName.OUTAGES,
    _versions.DocumentName.HOSTS,
    _versions.DocumentName.TABLE,
)
"""Keys come first because revoking a key is the most urgent change."""
_HISTORY_VERSIONS = 8
_FETCH_TIMEOUT_S = 2.0
_REJECTED_RETRY_S = 5.0
_HEARTBEAT_GAP_MAX_S = 1.5 * const.HEARTBEAT_PERIOD_S


@dataclass(slots=True, frozen=True)
class SendDelta:
    """Send the changes since a version that the peer has."""

    host: str
    delta: _documents.Delta


@dataclass(slots=True, frozen=True)
class SendDocument:
    """Send a full document to a peer that has no usable base version."""

    host: str
    document: _documents.Document


@dataclass(slots=True, frozen=True)
class SendFetch:
    """Request a document from a peer that has a newer version of it."""

    host: str
    name: _versions.DocumentName
    have: _versions.Version


@dataclass(slots=True, frozen=True)
class SendVersions:
    """Report the active versions so that the peer fetches newer ones."""

    host: str


Send = SendDelta | SendDocument | SendFetch | SendVersions


@dataclass(slots=True, frozen=True)
class ReceiveResult:
    """The outcome of a received document and the messages to send."""

    offer_result: _config.OfferResult | None
    sends: tuple[Send, ...]


@dataclass(slots=True)
class _Peer:
    reported: _versions.VersionVector
    known: _versions.VersionVector
    """The highest versions reported by the peer or sent to it on this link."""
    reported_at_s: float
    lagging_since_s_by_name: dict[_versions.DocumentName, float] = field(
        default_factory=dict
    )


@dataclass(slots=True, frozen=True)
class _Fetch:
    host: str
    requested_at_s: float


@dataclass(slots=True)
class ExchangeState:
    """Owns the documents of a node and the versions known of its peers."""

    host: str
    config: _config.ConfigState
    by_peer: dict[str, _Peer] = field(default_factory=dict)
    fetch_by_name: dict[_versions.DocumentName, _Fetch] = field(
        default_factory=dict
    )
    rejected_until_s: dict[tuple[_versions.DocumentName, str], float] = field(
        default_factory=dict
    )
    history_by_name: dict[
        _versions.DocumentName, deque[_documents.Document]
    ] = field(default_factory=dict)

    @classmethod
    def from_host(cls, host: str) -> "ExchangeState":
        """Return the state of a node without any documents."""
        return cls(host, _config.ConfigState.empty())

    def peer_up(
        self, host: str, versions: _versions.VersionVector, now_s: float
    ) -> tuple[Send, ...]:
        """Add a peer with the versions that it reports on a new link."""
        self.by_peer[host] = _Peer(versions, versions, now_s)
        return self.fetch_due(now_s)

    def peer_down(self, host: str, now_s: float) -> tuple[Send, ...]:
        """Remove a peer and move its pending fetches to other peers."""
        self.by_peer.pop(host, None)
        return self.fetch_due(now_s)

    def receive_versions(
        self, host: str, versions: _versions.VersionVector, now_s: float
    ) -> tuple[Send, ...]:
        """Update the versions that a linked peer reports as active."""
        peer = self.by_peer.get(host)
        if peer is None:
            return ()
        own_versions = self.config.versions()
        missed_heartbeat = now_s - peer.reported_at_s > _HEARTBEAT_GAP_MAX_S
        peer.lagging_since_s_by_name = {
            name: now_s
            if missed_heartbeat
            else peer.lagging_since_s_by_name.get(name, now_s)
            for name in _versions.DocumentName
            if versions.get(name).number < own_versions.get(name).number
        }
        peer.reported = versions
        peer.reported_at_s = now_s
        peer.known = peer.known.merge(versions)
        return self.fetch_due(now_s)

    def receive_delta(
        self, host: str, delta: _documents.Delta, now_s: float
    ) -> ReceiveResult:
        """Apply a peer's delta, or fetch if its base version is not active."""
        self._record_known_version(host, delta.name, delta.target)
        base = self.config.by_name[delta.name]
        if delta.target.number <= base.version.number:
            return ReceiveResult(None, ())
        document = _documents.apply_delta(base, delta)
        if document is None:
            return ReceiveResult(None, self.fetch_due(now_s))
        return self.receive_document(host, document, now_s)

    def receive_document(
        self, host: str | None, document: _documents.Document, now_s: float
    ) -> ReceiveResult:
        """Process a document from a peer or, without a host, the source."""
        if host is not None:
            self._record_known_version(host, document.name, document.version)
        base = self.config.by_name[document.name]
        result = self.config.offer(document)
        match result:
            case _config.Accepted():
                self.fetch_by_name.pop(document.name, None)
                history = self.history_by_name.setdefault(
                    document.name, deque(maxlen=_HISTORY_VERSIONS)
                )
                history.append(base)
                sends = self._push(document)
                return ReceiveResult(result, sends + self.fetch_due(now_s))
            case _config.Invalid() | _config.Conflict() if host is not None:
                self._record_rejection(document, now_s)
                self.fetch_by_name.pop(document.name, None)
                return ReceiveResult(result, self.fetch_due(now_s))
            case _:
                return ReceiveResult(result, ())

    def receive_fetch(
        self, host: str, name: _versions.DocumentName, have: _versions.Version
    ) -> tuple[Send, ...]:
        """Reply with a delta if the peer's version is in the history.

        Otherwise replies with the full document, and with nothing if the peer
        is up to date.
        """
        document = self.config.by_name[name]
        if document.version.number <= have.number:
            return ()
        self._record_known_version(host, name, document.version)
        base = self._find_base(name, have)
        if base is None:
            return (SendDocument(host, document),)
        return (SendDelta(host, _documents.make_delta(base, document)),)

    def fetch_due(self, now_s: float) -> tuple[Send, ...]:
        """Start the fetches that are due and return them.

        A pending fetch is repeated, if possible from another peer, once it
        times out or its peer is gone.
        """
        sends = []
        for name in SEND_ORDER:
            pending = self.fetch_by_name.get(name)
            if (
                pending is not None
                and pending.host in self.by_peer
                and now_s - pending.requested_at_s < _FETCH_TIMEOUT_S
            ):
                continue
            host = self._choose_fetch_peer(name, now_s, pending)
            if host is None:
                self.fetch_by_name.pop(name, None)
                continue
            self.fetch_by_name[name] = _Fetch(host, now_s)
            have = self.config.by_name[name].version
            sends.append(SendFetch(host, name, have))
        return tuple(sends)

    def lagging_peers(self, now_s: float) -> tuple[tuple[str, str], ...]:
        """Return peers that have reported an older version for too long.

        Peers that have stopped reporting are left out because they may be
        paused or unreachable.
        """
        return tuple(
            (host, name.value)
            for host, peer in self.by_peer.items()
            for name, since_s in peer.lagging_since_s_by_name.items()
            if now_s - peer.reported_at_s <= _HEARTBEAT_GAP_MAX_S
            and peer.reported_at_s - since_s > const.CONVERGENCE_LIMIT_S
        )

    def _record_rejection(
        self, document: _documents.Document, now_s: float
    ) -> None:
        """Suspend fetches of a rejected version for some time."""
        self.rejected_until_s = {
            key: until_s
            for key, until_s in self.rejected_until_s.items()
            if until_s > now_s
        }
        key = (document.name, document.version.digest)
        self.rejected_until_s[key] = now_s + _REJECTED_RETRY_S

    def _push(self, document: _documents.Document) -> tuple[Send, ...]:
        """Send an accepted version to each peer not known to have it."""
        delta_by_base: dict[_versions.Version, _documents.Delta] = {}
        sends: list[Send] = []
        for host in sorted(self.by_peer):
            known = self.by_peer[host].known.get(document.name)
            if known.number >= document.version.number:
                continue
            if known not in delta_by_base:
                base = self._find_base(document.name, known)
                if base is None:
                    sends.append(SendVersions(host))
                    continue
                delta_by_base[known] = _documents.make_delta(base, document)
            self._record_known_version(host, document.name, document.version)
            sends.append(SendDelta(host, delta_by_base[known]))
        return tuple(sends)

    def _find_base(
        self, name: _versions.DocumentName, version: _versions.Version
    ) -> _documents.Document | None:
        if version.number == 0:
            return None
        for document in self.history_by_name.get(name, ()):
            if document.version == version:
                return document
        return None

    def _record_known_version(
        self,
        host: str,
        name: _versions.DocumentName,
        version: _versions.Version,
    ) -> None:
        peer = self.by_peer.get(host)
        if peer is None:
            return
        if version.number > peer.known.get(name).number:
            peer.known = peer.known.replace(name, version)

    def _choose_fetch_peer(
        self,
        name: _versions.DocumentName,
        now_s: float,
        previous: _Fetch | None,
    ) -> str | None:
        """Return a peer with the highest version.

        Prefers a peer other than that of the last fetch.
        """
        own_number = self.config.by_name[name].version.number
        number_by_host = {
            host: peer.known.get(name).number
            for host, peer in self.by_peer.items()
            if peer.known.get(name).number > own_number
            and self._is_fetch_allowed(name, peer.known.get(name), now_s)
        }
        if not number_by_host:
            return None
        highest = max(number_by_host.values())
        hosts = [
            host
            for host, number in number_by_host.items()
            if number == highest
        ]
        if previous is not None and len(hosts) > 1:
            hosts = [host for host in hosts if host != previous.host]
        return min(hosts, key=lambda host: _peer_order_key(self.host, host))

    def _is_fetch_allowed(
        self,
        name: _versions.DocumentName,
        version: _versions.Version,
        now_s: float,
    ) -> bool:
        until_s = self.rejected_until_s.get((name, version.digest))
        return until_s is None or now_s >= until_s


def _peer_order_key(host: str, peer: str) -> bytes:
    """Return a sort key that differs by host, to distribute the fetches."""
    return hashlib.blake2b(f"{host}/{peer}".encode(), digest_size=8).digest()


def conflicting_documents(
    own_versions: _versions.VersionVector, reported: _versions.VersionVector
) -> Iterable[_versions.DocumentName]:
    """Return the documents with equal numbers but different digests."""
    return [
        name
        for name in _versions.DocumentName
        if own_versions.get(name).number == reported.get(name).number
        and own_versions.get(name).digest != reported.get(name).digest
    ]
