"""Admission control: the decision on each call."""

from collections import Counter
import dataclasses
from dataclasses import dataclass
from dataclasses import field
import typing

from jasminecrank import exceptions
from jasminecrank.state import _backend_server
from jasminecrank.state import _bookings
from jasminecrank.state import _call_checks
from jasminecrank.state import _calls
from jasminecrank.state import _dispatch
from jasminecrank.state import _fair_queue
from jasminecrank.state import _placement
from jasminecrank.state import _quota
from jasminecrank.state import _ramp
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot

_WORKER_THREADS = 48
_RESERVED_THREADS = 4
"""Worker threads kept free of ordinary calls, for internal checks."""

_MIN_QUEUE_THREADS = 8
"""Worker threads that slots leave to waiting and forwarded calls."""


@dataclass(slots=True)
class AdmissionState:
    """Owns the state that the admission decisions of one node depend on.

    A call gets exactly one decision: from `admit`, or later from
    `take_deferred` under the ticket that `admit` returned.
    """

    host: str
    started_at_s: float
    started_wall_ms: int
    snapshot: _snapshot.Snapshot
    placement: _placement.PlacementState
    dispatcher: _dispatch.Dispatcher
    by_result: Counter[exceptions.ResultCode] = field(default_factory=Counter)

    @classmethod
    def from_host(
        cls,
        host: str,
        now_s: float,
        wall_ms: int = 0,
        threads: int = _WORKER_THREADS,
    ) -> "AdmissionState":
        """Return the state of a newly started node."""
        empty = _snapshot.Snapshot.empty()
        placement = _placement.PlacementState.from_host(host, wall_ms)
        usable = max(2, threads - _RESERVED_THREADS)
        ramp = _ramp.Ramp.from_start(
            max(usable // 2, usable - _MIN_QUEUE_THREADS), now_s
        )
        return cls(
            host=host,
            started_at_s=now_s,
            started_wall_ms=wall_ms,
            snapshot=empty,
            placement=placement,
            dispatcher=_dispatch.Dispatcher(
                empty,
                _quota.QuotaState.from_host(host, now_s),
                placement,
                _backend_server.BackendServer(ramp),
                threads=usable,
            ),
        )

    @property
    def quota(self) -> _quota.QuotaState:
        """Return the quota state that grants the tokens."""
        return self.dispatcher.quota

    def admit(
        self, call: _calls.CallRequest, now_s: float
    ) -> _calls.Decision | _calls.Queued:
        """Decide on a call, or let it wait and return its ticket."""
        result = self._decide(call, now_s)
        if not isinstance(result, _calls.Queued):
            self._count(result)
        return result

    def take_deferred(self) -> list[_calls.DeferredDecision]:
        """Return and clear the decisions made on waiting calls."""
        deferred = self.dispatcher.deferred
        if not deferred:
            return []
        self.dispatcher.deferred = []
        for entry in deferred:
            self._count(entry.decision)
        return deferred

    def finish(
        self, permit: _calls.Permit, outcome: _calls.Outcome, now_s: float
    ) -> None:
        """Release the permit of a call that has ended."""
        self.dispatcher.finish(permit, outcome, now_s)

    def finish_forward(
        self,
        forward: _calls.ForwardTo,
        outcome: _calls.Outcome,
        now_s: float,
    ) -> None:
        """Record the outcome of a forwarded call."""
        self.placement.host_chooser.record_end(
            forward.request_id,
            forward.host.host,
            outcome.kind is not _calls.OutcomeKind.ANSWERED,
            now_s,
        )

    def outstanding_permits(self) -> int:
        """Return the number of permits not yet released."""
        return len(self.dispatcher.server.permit_by_id)

    def cancel(self, request_id: str, now_s: float) -> None:
        """Cancel a waiting call."""
        self.dispatcher.refuse_waiting_if(
            lambda entry: entry.checked.call.request_id == request_id,
            exceptions.ResultCode.CALL_CANCELLED,
            now_s,
        )

    def tick(self, now_s: float) -> None:
        """Expire overdue calls and retry those that wait for a token."""
        self.dispatcher.refuse_waiting_if(
            lambda entry: entry.checked.deadline_at_s <= now_s,
            exceptions.ResultCode.DEADLINE_EXCEEDED,
            now_s,
        )
        self.dispatcher.retry_tokens(now_s)
        self.dispatcher.start_waiting(now_s)

    def next_due_s(self) -> float | None:
        """Return when `tick` is next due for a waiting call, if at all."""
        return self.dispatcher.next_due_s()

    def observe_health(
        self, report: _calls.HealthReport, now_s: float
    ) -> None:
        """Apply a report of the server's health and load endpoint."""
        server = self.dispatcher.server
        server.observe_health(report, now_s)
        if self.placement.server_draining != server.ramp.draining:
            self.placement.server_draining = server.ramp.draining
            self._update_placement(now_s)
        self.dispatcher.start_waiting(now_s)

    def set_ready(
        self, ready: bool, now_s: float, ticked_at_s: float | None = None
    ) -> None:
        """Start or stop accepting calls; waiting calls keep waiting.

        Readiness expires if the process is paused after `ticked_at_s`.
        """
        self.dispatcher.ready = ready
        self.dispatcher.ticked_at_s = ticked_at_s
        self.dispatcher.start_waiting(now_s)

    def stop(self, now_s: float) -> None:
        """Forward new and waiting calls to other nodes from now on."""
        self.placement.stopping = True
        self._update_placement(now_s)

    def waiting_count(self) -> int:
        """Return the number of calls that wait for a slot or a token."""
        return len(self.dispatcher.waiting_calls())

    def open_calls(self, now_s: float) -> int:
        """Return the number of waiting, running and forwarded calls."""
        return (
            self.waiting_count()
            + self.dispatcher.server.slots.in_use
            + self.placement.host_chooser.forwarded_count(now_s)
        )

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, now_s: float
    ) -> None:
        """Apply a new snapshot, also to the waiting calls."""
        self.snapshot = snapshot
        accepted = self.placement.accepting
        self.placement.apply_snapshot(snapshot, self._wall_ms(now_s))
        if self.placement.accepting and not accepted:
            self.dispatcher.server.ramp.reset("host returned", now_s)
        self.dispatcher.apply_snapshot(snapshot, now_s)
        self._recheck_waiting(now_s)
        self.dispatcher.start_waiting(now_s)

    def _decide(
        self, call: _calls.CallRequest, now_s: float
    ) -> _calls.Decision | _calls.Queued:
        if not self.dispatcher.accepts_calls(now_s):
            return _call_checks.refuse(
                self.snapshot, exceptions.ResultCode.NODE_NOT_READY
            )
        checked = _call_checks.check_call(self.snapshot, call, now_s)
        if isinstance(checked, _calls.Refused):
            return checked
        repeat = self.dispatcher.bookings.find(checked, now_s)
        match repeat:
            case _bookings.StoredAnswer():
                return _calls.Replay(
                    repeat.answer, self.snapshot.versions.table
                )
            case _bookings.Rejected():
                return self.dispatcher.reject(repeat, checked)
        placement = self.placement.place(
            checked, self.dispatcher.server.ramp.is_down(now_s), now_s
        )
        match placement:
            case _placement.LocalPlacement():
                return self.dispatcher.submit(
                    checked, now_s, self._wall_ms(now_s)
                )
            case _placement.RemotePlacement():
                return self._forward(checked, placement.host, now_s)
            case _placement.NoPlacement():
                return self.dispatcher.refuse(placement.code, checked)
            case _:
                typing.assert_never(placement)

    def _recheck_waiting(self, now_s: float) -> None:
        """Check the waiting calls again after a change of configuration."""
        kept: dict[int, _fair_queue.WaitingCall] = {}
        refused: list[tuple[_fair_queue.WaitingCall, _calls.Refused]] = []
        rerouted: list[_fair_queue.WaitingCall] = []
        for entry in self.dispatcher.waiting_calls():
            checked = self._recheck(entry.checked, now_s)
            if isinstance(checked, _calls.Refused):
                refused.append((entry, checked))
            elif self.placement.accepts_locally(checked.route):
                kept[entry.ticket] = dataclasses.replace(
                    entry, checked=checked
                )
            else:
                rerouted.append(entry)
        self.dispatcher.retain(kept)
        for entry, refusal in refused:
            self.dispatcher.roll_back(entry, now_s)
            self.dispatcher.add_deferred(entry, refusal)
        for entry in rerouted:
            self._reroute(entry, now_s)

    def _recheck(
        self, old: _fair_queue.CheckedCall, now_s: float
    ) -> _fair_queue.CheckedCall | _calls.Refused:
        checked = _call_checks.check_call(self.snapshot, old.call, now_s)
        if isinstance(checked, _calls.Refused):
            return checked
        if checked.team != old.team:
            return self.dispatcher.refuse(
                exceptions.ResultCode.KEY_UNKNOWN, old
            )
        route = checked.route
        if (route.service, route.kind, route.priority) != (
            old.route.service,
            old.route.kind,
            old.route.priority,
        ):
            return self.dispatcher.refuse(exceptions.ResultCode.NO_ROUTE, old)
        return dataclasses.replace(checked, deadline_at_s=old.deadline_at_s)

    def _reroute(self, entry: _fair_queue.WaitingCall, now_s: float) -> None:
        checked = entry.checked
        self.dispatcher.roll_back(entry, now_s)
        placement = self.placement.place(checked, True, now_s)
        match placement:
            case _placement.RemotePlacement():
                decision: _calls.Decision = self._forward(
                    checked, placement.host, now_s
                )
            case _placement.NoPlacement():
                decision = self.dispatcher.refuse(placement.code, checked)
            case _placement.LocalPlacement():
                decision = self.dispatcher.refuse(
                    exceptions.ResultCode.NO_HOST_AVAILABLE, checked
                )
            case _:
                typing.assert_never(placement)
        self.dispatcher.add_deferred(entry, decision)

    def _forward(
        self,
        checked: _fair_queue.CheckedCall,
        host: _rows.HostRow,
        now_s: float,
    ) -> _calls.Decision:
        ordinary = checked.route.priority is _rows.Priority.ORDINARY
        waiting = self.dispatcher.queue.ordinary_count
        if ordinary and (
            waiting >= self.dispatcher.threads_for_waiting(now_s)
        ):
            return self.dispatcher.refuse_busy(
                exceptions.ResultCode.QUEUE_FULL, checked, now_s
            )
        call = checked.call
        self.placement.host_chooser.record_start(
            call.request_id, host.host, checked.deadline_at_s
        )
        return _calls.ForwardTo(
            host,
            checked.route,
            checked.team,
            self.snapshot.versions.table,
            checked.deadline_at_s,
            call.request_id,
        )

    def _update_placement(self, now_s: float) -> None:
        self.placement.update_accepting(self._wall_ms(now_s))
        self._recheck_waiting(now_s)

    def _count(self, decision: _calls.Decision) -> None:
        match decision:
            case _calls.Refused():
                self.by_result[decision.code] += 1
            case _calls.Admitted() | _calls.ForwardTo() | _calls.Replay():
                self.by_result[exceptions.ResultCode.OK] += 1

    def _wall_ms(self, now_s: float) -> int:
        """Return the wall-clock time, which never decreases."""
        elapsed_ms = (now_s - self.started_at_s) * 1000
        return self.started_wall_ms + int(elapsed_ms)
