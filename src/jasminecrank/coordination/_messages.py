"""Messages between nodes and between the actors of one node."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import typing

from jasminecrank import exceptions
from jasminecrank import state


class Mailbox(typing.Protocol):
    """Anything that a message can be sent to."""

    def tell(self, message: typing.Any) -> None:
        """Queue a message without waiting."""


# Messages between nodes.


@dataclass(slots=True, frozen=True)
class Hello:
    """Open a link and show the versions in force."""

    host: str
    data_centre: str
    incarnation: int
    versions: state.VersionVector


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Confirm that a node lives and which versions it has in force."""

    versions: state.VersionVector
    draining: bool


@dataclass(slots=True, frozen=True)
class DocumentDelta:
    """Row changes from a base version to a newer one."""

    delta: state.Delta


@dataclass(slots=True, frozen=True)
class DocumentSnapshot:
    """A whole document, for a peer without a usable base."""

    document: state.Document


@dataclass(slots=True, frozen=True)
class FetchDocument:
    """Ask a peer for its version of a document."""

    name: state.DocumentName
    have: state.Version


@dataclass(slots=True, frozen=True)
class LoanRequest:
    """Ask a peer of the same service for quota."""

    loan_id: int
    service: str
    team: str
    share_ppb: int


@dataclass(slots=True, frozen=True)
class LoanGrant:
    """Hand over part of a share and its tokens for a limited time."""

    loan_id: int
    service: str
    team: str
    share_ppb: int
    tokens: float
    ttl_s: float


@dataclass(slots=True, frozen=True)
class Goodbye:
    """Announce a planned stop."""

    reason: str


PeerMessage = (
    Hello
    | Heartbeat
    | DocumentDelta
    | DocumentSnapshot
    | FetchDocument
    | LoanRequest
    | LoanGrant
    | Goodbye
)


@dataclass(slots=True, frozen=True)
class Envelope:
    """A peer message with its sender and logical time."""

    sender: str
    stamp: state.Stamp
    message: PeerMessage


# Messages between actors.


@dataclass(slots=True, frozen=True)
class Tick:
    """Periodic timer message."""


@dataclass(slots=True, frozen=True)
class SnapshotChanged:
    """A new snapshot is in force on this node."""

    snapshot: state.Snapshot


@dataclass(slots=True, frozen=True)
class ReadinessChanged:
    """The node may or may not accept calls."""

    ready: bool
    reason: str


@dataclass(slots=True, frozen=True)
class DocumentRead:
    """The source answered with a document."""

    document: state.Document


@dataclass(slots=True, frozen=True)
class SourceAnswered:
    """The source answered a read or a watch completely."""


@dataclass(slots=True, frozen=True)
class SourceFailed:
    """The source did not answer, or not as documented."""

    reason: str


@dataclass(slots=True, frozen=True)
class ReadSource:
    """Read every document of the source that differs from these versions."""

    have: state.VersionVector


@dataclass(slots=True, frozen=True)
class WatchSource:
    """Wait until the source has something newer, then read it."""

    have: state.VersionVector


@dataclass(slots=True, frozen=True)
class LinkUp:
    """A link to a peer is open; the mailbox sends on it."""

    hello: Hello
    mailbox: Mailbox
    dialled_by: str


@dataclass(slots=True, frozen=True)
class LinkDown:
    """A link to a peer is closed or could not be opened."""

    address: str
    mailbox: Mailbox
    reason: str


@dataclass(slots=True, frozen=True)
class PeerUp:
    """A peer is linked and has these versions in force."""

    host: str
    versions: state.VersionVector


@dataclass(slots=True, frozen=True)
class PeerDown:
    """A peer is no longer linked."""

    host: str


@dataclass(slots=True, frozen=True)
class Delivered:
    """A peer message for the actor that handles it."""

    host: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class Received:
    """A peer message as it came from a link."""

    envelope: Envelope


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to one linked peer."""

    host: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class RecordEvent:
    """Put a decision into the event ring and the log."""

    name: str
    fields: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class StopRequested:
    """Begin a planned stop."""


@dataclass(slots=True, frozen=True)
class AdmitCall:
    """Ask for a decision on a call; the reply gets exactly one Decision."""

    call: state.CallRequest
    reply: "DecisionReply"


class DecisionReply(typing.Protocol):
    """Where the decision on a call goes."""

    def set(self, value: state.Decision | None = None) -> None:
        """Deliver the decision."""


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Withdraw a call that waits in the queue."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CallFinished:
    """Give a permit back with the outcome of the call."""

    permit: state.Permit
    outcome: state.Outcome


@dataclass(slots=True, frozen=True)
class TakeRetry:
    """Ask for one retry, given how many calls the node has seen."""

    calls_seen: int


@dataclass(slots=True, frozen=True)
class ServerHealth:
    """What the backend server's health endpoint shows."""

    health: state.HealthReport


# Status queries, answered by the actor that owns the state.


@dataclass(slots=True, frozen=True)
class GetStatus:
    """Ask an actor for its status."""


@dataclass(slots=True, frozen=True)
class GetEvents:
    """Ask for the event ring."""


@dataclass(slots=True, frozen=True)
class GetHello:
    """Ask for the message that opens a link."""


@dataclass(slots=True, frozen=True)
class PeerStatus:
    """One linked peer and the versions it last showed."""

    host: str
    versions: state.VersionVector
    silence_s: float


@dataclass(slots=True, frozen=True)
class ConfigStatus:
    """Versions in force and the state of the source."""

    versions: state.VersionVector
    ready: bool
    reason: str
    watching: bool
    source_error: str


@dataclass(slots=True, frozen=True)
class AdmissionStatus:
    """Slots, queue and counts of one node."""

    slots_in_use: int
    capacity: int
    queued: int
    by_result: Mapping[exceptions.ResultCode, int]
