"""Actors of a node and the messages between nodes and actors."""

from jasminecrank.coordination._actors import ask as ask
from jasminecrank.coordination._actors import NodeActor as NodeActor
from jasminecrank.coordination._admission import (
    AdmissionActor as AdmissionActor,
)
from jasminecrank.coordination._admission import (
    AdmissionSettings as AdmissionSettings,
)
from jasminecrank.coordination._config import ConfigActor as ConfigActor
from jasminecrank.coordination._config import ConfigSettings as ConfigSettings
from jasminecrank.coordination._membership import Dial as Dial
from jasminecrank.coordination._membership import EventSink as EventSink
from jasminecrank.coordination._membership import (
    MembershipActor as MembershipActor,
)
from jasminecrank.coordination._membership import (
    MembershipSettings as MembershipSettings,
)
from jasminecrank.coordination._messages import (
    AdmissionStatus as AdmissionStatus,
)
from jasminecrank.coordination._messages import AdmitCall as AdmitCall
from jasminecrank.coordination._messages import AwaitDrained as AwaitDrained
from jasminecrank.coordination._messages import CallFinished as CallFinished
from jasminecrank.coordination._messages import CancelCall as CancelCall
from jasminecrank.coordination._messages import ConfigStatus as ConfigStatus
from jasminecrank.coordination._messages import DecisionReply as DecisionReply
from jasminecrank.coordination._messages import DialDue as DialDue
from jasminecrank.coordination._messages import DocumentDelta as DocumentDelta
from jasminecrank.coordination._messages import DocumentRead as DocumentRead
from jasminecrank.coordination._messages import (
    DocumentSnapshot as DocumentSnapshot,
)
from jasminecrank.coordination._messages import (
    DocumentUnreadable as DocumentUnreadable,
)
from jasminecrank.coordination._messages import Envelope as Envelope
from jasminecrank.coordination._messages import (
    EnvelopeReceived as EnvelopeReceived,
)
from jasminecrank.coordination._messages import FetchDocument as FetchDocument
from jasminecrank.coordination._messages import (
    ForwardFinished as ForwardFinished,
)
from jasminecrank.coordination._messages import GetEvents as GetEvents
from jasminecrank.coordination._messages import GetHello as GetHello
from jasminecrank.coordination._messages import GetStatus as GetStatus
from jasminecrank.coordination._messages import Goodbye as Goodbye
from jasminecrank.coordination._messages import Heartbeat as Heartbeat
from jasminecrank.coordination._messages import Hello as Hello
from jasminecrank.coordination._messages import LinkDown as LinkDown
from jasminecrank.coordination._messages import LinkUp as LinkUp
from jasminecrank.coordination._messages import (
    LoanGrantMessage as LoanGrantMessage,
)
from jasminecrank.coordination._messages import (
    LoanRequestMessage as LoanRequestMessage,
)
from jasminecrank.coordination._messages import Mailbox as Mailbox
from jasminecrank.coordination._messages import PeerDown as PeerDown
from jasminecrank.coordination._messages import PeerMessage as PeerMessage
from jasminecrank.coordination._messages import (
    PeerMessageReceived as PeerMessageReceived,
)
from jasminecrank.coordination._messages import PeerStatus as PeerStatus
from jasminecrank.coordination._messages import PeerUp as PeerUp
from jasminecrank.coordination._messages import QuotaTick as QuotaTick
from jasminecrank.coordination._messages import (
    ReadinessChanged as ReadinessChanged,
)
from jasminecrank.coordination._messages import ReadSource as ReadSource
from jasminecrank.coordination._messages import RecordEvent as RecordEvent
from jasminecrank.coordination._messages import SendToPeer as SendToPeer
from jasminecrank.coordination._messages import ServerHealth as ServerHealth
from jasminecrank.coordination._messages import (
    ShareReportMessage as ShareReportMessage,
)
from jasminecrank.coordination._messages import (
    SnapshotChanged as SnapshotChanged,
)
from jasminecrank.coordination._messages import SourceFailed as SourceFailed
from jasminecrank.coordination._messages import StopRequested as StopRequested
from jasminecrank.coordination._messages import TakeRetry as TakeRetry
from jasminecrank.coordination._messages import Tick as Tick
from jasminecrank.coordination._messages import VersionsReply as VersionsReply
from jasminecrank.coordination._messages import (
    VersionsRequest as VersionsRequest,
)
from jasminecrank.coordination._messages import (
    WatchCompleted as WatchCompleted,
)
from jasminecrank.coordination._messages import WatchSource as WatchSource
from jasminecrank.coordination._retries import RetryActor as RetryActor
from jasminecrank.coordination._timers import tell_if_alive as tell_if_alive
from jasminecrank.coordination._timers import Timers as Timers
