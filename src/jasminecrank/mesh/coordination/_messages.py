"""Messages between the tasks of one node."""

from collections.abc import Callable
from dataclasses import dataclass

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _peer_messages


@dataclass(slots=True, frozen=True)
class CallArrived:
    """A caller has sent a complete request."""

    number: int
    request: state.CallRequest
    arrived_at_s: float
    reply: Callable[[state.Reply], None]
    readmission: state.Readmission | None = None
    """Set if the request has been refused before."""


@dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller closed its connection before it received a reply."""

    number: int


@dataclass(slots=True, frozen=True)
class CallerStopped:
    """The caller has ended its sending side, and may have left.

    A call that can be cancelled is cancelled, and each is replied to.
    """

    number: int


@dataclass(slots=True, frozen=True)
class CallDeadlineReached:
    """The deadline of a call has passed."""

    number: int


@dataclass(slots=True, frozen=True)
class QuotaDecided:
    """A call was granted a token of its team's rate, or denied one.

    `wait_s` is the time until another token is expected.
    """

    number: int
    granted: bool
    wait_s: float


@dataclass(slots=True, frozen=True)
class HostsCounted:
    """The number of hosts among which the fleet's bounds are shared."""

    count: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt to run a call at a host has ended."""

    number: int
    host: str
    result: state.AttemptResult
    active_calls: int | None = None
    """Calls that still run or wait at the host, if it reported them."""


@dataclass(slots=True, frozen=True)
class CallUnsent:
    """A link ends before its host has received an attempt's message whole.

    The host there runs a call only once it has received the whole message.
    """

    number: int
    host: str
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class FleetChanged:
    """The node's view of the fleet has changed."""

    fleet: state.FleetSnapshot


@dataclass(slots=True, frozen=True)
class LoadUpdated:
    """A host has reported its load."""

    host: str
    load: state.ServerLoad


@dataclass(slots=True, frozen=True)
class PeerLate:
    """A host has reported how late its node has run in the last seconds."""

    host: str
    lateness_s: float


@dataclass(slots=True, frozen=True)
class PeerUp:
    """A link to a host is usable, for the first time or again."""

    host: str
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class PeerSilent:
    """A host has sent nothing for longer than the silence limit."""

    host: str


@dataclass(slots=True, frozen=True)
class PeerDown:
    """A link to a host has ended."""

    host: str
    send: _peer_messages.SendToPeer | None = None
    """The link that has ended; None if no link to the host is left."""
    is_linked: bool = False
    """Whether another link to the host remains."""


@dataclass(slots=True, frozen=True)
class BoundsChanged:
    """The settings have new bounds for the fleet's quota and retries."""

    quota: state.QuotaBounds
    retries: state.RetryBudgetBounds


@dataclass(slots=True, frozen=True)
class QuotaRequested:
    """A call requests a token of its team's rate."""

    number: int
    team: state.Team


@dataclass(slots=True, frozen=True)
class QuotaUnused:
    """A call with a token ended without reaching a backend server.

    Its token can serve another call of the team.
    """

    team: str


@dataclass(slots=True, frozen=True)
class RequesterMessageReceived:
    """A node that gets tokens here requests some or reports what it sees."""

    host: str
    message: _peer_messages.QuotaPeerMessage
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class ArbiterGranted:
    """An arbiter has replied to a request for tokens."""

    host: str
    message: _peer_messages.TokensGranted


@dataclass(slots=True, frozen=True)
class RequesterDisconnected:
    """The link on which a node requests tokens has ended."""

    host: str


@dataclass(slots=True, frozen=True)
class SourceConfirmed:
    """The source last confirmed this node's entries at a time."""

    at_s: float


@dataclass(slots=True, frozen=True)
class QuotaTick:
    """Triggers the check for requests without a reply."""


@dataclass(slots=True, frozen=True)
class CallArriving:
    """A call whose body is being received from a link.

    RunCall, CancelCall or LinkClosed follows.
    """

    link_id: int
    call: _peer_messages.CallSent
    """The call without its body."""
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class RunCall:
    """A call to run at the local backend server.

    It comes from a link, or from this node's entry task with link 0.
    """

    link_id: int
    call: _peer_messages.CallSent
    send: _peer_messages.SendToPeer
    unread_s: float = 0.0
    """How long it may have waited until this process has read it."""


@dataclass(slots=True, frozen=True)
class CancelCall:
    """A call whose result is no longer needed."""

    link_id: int
    call_id: int


@dataclass(slots=True, frozen=True)
class LinkClosed:
    """A link on which calls arrive has ended."""

    link_id: int


@dataclass(slots=True, frozen=True)
class RunEnded:
    """A call has ended at the local backend server."""

    link_id: int
    call_id: int
    result: state.AttemptResult
    server_failed: bool


@dataclass(slots=True, frozen=True)
class HealthChecked:
    """The result of a health check; None if it did not succeed."""

    health: "Health | None"


@dataclass(slots=True, frozen=True)
class Health:
    """A successful response to a health check."""

    server_id: str
    cold_left_s: float


@dataclass(slots=True, frozen=True)
class GateTick:
    """Triggers the release of queued calls, and the expiry of late ones."""


@dataclass(slots=True, frozen=True)
class StopRequested:
    """The node was asked to stop; it then reports that it accepts no calls."""

    window: state.StopWindow


@dataclass(slots=True, frozen=True)
class StopWindowClosed:
    """The time to stop is over; calls that are at no other host must end."""


@dataclass(slots=True, frozen=True)
class PeersGivenUp:
    """The answers of other hosts would come too late; all calls must end."""


@dataclass(slots=True, frozen=True)
class CloseGate:
    """The gate task is to reply to all its calls, and then to report that."""

    report: Callable[[], None]


@dataclass(slots=True, frozen=True)
class GateClosed:
    """The gate task has replied to all its calls."""


@dataclass(slots=True, frozen=True)
class ListingRead:
    """All entries of the source, at least as new as a position."""

    items: tuple[state.SourceItem, ...]
    start: state.Position


@dataclass(slots=True, frozen=True)
class ChangesRead:
    """All entries of the source that changed, up to a position."""

    items: tuple[state.SourceItem, ...]
    position: state.Position


@dataclass(slots=True, frozen=True)
class SourceReplied:
    """The source has begun to reply to this node."""


@dataclass(slots=True, frozen=True)
class SourceLost:
    """The source has stopped replying to this node."""

    reason: str


@dataclass(slots=True, frozen=True)
class SourceRecovered:
    """The source replies to this node again."""


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A link has received a message about the fleet."""

    link: object
    host: str
    message: _peer_messages.FleetPeerMessage
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class LinkOpened:
    """A link is ready; `dialled` if this node has opened it."""

    link: object
    host: str
    dialled: bool
    send: _peer_messages.SendToPeer
    protocol_version: int = _peer_messages.PROTOCOL_VERSION


@dataclass(slots=True, frozen=True)
class LinkEnded:
    """A link has ended; `dialled` if this node had opened it."""

    link: object
    host: str
    dialled: bool


@dataclass(slots=True, frozen=True)
class FleetTick:
    """Triggers load reports and the check for silent peers."""


EntryMessage = (
    CallArrived
    | CallerDisconnected
    | CallerStopped
    | CallDeadlineReached
    | QuotaDecided
    | HostsCounted
    | SourceConfirmed
    | AttemptEnded
    | CallUnsent
    | FleetChanged
    | LoadUpdated
    | PeerLate
    | PeerUp
    | PeerSilent
    | PeerDown
    | BoundsChanged
    | StopRequested
    | StopWindowClosed
    | PeersGivenUp
    | GateClosed
)
QuotaMessage = (
    QuotaRequested
    | QuotaUnused
    | RequesterMessageReceived
    | ArbiterGranted
    | RequesterDisconnected
    | FleetChanged
    | PeerUp
    | PeerSilent
    | PeerDown
    | BoundsChanged
    | SourceConfirmed
    | QuotaTick
)
GateMessage = (
    CallArriving
    | RunCall
    | CancelCall
    | LinkClosed
    | RunEnded
    | HealthChecked
    | FleetChanged
    | GateTick
    | StopRequested
    | CloseGate
)
FleetMessage = (
    ListingRead
    | ChangesRead
    | SourceReplied
    | SourceLost
    | SourceRecovered
    | PeerMessageReceived
    | LinkOpened
    | LinkEnded
    | FleetTick
)
