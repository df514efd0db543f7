"""Exchange of source entries between nodes."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import random
import zlib

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _peer_messages
from jasminecrank.mesh.coordination import _pending

INLINE_MAX_BYTES = 2_048
"""Largest entry or patch that is pushed without a request."""
DEFERRED_RETRY_S = 0.05
"""Mean time after which a deferred entry is requested again."""
OVERDUE_AFTER_S = 0.8
"""Time without an announced entry after which a node reads the source.

It leaves time for this within the 2 s within which a table has to be active.
"""
MAX_CACHED_TRANSFERS = 4
"""Transfers kept, since many nodes request the same one."""
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


@dataclass(slots=True, frozen=True)
class _Transfer:
    """How an entry is sent to a node that has an earlier value of it."""

    patch: _peer_messages.ItemPatched | None
    """None if all of the entry is sent."""
    upload_bytes: int
    """Compressed size of what is sent, or 0 if it is not an upload."""

    @classmethod
    def from_item(
        cls,
        item: state.SourceItem,
        base_position: state.Position,
        patch: state.Patch | None,
    ) -> "_Transfer":
        """Return the transfer of an entry, by a patch if that saves half."""
        value = item.value or b""
        if patch is None or patch.literal_bytes > max(
            INLINE_MAX_BYTES, len(value) // 2
        ):
            return cls(None, _compressed_bytes(value))
        message = _peer_messages.ItemPatched(
            item.key,
            base_position,
            item.position,
            patch.pieces,
            patch.digest,
        )
        return cls(message, _compressed_bytes(patch.literals))


@dataclass(slots=True)
class _PeerState:
    position: state.Position
    digest: int
    revision_digest: int


class EntryExchange:
    """Decides which entries to send to peers and which to request.

    A node that reads an entry from the source pushes it to the nodes that
    have opened a link to it. Load reports carry a digest of the sender's
    entries; a node whose digest keeps differing from a peer's requests the
    difference.

    Large entries are uploaded on request, to few nodes at a time. Each node
    that has received one announces it, and uploads it to others.
    """

    def __init__(
        self,
        directory: state.Directory,
        uploads: state.UploadLimiter,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._uploads = uploads
        self._rng = rng
        self._transfer_by_positions: dict[
            tuple[str, state.Position, state.Position], _Transfer
        ] = {}
        self._pending = _pending.PendingEntries(rng)
        self._state_by_send: dict[_peer_messages.SendToPeer, _PeerState] = {}
        self._differs_since_s: float | None = None
        self._has_listing = False
        """Whether any peer has sent the keys of all its entries."""
        self._listing_requested_at_s = -1e9

    def push(
        self,
        items: Iterable[state.SourceItem],
        pushed_to: Sequence[_peer_messages.SendToPeer],
        announced_to: Sequence[_peer_messages.SendToPeer] = (),
    ) -> None:
        """Send entries read from the source to other nodes.

        Entries that are too large to push, even as a patch, are announced.
        """
        inline = []
        large = []
        messages: list[_peer_messages.PeerMessage] = []
        items = list(items)
        for item in items:
            if item.value is None or len(item.value) <= INLINE_MAX_BYTES:
                inline.append((item.key, item.position, item.value))
                continue
            transfer = self._transfer(item, self._newest_base(item))
            if transfer.patch is None or transfer.upload_bytes:
                large.append(item)
            else:
                messages.append(transfer.patch)
        if inline:
            messages.append(_peer_messages.ItemsSent(tuple(inline)))
        for send in pushed_to:
            for message in messages:
                send(message)
        pushed = tuple(
            (item.key, item.position) for item in items if item not in large
        )
        if pushed:
            for send in announced_to:
                send(_peer_messages.ItemsAnnounced(pushed))
        if large:
            self.announce_upload(large, [*pushed_to, *announced_to])

    @property
    def in_large_fleet(self) -> bool:
        """Return whether only one reader pushes entries to each node."""
        return len(self._directory.item_by_key) > SMALL_FLEET_MAX_ENTRIES

    def push_era(
        self,
        message: _peer_messages.EraBegun,
        pushed_to: Iterable[_peer_messages.SendToPeer],
    ) -> None:
        """Tell nodes of a new era, before the entries that it changes."""
        for send in pushed_to:
            send(message)

    def peer_reported(
        self,
        send: _peer_messages.SendToPeer,
        report: _peer_messages.LoadReported,
    ) -> None:
        """Store which entries a peer has reported."""
        self._state_by_send[send] = _PeerState(
            report.position, report.digest, report.revision_digest
        )

    def remove_peer(self, send: _peer_messages.SendToPeer) -> None:
        """Discard what is known of a peer, since its link has ended."""
        self._state_by_send.pop(send, None)
        self._uploads.finish(send)

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
        overdue_at_s = now_s + OVERDUE_AFTER_S
        request_at_s = now_s
        if self._spread_s(message.upload_bytes) > OVERDUE_AFTER_S:
            overdue_at_s = now_s
        if not at_once and (overdue_at_s == now_s or not message.upload_bytes):
            request_at_s += self._request_delay_s()
        for key, announced in message.positions:
            position = self._directory.with_era(announced)
            known = self._directory.item_by_key.get(key)
            if known is not None and known.position >= position:
                continue
            self._pending.add(key, position, send, request_at_s, overdue_at_s)
        self.request_pending(now_s)
        if not message.complete_position.revision:
            return []
        self._has_listing = True
        keys = {key for key, _ in message.positions}
        return self._directory.implied_removals(
            keys, message.complete_position, now_s
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
        position = self._directory.with_era(message.position)
        known = self._directory.item_by_key.get(message.key)
        if known is not None and known.position >= position:
            return []
        value = self._directory.apply_patch(
            message.key,
            message.base_position,
            state.Patch(message.pieces, message.digest),
        )
        if value is not None:
            return [state.SourceItem(message.key, position, value)]
        positions = ((message.key, position),)
        self.handle_announced(
            _peer_messages.ItemsAnnounced(positions), send, True, now_s
        )
        return []

    def mark_received(self, items: Iterable[state.SourceItem]) -> None:
        """Cancel requests for entries that have been received."""
        self._pending.remove_received(items)

    def confirm_upload(
        self,
        message: _peer_messages.ItemsSent | _peer_messages.ItemPatched,
        send: _peer_messages.SendToPeer,
    ) -> bool:
        """Confirm a message if it is an upload, and return whether it is."""
        if message.largest_bytes <= INLINE_MAX_BYTES:
            return False
        send(_peer_messages.UploadConfirmed())
        return True

    def announce_upload(
        self,
        items: Sequence[state.SourceItem],
        announced_to: Iterable[_peer_messages.SendToPeer],
    ) -> None:
        """Announce large entries, which other nodes request at once."""
        message = _peer_messages.ItemsAnnounced(
            tuple((item.key, item.position) for item in items),
            upload_bytes=max(
                self._transfer(item, self._newest_base(item)).upload_bytes
                for item in items
            ),
        )
        for send in announced_to:
            send(message)

    def handle_confirmed(self, send: _peer_messages.SendToPeer) -> None:
        """Process the confirmation of an upload."""
        self._uploads.finish(send)

    def handle_deferred(
        self,
        message: _peer_messages.UploadDeferred,
        send: _peer_messages.SendToPeer,
        now_s: float,
    ) -> None:
        """Request deferred entries again a little later."""
        delay_s = DEFERRED_RETRY_S * (0.5 + self._rng.random())
        for key in message.keys:
            self._pending.defer(key, send, now_s + delay_s)

    def is_overdue(self, now_s: float) -> bool:
        """Return whether peers have not sent an entry for too long."""
        return self._pending.is_overdue(now_s)

    def send_requested(
        self,
        message: _peer_messages.ItemsRequested,
        send: _peer_messages.SendToPeer,
        now_s: float,
    ) -> None:
        """Send requested entries, as patches where these are small enough.

        Large ones are deferred while too many nodes receive one.
        """
        deferred = []
        full_items = []
        for key, known in message.keys:
            known_position = self._directory.with_era(known)
            item = self._directory.item_by_key.get(key)
            if item is None or item.position <= known_position:
                continue
            transfer = self._transfer(item, known_position)
            if transfer.upload_bytes and not self._uploads.start(
                send, transfer.upload_bytes, now_s
            ):
                deferred.append(key)
            elif transfer.patch is None:
                full_items.append((item.key, item.position, item.value))
            else:
                send(transfer.patch)
        if full_items:
            send(_peer_messages.ItemsSent(tuple(full_items)))
        if deferred:
            send(_peer_messages.UploadDeferred(tuple(deferred)))

    def send_listing(self, send: _peer_messages.SendToPeer) -> None:
        """Send the keys and positions of all entries."""
        items = self._directory.item_by_key.values()
        send(
            _peer_messages.ItemsAnnounced(
                tuple((item.key, item.position) for item in items),
                self._directory.complete_position,
            )
        )

    def request_pending(self, now_s: float) -> None:
        """Request each pending entry that is due from a random announcer."""
        for send, keys in self._pending.take_due(now_s).items():
            known_items = map(self._directory.item_by_key.get, keys)
            positions = (
                state.NO_POSITION if known is None else known.position
                for known in known_items
            )
            send(
                _peer_messages.ItemsRequested(
                    tuple(zip(keys, positions, strict=True))
                )
            )

    def has_confirmed(self, key: str) -> bool:
        """Return whether some peer has no newer entry of a key.

        It has the same entries, or has sent its listing, and what that names
        has arrived.
        """
        if any(
            not self._differs(peer) for peer in self._state_by_send.values()
        ):
            return True
        return self._has_listing and not self._pending.awaits(key)

    def check_gaps(self, now_s: float, has_started: bool) -> None:
        """Request the listing of a peer whose entries differ from this node's.

        Peers with an older position are ignored, and pushed entries have some
        time to arrive. A node that has not started asks any peer at once: it
        may have read the source after the peer, and still not know what the
        source has lost.
        """
        ahead = [
            send
            for send, peer in self._state_by_send.items()
            if self._differs(peer)
            and not (has_started and self._is_behind(peer))
        ]
        if not ahead:
            self._differs_since_s = None
            return
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        empty = self._directory.position == state.NO_POSITION
        at_once = empty or not has_started
        if not at_once and now_s - self._differs_since_s < GAP_TIMEOUT_S:
            return
        if now_s - self._listing_requested_at_s < LISTING_RETRY_S:
            return
        self._listing_requested_at_s = now_s
        send = ahead[self._rng.randrange(len(ahead))]
        send(_peer_messages.ListingRequested())

    def _differs(self, peer: _PeerState) -> bool:
        """Return whether a peer has other entries."""
        if peer.position.era == state.UNKNOWN_ERA:
            return peer.revision_digest != self._directory.revision_digest
        return peer.digest != self._directory.digest

    def _is_behind(self, peer: _PeerState) -> bool:
        """Return whether all entries of a peer are older than one here."""
        position = self._directory.with_era(peer.position)
        return position < self._directory.position

    def _newest_base(self, item: state.SourceItem) -> state.Position:
        bases = self._directory.bases_by_key.get(item.key, {})
        older = [position for position in bases if position < item.position]
        return max(older, default=state.NO_POSITION)

    def _spread_s(self, upload_bytes: int) -> float:
        """Return the time in which uploads reach the whole fleet."""
        hosts = len(self._directory.item_by_key)
        return self._uploads.spread_s(upload_bytes, hosts)

    def _transfer(
        self, item: state.SourceItem, base_position: state.Position
    ) -> _Transfer:
        """Return how to send an entry to a node that has a value of it."""
        positions = (item.key, base_position, item.position)
        if positions not in self._transfer_by_positions:
            if len(self._transfer_by_positions) >= MAX_CACHED_TRANSFERS:
                self._transfer_by_positions.clear()
            self._transfer_by_positions[positions] = _Transfer.from_item(
                item,
                base_position,
                self._directory.create_patch(item, base_position),
            )
        return self._transfer_by_positions[positions]

    def _request_delay_s(self) -> float:
        """Return the delay before an announced entry is requested.

        In a large fleet, the delay gives a push time to arrive and spreads
        the requests over the readers' links.
        """
        if not self.in_large_fleet:
            return 0.0
        return PUSH_WAIT_S + REQUEST_SPREAD_S * self._rng.random()


def _compressed_bytes(data: bytes) -> int:
    """Return the size of data on a link, or 0 if it can be pushed."""
    if len(data) <= INLINE_MAX_BYTES:
        return 0
    return len(zlib.compress(data, 1))
