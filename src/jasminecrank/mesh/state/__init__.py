"""State and decisions of a node, free of sockets, tasks and encodings."""

from jasminecrank.mesh.state._admission import (
    AdmissionPolicy as AdmissionPolicy,
)
from jasminecrank.mesh.state._admission import (
    AdmissionRequest as AdmissionRequest,
)
from jasminecrank.mesh.state._admission import Admit as Admit
from jasminecrank.mesh.state._admission import Enqueue as Enqueue
from jasminecrank.mesh.state._admission import (
    ObjectivePolicy as ObjectivePolicy,
)
from jasminecrank.mesh.state._admission import Reject as Reject
from jasminecrank.mesh.state._admission import ReleasedCalls as ReleasedCalls
from jasminecrank.mesh.state._admission import TeamPolicy as TeamPolicy
from jasminecrank.mesh.state._attempts import CallAttempts as CallAttempts
from jasminecrank.mesh.state._attempts import Deliver as Deliver
from jasminecrank.mesh.state._attempts import (
    MAX_SERVERS_TRIED as MAX_SERVERS_TRIED,
)
from jasminecrank.mesh.state._attempts import NextStep as NextStep
from jasminecrank.mesh.state._attempts import Progress as Progress
from jasminecrank.mesh.state._attempts import Refuse as Refuse
from jasminecrank.mesh.state._attempts import (
    TryAnotherServer as TryAnotherServer,
)
from jasminecrank.mesh.state._budgets import RetryBudget as RetryBudget
from jasminecrank.mesh.state._budgets import (
    RetryBudgetBounds as RetryBudgetBounds,
)
from jasminecrank.mesh.state._budgets import (
    UNANSWERED_RETRY_SHARE as UNANSWERED_RETRY_SHARE,
)
from jasminecrank.mesh.state._caller_deadlines import (
    CallerDeadlines as CallerDeadlines,
)
from jasminecrank.mesh.state._calls import AttemptResult as AttemptResult
from jasminecrank.mesh.state._calls import Body as Body
from jasminecrank.mesh.state._calls import (
    CALLER_STOPPED_REASON as CALLER_STOPPED_REASON,
)
from jasminecrank.mesh.state._calls import CallRequest as CallRequest
from jasminecrank.mesh.state._calls import Headers as Headers
from jasminecrank.mesh.state._calls import MayHaveRun as MayHaveRun
from jasminecrank.mesh.state._calls import NO_TABLE_RETRY_S as NO_TABLE_RETRY_S
from jasminecrank.mesh.state._calls import NotRun as NotRun
from jasminecrank.mesh.state._calls import Readmission as Readmission
from jasminecrank.mesh.state._calls import Refusal as Refusal
from jasminecrank.mesh.state._calls import RefusalKind as RefusalKind
from jasminecrank.mesh.state._calls import Reply as Reply
from jasminecrank.mesh.state._calls import Response as Response
from jasminecrank.mesh.state._calls import RouteKind as RouteKind
from jasminecrank.mesh.state._calls import Served as Served
from jasminecrank.mesh.state._connection_debts import (
    ConnectionDebts as ConnectionDebts,
)
from jasminecrank.mesh.state._connection_debts import (
    connections_to_drop as connections_to_drop,
)
from jasminecrank.mesh.state._connection_debts import (
    ConnectionStep as ConnectionStep,
)
from jasminecrank.mesh.state._connection_debts import (
    FIRST_REQUEST_S as FIRST_REQUEST_S,
)
from jasminecrank.mesh.state._connection_debts import StopPhase as StopPhase
from jasminecrank.mesh.state._descriptors import (
    connections_to_yield as connections_to_yield,
)
from jasminecrank.mesh.state._descriptors import DescriptorUse as DescriptorUse
from jasminecrank.mesh.state._descriptors import Idleness as Idleness
from jasminecrank.mesh.state._directory import AppliedItems as AppliedItems
from jasminecrank.mesh.state._directory import Decoder as Decoder
from jasminecrank.mesh.state._directory import Directory as Directory
from jasminecrank.mesh.state._entries import BackendServer as BackendServer
from jasminecrank.mesh.state._entries import (
    DataCentreOutEntry as DataCentreOutEntry,
)
from jasminecrank.mesh.state._entries import InvalidEntry as InvalidEntry
from jasminecrank.mesh.state._entries import PublishedEntry as PublishedEntry
from jasminecrank.mesh.state._entries import ServerEntry as ServerEntry
from jasminecrank.mesh.state._entries import ServerState as ServerState
from jasminecrank.mesh.state._entries import SourceItem as SourceItem
from jasminecrank.mesh.state._entries import TableEntry as TableEntry
from jasminecrank.mesh.state._fleet_snapshot import (
    FleetSnapshot as FleetSnapshot,
)
from jasminecrank.mesh.state._gate import (
    AdmissionController as AdmissionController,
)
from jasminecrank.mesh.state._gate import BUSY_REASON as BUSY_REASON
from jasminecrank.mesh.state._gate import DEADLINE_REASON as DEADLINE_REASON
from jasminecrank.mesh.state._gate import NO_ROOM_REASONS as NO_ROOM_REASONS
from jasminecrank.mesh.state._gate import ServerHealth as ServerHealth
from jasminecrank.mesh.state._gate import ServerLoad as ServerLoad
from jasminecrank.mesh.state._gate import STOPPING_REASON as STOPPING_REASON
from jasminecrank.mesh.state._host_census import (
    ABSENT_GRANTS_S as ABSENT_GRANTS_S,
)
from jasminecrank.mesh.state._host_census import HostCensus as HostCensus
from jasminecrank.mesh.state._links import ARBITER_COUNT as ARBITER_COUNT
from jasminecrank.mesh.state._links import arbiter_hosts as arbiter_hosts
from jasminecrank.mesh.state._links import link_targets as link_targets
from jasminecrank.mesh.state._links import outranks as outranks
from jasminecrank.mesh.state._links import watcher_hosts as watcher_hosts
from jasminecrank.mesh.state._memory_budget import BodyUse as BodyUse
from jasminecrank.mesh.state._memory_budget import (
    ClaimDecision as ClaimDecision,
)
from jasminecrank.mesh.state._memory_budget import Denied as Denied
from jasminecrank.mesh.state._memory_budget import Granted as Granted
from jasminecrank.mesh.state._memory_budget import (
    MEMORY_REASON as MEMORY_REASON,
)
from jasminecrank.mesh.state._memory_budget import (
    MEMORY_RETRY_S as MEMORY_RETRY_S,
)
from jasminecrank.mesh.state._memory_budget import MemoryBudget as MemoryBudget
from jasminecrank.mesh.state._memory_budget import (
    SMALL_BODY_BYTES as SMALL_BODY_BYTES,
)
from jasminecrank.mesh.state._memory_budget import Waiting as Waiting
from jasminecrank.mesh.state._patches import Patch as Patch
from jasminecrank.mesh.state._placement import Exclusion as Exclusion
from jasminecrank.mesh.state._placement import Placement as Placement
from jasminecrank.mesh.state._placement import (
    PlacementDecision as PlacementDecision,
)
from jasminecrank.mesh.state._placement import (
    WeightedRoundRobin as WeightedRoundRobin,
)
from jasminecrank.mesh.state._positions import NO_POSITION as NO_POSITION
from jasminecrank.mesh.state._positions import Position as Position
from jasminecrank.mesh.state._positions import UNKNOWN_ERA as UNKNOWN_ERA
from jasminecrank.mesh.state._quota import choose_arbiter as choose_arbiter
from jasminecrank.mesh.state._quota import Grant as Grant
from jasminecrank.mesh.state._quota import (
    PRESENCE_INTERVAL_S as PRESENCE_INTERVAL_S,
)
from jasminecrank.mesh.state._quota import QuotaArbiter as QuotaArbiter
from jasminecrank.mesh.state._quota import QuotaBounds as QuotaBounds
from jasminecrank.mesh.state._read_pacing import COST_REASON as COST_REASON
from jasminecrank.mesh.state._read_pacing import COST_RETRY_S as COST_RETRY_S
from jasminecrank.mesh.state._read_pacing import READ_EVENTS as READ_EVENTS
from jasminecrank.mesh.state._read_pacing import ReadPace as ReadPace
from jasminecrank.mesh.state._read_pacing import ReadScheduler as ReadScheduler
from jasminecrank.mesh.state._readers import SourceReaders as SourceReaders
from jasminecrank.mesh.state._received_heads import (
    ReceivedHeads as ReceivedHeads,
)
from jasminecrank.mesh.state._requests_ahead import AheadBudget as AheadBudget
from jasminecrank.mesh.state._requests_ahead import AheadWindow as AheadWindow
from jasminecrank.mesh.state._requests_ahead import (
    may_run_ahead as may_run_ahead,
)
from jasminecrank.mesh.state._run_times import RunTimes as RunTimes
from jasminecrank.mesh.state._server_survey import ServerCounts as ServerCounts
from jasminecrank.mesh.state._server_survey import ServerSurvey as ServerSurvey
from jasminecrank.mesh.state._start_check import StartCheck as StartCheck
from jasminecrank.mesh.state._stopping import (
    ANSWER_TRANSIT_S as ANSWER_TRANSIT_S,
)
from jasminecrank.mesh.state._stopping import (
    late_answers_until_s as late_answers_until_s,
)
from jasminecrank.mesh.state._stopping import Lateness as Lateness
from jasminecrank.mesh.state._stopping import StopWindow as StopWindow
from jasminecrank.mesh.state._table import CallerLimits as CallerLimits
from jasminecrank.mesh.state._table import Route as Route
from jasminecrank.mesh.state._table import Service as Service
from jasminecrank.mesh.state._table import Table as Table
from jasminecrank.mesh.state._table import Team as Team
from jasminecrank.mesh.state._table import WeightedService as WeightedService
from jasminecrank.mesh.state._uploads import UploadLimiter as UploadLimiter
from jasminecrank.mesh.state._watch_duty import (
    keeps_watching as keeps_watching,
)
from jasminecrank.mesh.state._watch_duty import SourceContact as SourceContact
from jasminecrank.mesh.state._watch_duty import takes_over as takes_over
from jasminecrank.mesh.state._work_model import CallClass as CallClass
from jasminecrank.mesh.state._work_model import CallOutlook as CallOutlook
from jasminecrank.mesh.state._work_model import WorkModel as WorkModel
