"""Directory of the table and the backend servers that the source lists."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh.state import _entries
from jasminecrank.mesh.state import _fleet_snapshot
from jasminecrank.mesh.state import _item_digests
from jasminecrank.mesh.state import _patches
from jasminecrank.mesh.state import _positions
from jasminecrank.mesh.state import _restores
from jasminecrank.mesh.state import _table

EXPIRY_GRACE_S = 1.8
"""Grace period after a source outage, in which expired entries may come back.

The platform specifies about 2 s for this, and allows nodes 2 s to act on a
confirmed removal.
"""

MIN_EXPIRY_OUTAGE_HEARTBEATS = 1.5
"""Shortest outage of the source in which entries can expire, in heartbeats.

An entry expires after three heartbeats without a renewal. The last renewal
may precede the outage by almost one, and heartbeats are not exact.
"""

MAX_PATCH_BASES = 4
"""Earlier values kept per entry as bases for patches.

More than one is needed, because a watcher that reads several changes at once
never sees the intermediate values.
"""
MIN_PATCH_BASE_BYTES = 2_048
"""Smaller values are sent whole, as a patch would save little."""


Decoder = Callable[[str, bytes], _entries.PublishedEntry]


@dataclass(slots=True, frozen=True)
class AppliedItems:
    """Items that have become part of a directory."""

    changed: list[_entries.SourceItem] = field(default_factory=list)
    renewed: list[_entries.SourceItem] = field(default_factory=list)
    """Entries of an earlier era that the new one has at the same revision."""


@dataclass(slots=True)
class Directory:
    """The node's replica of the entries that the platform publishes."""

    decode: Decoder
    item_by_key: dict[str, _entries.SourceItem] = field(default_factory=dict)
    entry_by_key: dict[str, _entries.PublishedEntry] = field(
        default_factory=dict
    )
    cold_until_s_by_id: dict[str, float] = field(default_factory=dict)
    removal_at_s_by_key: dict[str, float] = field(default_factory=dict)
    table: _table.Table | None = None
    position: _positions.Position = _positions.NO_POSITION
    """Newest position among the entries."""
    grace_until_s: float = 0.0
    rejected: list[_entries.RejectedEntry] = field(default_factory=list)
    """Entries rejected since the last `pop_rejected` call."""
    heartbeat_s: float = 1.5
    """Interval at which servers renew their entries."""
    digest: int = 0
    """Equal for two directories that hold the same entries."""
    revision_digest: int = 0
    """The digest as nodes compute it that know no eras."""
    complete_position: _positions.Position = _positions.NO_POSITION
    """Position up to which the directory has all changes of the source."""
    bases_by_key: dict[str, dict[_positions.Position, bytes]] = field(
        default_factory=dict
    )
    """Recent values of large entries, by key and position."""
    running_id_by_host: dict[str, str] = field(default_factory=dict)
    """Server that each host's node has found to be running there."""
    removed_server_by_key: dict[str, _entries.BackendServer] = field(
        default_factory=dict
    )
    """Servers whose entries were removed."""
    holds: _restores.Holds = field(default_factory=_restores.Holds)
    has_seen_restore: bool = False
    """Whether the source has begun a new era since this node started."""

    def apply_items(
        self, items: Iterable[_entries.SourceItem], now_s: float
    ) -> AppliedItems:
        """Apply the items that are newer than the known ones."""
        applied = AppliedItems()
        relisted = []
        items = list(items)
        for item in items:
            self.adopt_era(item.position.era, now_s)
            item = item.at(self.with_era(item.position))
            known = self.item_by_key.get(item.key)
            if known is not None and known.position >= item.position:
                continue
            if self.has_seen_restore and (
                item.position.era == _positions.UNKNOWN_ERA
            ):
                continue
            if known is not None and known.value is None:
                relisted.append(item)
            else:
                self._apply_newer(item, known, applied, now_s)
        # Whether removed servers are taken back depends on the others.
        served = self._ready_services() if relisted else frozenset()
        for item in relisted:
            known = self.item_by_key.get(item.key)
            if known is None or known.position < item.position:
                self._apply_newer(item, known, applied, now_s, served)
        return applied

    @property
    def table_key(self) -> str | None:
        """Return the key of the table in force, or None without a table."""
        return next(
            (
                key
                for key, entry in self.entry_by_key.items()
                if isinstance(entry, _entries.TableEntry)
            ),
            None,
        )

    def with_era(self, position: _positions.Position) -> _positions.Position:
        """Return a position in this node's era if it comes without one.

        After a restore it may be one of the lost era, and stays below all.
        """
        if self.has_seen_restore:
            return position
        return position.in_era(self.position.era)

    def adopt_era(self, era: int, now_s: float) -> None:
        """Take entries that came without an era into the first one known.

        Peers that know it have such entries in it too.
        """
        if (
            era == _positions.UNKNOWN_ERA
            or self.position.era != _positions.UNKNOWN_ERA
            or not self.item_by_key
        ):
            return
        self._begin_era(era, now_s)
        for known in list(self.item_by_key.values()):
            self._store(known.at(known.position.in_era(era)))
        self.complete_position = self.complete_position.in_era(era)

    def apply_listing(
        self,
        items: Iterable[_entries.SourceItem],
        start: _positions.Position,
        now_s: float,
    ) -> AppliedItems:
        """Apply a complete listing and remove the entries missing from it.

        A missing key was removed at the position of the listing's first page
        or earlier.
        """
        if self.position.era == _positions.UNKNOWN_ERA:
            # Entries that came without an era may be older than a restore.
            self._begin_era(start.era, now_s)
        listed = [self._confirm(item, now_s) for item in items]
        removals = self.implied_removals(
            {item.key for item in listed}, start, now_s
        )
        applied = self.apply_items([*listed, *removals], now_s)
        self._begin_era(start.era, now_s)
        self.complete_position = max(self.complete_position, start)
        self.holds.remove_due(now_s)
        return applied

    def apply_changes(
        self,
        items: Iterable[_entries.SourceItem],
        position: _positions.Position,
        now_s: float,
    ) -> AppliedItems:
        """Apply all changes that the source reported up to a position."""
        applied = self.apply_items(items, now_s)
        self.complete_position = max(self.complete_position, position)
        return applied

    def renew(
        self,
        era: int,
        digest: int,
        changed_keys: Collection[str],
        now_s: float,
    ) -> bool:
        """Take the entries that a peer had too into a new era.

        Return whether the digest shows that the peer had the same ones. Those
        that are not as the source has them are left out; the peer sends them.
        """
        if digest != self.digest or era <= self.position.era:
            return False
        self._begin_era(era, now_s)
        changed = frozenset(changed_keys)
        for key, known in list(self.item_by_key.items()):
            if known.value is not None and key not in changed:
                self._store(
                    known.at(_positions.Position(era, known.position.revision))
                )
        return True

    def compare_with_peer(
        self,
        digest: int,
        complete_position: _positions.Position,
        revision_digest: int = 0,
    ) -> bool:
        """Return whether a peer's digest shows that no change is missing.

        The peer has all changes up to `complete_position`, so a directory
        with the same entries has them too. A peer that knows no eras sends
        a position without one, and its own kind of digest.
        """
        if complete_position.era == _positions.UNKNOWN_ERA:
            is_same = revision_digest == self.revision_digest
        else:
            is_same = digest == self.digest
        complete_position = self.with_era(complete_position)
        if not is_same or complete_position <= self.complete_position:
            return False
        self.complete_position = complete_position
        return True

    def implied_removals(
        self,
        keys: Collection[str],
        complete_position: _positions.Position,
        now_s: float,
    ) -> list[_entries.SourceItem]:
        """Return removals of the known keys missing from a complete list.

        A table that was in force stays, and so does a retained entry until
        its author has had time to write it again.
        """
        complete_position = self.with_era(complete_position)
        removals = []
        for key, known in self.item_by_key.items():
            removed_at = complete_position
            if known.position.is_retained:
                # Nothing else may have been written since.
                removed_at = complete_position.confirmed()
            if (
                key not in keys
                and known.value is not None
                and known.position < removed_at
                and not self.holds.is_held(key, now_s)
                and not isinstance(
                    self.entry_by_key.get(key), _entries.TableEntry
                )
            ):
                removals.append(_entries.SourceItem(key, removed_at, None))
        return removals

    def needs_confirmation(self, now_s: float) -> bool:
        """Return whether a listing is due that confirms retained entries.

        A service whose servers have all been removed does not wait for it.
        """
        if not self.holds.until_s_by_key:
            return False
        served = self._ready_services()
        for key in self.holds.until_s_by_key:
            removed = self.removed_server_by_key.get(key)
            if removed is not None and removed.service not in served:
                self.holds.end(key, now_s)
        return self.holds.has_due(now_s)

    def create_patch(
        self, item: _entries.SourceItem, base_position: _positions.Position
    ) -> _patches.Patch | None:
        """Return a patch from an earlier value, or None if it is not kept."""
        base = self.bases_by_key.get(item.key, {}).get(base_position)
        if base is None or item.value is None:
            return None
        return _patches.make_patch(base, item.value)

    def apply_patch(
        self,
        key: str,
        base_position: _positions.Position,
        patch: _patches.Patch,
    ) -> bytes | None:
        """Return the patched value of an entry.

        Returns None if the base is not kept or the patch does not match it.
        """
        bases = self.bases_by_key.get(key, {})
        base = bases.get(self.with_era(base_position))
        return None if base is None else _patches.apply_patch(base, patch)

    def end_outage(self, last_reply_at_s: float, now_s: float) -> None:
        """Record that the source replies again to this node.

        In a shorter outage no entry can expire, so that its removal means
        that the server has left.
        """
        min_outage_s = MIN_EXPIRY_OUTAGE_HEARTBEATS * self.heartbeat_s
        if now_s - last_reply_at_s >= min_outage_s:
            self.start_expiry_grace(now_s)

    def start_expiry_grace(self, now_s: float) -> None:
        """Keep removed servers for a grace period after a source outage."""
        self.grace_until_s = now_s + EXPIRY_GRACE_S

    def remove_expired(self, now_s: float) -> bool:
        """Drop servers whose grace period is over; return whether any were."""
        expired = [
            key
            for key, at_s in self.removal_at_s_by_key.items()
            if at_s <= now_s
        ]
        for key in expired:
            del self.removal_at_s_by_key[key]
            self.entry_by_key.pop(key, None)
        return bool(expired)

    def pop_rejected(self) -> list[_entries.RejectedEntry]:
        """Return and clear the rejected entries."""
        rejected, self.rejected = self.rejected, []
        return rejected

    def snapshot(self) -> _fleet_snapshot.FleetSnapshot:
        """Return the fleet that the published entries describe."""
        data_centres_out = frozenset(
            entry.data_centre
            for entry in self.entry_by_key.values()
            if isinstance(entry, _entries.DataCentreOutEntry)
        )
        listed_by_id = {
            server.server_id: server for server in self._listed_servers()
        }
        server_by_id = {
            server.server_id: server
            for server in self._preferred_servers(listed_by_id)
        }
        return _fleet_snapshot.FleetSnapshot(
            self.table,
            server_by_id,
            dict(self.cold_until_s_by_id),
            data_centres_out,
            {
                server_id: server
                for server_id, server in listed_by_id.items()
                if server_id not in server_by_id
            },
        )

    def set_running(self, host: str, server_id: str) -> bool:
        """Store which server runs on a host; empty if that is unknown.

        Return whether this may change which of its listed servers is used.
        """
        if self.running_id_by_host.get(host, "") == server_id:
            return False
        if server_id:
            self.running_id_by_host[host] = server_id
        else:
            del self.running_id_by_host[host]
        return (
            sum(server.host == host for server in self._listed_servers()) > 1
        )

    def _listed_servers(self) -> list[_entries.BackendServer]:
        return [
            entry.server
            for entry in self.entry_by_key.values()
            if isinstance(entry, _entries.ServerEntry)
        ]

    def _preferred_servers(
        self, listed_by_id: Mapping[str, _entries.BackendServer]
    ) -> list[_entries.BackendServer]:
        """Return one server for each address.

        The entry of a crashed server remains for a few heartbeats, alongside
        that of its successor, and other writers can add entries too. What
        runs on a host is known to its node, so that its word decides.
        """
        preferred_by_address: dict[
            tuple[str, int], _entries.BackendServer
        ] = {}
        for server in listed_by_id.values():
            running = listed_by_id.get(
                self.running_id_by_host.get(server.host, "")
            )
            if (
                running is not None
                and running is not server
                and running.host == server.host
            ):
                continue
            address = (server.host, server.port)
            other = preferred_by_address.get(address)
            if other is None or self._rank(other) <= self._rank(server):
                preferred_by_address[address] = server
        return list(preferred_by_address.values())

    def _rank(self, server: _entries.BackendServer) -> tuple[bool, int]:
        """Return the rank of an entry among those at its address."""
        configured = self.table is not None and (
            server.service in self.table.service_by_name
        )
        return configured, server.created_at_ms

    def _begin_era(self, era: int, now_s: float) -> None:
        """Begin a later era, in which removals may be of lost entries."""
        if era <= self.position.era:
            return
        if self.position.era != _positions.UNKNOWN_ERA:
            self.has_seen_restore = True
            self.start_expiry_grace(now_s)
        self.position = _positions.Position(era, 0)

    def _apply_newer(
        self,
        item: _entries.SourceItem,
        known: _entries.SourceItem | None,
        applied: AppliedItems,
        now_s: float,
        served: frozenset[str] = frozenset(),
    ) -> None:
        """Apply an item whose position is above that of the known one.

        `served`: services that have servers besides removed ones.
        """
        self._begin_era(item.position.era, now_s)
        if known is not None and _is_renewed(known, item):
            self._store(item)
            applied.renewed.append(item)
            return
        entry = None
        if item.value is not None:
            entry = self.decode(item.key, item.value)
        if known is not None and self._outlasts(known, item, entry, served):
            self._retain(known, item, entry, now_s)
        else:
            self._store(item)
            self.holds.remove(item.key)
            self._apply_entry(item, entry, now_s)
            if item.position.is_retained and not isinstance(
                entry, _entries.TableEntry
            ):
                self._hold(item.key, now_s)
        applied.changed.append(self.item_by_key[item.key])

    def _outlasts(
        self,
        known: _entries.SourceItem,
        item: _entries.SourceItem,
        entry: _entries.PublishedEntry | None,
        served: frozenset[str],
    ) -> bool:
        """Return whether a known entry stays in place of a newer item."""
        known_entry = None
        if known.value is not None:
            known_entry = self.entry_by_key.get(item.key)
        if isinstance(known_entry, _entries.TableEntry):
            return known.value != item.value and _restores.is_older(
                entry, known_entry, None
            )
        if not (
            _positions.UNKNOWN_ERA < known.position.era < item.position.era
        ):
            return False
        if item.position.is_retained:
            return known.position.written_at > item.position.written_at
        if not _restores.is_older(
            entry, known_entry, self.removed_server_by_key.get(item.key)
        ):
            return False
        if known_entry is None and isinstance(entry, _entries.ServerEntry):
            return entry.server.service in served
        return True

    def _retain(
        self,
        known: _entries.SourceItem,
        item: _entries.SourceItem,
        entry: _entries.PublishedEntry | None,
        now_s: float,
    ) -> None:
        """Keep a known entry at a position above that of an older one."""
        self._store(known.at(known.position.retain_over(item.position)))
        if isinstance(self.entry_by_key.get(item.key), _entries.TableEntry):
            self._reject(item, _table_rejection(entry, self.table))
            return
        self._hold(item.key, now_s)

    def _hold(self, key: str, now_s: float) -> None:
        self.holds.begin(key, now_s, self.heartbeat_s, EXPIRY_GRACE_S)

    def _ready_services(self) -> frozenset[str]:
        """Return the services that have a server in state ready."""
        return frozenset(
            server.service
            for server in self._listed_servers()
            if server.state is _entries.ServerState.READY
        )

    def _confirm(
        self, item: _entries.SourceItem, now_s: float
    ) -> _entries.SourceItem:
        """Return a listed item, which replaces one that was held for it.

        Its author has not written it again in the time of the hold.
        """
        known = self.item_by_key.get(item.key)
        if (
            known is None
            or not known.position.is_retained
            or known.position.era != item.position.era
            or known.position.revision != item.position.revision
            or isinstance(self.entry_by_key.get(item.key), _entries.TableEntry)
            or self.holds.is_held(item.key, now_s)
        ):
            return item
        return item.at(item.position.confirmed())

    def _store(self, item: _entries.SourceItem) -> None:
        """Store an item in place of the known one."""
        known = self.item_by_key.get(item.key)
        self.item_by_key[item.key] = item
        self.position = max(self.position, item.position)
        self.digest ^= _item_digests.with_era(known) ^ _item_digests.with_era(
            item
        )
        self.revision_digest ^= _item_digests.without_era(known)
        self.revision_digest ^= _item_digests.without_era(item)
        self._keep_patch_base(item)

    def _apply_entry(
        self,
        item: _entries.SourceItem,
        entry: _entries.PublishedEntry | None,
        now_s: float,
    ) -> None:
        """Use an entry, or its removal, from now on."""
        if entry is None:
            self._remove(item.key, now_s)
            return
        self.removal_at_s_by_key.pop(item.key, None)
        self.removed_server_by_key.pop(item.key, None)
        match entry:
            case _entries.TableEntry(table):
                if self.table is None or table.version > self.table.version:
                    self.table = table
            case _entries.ServerEntry(server):
                self.cold_until_s_by_id[server.server_id] = (
                    now_s + server.cold_left_s
                )
            case _entries.InvalidEntry(reason):
                self._reject(item, reason)
            case _entries.DataCentreOutEntry():
                pass
        self.entry_by_key[item.key] = entry

    def _reject(self, item: _entries.SourceItem, reason: str) -> None:
        self.rejected.append(
            _entries.RejectedEntry(item.key, item.position, reason)
        )

    def _keep_patch_base(self, item: _entries.SourceItem) -> None:
        if item.value is None or len(item.value) < MIN_PATCH_BASE_BYTES:
            return
        bases = self.bases_by_key.setdefault(item.key, {})
        bases[item.position] = item.value
        while len(bases) > MAX_PATCH_BASES:
            del bases[min(bases)]

    def _remove(self, key: str, now_s: float) -> None:
        entry = self.entry_by_key.get(key)
        match entry:
            case _entries.ServerEntry(server):
                ready = server.state is _entries.ServerState.READY
                if ready and now_s < self.grace_until_s:
                    self.removal_at_s_by_key[key] = self.grace_until_s
                    self.removed_server_by_key[key] = server
                    return
                self.cold_until_s_by_id.pop(server.server_id, None)
                self.removed_server_by_key[key] = server
            case _entries.TableEntry():
                return
            case (
                _entries.DataCentreOutEntry() | _entries.InvalidEntry() | None
            ):
                pass
        self.entry_by_key.pop(key, None)


def _is_renewed(known: _entries.SourceItem, item: _entries.SourceItem) -> bool:
    """Return whether a new era only repeats a known entry."""
    return (
        known.value is not None
        and known.value == item.value
        and known.position.era < item.position.era
        and known.position.revision == item.position.revision
    )


def _table_rejection(
    entry: _entries.PublishedEntry | None, table: _table.Table | None
) -> str:
    """Return why an entry does not replace the table in force."""
    match entry:
        case _entries.TableEntry(new) if table is not None:
            return f"table version {new.version} is not above {table.version}"
        case _entries.InvalidEntry(reason):
            return reason
        case _:
            return "the table has been removed"
