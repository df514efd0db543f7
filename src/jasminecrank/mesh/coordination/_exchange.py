"""Exchange of source entries between nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import random

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _peer_messages

INLINE_MAX_BYTES = 2_048
"""Largest entry or patch that is pushed without a request."""
REFETCH_AFTER_S = 0.3
"""Time after which a requested entry is requested again, from another peer."""
SMALL_FLEET_MAX_ENTRIES = 16
"""Number of entries up to which each reader pushes to all nodes.

In a larger fleet, one reader pushes to each node and the others announce.
"""
PUSH_WAIT_S = 0.15
"""Time for a push to arrive before an announced entry is requested."""
REQUEST_SPREAD_S = 0.4
"""Time over which nodes of a large fleet spread requests for an entry."""
GAP_TIMEOUT_S = 0.3
"""Time for pushed entries to arrive before a listing is requested.

Together with the period of load reports, it leaves one second of the 2 s
within which a table has to be active.
"""
LISTING_RETRY_S = 0.6
"""Time between two listing requests; a listing is tens of kilobytes."""


@dataclass(slots=True)
class _PendingItem:
    revision: int
    announcers: list[_peer_messages.SendToPeer] = field(default_factory=list)
    request_at_s: float = 0.0


@dataclass(slots=True)
class _PeerState:
    revision: int
    digest: int


class EntryExchange:
    """Decides which entries to send to peers and which to request.

    A node that reads an entry from the source pushes it to the nodes that
    have opened a link to it. Load reports carry a digest of the sender's
    entries; a node whose digest keeps differing from a peer's requests the
    difference.
    """

    def __init__(self, directory: state.Directory, rng: random.Random) -> None:
        self._directory = directory
        self._rng = rng
        self._pending_by_key: dict[str, _PendingItem] = {}
        self._state_by_send: dict[_peer_messages.SendToPeer, _PeerState] = {}
        self._differs_since_s: float | None = None
        self._listing_requested_at_s = -1e9

    def push(
        self,
        items: Iterable[state.SourceItem],
        pushed_to: Iterable[_peer_messages.SendToPeer],
        announced_to: Iterable[_peer_messages.SendToPeer] = (),
    ) -> None:
        """Send entries read from the source to other nodes.

        Entries that are too large to push, even as a patch, are announced.
        """
        inline = []
        announced = []
        messages: list[_peer_messages.PeerMessage] = []
        items = list(items)
        for item in items:
            if item.value is None or len(item.value) <= INLINE_MAX_BYTES:
                inline.append((item.key, item.revision, item.value))
                continue
            patch = self._patch(
                item, self._newest_base(item), INLINE_MAX_BYTES
            )
            if patch is None:
                announced.append((item.key, item.revision))
            else:
                messages.append(patch)
        if inline:
            messages.append(_peer_messages.ItemsSent(tuple(inline)))
        if announced:
            messages.append(_peer_messages.ItemsAnnounced(tuple(announced)))
        for send in pushed_to:
            for message in messages:
                send(message)
        revisions = tuple((item.key, item.revision) for item in items)
        for send in announced_to:
            send(_peer_messages.ItemsAnnounced(revisions))

    @property
    def in_large_fleet(self) -> bool:
        """Return whether only one reader pushes entries to each node."""
        return len(self._directory.item_by_key) > SMALL_FLEET_MAX_ENTRIES

    def peer_reported(
        self, send: _peer_messages.SendToPeer, revision: int, digest: int
    ) -> None:
        """Store the revision and digest that a peer has reported."""
        self._state_by_send[send] = _PeerState(revision, digest)

    def remove_peer(self, send: _peer_messages.SendToPeer) -> None:
        """Discard what a peer has reported, since its link has ended."""
        self._state_by_send.pop(send, None)

    def handle_announced(
        self,
        message: _peer_messages.ItemsAnnounced,
        send: _peer_messages.SendToPeer,
        at_once: bool,
        now_s: float,
    ) -> list[state.SourceItem]:
        """Request announced entries that are newer than the known ones.

        Return the removals that a complete announcement implies.
        """
        for key, revision in message.revisions:
            known = self._directory.item_by_key.get(key)
            if known is not None and known.revision >= revision:
                continue
            pending = self._pending_by_key.get(key)
            if pending is None or pending.revision < revision:
                delay_s = 0.0 if at_once else self._request_delay_s()
                pending = _PendingItem(revision, [], now_s + delay_s)
                self._pending_by_key[key] = pending
            pending.announcers.append(send)
        self.request_pending(now_s)
        if not message.complete_revision:
            return []
        keys = {key for key, _ in message.revisions}
        return self._directory.implied_removals(
            keys, message.complete_revision
        )

    def handle_patched(
        self,
        message: _peer_messages.ItemPatched,
        send: _peer_messages.SendToPeer,
        now_s: float,
    ) -> list[state.SourceItem]:
        """Return the patched entry, or request all of it.

        It is requested if the patch does not apply. The result is empty if
        it was requested or is already known.
        """
        known = self._directory.item_by_key.get(message.key)
        if known is not None and known.revision >= message.revision:
            return []
        value = self._directory.apply_patch(
            message.key,
            message.base_revision,
            state.Patch(message.pieces, message.digest),
        )
        if value is not None:
            return [state.SourceItem(message.key, message.revision, value)]
        revisions = ((message.key, message.revision),)
        self.handle_announced(
            _peer_messages.ItemsAnnounced(revisions), send, True, now_s
        )
        return []

    def mark_received(self, items: Iterable[state.SourceItem]) -> None:
        """Cancel requests for entries that have been received."""
        for item in items:
            pending = self._pending_by_key.get(item.key)
            if pending is not None and pending.revision <= item.revision:
                del self._pending_by_key[item.key]

    def send_requested(
        self,
        message: _peer_messages.ItemsRequested,
        send: _peer_messages.SendToPeer,
    ) -> None:
        """Send requested entries, as patches where these are small enough."""
        full_items = []
        for key, revision in message.keys:
            item = self._directory.item_by_key.get(key)
            if item is None or item.revision <= revision:
                continue
            max_bytes = len(item.value or b"") // 2
            patch = self._patch(item, revision, max_bytes)
            if patch is None:
                full_items.append((item.key, item.revision, item.value))
            else:
                send(patch)
        if full_items:
            send(_peer_messages.ItemsSent(tuple(full_items)))

    def send_listing(self, send: _peer_messages.SendToPeer) -> None:
        """Send the keys and revisions of all entries."""
        items = self._directory.item_by_key.values()
        send(
            _peer_messages.ItemsAnnounced(
                tuple((item.key, item.revision) for item in items),
                self._directory.complete_revision,
            )
        )

    def request_pending(self, now_s: float) -> None:
        """Request each pending entry that is due from a random announcer."""
        keys_by_send: dict[
            _peer_messages.SendToPeer, list[tuple[str, int]]
        ] = {}
        for key, pending in list(self._pending_by_key.items()):
            if pending.request_at_s > now_s:
                continue
            if not pending.announcers:
                del self._pending_by_key[key]
                continue
            chosen = self._rng.randrange(len(pending.announcers))
            send = pending.announcers.pop(chosen)
            pending.request_at_s = now_s + REFETCH_AFTER_S
            known = self._directory.item_by_key.get(key)
            revision = 0 if known is None else known.revision
            keys_by_send.setdefault(send, []).append((key, revision))
        for send, keys in keys_by_send.items():
            send(_peer_messages.ItemsRequested(tuple(keys)))

    def check_gaps(self, now_s: float) -> None:
        """Request the listing of a peer whose entries differ from this node's.

        Peers with an older revision are ignored.
        """
        ahead = [
            send
            for send, peer in self._state_by_send.items()
            if peer.digest != self._directory.digest
            and peer.revision >= self._directory.revision
        ]
        if not ahead:
            self._differs_since_s = None
            return
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        empty = self._directory.revision == 0
        if not empty and now_s - self._differs_since_s < GAP_TIMEOUT_S:
            return
        if now_s - self._listing_requested_at_s < LISTING_RETRY_S:
            return
        self._listing_requested_at_s = now_s
        send = ahead[self._rng.randrange(len(ahead))]
        send(_peer_messages.ListingRequested())

    def _newest_base(self, item: state.SourceItem) -> int:
        bases = self._directory.bases_by_key.get(item.key, {})
        older = [revision for revision in bases if revision < item.revision]
        return max(older, default=0)

    def _patch(
        self, item: state.SourceItem, base_revision: int, max_bytes: int
    ) -> _peer_messages.ItemPatched | None:
        patch = self._directory.create_patch(item, base_revision)
        if patch is None or patch.literal_bytes > max_bytes:
            return None
        return _peer_messages.ItemPatched(
            item.key,
            base_revision,
            item.revision,
            patch.pieces,
            patch.digest,
        )

    def _request_delay_s(self) -> float:
        """Return the delay before an announced entry is requested.

        In a large fleet, the delay gives a push time to arrive and spreads
        the requests over the readers' links.
        """
        if not self.in_large_fleet:
            return 0.0
        return PUSH_WAIT_S + REQUEST_SPREAD_S * self._rng.random()
