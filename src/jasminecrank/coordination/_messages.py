"""Messages between nodes and between the actors of a node."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math
import typing

from jasminecrank import exceptions
from jasminecrank import state


class Mailbox(typing.Protocol):
    """Receiver of messages: an actor, or one end of a link."""

    def tell(self, message: typing.Any) -> None:
        """Queue a message without blocking."""


# Messages between nodes.


@dataclass(slots=True, frozen=True)
class Hello:
    """Open a link and report the versions in force."""

    host: str
    data_centre: str
    incarnation: int
    versions: state.VersionVector


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Report that a node is alive and which versions it has in force."""

    versions: state.VersionVector
    draining: bool
    confirmed_age_s: float = math.inf
    """Seconds since the source confirmed the versions, to any node."""


@dataclass(slots=True, frozen=True)
class DocumentDelta:
    """Row changes from a base version to a newer one."""

    delta: state.Delta


@dataclass(slots=True, frozen=True)
class DocumentSnapshot:
    """A complete document, for a peer without the base version of a delta."""

    document: state.Document


@dataclass(slots=True, frozen=True)
class FetchDocument:
    """Request the peer's version of a document."""

    name: state.DocumentName
    have: state.Version


@dataclass(slots=True, frozen=True)
class VersionsRequest:
    """Request the versions of a peer after a pause of this process."""

    query_id: int


@dataclass(slots=True, frozen=True)
class VersionsReply:
    """Report the versions in force, for a query or unsolicited.

    An unsolicited report has -1 as its query_id.
    """

    query_id: int
    versions: state.VersionVector


@dataclass(slots=True, frozen=True)
class LoanRequestMessage:
    """Request quota from a peer of the same service."""

    request: state.LoanRequest


@dataclass(slots=True, frozen=True)
class LoanGrantMessage:
    """Lend parts of quota shares and their tokens for a limited time."""

    grant: state.LoanGrant


@dataclass(slots=True, frozen=True)
class ShareReportMessage:
    """Report the hosts version that the quota shares of a node follow."""

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
    """A peer message with its sender and logical timestamp."""

    sender: str
    stamp: state.Stamp
    message: PeerMessage


# Messages between actors.


@dataclass(slots=True, frozen=True)
class Tick:
    """Periodic timer message of the actor that receives it."""


@dataclass(slots=True, frozen=True)
class DialDue:
    """Timer message: dial the planned peers that are due."""


@dataclass(slots=True, frozen=True)
class QuotaTick:
    """Timer message: renew loans and repeat share reports."""


@dataclass(slots=True, frozen=True)
class SnapshotChanged:
    """A new snapshot is in force on this node."""

    snapshot: state.Snapshot


@dataclass(slots=True, frozen=True)
class ReadinessChanged:
    """Whether the node accepts calls, as of its last tick."""

    ready: bool
    reason: str
    ticked_s: float | None = None
    """Monotonic time of the last tick; the reader detects a pause by it."""
    confirmed_s: float | None = None
    """Monotonic time at which the source last confirmed the versions."""


@dataclass(slots=True, frozen=True)
class DocumentRead:
    """The source answered a read with a document."""

    document: state.Document


@dataclass(slots=True, frozen=True)
class DocumentUnreadable:
    """The source answered a read with an invalid document."""

    name: state.DocumentName
    reason: str


@dataclass(slots=True, frozen=True)
class WatchCompleted:
    """A watch ended; names has the documents with newer versions.

    It is empty if the watch timed out without a change.
    """

    names: tuple[state.DocumentName, ...]


@dataclass(slots=True, frozen=True)
class SourceFailed:
    """The source did not answer, or its answer violates the protocol."""

    reason: str


@dataclass(slots=True, frozen=True)
class ReadSource:
    """Read one document from the source, in one call."""

    name: state.DocumentName


@dataclass(slots=True, frozen=True)
class WatchSource:
    """Wait for versions newer than those given, in one call."""

    have: state.VersionVector
    wait_s: int


@dataclass(slots=True, frozen=True)
class LinkUp:
    """A link to a peer is open; its mailbox sends on the link."""

    hello: Hello
    mailbox: Mailbox
    dialled_by: str
    address: str = ""
    """The address that was dialled, empty on the accepting side."""


@dataclass(slots=True, frozen=True)
class LinkDown:
    """A link to a peer was closed or could not be opened."""

    address: str
    mailbox: Mailbox
    reason: str


@dataclass(slots=True, frozen=True)
class PeerUp:
    """A peer is linked; versions are those it has in force."""

    host: str
    versions: state.VersionVector


@dataclass(slots=True, frozen=True)
class PeerDown:
    """A peer is no longer linked."""

    host: str


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A peer message, passed to the actor that handles it."""

    host: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class EnvelopeReceived:
    """An envelope that was received on a link."""

    envelope: Envelope


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to one linked peer."""

    host: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class RecordEvent:
    """Add an event to the recent events and to the log."""

    name: str
    fields: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class StopRequested:
    """Begin a planned stop."""


@dataclass(slots=True, frozen=True)
class AdmitCall:
    """Request a decision on a call; reply is set exactly once."""

    call: state.CallRequest
    reply: "DecisionReply"


class DecisionReply(typing.Protocol):
    """Receiver of the decision on a call."""

    def set(self, value: state.Decision | None = None) -> None:
        """Deliver the decision."""


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Remove a call from the queue."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CallFinished:
    """Return a permit and report the outcome of its call."""

    permit: state.Permit
    outcome: state.Outcome


@dataclass(slots=True, frozen=True)
class ForwardFinished:
    """Report the outcome of a call that was forwarded to another node."""

    forward: state.ForwardTo
    outcome: state.Outcome


class DrainedReply(typing.Protocol):
    """Receiver of the notification that no call is open."""

    def set(self, value: None = None) -> None:
        """Notify the receiver that no call is open."""


@dataclass(slots=True, frozen=True)
class AwaitDrained:
    """Request a reply once a stop was requested and no call is open."""

    reply: DrainedReply


@dataclass(slots=True, frozen=True)
class TakeRetry:
    """Request a retry, given the number of calls the node has received."""

    calls_seen: int


@dataclass(slots=True, frozen=True)
class ServerHealth:
    """Report of the backend server's health endpoint."""

    health: state.HealthReport


# Status queries, answered by the actor that owns the state.


@dataclass(slots=True, frozen=True)
class GetStatus:
    """Query the status of an actor."""


@dataclass(slots=True, frozen=True)
class GetEvents:
    """Query the recent events."""


@dataclass(slots=True, frozen=True)
class GetHello:
    """Query the message that opens a link."""


@dataclass(slots=True, frozen=True)
class PeerStatus:
    """A linked peer and the versions that it last reported."""

    host: str
    versions: state.VersionVector
    silence_s: float


@dataclass(slots=True, frozen=True)
class ConfigStatus:
    """Versions in force, readiness and state of the source."""

    versions: state.VersionVector
    ready: bool
    reason: str
    watching: bool
    source_error: str
    confirmed_age_s: float | None
    """Seconds since the source confirmed the versions, None if never."""


@dataclass(slots=True, frozen=True)
class AdmissionStatus:
    """Slots in use, queue length and result counts of a node."""

    slots_in_use: int
    capacity: int
    queued: int
    by_result: Mapping[exceptions.ResultCode, int]
    quota_usable: bool
