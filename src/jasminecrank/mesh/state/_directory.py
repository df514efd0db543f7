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

LAPSE_GRACE_S = 1.8
"""Time after an outage of the source in which lapsed entries come back.

The platform states about 2 s, and allows 2 s after a removal is confirmed.
"""

BASES_KEPT = 4
"""Older values of an entry that patches may refer to.

A watcher that reads several changes at once skips the values between them.
"""
MIN_BASE_BYTES = 2_048
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
    born_ms: int


@dataclass(slots=True, frozen=True)
class TablePublished:
    """The operators accepted a table."""

    table: _table.Table


@dataclass(slots=True, frozen=True)
class ServerPublished:
    """A backend server registered itself or changed its entry."""

    server: BackendServer


@dataclass(slots=True, frozen=True)
class DataCentreOut:
    """Operators took a data centre out of service."""

    data_centre: str


@dataclass(slots=True, frozen=True)
class Unreadable:
    """An entry that names nothing usable, and why."""

    reason: str


Published = TablePublished | ServerPublished | DataCentreOut | Unreadable


@dataclass(slots=True, frozen=True)
class Item:
    """One key of the source at one revision; no value once removed."""

    key: str
    revision: int
    value: bytes | None


Decoder = Callable[[str, bytes], Published]


@dataclass(slots=True, frozen=True)
class Fleet:
    """What a node believes at one moment, replaced as a whole."""

    table: _table.Table | None
    server_by_id: Mapping[str, BackendServer]
    cold_until_by_id: Mapping[str, float]
    data_centres_out: frozenset[str]

    def usable(self, service: str) -> list[BackendServer]:
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
    item_by_key: dict[str, Item] = field(default_factory=dict)
    published_by_key: dict[str, Published] = field(default_factory=dict)
    cold_until_by_id: dict[str, float] = field(default_factory=dict)
    lapsed_at_by_key: dict[str, float] = field(default_factory=dict)
    table: _table.Table | None = None
    revision: int = 0
    lapse_until_s: float = 0.0
    rejected: list[str] = field(default_factory=list)
    """What was unreadable since the last call of `take_rejected`."""
    digest: int = 0
    """Equal in two directories that hold the same entries."""
    complete_revision: int = 0
    """Revision up to which the source itself has shown all changes."""
    bases_by_key: dict[str, dict[int, bytes]] = field(default_factory=dict)
    """The last values of large entries, by revision."""

    def offer(self, items: Iterable[Item], now_s: float) -> list[Item]:
        """Take newer items in; return those that were new."""
        fresh = []
        for item in items:
            known = self.item_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self.item_by_key[item.key] = item
            self.revision = max(self.revision, item.revision)
            self.digest ^= _item_digest(known) ^ _item_digest(item)
            self._keep_base(item)
            self._apply(item, now_s)
            fresh.append(item)
        return fresh

    def offer_listing(
        self, items: Iterable[Item], start_revision: int, now_s: float
    ) -> list[Item]:
        """Take a whole listing in, which also shows what is gone.

        A key that is missing was removed at the revision of the listing's
        first page at the latest.
        """
        listed = list(items)
        gone = self.missing_in({item.key for item in listed}, start_revision)
        fresh = self.offer([*listed, *gone], now_s)
        self.complete_revision = max(self.complete_revision, start_revision)
        return fresh

    def offer_changes(
        self, items: Iterable[Item], revision: int, now_s: float
    ) -> list[Item]:
        """Take all changes up to a revision in, as the source showed them."""
        fresh = self.offer(items, now_s)
        self.complete_revision = max(self.complete_revision, revision)
        return fresh

    def missing_in(
        self, keys: Collection[str], complete_revision: int
    ) -> list[Item]:
        """Return the removals that a complete list of keys implies."""
        return [
            Item(key, complete_revision, None)
            for key, known in self.item_by_key.items()
            if key not in keys
            and known.value is not None
            and known.revision < complete_revision
        ]

    def patch_from(
        self, item: Item, base_revision: int
    ) -> _patches.Patch | None:
        """Return a patch of an entry, if the older value is still known."""
        base = self.bases_by_key.get(item.key, {}).get(base_revision)
        if base is None or item.value is None:
            return None
        return _patches.make_patch(base, item.value)

    def patched(
        self, key: str, base_revision: int, patch: _patches.Patch
    ) -> bytes | None:
        """Return the patched value of an entry, or None without its base."""
        base = self.bases_by_key.get(key, {}).get(base_revision)
        return None if base is None else _patches.apply_patch(base, patch)

    def source_returned(self, now_s: float) -> None:
        """Keep removed servers for a while after an outage."""
        self.lapse_until_s = now_s + LAPSE_GRACE_S

    def expire_lapsed(self, now_s: float) -> bool:
        """Drop the lapsed servers whose grace is over."""
        over = [
            key for key, at in self.lapsed_at_by_key.items() if at <= now_s
        ]
        for key in over:
            del self.lapsed_at_by_key[key]
            self.published_by_key.pop(key, None)
        return bool(over)

    def take_rejected(self) -> list[str]:
        """Return and forget the reasons of unreadable entries."""
        rejected, self.rejected = self.rejected, []
        return rejected

    def fleet(self) -> Fleet:
        """Return what the published entries say together."""
        newest_by_address: dict[tuple[str, int], BackendServer] = {}
        out = set()
        for published in self.published_by_key.values():
            match published:
                case ServerPublished(server):
                    address = (server.host, server.port)
                    other = newest_by_address.get(address)
                    if other is None or other.born_ms <= server.born_ms:
                        newest_by_address[address] = server
                case DataCentreOut(data_centre):
                    out.add(data_centre)
                case TablePublished() | Unreadable():
                    pass
        # A crashed server's entry stays for some heartbeats, beside that of
        # the next server at its address.
        servers = {
            server.server_id: server for server in newest_by_address.values()
        }
        return Fleet(
            self.table,
            servers,
            dict(self.cold_until_by_id),
            frozenset(out),
        )

    def _apply(self, item: Item, now_s: float) -> None:
        if item.value is None:
            self._remove(item.key, now_s)
            return
        self.lapsed_at_by_key.pop(item.key, None)
        published = self.decode(item.key, item.value)
        match published:
            case TablePublished(table):
                if self.table is not None and (
                    table.version <= self.table.version
                ):
                    self.rejected.append(
                        f"table version {table.version} is not above "
                        f"{self.table.version}"
                    )
                    return
                self.table = table
            case ServerPublished(server):
                self.cold_until_by_id[server.server_id] = (
                    now_s + server.cold_left_s
                )
            case Unreadable(reason):
                self.rejected.append(f"{item.key}: {reason}")
            case DataCentreOut():
                pass
        self.published_by_key[item.key] = published

    def _keep_base(self, item: Item) -> None:
        if item.value is None or len(item.value) < MIN_BASE_BYTES:
            return
        bases = self.bases_by_key.setdefault(item.key, {})
        bases[item.revision] = item.value
        while len(bases) > BASES_KEPT:
            del bases[min(bases)]

    def _remove(self, key: str, now_s: float) -> None:
        published = self.published_by_key.get(key)
        match published:
            case ServerPublished(server):
                ready = server.state is ServerState.READY
                if ready and now_s < self.lapse_until_s:
                    self.lapsed_at_by_key[key] = self.lapse_until_s
                    return
                self.cold_until_by_id.pop(server.server_id, None)
            case TablePublished():
                return
            case DataCentreOut() | Unreadable() | None:
                pass
        self.published_by_key.pop(key, None)


def _item_digest(item: Item | None) -> int:
    """Return an entry's part of the directory's digest.

    Removed entries have none, since a node that starts later never sees them.
    """
    if item is None or item.value is None:
        return 0
    name = f"{item.key}@{item.revision}".encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=6).digest())
