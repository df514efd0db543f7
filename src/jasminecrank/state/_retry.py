"""Results of the attempts of a call, and whether another may follow."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import typing

from jasminecrank import exceptions
from jasminecrank.state import _calls
from jasminecrank.state import _invariants
from jasminecrank.state import _rows

_BUDGET_RATIO = 0.1
_BUDGET_BURST = 10.0

_HOST_SPECIFIC_CODES = frozenset(
    {
        exceptions.ResultCode.QUEUE_FULL,
        exceptions.ResultCode.NODE_NOT_READY,
        exceptions.ResultCode.DATA_CENTRE_OUT,
        exceptions.ResultCode.HOST_LEAVING,
        exceptions.ResultCode.NO_HOST_AVAILABLE,
        exceptions.ResultCode.BACKEND_UNREACHABLE,
        exceptions.ResultCode.ANSWER_CUT,
        exceptions.ResultCode.ANSWER_CROSSED,
        exceptions.ResultCode.ANSWER_TOO_LARGE,
    }
)
"""Refusals specific to one host; others would recur on any host."""


@dataclass(slots=True, frozen=True)
class NothingSent:
    """No byte of the request was written to a connection."""

    code: exceptions.ResultCode


@dataclass(slots=True, frozen=True)
class ClosedBeforeRequest:
    """The peer closed the connection and acknowledged no byte."""

    code: exceptions.ResultCode


@dataclass(slots=True, frozen=True)
class AnswerLost:
    """Part of the request was written; no complete answer was received."""

    code: exceptions.ResultCode


@dataclass(slots=True, frozen=True)
class Shed:
    """A backend server answered that it is overloaded."""

    answer: _calls.Answer
    says_not_run: bool


@dataclass(slots=True, frozen=True)
class NodeRefused:
    """Another node refused the call."""

    answer: _calls.Answer
    code: exceptions.ResultCode
    run_state: exceptions.RunState


@dataclass(slots=True, frozen=True)
class Answered:
    """The complete answer of a backend server was received."""

    answer: _calls.Answer


AttemptResult = (
    NothingSent
    | ClosedBeforeRequest
    | AnswerLost
    | Shed
    | NodeRefused
    | Answered
)


@dataclass(slots=True, frozen=True)
class TryElsewhere:
    """The call may be sent to another host."""


@dataclass(slots=True, frozen=True)
class Deliver:
    """The caller gets an answer unchanged."""

    answer: _calls.Answer


@dataclass(slots=True, frozen=True)
class Refuse:
    """The caller gets a refusal."""

    code: exceptions.ResultCode
    run_state: exceptions.RunState


NextStep = TryElsewhere | Deliver | Refuse


def run_state(result: AttemptResult) -> exceptions.RunState:
    """Return whether an attempt may have run the call."""
    match result:
        case NothingSent() | ClosedBeforeRequest():
            return exceptions.RunState.NOT_RUN
        case AnswerLost():
            return exceptions.RunState.MAY_HAVE_RUN
        case Shed():
            if result.says_not_run:
                return exceptions.RunState.NOT_RUN
            return exceptions.RunState.MAY_HAVE_RUN
        case NodeRefused():
            return result.run_state
        case Answered():
            return exceptions.RunState.RAN
        case _:
            typing.assert_never(result)


def outcome_kind(result: AttemptResult) -> _calls.OutcomeKind:
    """Return the outcome of an attempt for the host it was sent to."""
    match result:
        case Answered():
            return _calls.OutcomeKind.ANSWERED
        case Shed():
            return _calls.OutcomeKind.SHED
        case NodeRefused():
            if result.code in _HOST_SPECIFIC_CODES:
                return _calls.OutcomeKind.SHED
            return _calls.OutcomeKind.ANSWERED
        case NothingSent() | ClosedBeforeRequest():
            # A late or invalid request is no sign of a faulty server.
            if result.code is exceptions.ResultCode.BACKEND_UNREACHABLE:
                return _calls.OutcomeKind.NOT_SENT
            return _calls.OutcomeKind.CANCELLED
        case AnswerLost():
            if result.code is exceptions.ResultCode.BACKEND_TIMEOUT:
                return _calls.OutcomeKind.TIMED_OUT
            return _calls.OutcomeKind.BROKEN
        case _:
            typing.assert_never(result)


def _reached_no_server(result: AttemptResult) -> bool:
    # Independent of run_state, so that the invariants detect an error there.
    match result:
        case NothingSent() | ClosedBeforeRequest():
            return True
        case Shed(says_not_run=True):
            return True
        case NodeRefused(run_state=exceptions.RunState.NOT_RUN):
            return True
        case _:
            return False


@dataclass(slots=True)
class Attempts:
    """The attempts of one call; a forwarded call has only one."""

    request_id: str
    may_retry: bool
    hosts: list[str] = field(default_factory=list)
    results: list[AttemptResult] = field(default_factory=list)

    def begin(self, host: str, kind: _rows.RouteKind) -> None:
        """Record that the call is about to be sent to a host."""
        _invariants.check(
            exceptions.ResultCode.INVARIANT_AT_MOST_ONCE,
            kind is _rows.RouteKind.LOOKUP
            or all(_reached_no_server(result) for result in self.results),
            "booking %s retried on host %s after %s",
            self.request_id,
            host,
            self.results,
        )
        self.hosts.append(host)

    def end(self, kind: _rows.RouteKind, result: AttemptResult) -> NextStep:
        """Record the result of the last attempt; return the next step."""
        self.results.append(result)
        if self.may_retry and _may_retry(kind, result):
            return TryElsewhere()
        return self.conclude()

    def conclude(
        self, code: exceptions.ResultCode | None = None
    ) -> Deliver | Refuse:
        """Return the final step of a call that is not retried.

        `code` replaces the code of the last failure.
        """
        last_result = self.results[-1]
        match last_result:
            case Answered():
                return Deliver(last_result.answer)
            case Shed() | NodeRefused():
                # The run state in an answer covers only its own attempt.
                if run_state(last_result) is self.run_state():
                    return Deliver(last_result.answer)
                return self.refuse(code or self._lost_answer_code())
            case NothingSent() | ClosedBeforeRequest() | AnswerLost():
                return self.refuse(code or last_result.code)
            case _:
                typing.assert_never(last_result)

    def _lost_answer_code(self) -> exceptions.ResultCode:
        for result in self.results:
            match result:
                case AnswerLost():
                    return result.code
                case _:
                    continue
        return exceptions.ResultCode.ANSWER_CUT

    def refuse(
        self,
        code: exceptions.ResultCode,
        decision_state: exceptions.RunState = exceptions.RunState.NOT_RUN,
    ) -> Refuse:
        """Return a refusal whose run state covers every attempt.

        `decision_state` adds the run state of the decision that prevented
        a further attempt.
        """
        refusal = Refuse(
            code, _combine_run_states((self.run_state(), decision_state))
        )
        _invariants.check(
            exceptions.ResultCode.INVARIANT_NOT_RUN,
            refusal.run_state is not exceptions.RunState.NOT_RUN
            or all(_reached_no_server(result) for result in self.results),
            "call %s refused as not run after attempts %s",
            self.request_id,
            self.results,
        )
        return refusal

    def run_state(self) -> exceptions.RunState:
        """Return the combined run state of all attempts."""
        return _combine_run_states(
            run_state(result) for result in self.results
        )


def _combine_run_states(
    states: Iterable[exceptions.RunState],
) -> exceptions.RunState:
    seen = set(states)
    if exceptions.RunState.RAN in seen:
        return exceptions.RunState.RAN
    if exceptions.RunState.MAY_HAVE_RUN in seen:
        return exceptions.RunState.MAY_HAVE_RUN
    return exceptions.RunState.NOT_RUN


def _may_retry(kind: _rows.RouteKind, result: AttemptResult) -> bool:
    match result:
        case NothingSent() | ClosedBeforeRequest():
            return result.code is exceptions.ResultCode.BACKEND_UNREACHABLE
        case AnswerLost():
            return (
                kind is _rows.RouteKind.LOOKUP
                and result.code is not exceptions.ResultCode.BACKEND_TIMEOUT
            )
        case Shed():
            return kind is _rows.RouteKind.LOOKUP or result.says_not_run
        case NodeRefused():
            return result.code in _HOST_SPECIFIC_CODES and (
                kind is _rows.RouteKind.LOOKUP
                or result.run_state is exceptions.RunState.NOT_RUN
            )
        case Answered():
            return False
        case _:
            typing.assert_never(result)


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of all calls."""

    tokens: float = _BUDGET_BURST
    calls_seen: int = 0

    def try_retry(self, calls_seen: int) -> bool:
        """Count a retry and return True unless the budget is used up.

        `calls_seen` is the total number of calls on the node.
        """
        new = max(0, calls_seen - self.calls_seen)
        self.calls_seen += new
        self.tokens = min(_BUDGET_BURST, self.tokens + new * _BUDGET_RATIO)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
