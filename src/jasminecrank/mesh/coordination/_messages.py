"""Messages between the tasks of one node."""

from collections.abc import Callable
from dataclasses import dataclass

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _peer_messages


@dataclass(slots=True, frozen=True)
class CallArrived:
    """A caller sent a whole request."""

    number: int
    request: state.CallRequest
    arrived_at_s: float
    reply: Callable[[state.Reply], None]


@dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller closed its connection before it had its answer."""

    number: int


@dataclass(slots=True, frozen=True)
class CallDeadlineReached:
    """The time of a call is over."""

    number: int


@dataclass(slots=True, frozen=True)
class QuotaDecided:
    """A call has a token of its team's rate, or there is none for a while."""

    number: int
    granted: bool
    wait_s: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt of a call ended at a host."""

    number: int
    host: str
    result: state.AttemptResult
    active_calls: int | None = None
    """Calls that still run or wait at the host, if it said so."""


@dataclass(slots=True, frozen=True)
class FleetChanged:
    """The node's beliefs about the fleet changed."""

    fleet: state.FleetSnapshot


@dataclass(slots=True, frozen=True)
class LoadUpdated:
    """A host told its load."""

    host: str
    load: state.ServerLoad


@dataclass(slots=True, frozen=True)
class PeerUp:
    """A link to a host can be used."""

    host: str
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class PeerSilent:
    """A host has told nothing for a while."""

    host: str


@dataclass(slots=True, frozen=True)
class PeerDown:
    """The link to a host is lost."""

    host: str


@dataclass(slots=True, frozen=True)
class BoundsChanged:
    """The settings have new bounds of the fleet's budgets."""

    quota: state.QuotaBounds
    retries: state.RetryBudgetBounds


@dataclass(slots=True, frozen=True)
class QuotaRequested:
    """A call needs a token of its team's rate."""

    number: int
    team: state.Team


@dataclass(slots=True, frozen=True)
class QuotaUnused:
    """A call had a token and reached no backend server."""

    team: str


@dataclass(slots=True, frozen=True)
class RequesterMessageReceived:
    """A node asks this one for tokens, or says that it is there."""

    host: str
    message: _peer_messages.Presence | _peer_messages.TokensRequested
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class ArbiterGranted:
    """An arbiter answers."""

    host: str
    message: _peer_messages.TokensGranted


@dataclass(slots=True, frozen=True)
class RequesterDisconnected:
    """The link by which a node asks for tokens has ended."""

    host: str


@dataclass(slots=True, frozen=True)
class QuotaTick:
    """It is time to look for requests without an answer."""


@dataclass(slots=True, frozen=True)
class RunCall:
    """A call for the own backend server, from a link or from this node."""

    link_id: int
    call: _peer_messages.CallSent
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class CancelCall:
    """A call that is no longer wanted."""

    link_id: int
    call_id: int


@dataclass(slots=True, frozen=True)
class LinkClosed:
    """A link by which calls came has ended."""

    link_id: int


@dataclass(slots=True, frozen=True)
class RunEnded:
    """A call that ran at the own backend server ended."""

    link_id: int
    call_id: int
    result: state.AttemptResult
    server_failed: bool


@dataclass(slots=True, frozen=True)
class HealthChecked:
    """The backend server's answer to a health check; None if there is none."""

    health: "Health | None"


@dataclass(slots=True, frozen=True)
class Health:
    """A good health answer."""

    server_id: str
    cold_left_s: float


@dataclass(slots=True, frozen=True)
class GateTick:
    """It is time to look for calls that have waited too long."""


@dataclass(slots=True, frozen=True)
class StopRequested:
    """The node has been asked to stop."""


@dataclass(slots=True, frozen=True)
class ListingRead:
    """All entries of the source, begun at a revision."""

    items: tuple[state.SourceItem, ...]
    start_revision: int


@dataclass(slots=True, frozen=True)
class ChangesRead:
    """All entries that changed in the source up to a revision."""

    items: tuple[state.SourceItem, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class SourceLost:
    """The source does not answer this node."""

    reason: str


@dataclass(slots=True, frozen=True)
class SourceRecovered:
    """The source answers this node again."""


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A message about the fleet came by a link."""

    link: object
    host: str
    message: _peer_messages.FleetPeerMessage
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class LinkOpened:
    """A link is ready; `dialled` if this node has dialled it."""

    link: object
    host: str
    dialled: bool
    send: _peer_messages.SendToPeer


@dataclass(slots=True, frozen=True)
class LinkEnded:
    """A link has ended."""

    link: object
    host: str
    dialled: bool


@dataclass(slots=True, frozen=True)
class FleetTick:
    """It is time to tell loads and to look for silence."""


EntryMessage = (
    CallArrived
    | CallerDisconnected
    | CallDeadlineReached
    | QuotaDecided
    | AttemptEnded
    | FleetChanged
    | LoadUpdated
    | PeerUp
    | PeerSilent
    | PeerDown
    | BoundsChanged
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
    | QuotaTick
)
GateMessage = (
    RunCall
    | CancelCall
    | LinkClosed
    | RunEnded
    | HealthChecked
    | FleetChanged
    | GateTick
    | StopRequested
)
FleetMessage = (
    ListingRead
    | ChangesRead
    | SourceLost
    | SourceRecovered
    | PeerMessageReceived
    | LinkOpened
    | LinkEnded
    | FleetTick
)
