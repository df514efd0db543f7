"""What a node sends to which peer so that all hold the newest versions."""

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
"""Keys first, because a withdrawal is the most urgent change."""
_HISTORY_VERSIONS = 8
_FETCH_TIMEOUT_S = 2.0
_REJECTED_RETRY_S = 5.0
_HEARTBEAT_GAP_MAX_S = 1.5 * const.HEARTBEAT_PERIOD_S


@dataclass(slots=True, frozen=True)
class SendDelta:
    """Push the changes since the version that a peer holds."""

    host: str
    delta: _documents.Delta


@dataclass(slots=True, frozen=True)
class SendDocument:
    """Send a whole document to a peer without a usable base."""

    host: str
    document: _documents.Document


@dataclass(slots=True, frozen=True)
class SendFetch:
    """Ask a peer for a document that it holds in a newer version."""

    host: str
    name: _versions.DocumentName
    have: _versions.Version


@dataclass(slots=True, frozen=True)
class SendVersions:
    """Show the versions in force, so that the peer fetches what it lacks."""

    host: str


Send = SendDelta | SendDocument | SendFetch | SendVersions


@dataclass(slots=True, frozen=True)
class ReceiveResult:
    """The result of a document and what has to be sent because of it."""

    offer_result: _config.OfferResult | None
    sends: tuple[Send, ...]


@dataclass(slots=True)
class _Peer:
    reported: _versions.VersionVector
    known: _versions.VersionVector
    """The versions shown, or sent later on the same link."""
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
    """Owns the documents of a node and what its peers hold of them."""

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
        """Return the state of a node that has received nothing."""
        return cls(host, _config.ConfigState.empty())

    def peer_up(
        self, host: str, versions: _versions.VersionVector, now_s: float
    ) -> tuple[Send, ...]:
        """Begin with what a peer shows on a new link."""
        self.by_peer[host] = _Peer(versions, versions, now_s)
        return self.fetch_due(now_s)

    def peer_down(self, host: str, now_s: float) -> tuple[Send, ...]:
        """Forget a peer, and ask another one for what it was asked for."""
        self.by_peer.pop(host, None)
        return self.fetch_due(now_s)

    def receive_versions(
        self, host: str, versions: _versions.VersionVector, now_s: float
    ) -> tuple[Send, ...]:
        """Take the versions that a linked peer has in force."""
        peer = self.by_peer.get(host)
        if peer is None:
            return ()
        own = self.config.versions()
        gap = now_s - peer.reported_at_s > _HEARTBEAT_GAP_MAX_S
        peer.lagging_since_s_by_name = {
            name: now_s
            if gap
            else peer.lagging_since_s_by_name.get(name, now_s)
            for name in _versions.DocumentName
            if versions.get(name).number < own.get(name).number
        }
        peer.reported = versions
        peer.reported_at_s = now_s
        peer.known = peer.known.merge(versions)
        return self.fetch_due(now_s)

    def receive_delta(
        self, host: str, delta: _documents.Delta, now_s: float
    ) -> ReceiveResult:
        """Apply a peer's delta, or fetch when its base is not in force."""
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
        """Offer a document from a peer or, without a host, the source."""
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
        """Answer a peer with a delta if its version is a known base."""
        document = self.config.by_name[name]
        if document.version.number <= have.number:
            return ()
        self._record_known_version(host, name, document.version)
        base = self._find_base(name, have)
        if base is None:
            return (SendDocument(host, document),)
        return (SendDelta(host, _documents.make_delta(base, document)),)

    def fetch_due(self, now_s: float) -> tuple[Send, ...]:
        """Return the fetches that no running one covers."""
        sends = []
        for name in SEND_ORDER:
            running = self.fetch_by_name.get(name)
            if (
                running is not None
                and running.host in self.by_peer
                and now_s - running.requested_at_s < _FETCH_TIMEOUT_S
            ):
                continue
            host = self._choose_fetch_peer(name, now_s, running)
            if host is None:
                self.fetch_by_name.pop(name, None)
                continue
            self.fetch_by_name[name] = _Fetch(host, now_s)
            have = self.config.by_name[name].version
            sends.append(SendFetch(host, name, have))
        return tuple(sends)

    def lagging_peers(self, now_s: float) -> tuple[tuple[str, str], ...]:
        """Return peers that keep showing an older version for too long.

        A silent peer is not among them: it may be paused or unreachable.
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
        """Fetch no peer's copy of a rejected version for some time."""
        self.rejected_until_s = {
            key: until_s
            for key, until_s in self.rejected_until_s.items()
            if until_s > now_s
        }
        key = (document.name, document.version.digest)
        self.rejected_until_s[key] = now_s + _REJECTED_RETRY_S

    def _push(self, document: _documents.Document) -> tuple[Send, ...]:
        """Send an accepted version to each peer that does not hold it."""
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
        running: _Fetch | None,
    ) -> str | None:
        """Return a peer with the highest version, another one if possible."""
        own = self.config.by_name[name].version.number
        number_by_host = {
            host: peer.known.get(name).number
            for host, peer in self.by_peer.items()
            if peer.known.get(name).number > own
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
        if running is not None and len(hosts) > 1:
            hosts = [host for host in hosts if host != running.host]
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
    """Order peers differently on each host, to spread the fetches."""
    return hashlib.blake2b(f"{host}/{peer}".encode(), digest_size=8).digest()


def conflicting_documents(
    own: _versions.VersionVector, reported: _versions.VersionVector
) -> Iterable[_versions.DocumentName]:
    """Return the documents with the same number but another digest."""
    return [
        name
        for name in _versions.DocumentName
        if own.get(name).number == reported.get(name).number
        and own.get(name).digest != reported.get(name).digest
    ]
