"""Calls, admission decisions and call outcomes."""

from dataclasses import dataclass
import enum

from jasminecrank import exceptions
from jasminecrank.state import _rows
from jasminecrank.state import _versions


@dataclass(slots=True, frozen=True)
class CallRequest:
    """The parts of a request that its admission depends on."""

    request_id: str
    method: str
    path: str
    key_digest: str | None
    deadline_at_s: float | None
    idempotency_key: str | None
    forwarded_by: str | None
    tried_hosts: tuple[str, ...] = ()
    body_digest: str = ""


@dataclass(slots=True, frozen=True)
class Answer:
    """A complete answer of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class Permit:
    """Permission to run one call on this node's backend server."""

    request_id: str
    route: _rows.RouteRow
    team: str
    version: _versions.Version
    deadline_at_s: float
    idempotency_key: str | None = None
    permit_id: int = 0
    admitted_at_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Admitted:
    """The call may run on this node's backend server now."""

    permit: Permit


@dataclass(slots=True, frozen=True)
class ForwardTo:
    """The call has to be forwarded to another node."""

    host: _rows.HostRow
    route: _rows.RouteRow
    team: str
    version: _versions.Version
    deadline_at_s: float
    request_id: str = ""


@dataclass(slots=True, frozen=True)
class Replay:
    """The call repeats a booking whose answer is stored."""

    answer: Answer
    version: _versions.Version


@dataclass(slots=True, frozen=True)
class Refused:
    """The call is refused; the run state says whether it may have run."""

    code: exceptions.ResultCode
    run_state: exceptions.RunState
    version: _versions.Version
    team: str = ""
    service: str = ""
    retry_after_s: float = 0.0


Decision = Admitted | ForwardTo | Replay | Refused


@dataclass(slots=True, frozen=True)
class Queued:
    """The call waits; its decision follows under the ticket."""

    ticket: int


@dataclass(slots=True, frozen=True)
class DeferredDecision:
    """The decision on a waiting call."""

    ticket: int
    decision: Decision


class OutcomeKind(enum.Enum):
    """How a call with a permit ended on the backend server."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not-sent"
    TIMED_OUT = "timed-out"
    BROKEN = "broken"
    CANCELLED = "cancelled"


@dataclass(slots=True, frozen=True)
class Outcome:
    """Outcome of a call, with the answer if there is one.

    A server may shed a call after it has started to run it, so `not_run` is
    set explicitly.
    """

    kind: OutcomeKind
    duration_s: float
    answer: Answer | None = None
    not_run: bool = False

    @property
    def did_not_run(self) -> bool:
        """Return whether the backend server is known not to have run it."""
        return self.not_run or self.kind is OutcomeKind.NOT_SENT


@dataclass(slots=True, frozen=True)
class HealthReport:
    """A report of a backend server's health and load endpoint."""

    reachable: bool
    started_at_ms: int
    draining: bool
    load: float
