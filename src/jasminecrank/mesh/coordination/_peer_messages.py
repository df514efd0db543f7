"""Messages between nodes.

Durations are relative because the clocks of hosts differ.
"""

from collections.abc import Callable
from dataclasses import dataclass
import random
import typing

from jasminecrank.mesh import state

PROTOCOL_VERSION = 5
"""Version 1 adds HostsRemoved, 2 LinkEnding, 3 eras and LatenessReported.

Version 4 adds LoadChanged, 5 the mark of repeated calls.
"""
FIRST_VERSION_WITH_ERAS = 3
"""Older nodes know the revision of a position only."""
FIRST_VERSION_WITH_LOAD_CHANGES = 4
"""Older nodes get a whole report each time."""
FIRST_VERSION_WITH_REPEATS = 5
"""Older nodes end a link on which they get the mark of a repeated call."""
_INCARNATION_BITS = 48

MAX_AGE_MS = 60_000
"""Largest age that is reported; older information is treated the same."""


@dataclass(slots=True, frozen=True)
class Hello:
    """First message on a link, sent by both sides to identify themselves."""

    host: str
    incarnation: int
    """48 random bits; those above are the version of the protocol.

    Nodes of version 0 accept no further field.
    """
    service: str

    @classmethod
    def from_settings(
        cls, host: str, service: str, rng: random.Random
    ) -> typing.Self:
        """Return the Hello of a process that starts."""
        version_bits = PROTOCOL_VERSION << _INCARNATION_BITS
        incarnation = rng.getrandbits(_INCARNATION_BITS) | version_bits
        return cls(host, incarnation, service)

    @property
    def protocol_version(self) -> int:
        """Return the version of the protocol that the sender speaks."""
        return self.incarnation >> _INCARNATION_BITS


@dataclass(slots=True, frozen=True)
class CallSent:
    """A call to run at the backend server on the receiver's host."""

    call_id: int
    request_id: str
    server_id: str
    route: str
    method: bytes
    target: bytes
    headers: state.Headers
    body: state.Body
    rank: int
    idempotent: bool
    remaining_s: float
    """Time until the caller's deadline."""
    target_remaining_s: float
    """Time until the call misses its latency objective."""
    caller_service: str
    team: str
    """Empty on routes that are open to all callers."""
    is_repeat: bool = False
    """Whether its run counts as a retry, and the calls of the run do too."""


@dataclass(slots=True, frozen=True)
class CallCancelled:
    """The caller has disconnected or its deadline has passed."""

    call_id: int


@dataclass(slots=True, frozen=True)
class CallServed:
    """The complete response of the backend server."""

    call_id: int
    status: int
    reason: bytes
    headers: state.Headers
    body: state.Body
    run_time_s: float
    active_calls: int
    """Calls that still run or wait at the sender's backend server."""


@dataclass(slots=True, frozen=True)
class CallNotRun:
    """The call has not run at the sender's backend server and never will."""

    call_id: int
    reason: str
    retry_after_s: float
    reached_server: bool


@dataclass(slots=True, frozen=True)
class CallMayHaveRun:
    """The call was sent to the backend server, but its outcome is unknown."""

    call_id: int
    reason: str


@dataclass(slots=True, frozen=True)
class LoadReported:
    """Load of the sender's backend server, and the state of its entries."""

    server_id: str
    """Empty if unchanged since the last report that named it."""
    in_flight: int
    queued: int
    limit: int
    run_ms: int
    failures_percent: int
    accepting: bool
    confirmed_age_ms: int
    """Time since the sender itself last received a reply of the source.

    Ages that peers report are not passed on, since each report makes them
    younger by its time in transit.
    """
    replied_age_ms: int
    """Time since the source last began to reply to the sender."""
    position: state.Position
    """Newest position among the sender's entries."""
    digest: int
    """Digest of all entries that the sender has."""
    complete_position: state.Position
    """Position up to which the sender has all changes."""
    revision_digest: int = 0
    """The digest as nodes compute it that know no eras."""

    @classmethod
    def from_load(
        cls,
        load: state.ServerLoad,
        confirmed_age_s: float,
        replied_age_s: float,
        directory: state.Directory,
        with_server: bool = True,
    ) -> "LoadReported":
        """Return a report in whole numbers, which encode in fewer bytes."""
        return cls(
            load.server_id if with_server else "",
            load.in_flight,
            load.queued,
            load.limit,
            round(1000 * load.run_time_s),
            round(100 * load.failure_rate),
            load.accepting,
            min(MAX_AGE_MS, round(1000 * confirmed_age_s)),
            min(MAX_AGE_MS, round(1000 * replied_age_s)),
            directory.position,
            directory.digest,
            directory.complete_position,
            directory.revision_digest,
        )

    def load(self, server_id: str) -> state.ServerLoad:
        """Return the reported load as that of a server."""
        return state.ServerLoad(
            server_id,
            self.in_flight,
            self.queued,
            self.limit,
            self.run_ms / 1000,
            self.failures_percent / 100,
            self.accepting,
        )

    def change(self) -> "LoadChanged":
        """Return the part that differs from a report with the same basis."""
        return LoadChanged(
            self.in_flight,
            self.queued,
            self.run_ms,
            self.failures_percent,
            self.confirmed_age_ms,
            self.replied_age_ms,
        )


@dataclass(slots=True, frozen=True)
class LoadChanged:
    """Load of a server whose other data is as in the last LoadReported.

    Nearly all reports are of this kind. It takes a fraction of the time to
    decode, which counts since each node hears of tens of others.
    """

    in_flight: int
    queued: int
    run_ms: int
    failures_percent: int
    confirmed_age_ms: int
    replied_age_ms: int

    def load(self, server_id: str, report: LoadReported) -> state.ServerLoad:
        """Return the load, given the last whole report."""
        return state.ServerLoad(
            server_id,
            self.in_flight,
            self.queued,
            report.limit,
            self.run_ms / 1000,
            self.failures_percent / 100,
            report.accepting,
        )


@dataclass(slots=True, frozen=True)
class Presence:
    """Reports that the sender is running, and the arbiters it can reach."""

    arbiters: tuple[str, ...] | None
    """None if unchanged since the last report."""


@dataclass(slots=True, frozen=True)
class HostsRemoved:
    """Hosts whose entries were removed, but which may still grant tokens."""

    age_ms_by_host: tuple[tuple[str, int], ...]
    """Time since the removal."""


@dataclass(slots=True, frozen=True)
class LinkEnding:
    """Last message of a node that stops.

    It has replied to each call that it has started or received, but for those
    it names. Other calls without a reply have not run, and never will.
    """

    unsent_call_ids: tuple[int, ...]
    """Calls that were received and whose replies were not sent whole."""


@dataclass(slots=True, frozen=True)
class LatenessReported:
    """How late the sender's process has run in the last seconds."""

    recent_ms: int


@dataclass(slots=True, frozen=True)
class TokensRequested:
    """Requests tokens of a team's rate, one for each waiting call."""

    team: str
    count: int


@dataclass(slots=True, frozen=True)
class TokensGranted:
    """Replies to the oldest pending request for tokens of a team."""

    team: str
    granted: int
    wait_ms: int
    """Time until the next token is available."""


@dataclass(slots=True, frozen=True)
class ItemsSent:
    """Entries of the source: key, position and value (None if removed)."""

    items: tuple[tuple[str, state.Position, bytes | None], ...]

    @property
    def largest_bytes(self) -> int:
        """Return the size of the largest entry."""
        return max(
            (len(value or b"") for _, _, value in self.items), default=0
        )


@dataclass(slots=True, frozen=True)
class ItemPatched:
    """A new value of an entry, as a patch against an older one."""

    key: str
    base_position: state.Position
    position: state.Position
    pieces: tuple[bytes | tuple[int, int], ...]
    digest: bytes

    @property
    def largest_bytes(self) -> int:
        """Return the number of bytes not copied from the earlier value."""
        return state.Patch(self.pieces, self.digest).literal_bytes


@dataclass(slots=True, frozen=True)
class ItemsAnnounced:
    """Keys and positions of entries that the sender has."""

    positions: tuple[tuple[str, state.Position], ...]
    complete_position: state.Position = state.NO_POSITION
    """If it has a revision, the list has all keys that existed then."""
    upload_bytes: int = 0
    """Compressed size of the largest one, if they are too large to push."""


@dataclass(slots=True, frozen=True)
class ItemsRequested:
    """Requests entries by key, with the position that the sender has."""

    keys: tuple[tuple[str, state.Position], ...]


@dataclass(slots=True, frozen=True)
class ListingRequested:
    """Requests the keys and positions of all entries."""


@dataclass(slots=True, frozen=True)
class UploadConfirmed:
    """A large entry from the receiver has arrived, needed or not."""


@dataclass(slots=True, frozen=True)
class UploadDeferred:
    """The sender has these entries but can't send them to one more node."""

    keys: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class BodyFollows:
    """A message whose large body follows in parts."""

    transfer_id: int
    body_bytes: int
    message: bytes
    """The message without its body, encoded."""


@dataclass(slots=True, frozen=True)
class BodyPart:
    """The next bytes of a body."""

    transfer_id: int
    data: bytes


@dataclass(slots=True, frozen=True)
class BodyAbandoned:
    """No more parts of a body will follow."""

    transfer_id: int


@dataclass(slots=True, frozen=True)
class EraBegun:
    """The source has been restored, and the sender has read its listing."""

    era: int
    digest: int
    """Digest of the entries that the sender had before."""
    changed_keys: tuple[str, ...]
    """Those that are not at the same revision in the new era."""


PeerMessage = (
    Hello
    | CallSent
    | CallCancelled
    | CallServed
    | CallNotRun
    | CallMayHaveRun
    | LoadReported
    | Presence
    | TokensRequested
    | TokensGranted
    | ItemsSent
    | ItemPatched
    | ItemsAnnounced
    | ItemsRequested
    | ListingRequested
    | UploadConfirmed
    | UploadDeferred
    | BodyFollows
    | BodyPart
    | BodyAbandoned
    | HostsRemoved
    | LinkEnding
    | EraBegun
    | LatenessReported
    | LoadChanged
)
QuotaPeerMessage = Presence | TokensRequested | HostsRemoved
FleetPeerMessage = (
    LoadReported
    | ItemsSent
    | ItemPatched
    | ItemsAnnounced
    | ItemsRequested
    | ListingRequested
    | UploadConfirmed
    | UploadDeferred
    | EraBegun
    | LatenessReported
    | LoadChanged
)

SendToPeer = Callable[[PeerMessage], None]
