"""Which backend servers exist, and what is to be done with them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import enum
import hashlib

from jasminecrank.mesh.state import _patches
from jasminecrank.mesh.state import _table

EXPIRY_GRACE_S = 1.8
"""Time after an outage of the source in which lapsed entries come back.

The platform states about 2 s, and allows 2 s after a removal is confirmed.
"""

MAX_PATCH_BASES = 4
"""Older values of an entry that patches may refer to.

A watcher that reads several changes at once skips the values between them.
"""
MIN_PATCH_BASE_BYTES = 2_048
"""Smallest value that is worth a patch."""


class ServerState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One incarnation of a backend server."""

    server_id: str
    service: str
    host: str
    """IP address of its host, at which its node listens too."""
    port: int
    data_centre: str
    slots: int
    state: ServerState
    cold_left_s: float
    """Time left of its cold start when the entry was written."""
    created_at_ms: int


@dataclass(slots=True, frozen=True)
class TableEntry:
    """The operators accepted a table."""

    table: _table.Table


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A backend server registered itself or changed its entry."""

    server: BackendServer


@dataclass(slots=True, frozen=True)
class DataCentreOutEntry:
    """Operators took a data centre out of service."""

    data_centre: str


@dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry that names nothing usable, and why."""

    reason: str


PublishedEntry = TableEntry | ServerEntry | DataCentreOutEntry | InvalidEntry


@dataclass(slots=True, frozen=True)
class SourceItem:
    """One key of the source at one revision; no value once removed."""

    key: str
    revision: int
    value: bytes | None


Decoder = Callable[[str, bytes], PublishedEntry]


@dataclass(slots=True, frozen=True)
class FleetSnapshot:
    """What a node believes at one moment, replaced as a whole."""

    table: _table.Table | None
    server_by_id: Mapping[str, BackendServer]
    cold_until_by_id: Mapping[str, float]
    data_centres_out: frozenset[str]

    def usable_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that may be given new work."""
        return [
            server
            for server in self.server_by_id.values()
            if server.service == service
            and server.state is ServerState.READY
            and server.data_centre not in self.data_centres_out
        ]


@dataclass(slots=True)
class Directory:
    """The node's copy of what the platform publishes."""

    decode: Decoder
    item_by_key: dict[str, SourceItem] = field(default_factory=dict)
    entry_by_key: dict[str, PublishedEntry] = field(default_factory=dict)
    cold_until_by_id: dict[str, float] = field(default_factory=dict)
    removal_at_by_key: dict[str, float] = field(default_factory=dict)
    table: _table.Table | None = None
    revision: int = 0
    grace_until_s: float = 0.0
    rejected: list[str] = field(default_factory=list)
    """What was unreadable since the last call of `take_rejected`."""
    digest: int = 0
    """Equal in two directories that hold the same entries."""
    complete_revision: int = 0
    """Revision up to which the source itself has shown all changes."""
    bases_by_key: dict[str, dict[int, bytes]] = field(default_factory=dict)
    """The last values of large entries, by revision."""

    def apply_items(
        self, items: Iterable[SourceItem], now_s: float
    ) -> list[SourceItem]:
        """Take newer items in; return those that were new."""
        fresh = []
        for item in items:
            known = self.item_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self.item_by_key[item.key] = item
            self.revision = max(self.revision, item.revision)
            self.digest ^= _item_digest(known) ^ _item_digest(item)
            self._keep_patch_base(item)
            self._apply_item(item, now_s)
            fresh.append(item)
        return fresh

    def apply_listing(
        self, items: Iterable[SourceItem], start_revision: int, now_s: float
    ) -> list[SourceItem]:
        """Take a whole listing in, which also shows what is gone.

        A key that is missing was removed at the revision of the listing's
        first page at the latest.
        """
        listed = list(items)
        removals = self.implied_removals(
            {item.key for item in listed}, start_revision
        )
        fresh = self.apply_items([*listed, *removals], now_s)
        self.complete_revision = max(self.complete_revision, start_revision)
        return fresh

    def apply_changes(
        self, items: Iterable[SourceItem], revision: int, now_s: float
    ) -> list[SourceItem]:
        """Take all changes up to a revision in, as the source showed them."""
        fresh = self.apply_items(items, now_s)
        self.complete_revision = max(self.complete_revision, revision)
        return fresh

    def implied_removals(
        self, keys: Collection[str], complete_revision: int
    ) -> list[SourceItem]:
        """Return the removals that a complete list of keys implies."""
        return [
            SourceItem(key, complete_revision, None)
            for key, known in self.item_by_key.items()
            if key not in keys
            and known.value is not None
            and known.revision < complete_revision
        ]

    def create_patch(
        self, item: SourceItem, base_revision: int
    ) -> _patches.Patch | None:
        """Return a patch of an entry, if the older value is still known."""
        base = self.bases_by_key.get(item.key, {}).get(base_revision)
        if base is None or item.value is None:
            return None
        return _patches.make_patch(base, item.value)

    def apply_patch(
        self, key: str, base_revision: int, patch: _patches.Patch
    ) -> bytes | None:
        """Return the patched value of an entry, or None without its base."""
        base = self.bases_by_key.get(key, {}).get(base_revision)
        return None if base is None else _patches.apply_patch(base, patch)

    def start_expiry_grace(self, now_s: float) -> None:
        """Keep removed servers for a while after an outage."""
        self.grace_until_s = now_s + EXPIRY_GRACE_S

    def remove_expired(self, now_s: float) -> bool:
        """Drop the lapsed servers whose grace is over."""
        expired = [
            key for key, at in self.removal_at_by_key.items() if at <= now_s
        ]
        for key in expired:
            del self.removal_at_by_key[key]
            self.entry_by_key.pop(key, None)
        return bool(expired)

    def pop_rejected(self) -> list[str]:
        """Return and forget the reasons of unreadable entries."""
        rejected, self.rejected = self.rejected, []
        return rejected

    def snapshot(self) -> FleetSnapshot:
        """Return what the published entries say together."""
        newest_by_address: dict[tuple[str, int], BackendServer] = {}
        data_centres_out = set()
        for entry in self.entry_by_key.values():
            match entry:
                case ServerEntry(server):
                    address = (server.host, server.port)
                    other = newest_by_address.get(address)
                    if (
                        other is None
                        or other.created_at_ms <= server.created_at_ms
                    ):
                        newest_by_address[address] = server
                case DataCentreOutEntry(data_centre):
                    data_centres_out.add(data_centre)
                case TableEntry() | InvalidEntry():
                    pass
        # A crashed server's entry stays for some heartbeats, beside that of
        # the next server at its address.
        servers = {
            server.server_id: server for server in newest_by_address.values()
        }
        return FleetSnapshot(
            self.table,
            servers,
            dict(self.cold_until_by_id),
            frozenset(data_centres_out),
        )

    def _apply_item(self, item: SourceItem, now_s: float) -> None:
        if item.value is None:
            self._remove(item.key, now_s)
            return
        self.removal_at_by_key.pop(item.key, None)
        entry = self.decode(item.key, item.value)
        match entry:
            case TableEntry(table):
                if self.table is not None and (
                    table.version <= self.table.version
                ):
                    self.rejected.append(
                        f"table version {table.version} is not above "
                        f"{self.table.version}"
                    )
                    return
                self.table = table
            case ServerEntry(server):
                self.cold_until_by_id[server.server_id] = (
                    now_s + server.cold_left_s
                )
            case InvalidEntry(reason):
                self.rejected.append(f"{item.key}: {reason}")
            case DataCentreOutEntry():
                pass
        self.entry_by_key[item.key] = entry

    def _keep_patch_base(self, item: SourceItem) -> None:
        if item.value is None or len(item.value) < MIN_PATCH_BASE_BYTES:
            return
        bases = self.bases_by_key.setdefault(item.key, {})
        bases[item.revision] = item.value
        while len(bases) > MAX_PATCH_BASES:
            del bases[min(bases)]

    def _remove(self, key: str, now_s: float) -> None:
        entry = self.entry_by_key.get(key)
        match entry:
            case ServerEntry(server):
                ready = server.state is ServerState.READY
                if ready and now_s < self.grace_until_s:
                    self.removal_at_by_key[key] = self.grace_until_s
                    return
                self.cold_until_by_id.pop(server.server_id, None)
            case TableEntry():
                return
            case DataCentreOutEntry() | InvalidEntry() | None:
                pass
        self.entry_by_key.pop(key, None)


def _item_digest(item: SourceItem | None) -> int:
    """Return an entry's part of the directory's digest.

    Removed entries have none, since a node that starts later never sees them.
    """
    if item is None or item.value is None:
        return 0
    name = f"{item.key}@{item.revision}".encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=6).digest())
