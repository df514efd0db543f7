"""Asynchronous tasks of a node, and the messages they exchange."""

from jasminecrank.mesh.coordination._entry import EntryTask as EntryTask
from jasminecrank.mesh.coordination._entry import LocalGate as LocalGate
from jasminecrank.mesh.coordination._entry import LocalQuota as LocalQuota
from jasminecrank.mesh.coordination._exchange import (
    EntryExchange as EntryExchange,
)
from jasminecrank.mesh.coordination._fleet import FLEET_TICK_S as FLEET_TICK_S
from jasminecrank.mesh.coordination._fleet import FleetPorts as FleetPorts
from jasminecrank.mesh.coordination._fleet import FleetTask as FleetTask
from jasminecrank.mesh.coordination._gate import (
    BackendServerPort as BackendServerPort,
)
from jasminecrank.mesh.coordination._gate import GateTask as GateTask
from jasminecrank.mesh.coordination._gate import (
    LISTING_GRACE_S as LISTING_GRACE_S,
)
from jasminecrank.mesh.coordination._gate import SERVER_GONE as SERVER_GONE
from jasminecrank.mesh.coordination._load_reports import (
    LoadReporter as LoadReporter,
)
from jasminecrank.mesh.coordination._load_reports import (
    ReportBasis as ReportBasis,
)
from jasminecrank.mesh.coordination._mailbox import Clock as Clock
from jasminecrank.mesh.coordination._mailbox import Log as Log
from jasminecrank.mesh.coordination._mailbox import Mailbox as Mailbox
from jasminecrank.mesh.coordination._mailbox import MailboxTask as MailboxTask
from jasminecrank.mesh.coordination._messages import (
    ArbiterGranted as ArbiterGranted,
)
from jasminecrank.mesh.coordination._messages import (
    AttemptEnded as AttemptEnded,
)
from jasminecrank.mesh.coordination._messages import (
    BoundsChanged as BoundsChanged,
)
from jasminecrank.mesh.coordination._messages import CallArrived as CallArrived
from jasminecrank.mesh.coordination._messages import (
    CallArriving as CallArriving,
)
from jasminecrank.mesh.coordination._messages import (
    CallDeadlineReached as CallDeadlineReached,
)
from jasminecrank.mesh.coordination._messages import (
    CallerDisconnected as CallerDisconnected,
)
from jasminecrank.mesh.coordination._messages import (
    CallerStopped as CallerStopped,
)
from jasminecrank.mesh.coordination._messages import CallUnsent as CallUnsent
from jasminecrank.mesh.coordination._messages import CancelCall as CancelCall
from jasminecrank.mesh.coordination._messages import ChangesRead as ChangesRead
from jasminecrank.mesh.coordination._messages import CloseGate as CloseGate
from jasminecrank.mesh.coordination._messages import (
    EntryMessage as EntryMessage,
)
from jasminecrank.mesh.coordination._messages import (
    FleetChanged as FleetChanged,
)
from jasminecrank.mesh.coordination._messages import (
    FleetMessage as FleetMessage,
)
from jasminecrank.mesh.coordination._messages import FleetTick as FleetTick
from jasminecrank.mesh.coordination._messages import GateClosed as GateClosed
from jasminecrank.mesh.coordination._messages import GateMessage as GateMessage
from jasminecrank.mesh.coordination._messages import GateTick as GateTick
from jasminecrank.mesh.coordination._messages import Health as Health
from jasminecrank.mesh.coordination._messages import (
    HealthChecked as HealthChecked,
)
from jasminecrank.mesh.coordination._messages import (
    HostsCounted as HostsCounted,
)
from jasminecrank.mesh.coordination._messages import LinkClosed as LinkClosed
from jasminecrank.mesh.coordination._messages import LinkEnded as LinkEnded
from jasminecrank.mesh.coordination._messages import LinkOpened as LinkOpened
from jasminecrank.mesh.coordination._messages import ListingRead as ListingRead
from jasminecrank.mesh.coordination._messages import LoadUpdated as LoadUpdated
from jasminecrank.mesh.coordination._messages import PeerDown as PeerDown
from jasminecrank.mesh.coordination._messages import (
    PeerMessageReceived as PeerMessageReceived,
)
from jasminecrank.mesh.coordination._messages import (
    PeersGivenUp as PeersGivenUp,
)
from jasminecrank.mesh.coordination._messages import PeerSilent as PeerSilent
from jasminecrank.mesh.coordination._messages import PeerUp as PeerUp
from jasminecrank.mesh.coordination._messages import (
    QuotaDecided as QuotaDecided,
)
from jasminecrank.mesh.coordination._messages import (
    QuotaMessage as QuotaMessage,
)
from jasminecrank.mesh.coordination._messages import (
    QuotaRequested as QuotaRequested,
)
from jasminecrank.mesh.coordination._messages import QuotaTick as QuotaTick
from jasminecrank.mesh.coordination._messages import QuotaUnused as QuotaUnused
from jasminecrank.mesh.coordination._messages import (
    RequesterDisconnected as RequesterDisconnected,
)
from jasminecrank.mesh.coordination._messages import (
    RequesterMessageReceived as RequesterMessageReceived,
)
from jasminecrank.mesh.coordination._messages import RunCall as RunCall
from jasminecrank.mesh.coordination._messages import RunEnded as RunEnded
from jasminecrank.mesh.coordination._messages import (
    SourceConfirmed as SourceConfirmed,
)
from jasminecrank.mesh.coordination._messages import SourceLost as SourceLost
from jasminecrank.mesh.coordination._messages import (
    SourceRecovered as SourceRecovered,
)
from jasminecrank.mesh.coordination._messages import (
    SourceReplied as SourceReplied,
)
from jasminecrank.mesh.coordination._messages import (
    StopRequested as StopRequested,
)
from jasminecrank.mesh.coordination._messages import (
    StopWindowClosed as StopWindowClosed,
)
from jasminecrank.mesh.coordination._open_calls import (
    attempt_ended as attempt_ended,
)
from jasminecrank.mesh.coordination._peer_messages import (
    BodyAbandoned as BodyAbandoned,
)
from jasminecrank.mesh.coordination._peer_messages import (
    BodyFollows as BodyFollows,
)
from jasminecrank.mesh.coordination._peer_messages import BodyPart as BodyPart
from jasminecrank.mesh.coordination._peer_messages import (
    CallCancelled as CallCancelled,
)
from jasminecrank.mesh.coordination._peer_messages import (
    CallMayHaveRun as CallMayHaveRun,
)
from jasminecrank.mesh.coordination._peer_messages import (
    CallNotRun as CallNotRun,
)
from jasminecrank.mesh.coordination._peer_messages import CallSent as CallSent
from jasminecrank.mesh.coordination._peer_messages import (
    CallServed as CallServed,
)
from jasminecrank.mesh.coordination._peer_messages import EraBegun as EraBegun
from jasminecrank.mesh.coordination._peer_messages import (
    FIRST_VERSION_WITH_ERAS as FIRST_VERSION_WITH_ERAS,
)
from jasminecrank.mesh.coordination._peer_messages import (
    FIRST_VERSION_WITH_LOAD_CHANGES as FIRST_VERSION_WITH_LOAD_CHANGES,
)
from jasminecrank.mesh.coordination._peer_messages import (
    FIRST_VERSION_WITH_REPEATS as FIRST_VERSION_WITH_REPEATS,
)
from jasminecrank.mesh.coordination._peer_messages import Hello as Hello
from jasminecrank.mesh.coordination._peer_messages import (
    HostsRemoved as HostsRemoved,
)
from jasminecrank.mesh.coordination._peer_messages import (
    ItemPatched as ItemPatched,
)
from jasminecrank.mesh.coordination._peer_messages import (
    ItemsAnnounced as ItemsAnnounced,
)
from jasminecrank.mesh.coordination._peer_messages import (
    ItemsRequested as ItemsRequested,
)
from jasminecrank.mesh.coordination._peer_messages import (
    ItemsSent as ItemsSent,
)
from jasminecrank.mesh.coordination._peer_messages import (
    LatenessReported as LatenessReported,
)
from jasminecrank.mesh.coordination._peer_messages import (
    LinkEnding as LinkEnding,
)
from jasminecrank.mesh.coordination._peer_messages import (
    ListingRequested as ListingRequested,
)
from jasminecrank.mesh.coordination._peer_messages import (
    LoadChanged as LoadChanged,
)
from jasminecrank.mesh.coordination._peer_messages import (
    LoadReported as LoadReported,
)
from jasminecrank.mesh.coordination._peer_messages import (
    PeerMessage as PeerMessage,
)
from jasminecrank.mesh.coordination._peer_messages import Presence as Presence
from jasminecrank.mesh.coordination._peer_messages import (
    PROTOCOL_VERSION as PROTOCOL_VERSION,
)
from jasminecrank.mesh.coordination._peer_messages import (
    SendToPeer as SendToPeer,
)
from jasminecrank.mesh.coordination._peer_messages import (
    TokensGranted as TokensGranted,
)
from jasminecrank.mesh.coordination._peer_messages import (
    TokensRequested as TokensRequested,
)
from jasminecrank.mesh.coordination._peer_messages import (
    UploadConfirmed as UploadConfirmed,
)
from jasminecrank.mesh.coordination._peer_messages import (
    UploadDeferred as UploadDeferred,
)
from jasminecrank.mesh.coordination._peers import PeerLink as PeerLink
from jasminecrank.mesh.coordination._quota import QuotaTask as QuotaTask
from jasminecrank.mesh.coordination._source import Changes as Changes
from jasminecrank.mesh.coordination._source import (
    ChangesTooLarge as ChangesTooLarge,
)
from jasminecrank.mesh.coordination._source import HistoryGone as HistoryGone
from jasminecrank.mesh.coordination._source import InvalidEra as InvalidEra
from jasminecrank.mesh.coordination._source import NamedEra as NamedEra
from jasminecrank.mesh.coordination._source import Page as Page
from jasminecrank.mesh.coordination._source import SourceEra as SourceEra
from jasminecrank.mesh.coordination._source import SourcePort as SourcePort
from jasminecrank.mesh.coordination._source import SourceTask as SourceTask
from jasminecrank.mesh.coordination._source import Unavailable as Unavailable
from jasminecrank.mesh.coordination._source import UnnamedEra as UnnamedEra
