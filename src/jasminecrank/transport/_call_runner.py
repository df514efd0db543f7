"""Runs one call: decisions, attempts and the answer that follows."""

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

_PROMPT_S = 0.02
_SERVER_IDLE_S = 4.0
_NODE_IDLE_S = 20.0  # below the keep-alive time of the nodes' call servers


@dataclass(slots=True, frozen=True)
class CallRecord:
    """How a call ended, for the caller and for the log."""

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


class DecisionSlot:
    """Where a worker thread waits for the decision on its call."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[state.Decision] = queue.SimpleQueue()

    def set(self, value: state.Decision | None = None) -> None:
        """Deliver the decision."""
        if value is not None:
            self._queue.put(value)

    def wait(self) -> state.Decision:
        """Return the decision when it comes."""
        return self._queue.get()

    def wait_promptly(self) -> state.Decision | None:
        """Return the decision, or None if the call waits in the queue."""
        try:
            return self._queue.get(timeout=_PROMPT_S)
        except queue.Empty:
            return None


@dataclass(slots=True)
class CallRunner:
    """Runs calls on the own backend server and on other nodes."""

    host: str
    server: _forwarder.Target
    admission: pykka.ActorRef[coordination.AdmissionActor]
    retries: pykka.ActorRef[coordination.RetryActor]
    clock: state.Clock
    server_client: _forwarder.ServerClient
    node_client: _forwarder.ServerClient
    call_numbers: Iterator[int]

    @classmethod
    def from_actors(
        cls,
        host: str,
        server: _forwarder.Target,
        admission: pykka.ActorRef[coordination.AdmissionActor],
        retries: pykka.ActorRef[coordination.RetryActor],
        clock: state.Clock,
    ) -> typing.Self:
        """Return a runner without open connections."""
        return cls(
            host=host,
            server=server,
            admission=admission,
            retries=retries,
            clock=clock,
            server_client=_forwarder.ServerClient(_SERVER_IDLE_S),
            node_client=_forwarder.ServerClient(_NODE_IDLE_S),
            call_numbers=itertools.count(1),
        )

    def run(
        self, call: protocol.HttpCall, caller: _caller_watch.Caller
    ) -> CallRecord:
        """Return how a call ends, after as many attempts as it may have."""
        request = call.request
        attempts = state.Attempts(
            request.request_id, may_retry=request.forwarded_by is None
        )
        calls_seen = next(self.call_numbers)
        last: CallRecord | None = None
        while True:
            decision = self._decide(request, caller)
            match decision:
                case state.Admitted():
                    step = self._run_here(call, decision.permit, attempts)
                    last = _admitted(decision.permit, attempts)
                case state.ForwardTo():
                    step = self._forward(call, decision, attempts)
                    last = _forwarded(decision, attempts)
                case state.Replay() | state.Refused():
                    return _without_attempt(decision, request, attempts, last)
                case _:
                    typing.assert_never(decision)
            match step:
                case state.TryElsewhere():
                    if self._take_retry(calls_seen):
                        request = replace(
                            request, tried_hosts=tuple(attempts.hosts)
                        )
                        continue
                    step = attempts.conclude(
                        exceptions.ResultCode.RETRY_BUDGET_EXHAUSTED
                    )
                case state.Deliver() | state.Refuse():
                    pass
                case _:
                    typing.assert_never(step)
            return _concluded(step, request, last)

    def _decide(
        self, request: state.CallRequest, caller: _caller_watch.Caller
    ) -> state.Decision:
        slot = DecisionSlot()
        self.admission.tell(coordination.AdmitCall(request, slot))
        decision = slot.wait_promptly()
        if decision is not None:
            return decision
        cancel = coordination.CancelCall(request.request_id)
        with caller.watching(lambda: self.admission.tell(cancel)):
            return slot.wait()

    def _take_retry(self, calls_seen: int) -> bool:
        taken: bool = coordination.ask(
            self.retries, coordination.TakeRetry(calls_seen)
        )
        return taken

    def _run_here(
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
                protocol.server_headers(call, permit, started_s),
                permit.deadline_at_s,
            )
            evidence = self.server_client.send(
                self.server, outgoing, protocol.server_evidence
            )
            outcome = self._outcome(evidence, started_s)
            return attempts.end(permit.route.kind, evidence)
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
            evidence = self.node_client.send(
                target, outgoing, protocol.node_evidence
            )
            outcome = self._outcome(evidence, started_s)
            return attempts.end(decision.route.kind, evidence)
        finally:
            self.admission.tell(
                coordination.ForwardFinished(decision, outcome)
            )

    def _outcome(
        self, evidence: state.AttemptResult, started_s: float
    ) -> state.Outcome:
        proved = state.run_state(evidence)
        return state.Outcome(
            state.outcome_kind(evidence),
            self.clock.monotonic_s() - started_s,
            _answer_of(evidence),
            proved is exceptions.RunState.NOT_RUN,
        )


def _answer_of(evidence: state.AttemptResult) -> state.Answer | None:
    match evidence:
        case state.Answered() | state.Shed() | state.NodeRefused():
            return evidence.answer
        case _:
            return None


def _admitted(permit: state.Permit, attempts: state.Attempts) -> CallRecord:
    return CallRecord(
        answer=state.Answer(0, (), b""),
        version=permit.version,
        result="answered",
        route=permit.route,
        team=permit.team,
        service=permit.route.service,
        attempts=len(attempts.hosts),
    )


def _forwarded(
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


def _concluded(
    step: state.Deliver | state.Refuse,
    request: state.CallRequest,
    last: CallRecord,
) -> CallRecord:
    match step:
        case state.Deliver():
            return replace(last, answer=step.answer)
        case state.Refuse():
            refused = state.Refused(
                step.code,
                step.run_state,
                last.version,
                last.team,
                last.service,
            )
            return replace(
                refusal_record(refused, request.request_id),
                route=last.route,
                attempts=last.attempts,
            )
        case _:
            typing.assert_never(step)


def _without_attempt(
    decision: state.Replay | state.Refused,
    request: state.CallRequest,
    attempts: state.Attempts,
    last: CallRecord | None,
) -> CallRecord:
    match decision:
        case state.Replay():
            return CallRecord(decision.answer, decision.version, "replayed")
        case state.Refused():
            if last is None:
                return refusal_record(decision, request.request_id)
            if decision.code is exceptions.ResultCode.NO_HOST_AVAILABLE:
                return _concluded(attempts.conclude(), request, last)
            step = attempts.refuse(decision.code, decision.run_state)
            return _concluded(step, request, last)
        case _:
            typing.assert_never(decision)


def refusal_record(refused: state.Refused, request_id: str) -> CallRecord:
    """Return the record of a refused call."""
    return CallRecord(
        answer=protocol.encode_refusal(refused, request_id),
        version=refused.version,
        result="refused",
        team=refused.team,
        service=refused.service,
        code=refused.code,
        run_state=refused.run_state,
    )
