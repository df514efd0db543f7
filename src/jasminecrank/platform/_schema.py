"""Schema of the entries that the platform's store publishes.

The names on the wire are those of the platform. A value out of its range, or
of another type, makes the whole entry invalid; unknown fields are skipped.
"""

import typing

import msgspec

from jasminecrank.mesh import state

MAX_INTEGER = 2**63 - 1
MAX_DURATION_MS = 86_400_000
"""One day, in milliseconds."""
MAX_UNIX_TIME_MS = 4_102_444_800_000
"""The start of the year 2100, in milliseconds."""
MAX_KEY_BYTES = 200
MAX_SERVER_ENTRY_BYTES = 16_384
MAX_TABLE_BYTES = 16 * 1024 * 1024

_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"

ServerId = typing.Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=190, pattern=r"\A[!-~]+\Z"),
]
"""Sent in a header, so without spaces and control characters."""
Name = typing.Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=200, pattern=r"\A[^\x00-\x1f\x7f]+\Z"
    ),
]
Address = typing.Annotated[
    str,
    msgspec.Meta(
        max_length=260, pattern=rf"\A{_LABEL}(?:\.{_LABEL})*:[0-9]{{1,5}}\Z"
    ),
]
"""IPv4 address or host name, and port."""
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Path = typing.Annotated[
    str, msgspec.Meta(max_length=2_000, pattern=r"\A/[!-~]*\Z")
]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
DurationMs = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
ColdLeftMs = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)
]
"""Negative for a server whose cold start has ended."""
UnixTimeMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_TIME_MS)]
Sequence = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""Number of reports of a server; entries without one count as the first."""
Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class ServerInfo(msgspec.Struct, frozen=True):
    """What a backend server says once about itself."""

    service: Name
    slots: Slots
    data_centre: Name = msgspec.field(name="zone")


class ServerStatus(msgspec.Struct, frozen=True):
    """What a backend server says with each heartbeat."""

    state: state.ServerState
    cold_left_ms: ColdLeftMs = msgspec.field(name="coldLeftMs")
    sequence: Sequence = msgspec.field(name="seq", default=0)


class Server(msgspec.Struct, frozen=True):
    """Entry with which a backend server registers itself."""

    info: ServerInfo
    status: ServerStatus
    address: Address
    created_at_ms: UnixTimeMs = msgspec.field(name="born", default=0)


class Metadata(msgspec.Struct, frozen=True):
    """Name of a resource, empty if it has none."""

    name: str = ""


class Resource(msgspec.Struct, frozen=True, rename="camel"):
    """One row of a table, whose type tells how to decode its fields."""

    type_url: str
    metadata: Metadata
    spec: msgspec.Raw


class Table(msgspec.Struct, frozen=True):
    """Entry with the newest table."""

    version: Revision
    resources: list[Resource]


class Part(msgspec.Struct, frozen=True):
    """A service's share of a split route."""

    service: Name
    weight: Rate


class Route(msgspec.Struct, frozen=True, rename="camel"):
    """Fields of a route."""

    host: Name
    prefix: Name
    name: str | None = None
    kind: str = ""
    service: Name | None = None
    split: list[Part] | None = None
    timeout_ms: DurationMs | None = None
    target_latency_ms: DurationMs | None = None
    priority: Count | None = None
    max_attempts: Count | None = None
    open_to_all: bool = msgspec.field(name="public", default=False)
    home_regions: frozenset[str] | None = None


class Service(msgspec.Struct, frozen=True, rename="camel"):
    """Fields of a service."""

    health_path: Path
    name: str | None = None
    max_connections: Count | None = msgspec.field(
        name="maxConns", default=None
    )
    cold_start_s: Rate | None = None
    cold_rate_per_s: Rate | None = msgspec.field(name="coldPerS", default=None)


class Team(msgspec.Struct, frozen=True, rename="camel"):
    """Fields of a team, which the platform calls a tenant."""

    name: str | None = None
    priority: Count | None = None
    rate_per_s: Rate | None = None
    burst: Rate | None = None
    api_keys: tuple[str, ...] | None = None
    home_regions: frozenset[str] | None = None


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on callers' requests and connections."""

    max_header_bytes: Count | None = None
    max_body_bytes: Count | None = None
    header_timeout_ms: DurationMs | None = None
    idle_timeout_ms: DurationMs | None = None


class ItemHead(msgspec.Struct, frozen=True):
    """Key and revision of an item, or of its removal."""

    key: typing.Annotated[str, msgspec.Meta(min_length=1)]
    revision: Revision = msgspec.field(name="rev")
    removed: bool = msgspec.field(name="tombstone", default=False)


class ItemKey(msgspec.Struct, frozen=True):
    """Key of an item."""

    key: str


class ItemValue(msgspec.Struct, frozen=True):
    """Value of an item, in base64."""

    value: str


class ItemPage(msgspec.Struct, frozen=True, rename="camel"):
    """A page of items, ordered by key."""

    items: list[msgspec.Raw]
    has_more: bool
    revision: Revision = msgspec.field(name="currentRev")


class ItemEvents(msgspec.Struct, frozen=True):
    """Changes of items, ordered by revision."""

    events: list[msgspec.Raw]
    revision: Revision = msgspec.field(name="currentRev")
