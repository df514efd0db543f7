"""Execution of a call: admission, attempts, retries and the answer."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
import itertools
import queue
import typing

import pykka

from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _caller_watch
from jasminecrank.transport import _forwarder

_CALLER_WATCH_DELAY_S = 0.02
_SERVER_MAX_IDLE_S = 4.0
_NODE_MAX_IDLE_S = 20.0  # below the keep-alive timeout of the call server


@dataclass(slots=True, frozen=True)
class CallRecord:
    """Result of a call, for the caller and for the log."""

    answer: state.Answer
    version: state.Version
    result: str
    route: state.RouteRow | None = None
    team: str = ""
    service: str = ""
    code: exceptions.ResultCode | None = None
    run_state: exceptions.RunState | None = None
    to_host: str = ""
    attempts: int = 0


class DecisionFuture:
    """Future of the admission decision that a worker thread waits for."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[state.Decision] = queue.SimpleQueue()

    def set(self, value: state.Decision | None = None) -> None:
        """Pass the decision to the waiting thread; ignore None."""
        if value is not None:
            self._queue.put(value)

    def wait(self) -> state.Decision:
        """Block until the decision arrives."""
        return self._queue.get()

    def wait_briefly(self) -> state.Decision | None:
        """Return the decision, or None while the call is still queued."""
        try:
            return self._queue.get(timeout=_CALLER_WATCH_DELAY_S)
        except queue.Empty:
            return None


@dataclass(slots=True)
class CallRunner:
    """Runs calls on the local backend server or forwards them to nodes."""

    host: str
    backend_server: _forwarder.Target
    admission: pykka.ActorRef[coordination.AdmissionActor]
    retries: pykka.ActorRef[coordination.RetryActor]
    clock: state.Clock
    server_client: _forwarder.HttpClient
    node_client: _forwarder.HttpClient
    call_counter: Iterator[int]

    @classmethod
    def from_actors(
        cls,
        host: str,
        backend_server: _forwarder.Target,
        admission: pykka.ActorRef[coordination.AdmissionActor],
        retries: pykka.ActorRef[coordination.RetryActor],
        clock: state.Clock,
    ) -> typing.Self:
        """Return a runner with empty connection pools."""
        return cls(
            host=host,
            backend_server=backend_server,
            admission=admission,
            retries=retries,
            clock=clock,
            server_client=_forwarder.HttpClient(_SERVER_MAX_IDLE_S),
            node_client=_forwarder.HttpClient(_NODE_MAX_IDLE_S),
            call_counter=itertools.count(1),
        )

    def run(
        self, call: protocol.HttpCall, caller: _caller_watch.Caller
    ) -> CallRecord:
        """Run a call, retrying within its limits, and return its result."""
        request = call.request
        attempts = state.Attempts(
            request.request_id, may_retry=request.forwarded_by is None
        )
        calls_seen = next(self.call_counter)
        last_record: CallRecord | None = None
        while True:
            decision = self._decide(request, caller)
            match decision:
                case state.Admitted():
                    next_step = self._run_locally(
                        call, decision.permit, attempts
                    )
                    last_record = _admitted_record(decision.permit, attempts)
                case state.ForwardTo():
                    next_step = self._forward(call, decision, attempts)
                    last_record = _forwarded_record(decision, attempts)
                case state.Replay() | state.Refused():
                    return _record_without_attempt(
                        decision, request, attempts, last_record
                    )
                case _:
                    typing.assert_never(decision)
            match next_step:
                case state.TryElsewhere():
                    if self._take_retry(calls_seen):
                        request = replace(
                            request, tried_hosts=tuple(attempts.hosts)
                        )
                        continue
                    next_step = attempts.conclude(
                        exceptions.ResultCode.RETRY_BUDGET_EXHAUSTED
                    )
                case state.Deliver() | state.Refuse():
                    pass
                case _:
                    typing.assert_never(next_step)
            return _final_record(next_step, request, last_record)

    def _decide(
        self, request: state.CallRequest, caller: _caller_watch.Caller
    ) -> state.Decision:
        future = DecisionFuture()
        self.admission.tell(coordination.AdmitCall(request, future))
        decision = future.wait_briefly()
        if decision is not None:
            return decision
        cancel = coordination.CancelCall(request.request_id)
        with caller.watching(lambda: self.admission.tell(cancel)):
            return future.wait()

    def _take_retry(self, calls_seen: int) -> bool:
        granted: bool = coordination.ask(
            self.retries, coordination.TakeRetry(calls_seen)
        )
        return granted

    def _run_locally(
        self,
        call: protocol.HttpCall,
        permit: state.Permit,
        attempts: state.Attempts,
    ) -> state.NextStep:
        started_s = self.clock.monotonic_s()
        outcome = state.Outcome(state.OutcomeKind.BROKEN, 0.0)
        try:
            attempts.begin(self.host, permit.route.kind)
            outgoing = _forwarder.OutgoingCall(
                call,
                protocol.backend_server_headers(call, permit, started_s),
                permit.deadline_at_s,
            )
            attempt_result = self.server_client.send(
                self.backend_server, outgoing, protocol.decode_server_response
            )
            outcome = self._outcome(attempt_result, started_s)
            return attempts.end(permit.route.kind, attempt_result)
        finally:
            self.admission.tell(coordination.CallFinished(permit, outcome))

    def _forward(
        self,
        call: protocol.HttpCall,
        decision: state.ForwardTo,
        attempts: state.Attempts,
    ) -> state.NextStep:
        started_s = self.clock.monotonic_s()
        outcome = state.Outcome(state.OutcomeKind.BROKEN, 0.0)
        try:
            attempts.begin(decision.host.host, decision.route.kind)
            outgoing = _forwarder.OutgoingCall(
                call,
                protocol.node_headers(
                    call, self.host, decision.deadline_at_s, started_s
                ),
                decision.deadline_at_s,
            )
            target = _forwarder.Target(
                decision.host.address, decision.host.call_port
            )
            attempt_result = self.node_client.send(
                target, outgoing, protocol.decode_node_response
            )
            outcome = self._outcome(attempt_result, started_s)
            return attempts.end(decision.route.kind, attempt_result)
        finally:
            self.admission.tell(
                coordination.ForwardFinished(decision, outcome)
            )

    def _outcome(
        self, attempt_result: state.AttemptResult, started_s: float
    ) -> state.Outcome:
        proven_state = state.run_state(attempt_result)
        return state.Outcome(
            state.outcome_kind(attempt_result),
            self.clock.monotonic_s() - started_s,
            _answer_of(attempt_result),
            proven_state is exceptions.RunState.NOT_RUN,
        )


def _answer_of(attempt_result: state.AttemptResult) -> state.Answer | None:
    match attempt_result:
        case state.Answered() | state.Shed() | state.NodeRefused():
            return attempt_result.answer
        case _:
            return None


def _admitted_record(
    permit: state.Permit, attempts: state.Attempts
) -> CallRecord:
    return CallRecord(
        answer=state.Answer(0, (), b""),
        version=permit.version,
        result="answered",
        route=permit.route,
        team=permit.team,
        service=permit.route.service,
        attempts=len(attempts.hosts),
    )


def _forwarded_record(
    decision: state.ForwardTo, attempts: state.Attempts
) -> CallRecord:
    return CallRecord(
        answer=state.Answer(0, (), b""),
        version=decision.version,
        result="forwarded",
        route=decision.route,
        team=decision.team,
        service=decision.route.service,
        to_host=decision.host.host,
        attempts=len(attempts.hosts),
    )


def _final_record(
    next_step: state.Deliver | state.Refuse,
    request: state.CallRequest,
    last_record: CallRecord,
) -> CallRecord:
    match next_step:
        case state.Deliver():
            return replace(last_record, answer=next_step.answer)
        case state.Refuse():
            refused = state.Refused(
                next_step.code,
                next_step.run_state,
                last_record.version,
                last_record.team,
                last_record.service,
            )
            return replace(
                refusal_record(refused, request.request_id),
                route=last_record.route,
                attempts=last_record.attempts,
            )
        case _:
            typing.assert_never(next_step)


def _record_without_attempt(
    decision: state.Replay | state.Refused,
    request: state.CallRequest,
    attempts: state.Attempts,
    last_record: CallRecord | None,
) -> CallRecord:
    match decision:
        case state.Replay():
            return CallRecord(decision.answer, decision.version, "replayed")
        case state.Refused():
            if last_record is None:
                return refusal_record(decision, request.request_id)
            if decision.code is exceptions.ResultCode.NO_HOST_AVAILABLE:
                return _final_record(attempts.conclude(), request, last_record)
            next_step = attempts.refuse(decision.code, decision.run_state)
            return _final_record(next_step, request, last_record)
        case _:
            typing.assert_never(decision)


def refusal_record(refused: state.Refused, request_id: str) -> CallRecord:
    """Return the record of a refused call, with its encoded answer."""
    return CallRecord(
        answer=protocol.encode_refusal(refused, request_id),
        version=refused.version,
        result="refused",
        team=refused.team,
        service=refused.service,
        code=refused.code,
        run_state=refused.run_state,
    )
