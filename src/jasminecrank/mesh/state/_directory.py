"""Directory of the table and the backend servers that the source lists."""

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


class ServerState(enum.Enum):
    """Lifecycle state that a backend server publishes about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One incarnation of a backend server."""

    server_id: str
    service: str
    host: str
    """IP address of its host; the node of the host listens on it as well."""
    port: int
    data_centre: str
    slots: int
    state: ServerState
    cold_left_s: float
    """Remaining cold start time when the entry was written."""
    created_at_ms: int


@dataclass(slots=True, frozen=True)
class TableEntry:
    """An entry with a table that the operators accepted."""

    table: _table.Table


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """An entry in which a backend server registers itself."""

    server: BackendServer


@dataclass(slots=True, frozen=True)
class DataCentreOutEntry:
    """An entry by which operators take a data centre out of service."""

    data_centre: str


@dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry that can't be used, and why."""

    reason: str


PublishedEntry = TableEntry | ServerEntry | DataCentreOutEntry | InvalidEntry


@dataclass(slots=True, frozen=True)
class SourceItem:
    """A key of the source at one revision; its value is None once removed."""

    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True, frozen=True)
class RejectedEntry:
    """An entry that was not taken, and why."""

    key: str
    revision: int
    reason: str


Decoder = Callable[[str, bytes], PublishedEntry]


@dataclass(slots=True, frozen=True)
class FleetSnapshot:
    """An immutable view of the fleet, replaced as a whole on each change."""

    table: _table.Table | None
    server_by_id: Mapping[str, BackendServer]
    cold_until_s_by_id: Mapping[str, float]
    data_centres_out: frozenset[str]
    displaced_by_id: Mapping[str, BackendServer] = field(default_factory=dict)
    """Listed servers that another one is preferred to on the same host."""

    def listed_at(self, host: str, port: int) -> list[BackendServer]:
        """Return all servers listed at an address, displaced ones too."""
        return [
            server
            for server in (
                *self.server_by_id.values(),
                *self.displaced_by_id.values(),
            )
            if (server.host, server.port) == (host, port)
        ]

    def has_service(self, server: BackendServer) -> bool:
        """Return whether the table has the service of a server."""
        return self.table is not None and (
            server.service in self.table.service_by_name
        )

    def usable_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that may receive new calls."""
        return [
            server
            for server in self.server_by_id.values()
            if server.service == service
            and server.state is ServerState.READY
            and server.data_centre not in self.data_centres_out
        ]


@dataclass(slots=True)
class Directory:
    """The node's replica of the entries that the platform publishes."""

    decode: Decoder
    item_by_key: dict[str, SourceItem] = field(default_factory=dict)
    entry_by_key: dict[str, PublishedEntry] = field(default_factory=dict)
    cold_until_s_by_id: dict[str, float] = field(default_factory=dict)
    removal_at_s_by_key: dict[str, float] = field(default_factory=dict)
    table: _table.Table | None = None
    revision: int = 0
    grace_until_s: float = 0.0
    rejected: list[RejectedEntry] = field(default_factory=list)
    """Entries rejected since the last `pop_rejected` call."""
    heartbeat_s: float = 1.5
    """Interval at which servers renew their entries."""
    digest: int = 0
    """Equal for two directories that hold the same entries."""
    complete_revision: int = 0
    """Revision up to which the directory has all changes of the source."""
    bases_by_key: dict[str, dict[int, bytes]] = field(default_factory=dict)
    """Recent values of large entries, by key and revision."""
    running_id_by_host: dict[str, str] = field(default_factory=dict)
    """Server that each host's node has found to be running there."""

    def apply_items(
        self, items: Iterable[SourceItem], now_s: float
    ) -> list[SourceItem]:
        """Apply items with a newer revision and return the applied ones."""
        applied = []
        for item in items:
            known = self.item_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self.item_by_key[item.key] = item
            self.revision = max(self.revision, item.revision)
            self.digest ^= _item_digest(known) ^ _item_digest(item)
            self._keep_patch_base(item)
            self._apply_item(item, now_s)
            applied.append(item)
        return applied

    def apply_listing(
        self, items: Iterable[SourceItem], start_revision: int, now_s: float
    ) -> list[SourceItem]:
        """Apply a complete listing and remove the entries missing from it.

        A missing key was removed at the revision of the listing's first page
        or earlier.
        """
        listed = list(items)
        removals = self.implied_removals(
            {item.key for item in listed}, start_revision
        )
        applied = self.apply_items([*listed, *removals], now_s)
        self.complete_revision = max(self.complete_revision, start_revision)
        return applied

    def apply_changes(
        self, items: Iterable[SourceItem], revision: int, now_s: float
    ) -> list[SourceItem]:
        """Apply all changes that the source reported up to a revision."""
        applied = self.apply_items(items, now_s)
        self.complete_revision = max(self.complete_revision, revision)
        return applied

    def compare_with_peer(self, digest: int, complete_revision: int) -> bool:
        """Return whether a peer's digest shows that no change is missing.

        The peer has all changes up to `complete_revision`, so a directory
        with the same entries has them too.
        """
        if (
            digest != self.digest
            or complete_revision <= self.complete_revision
        ):
            return False
        self.complete_revision = complete_revision
        return True

    def implied_removals(
        self, keys: Collection[str], complete_revision: int
    ) -> list[SourceItem]:
        """Return removals of the known keys missing from a complete list."""
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
        """Return a patch from an earlier value, or None if it is not kept."""
        base = self.bases_by_key.get(item.key, {}).get(base_revision)
        if base is None or item.value is None:
            return None
        return _patches.make_patch(base, item.value)

    def apply_patch(
        self, key: str, base_revision: int, patch: _patches.Patch
    ) -> bytes | None:
        """Return the patched value of an entry.

        Returns None if the base is not kept or the patch does not match it.
        """
        base = self.bases_by_key.get(key, {}).get(base_revision)
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

    def pop_rejected(self) -> list[RejectedEntry]:
        """Return and clear the rejected entries."""
        rejected, self.rejected = self.rejected, []
        return rejected

    def snapshot(self) -> FleetSnapshot:
        """Return the fleet that the published entries describe."""
        data_centres_out = frozenset(
            entry.data_centre
            for entry in self.entry_by_key.values()
            if isinstance(entry, DataCentreOutEntry)
        )
        listed_by_id = {
            server.server_id: server for server in self._listed_servers()
        }
        server_by_id = {
            server.server_id: server
            for server in self._preferred_servers(listed_by_id)
        }
        return FleetSnapshot(
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

    def _listed_servers(self) -> list[BackendServer]:
        return [
            entry.server
            for entry in self.entry_by_key.values()
            if isinstance(entry, ServerEntry)
        ]

    def _preferred_servers(
        self, listed_by_id: Mapping[str, BackendServer]
    ) -> list[BackendServer]:
        """Return one server for each address.

        The entry of a crashed server remains for a few heartbeats, alongside
        that of its successor, and other writers can add entries too. What
        runs on a host is known to its node, so that its word decides.
        """
        preferred_by_address: dict[tuple[str, int], BackendServer] = {}
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

    def _rank(self, server: BackendServer) -> tuple[bool, int]:
        """Return the rank of an entry among those at its address."""
        configured = self.table is not None and (
            server.service in self.table.service_by_name
        )
        return configured, server.created_at_ms

    def _apply_item(self, item: SourceItem, now_s: float) -> None:
        if item.value is None:
            self._remove(item.key, now_s)
            return
        self.removal_at_s_by_key.pop(item.key, None)
        entry = self.decode(item.key, item.value)
        match entry:
            case TableEntry(table):
                if self.table is not None and (
                    table.version <= self.table.version
                ):
                    self._reject(
                        item,
                        f"table version {table.version} is not above "
                        f"{self.table.version}",
                    )
                    return
                self.table = table
            case ServerEntry(server):
                self.cold_until_s_by_id[server.server_id] = (
                    now_s + server.cold_left_s
                )
            case InvalidEntry(reason):
                self._reject(item, reason)
            case DataCentreOutEntry():
                pass
        self.entry_by_key[item.key] = entry

    def _reject(self, item: SourceItem, reason: str) -> None:
        self.rejected.append(RejectedEntry(item.key, item.revision, reason))

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
                    self.removal_at_s_by_key[key] = self.grace_until_s
                    return
                self.cold_until_s_by_id.pop(server.server_id, None)
            case TableEntry():
                return
            case DataCentreOutEntry() | InvalidEntry() | None:
                pass
        self.entry_by_key.pop(key, None)


def _item_digest(item: SourceItem | None) -> int:
    """Return an entry's contribution to the directory's digest.

    Removed entries contribute nothing, since a node that starts later never
    sees them.
    """
    if item is None or item.value is None:
        return 0
    name = f"{item.key}@{item.revision}".encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=6).digest())
