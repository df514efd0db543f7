"""Messages between nodes.

Durations are relative, since clocks differ between hosts.
"""

from collections.abc import Callable
from dataclasses import dataclass

from jasminecrank.mesh import state

MAX_AGE_MS = 60_000
"""Largest age that is told; anything older is as good as unknown."""


@dataclass(slots=True, frozen=True)
class Hello:
    """The first message on a link, from both sides."""

    host: str
    incarnation: int
    service: str


@dataclass(slots=True, frozen=True)
class CallSent:
    """A call for the backend server beside the receiving node."""

    call_id: int
    request_id: str
    server_id: str
    route: str
    method: bytes
    target: bytes
    headers: state.Headers
    body: bytes
    rank: int
    idempotent: bool
    remaining_s: float
    """Time until the caller must have its answer."""
    target_remaining_s: float
    """Time until the latency objective is missed."""
    caller_service: str
    team: str
    """Empty on routes that are open to all."""


@dataclass(slots=True, frozen=True)
class CallCancelled:
    """The caller has left or its time is over."""

    call_id: int


@dataclass(slots=True, frozen=True)
class CallServed:
    """The backend server's whole answer."""

    call_id: int
    status: int
    reason: bytes
    headers: state.Headers
    body: bytes
    run_s: float
    active_calls: int
    """Calls that still run or wait there."""


@dataclass(slots=True, frozen=True)
class CallNotRun:
    """The call has not run here and never will."""

    call_id: int
    reason: str
    retry_after_s: float
    reached_server: bool


@dataclass(slots=True, frozen=True)
class CallMayHaveRun:
    """The call was sent to the backend server; its outcome is unknown."""

    call_id: int
    reason: str


@dataclass(slots=True, frozen=True)
class LoadReported:
    """Load of the sender's backend server, and age of its beliefs."""

    server_id: str
    """Empty if it is the same as told before."""
    in_flight: int
    queued: int
    limit: int
    run_ms: int
    failures_percent: int
    accepting: bool
    confirmed_age_ms: int
    """Time since the source confirmed what the sender knows."""
    revision: int
    """Newest revision that the sender knows."""
    digest: int
    """Digest of all entries that the sender knows."""

    @classmethod
    def from_load(
        cls,
        load: state.ServerLoad,
        confirmed_age_s: float,
        revision: int,
        digest: int,
        with_server: bool = True,
    ) -> "LoadReported":
        """Return a load in whole numbers, which take fewer bytes."""
        return cls(
            load.server_id if with_server else "",
            load.in_flight,
            load.queued,
            load.limit,
            round(1000 * load.run_time_s),
            round(100 * load.failure_rate),
            load.accepting,
            min(MAX_AGE_MS, round(1000 * confirmed_age_s)),
            revision,
            digest,
        )

    def load(self, server_id: str) -> state.ServerLoad:
        """Return the told load of a server."""
        return state.ServerLoad(
            server_id,
            self.in_flight,
            self.queued,
            self.limit,
            self.run_ms / 1000,
            self.failures_percent / 100,
            self.accepting,
        )


@dataclass(slots=True, frozen=True)
class Presence:
    """The sender is there, and which arbiters it can reach."""

    arbiters: tuple[str, ...] | None
    """None if nothing has changed since it last told them."""


@dataclass(slots=True, frozen=True)
class TokensRequested:
    """A node has calls of a team that need a token of its rate each."""

    team: str
    count: int


@dataclass(slots=True, frozen=True)
class TokensGranted:
    """Answer to the oldest open request for tokens of a team."""

    team: str
    granted: int
    wait_ms: int
    """Time until there is another token."""


@dataclass(slots=True, frozen=True)
class ItemsSent:
    """Entries of the source: key, revision and value, None if removed."""

    items: tuple[tuple[str, int, bytes | None], ...]


@dataclass(slots=True, frozen=True)
class ItemPatched:
    """A new revision of an entry, as a patch of an older one."""

    key: str
    base_revision: int
    revision: int
    pieces: tuple[bytes | tuple[int, int], ...]
    digest: bytes


@dataclass(slots=True, frozen=True)
class ItemsAnnounced:
    """Keys and revisions that the sender has."""

    revisions: tuple[tuple[str, int], ...]
    complete_revision: int = 0
    """Above 0: these are all keys there were at this revision."""


@dataclass(slots=True, frozen=True)
class ItemsRequested:
    """Keys that the sender asks for, with the revision that it has."""

    keys: tuple[tuple[str, int], ...]


@dataclass(slots=True, frozen=True)
class ListingRequested:
    """The sender asks which entries there are."""


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
)
FleetPeerMessage = (
    LoadReported
    | ItemsSent
    | ItemPatched
    | ItemsAnnounced
    | ItemsRequested
    | ListingRequested
)

SendToPeer = Callable[[PeerMessage], None]
