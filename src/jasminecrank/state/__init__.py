"""Configuration, quota and routing state, without sockets and threads."""

from jasminecrank.state._admission import AdmissionState as AdmissionState
from jasminecrank.state._calls import Admitted as Admitted
from jasminecrank.state._calls import Answer as Answer
from jasminecrank.state._calls import CallRequest as CallRequest
from jasminecrank.state._calls import Decision as Decision
from jasminecrank.state._calls import DeferredDecision as DeferredDecision
from jasminecrank.state._calls import ForwardTo as ForwardTo
from jasminecrank.state._calls import HealthReport as HealthReport
from jasminecrank.state._calls import Outcome as Outcome
from jasminecrank.state._calls import OutcomeKind as OutcomeKind
from jasminecrank.state._calls import Permit as Permit
from jasminecrank.state._calls import Queued as Queued
from jasminecrank.state._calls import Refused as Refused
from jasminecrank.state._calls import Replay as Replay
from jasminecrank.state._clock import Clock as Clock
from jasminecrank.state._clock import ManualClock as ManualClock
from jasminecrank.state._clock import SystemClock as SystemClock
from jasminecrank.state._config import Accepted as Accepted
from jasminecrank.state._config import ConfigState as ConfigState
from jasminecrank.state._config import Conflict as Conflict
from jasminecrank.state._config import empty_document as empty_document
from jasminecrank.state._config import Invalid as Invalid
from jasminecrank.state._config import OfferResult as OfferResult
from jasminecrank.state._config import Stale as Stale
from jasminecrank.state._dialling import DialSchedule as DialSchedule
from jasminecrank.state._dialling import DialTarget as DialTarget
from jasminecrank.state._documents import apply_delta as apply_delta
from jasminecrank.state._documents import build_document as build_document
from jasminecrank.state._documents import Delta as Delta
from jasminecrank.state._documents import digest_rows as digest_rows
from jasminecrank.state._documents import Document as Document
from jasminecrank.state._documents import make_delta as make_delta
from jasminecrank.state._exchange import (
    conflicting_documents as conflicting_documents,
)
from jasminecrank.state._exchange import ExchangeState as ExchangeState
from jasminecrank.state._exchange import ReceiveResult as ReceiveResult
from jasminecrank.state._exchange import Send as Send
from jasminecrank.state._exchange import SEND_ORDER as SEND_ORDER
from jasminecrank.state._exchange import SendDelta as SendDelta
from jasminecrank.state._exchange import SendDocument as SendDocument
from jasminecrank.state._exchange import SendFetch as SendFetch
from jasminecrank.state._exchange import SendVersions as SendVersions
from jasminecrank.state._invariants import check as check
from jasminecrank.state._invariants import (
    violations_by_code as violations_by_code,
)
from jasminecrank.state._journal import Event as Event
from jasminecrank.state._journal import Journal as Journal
from jasminecrank.state._journal import Stamp as Stamp
from jasminecrank.state._loan_book import QuotaPolicy as QuotaPolicy
from jasminecrank.state._quota import QuotaState as QuotaState
from jasminecrank.state._quota_messages import LoanGrant as LoanGrant
from jasminecrank.state._quota_messages import LoanRequest as LoanRequest
from jasminecrank.state._quota_messages import (
    OutgoingMessage as OutgoingMessage,
)
from jasminecrank.state._quota_messages import QuotaMessage as QuotaMessage
from jasminecrank.state._quota_messages import ShareGrant as ShareGrant
from jasminecrank.state._quota_messages import ShareRequest as ShareRequest
from jasminecrank.state._readiness import Readiness as Readiness
from jasminecrank.state._readiness import ReadinessState as ReadinessState
from jasminecrank.state._retry import Answered as Answered
from jasminecrank.state._retry import AnswerLost as AnswerLost
from jasminecrank.state._retry import AttemptResult as AttemptResult
from jasminecrank.state._retry import Attempts as Attempts
from jasminecrank.state._retry import (
    ClosedBeforeRequest as ClosedBeforeRequest,
)
from jasminecrank.state._retry import Deliver as Deliver
from jasminecrank.state._retry import NextStep as NextStep
from jasminecrank.state._retry import NodeRefused as NodeRefused
from jasminecrank.state._retry import NothingSent as NothingSent
from jasminecrank.state._retry import outcome_kind as outcome_kind
from jasminecrank.state._retry import Refuse as Refuse
from jasminecrank.state._retry import RetryBudget as RetryBudget
from jasminecrank.state._retry import run_state as run_state
from jasminecrank.state._retry import Shed as Shed
from jasminecrank.state._retry import TryElsewhere as TryElsewhere
from jasminecrank.state._row_codec import decode_row as decode_row
from jasminecrank.state._row_codec import encode_row as encode_row
from jasminecrank.state._row_codec import parse_cell as parse_cell
from jasminecrank.state._row_codec import row_key as row_key
from jasminecrank.state._rows import HostRow as HostRow
from jasminecrank.state._rows import HostState as HostState
from jasminecrank.state._rows import KeyRow as KeyRow
from jasminecrank.state._rows import LimitRow as LimitRow
from jasminecrank.state._rows import OutageRow as OutageRow
from jasminecrank.state._rows import OutageState as OutageState
from jasminecrank.state._rows import Priority as Priority
from jasminecrank.state._rows import RouteKind as RouteKind
from jasminecrank.state._rows import RouteRow as RouteRow
from jasminecrank.state._rows import Row as Row
from jasminecrank.state._rows import ROW_TYPE_BY_PREFIX as ROW_TYPE_BY_PREFIX
from jasminecrank.state._rows import ServiceRow as ServiceRow
from jasminecrank.state._shares import ShareAllocation as ShareAllocation
from jasminecrank.state._shares import ShareReport as ShareReport
from jasminecrank.state._snapshot import Snapshot as Snapshot
from jasminecrank.state._source import SourceSchedule as SourceSchedule
from jasminecrank.state._source import WatcherRole as WatcherRole
from jasminecrank.state._topology import plan_links as plan_links
from jasminecrank.state._topology import rendezvous_rank as rendezvous_rank
from jasminecrank.state._topology import Topology as Topology
from jasminecrank.state._topology import watchers as watchers
from jasminecrank.state._versions import DocumentName as DocumentName
from jasminecrank.state._versions import NO_VERSION as NO_VERSION
from jasminecrank.state._versions import Version as Version
from jasminecrank.state._versions import VersionVector as VersionVector
