"""Messages between nodes and between the actors of one node."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math
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
    confirmed_age_s: float = math.inf
    """Seconds since the source confirmed the versions, through any node."""


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
class VersionsRequest:
    """Ask a peer for its versions after a pause."""

    query_id: int


@dataclass(slots=True, frozen=True)
class VersionsReply:
    """Show the versions in force: for an inquiry, or unasked with none."""

    query_id: int
    versions: state.VersionVector


@dataclass(slots=True, frozen=True)
class LoanRequestMessage:
    """Ask a peer of the same service for quota."""

    request: state.LoanRequest


@dataclass(slots=True, frozen=True)
class LoanGrantMessage:
    """Hand over parts of shares and their tokens for a limited time."""

    grant: state.LoanGrant


@dataclass(slots=True, frozen=True)
class ShareReportMessage:
    """Show which hosts version the quota shares of a node follow."""

    report: state.ShareReport


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
    | VersionsRequest
    | VersionsReply
    | LoanRequestMessage
    | LoanGrantMessage
    | ShareReportMessage
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
class DialDue:
    """It is time to dial planned peers."""


@dataclass(slots=True, frozen=True)
class QuotaTick:
    """Time to renew loans and to repeat reports."""


@dataclass(slots=True, frozen=True)
class SnapshotChanged:
    """A new snapshot is in force on this node."""

    snapshot: state.Snapshot


@dataclass(slots=True, frozen=True)
class ReadinessChanged:
    """The node may or may not accept calls."""

    ready: bool
    reason: str
    ticked_s: float | None = None
    """Monotonic time of the last tick, to detect a pause at use."""
    confirmed_s: float | None = None
    """Monotonic time at which the source last confirmed the versions."""


@dataclass(slots=True, frozen=True)
class DocumentRead:
    """The source answered with a document."""

    document: state.Document


@dataclass(slots=True, frozen=True)
class DocumentUnreadable:
    """The source answered with something that is not a document."""

    name: state.DocumentName
    reason: str


@dataclass(slots=True, frozen=True)
class WatchCompleted:
    """A watch has ended; the source has newer versions of these."""

    names: tuple[state.DocumentName, ...]


@dataclass(slots=True, frozen=True)
class SourceFailed:
    """The source did not answer, or not as documented."""

    reason: str


@dataclass(slots=True, frozen=True)
class ReadSource:
    """Read one document; this is one call."""

    name: state.DocumentName


@dataclass(slots=True, frozen=True)
class WatchSource:
    """Wait until the source has something newer; this is one call."""

    have: state.VersionVector
    wait_s: int


@dataclass(slots=True, frozen=True)
class LinkUp:
    """A link to a peer is open; the mailbox sends on it."""

    hello: Hello
    mailbox: Mailbox
    dialled_by: str
    address: str = ""
    """The address that was dialled, empty on the accepting side."""


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
class PeerMessageReceived:
    """A peer message for the actor that handles it."""

    host: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class EnvelopeReceived:
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
class ForwardFinished:
    """Tell how a call sent to another node has ended."""

    forward: state.ForwardTo
    outcome: state.Outcome


class DrainedReply(typing.Protocol):
    """Where the end of the last call in hand is announced."""

    def set(self, value: None = None) -> None:
        """Announce that no call is in hand."""


@dataclass(slots=True, frozen=True)
class AwaitDrained:
    """Ask for a reply once a stop was requested and no call is in hand."""

    reply: DrainedReply


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
    confirmed_age_s: float | None
    """Seconds since the source confirmed the versions, None if never."""


@dataclass(slots=True, frozen=True)
class AdmissionStatus:
    """Slots, queue and counts of one node."""

    slots_in_use: int
    capacity: int
    queued: int
    by_result: Mapping[exceptions.ResultCode, int]
    quota_usable: bool
