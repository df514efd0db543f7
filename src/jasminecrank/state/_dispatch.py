"""Queueing of calls and their start on the backend server."""

from collections.abc import Callable
import dataclasses
from dataclasses import dataclass
from dataclasses import field

from jasminecrank import exceptions
from jasminecrank.state import _backend_server
from jasminecrank.state import _bookings
from jasminecrank.state import _call_checks
from jasminecrank.state import _calls
from jasminecrank.state import _fair_queue
from jasminecrank.state import _placement
from jasminecrank.state import _quota
from jasminecrank.state import _readiness
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot
from jasminecrank.state import _token_wait

_NOT_READY_RETRY_S = 0.02


@dataclass(slots=True)
class Dispatcher:
    """Queues calls and starts them on this node's backend server."""

    snapshot: _snapshot.Snapshot
    quota: _quota.QuotaState
    placement: _placement.PlacementState
    server: _backend_server.BackendServer
    queue: _fair_queue.FairQueue = field(default_factory=_fair_queue.FairQueue)
    token_wait: _token_wait.TokenWaitList = field(
        default_factory=_token_wait.TokenWaitList
    )
    bookings: _bookings.Bookings = field(default_factory=_bookings.Bookings)
    max_in_flight_by_team: dict[str, int] = field(default_factory=dict)
    threads: int = 0
    slot_limit: int = 0
    ready: bool = False
    ticked_at_s: float | None = None
    last_ticket: int = 0
    deferred: list[_calls.DeferredDecision] = field(default_factory=list)

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, now_s: float
    ) -> None:
        """Apply the limits of this node's service from a new snapshot."""
        self.snapshot = snapshot
        self.quota.apply_snapshot(snapshot, now_s)
        own_host = self.placement.own_host
        service = own_host.service if own_host else ""
        row = snapshot.by_service.get(service)
        internal = any(
            route.service == service
            and route.priority is _rows.Priority.INTERNAL
            for route in snapshot.routes
        )
        self.server.ramp.apply_row(row, 1 if internal else 0)
        self.slot_limit = (
            min(row.slots, self.server.ramp.thread_limit) if row else 0
        )
        limits = [
            limit
            for limit in snapshot.by_limit.values()
            if limit.service == service
        ]
        self.queue.weight_by_team = {
            limit.team: limit.weight for limit in limits
        }
        self.max_in_flight_by_team = {
            limit.team: limit.max_in_flight for limit in limits
        }

    def accepts_calls(self, now_s: float) -> bool:
        """Return whether the node is ready, with no pause since its tick."""
        return self.ready and (
            self.ticked_at_s is None
            or _readiness.is_current(self.ticked_at_s, now_s)
        )

    def threads_for_waiting(self, now_s: float) -> int:
        """Return how many worker threads are left for waiting calls.

        Every slot keeps its thread while this node accepts calls. Calls that
        wait for a token or for another node occupy one thread each.
        """
        running = self.server.slots.in_use
        if self.placement.accepting:
            running = max(running, self.slot_limit)
        not_queued = len(
            self.token_wait
        ) + self.placement.host_chooser.forwarded_count(now_s)
        return max(0, self.threads - running - not_queued)

    def next_due_s(self) -> float | None:
        """Return when the next call expires or retries its token, if any."""
        return min(
            (
                due_s
                for due_s in (
                    self.queue.next_deadline_s(),
                    self.token_wait.next_retry_at_s(),
                )
                if due_s is not None
            ),
            default=None,
        )

    def finish(
        self, permit: _calls.Permit, outcome: _calls.Outcome, now_s: float
    ) -> None:
        """Release the permit of a call that has ended."""
        if not self.server.finish(permit, outcome, now_s):
            return
        if outcome.did_not_run:
            self._refund(permit.route, permit.team, now_s)
        self.bookings.complete(permit, outcome, now_s)
        if len(self.queue):
            self.start_waiting(now_s)

    def refuse_waiting_if(
        self,
        condition: Callable[[_fair_queue.WaitingCall], bool],
        code: exceptions.ResultCode,
        now_s: float,
    ) -> None:
        """Refuse the waiting calls that meet a condition."""
        removed = self.token_wait.remove(condition) + self.queue.remove(
            condition
        )
        for entry in removed:
            self.refuse_waiting(entry, code, now_s)

    def waiting_calls(self) -> list[_fair_queue.WaitingCall]:
        """Return the calls that wait for a token or a slot."""
        return [*self.token_wait.by_ticket.values(), *self.queue]

    def retain(self, by_ticket: dict[int, _fair_queue.WaitingCall]) -> None:
        """Keep only the given waiting calls, in their present order."""
        self.queue.retain(by_ticket)
        self.token_wait.by_ticket = {
            ticket: by_ticket[ticket]
            for ticket in self.token_wait.by_ticket
            if ticket in by_ticket
        }

    def submit(
        self, checked: _fair_queue.CheckedCall, now_s: float, wall_ms: int
    ) -> _calls.Decision | _calls.Queued:
        """Start, queue or refuse a call."""
        rejected = self.bookings.check_new(
            checked, self.placement.key_owners, now_s, wall_ms
        )
        if rejected is not None:
            return self.reject(rejected, checked)
        wait_s = self._take_token(checked, now_s)
        if wait_s is not None:
            return self._wait_for_token(checked, wait_s, now_s)
        self.bookings.reserve(checked)
        if not len(self.queue) and self._may_start(checked, now_s):
            return _calls.Admitted(self._start(checked, now_s))
        entry = self._new_entry(checked)
        refused = self._enqueue(entry, now_s)
        if refused is not None:
            return refused
        self.start_waiting(now_s)
        for index, decided in enumerate(self.deferred):
            if decided.ticket == entry.ticket:
                return self.deferred.pop(index).decision
        return _calls.Queued(entry.ticket)

    def retry_tokens(self, now_s: float) -> None:
        """Retry the calls whose next attempt to take a token is due."""
        for entry in self.token_wait.pop_due(now_s):
            wait_s: float | None = _NOT_READY_RETRY_S
            code = exceptions.ResultCode.NODE_NOT_READY
            if self.accepts_calls(now_s):
                wait_s = self._take_token(entry.checked, now_s, True)
                code = exceptions.ResultCode.RATE_EXCEEDED
            if wait_s is None:
                with_token = dataclasses.replace(entry, retry_at_s=None)
                refused = self._enqueue(with_token, now_s)
                if refused is not None:
                    self.add_deferred(entry, refused)
            elif not self.token_wait.schedule_retry(entry, wait_s, now_s):
                self.roll_back(entry, now_s)
                self.add_deferred(
                    entry, self.refuse(code, entry.checked, wait_s)
                )

    def _wait_for_token(
        self,
        checked: _fair_queue.CheckedCall,
        wait_s: float,
        now_s: float,
    ) -> _calls.Decision | _calls.Queued:
        entry = self._new_entry(checked)
        limit = self.threads_for_waiting(now_s) // 2
        if not self.token_wait.add(entry, wait_s, limit, now_s):
            return self.refuse(
                exceptions.ResultCode.RATE_EXCEEDED, checked, wait_s
            )
        self.bookings.reserve(checked)
        return _calls.Queued(entry.ticket)

    def _new_entry(
        self, checked: _fair_queue.CheckedCall
    ) -> _fair_queue.WaitingCall:
        self.last_ticket += 1
        return _fair_queue.WaitingCall(self.last_ticket, checked)

    def _enqueue(
        self, entry: _fair_queue.WaitingCall, now_s: float
    ) -> _calls.Refused | None:
        """Queue a call that has a token until a slot is free, or refuse it."""
        checked = entry.checked
        limit = self._max_in_flight(checked)
        if limit is not None and (
            self.queue.waiting_count(checked.team) >= limit
        ):
            self.roll_back(entry, now_s)
            return self.refuse_busy(
                exceptions.ResultCode.TOO_MANY_IN_FLIGHT, checked, now_s
            )
        self.queue.limit = self.threads_for_waiting(now_s)
        evicted = self.queue.offer(entry)
        if evicted is entry:
            self.roll_back(entry, now_s)
            return self.refuse_busy(
                exceptions.ResultCode.QUEUE_FULL, checked, now_s
            )
        if evicted is not None:
            self._refuse_evicted(evicted, now_s)
        return None

    def start_waiting(self, now_s: float) -> None:
        """Start waiting calls while slots are free."""
        while (
            self.accepts_calls(now_s)
            and (entry := self._next_startable(now_s)) is not None
        ):
            if entry.checked.deadline_at_s <= now_s:
                self.refuse_waiting(
                    entry, exceptions.ResultCode.DEADLINE_EXCEEDED, now_s
                )
                continue
            permit = self._start(entry.checked, now_s)
            self.add_deferred(entry, _calls.Admitted(permit))

    def _next_startable(self, now_s: float) -> _fair_queue.WaitingCall | None:
        if not len(self.queue):
            return None
        if self.server.has_room(_rows.Priority.INTERNAL, now_s):
            entry = self.queue.pop_internal()
            if entry is not None:
                return entry
        if self.server.has_room(_rows.Priority.ORDINARY, now_s):
            return self.queue.pop(self._team_may_start)
        return None

    def _team_may_start(self, team: str) -> bool:
        limit = self.max_in_flight_by_team.get(team)
        return limit is None or self.server.running_by_team[team] < limit

    def _may_start(
        self, checked: _fair_queue.CheckedCall, now_s: float
    ) -> bool:
        priority = checked.route.priority
        return self.server.has_room(priority, now_s) and (
            priority is _rows.Priority.INTERNAL
            or self._team_may_start(checked.team)
        )

    def _max_in_flight(self, checked: _fair_queue.CheckedCall) -> int | None:
        if checked.route.priority is _rows.Priority.INTERNAL:
            return None
        return self.max_in_flight_by_team.get(checked.team)

    def _start(
        self, checked: _fair_queue.CheckedCall, now_s: float
    ) -> _calls.Permit:
        self.placement.check_start_invariants(checked)
        self.bookings.mark_permitted(checked)
        return self.server.start(checked, self.snapshot.versions.table, now_s)

    def _take_token(
        self,
        checked: _fair_queue.CheckedCall,
        now_s: float,
        repeated: bool = False,
    ) -> float | None:
        """Take a token, or return how long to wait before the next try.

        A team without a limit can only use open routes and needs no token.
        """
        service = checked.route.service
        if (service, checked.team) not in self.snapshot.by_limit:
            return None
        return self.quota.take(service, checked.team, now_s, repeated)

    def _refund(self, route: _rows.RouteRow, team: str, now_s: float) -> None:
        if (route.service, team) in self.snapshot.by_limit:
            self.quota.refund(route.service, team, now_s)

    def roll_back(self, entry: _fair_queue.WaitingCall, now_s: float) -> None:
        """Refund any token of a call not run here and drop its booking."""
        checked = entry.checked
        if entry.retry_at_s is None:
            self._refund(checked.route, checked.team, now_s)
        self.bookings.cancel(checked)

    def refuse_waiting(
        self,
        entry: _fair_queue.WaitingCall,
        code: exceptions.ResultCode,
        now_s: float,
    ) -> None:
        """Refuse a waiting call."""
        self.roll_back(entry, now_s)
        self.add_deferred(entry, self.refuse(code, entry.checked))

    def _refuse_evicted(
        self, evicted: _fair_queue.WaitingCall, now_s: float
    ) -> None:
        self.roll_back(evicted, now_s)
        self.add_deferred(
            evicted,
            self.refuse_busy(
                exceptions.ResultCode.QUEUE_FULL, evicted.checked, now_s
            ),
        )

    def add_deferred(
        self, entry: _fair_queue.WaitingCall, decision: _calls.Decision
    ) -> None:
        """Record the one decision on a waiting call."""
        self.deferred.append(_calls.DeferredDecision(entry.ticket, decision))

    def refuse_busy(
        self,
        code: exceptions.ResultCode,
        checked: _fair_queue.CheckedCall,
        now_s: float,
    ) -> _calls.Refused:
        """Refuse a call for lack of capacity, with a time to retry after."""
        wait_s = self.server.retry_after_s(len(self.queue), now_s)
        return self.refuse(code, checked, wait_s)

    def reject(
        self,
        rejected: _bookings.Rejected,
        checked: _fair_queue.CheckedCall,
    ) -> _calls.Refused:
        """Return the refusal of a booking that can't run now."""
        return _call_checks.refuse(
            self.snapshot,
            rejected.code,
            checked.team,
            checked.route,
            rejected.retry_after_s,
            rejected.run_state,
        )

    def refuse(
        self,
        code: exceptions.ResultCode,
        checked: _fair_queue.CheckedCall,
        retry_after_s: float = 0.0,
    ) -> _calls.Refused:
        """Return the refusal of a call that did not run."""
        return _call_checks.refuse(
            self.snapshot, code, checked.team, checked.route, retry_after_s
        )
