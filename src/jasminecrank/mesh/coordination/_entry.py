"""Task that routes callers' requests to backend servers."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _mailbox
from jasminecrank.mesh.coordination import _messages
from jasminecrank.mesh.coordination import _open_calls
from jasminecrank.mesh.coordination import _peer_messages

QUOTA_WAIT_MAX_S = 0.08
"""Longest wait for a token, well below the shortest latency objective."""
MIN_ATTEMPT_S = 0.03
"""Remaining time up to which an attempt is not worthwhile."""
REFUSE_WAIT_TARGETS = 2.0
"""Expected wait above which a call is refused before it is sent.

As a multiple of the route's latency objective.
"""
UNKNOWN_RUN_TARGETS = 2.0
"""Longest run assumed of a backend server's call that is the first on a route.

As a multiple of the route's latency objective. Its deadline bounds the run.
"""
NO_SERVER_RETRY_S = 0.5
"""About the time until a restarted server is listed or found healthy."""
BUSY_REFUSALS = 2
"""Nodes that are asked before a call waits beyond its objective."""
LINK_LOST = "link-lost"
"""Reason for the end of attempts on a link that has ended."""


class LocalGate(typing.Protocol):
    """Mailbox of the gate task, as used by the entry task."""

    def tell(self, message: _messages.GateMessage) -> None:
        """Append a message to the gate task's mailbox."""


class LocalQuota(typing.Protocol):
    """Mailbox of the quota task, as used by the entry task."""

    def tell(self, message: _messages.QuotaMessage) -> None:
        """Append a message to the quota task's mailbox."""


class EntryTask(_mailbox.MailboxTask[_messages.EntryMessage]):
    """Owns the open calls of this node's callers and routes them.

    It also owns the state for this: server placement, the retry budget and
    the links to peers.
    """

    def __init__(
        self,
        own_host: str,
        own_service: str,
        region_by_data_centre: typing.Mapping[str, str],
        placement: state.Placement,
        budget: state.RetryBudget,
        gate: LocalGate,
        quota: LocalQuota,
        clock: _mailbox.Clock,
        rng: random.Random,
        log: _mailbox.Log,
        is_running: Callable[[str], bool] = lambda request_id: False,
        is_repeating: Callable[[str], bool] = lambda request_id: False,
    ) -> None:
        super().__init__(log)
        self._is_repeating = is_repeating
        """Whether the own backend server's run of an id is a retry."""
        self._is_running = is_running
        """Whether the own backend server runs a request of an id."""
        self._own_host = own_host
        self._own_service = own_service
        self._region_by_data_centre = region_by_data_centre
        self._placement = placement
        self._budget = budget
        self._gate = gate
        self._quota = quota
        self._clock = clock
        self._rng = rng
        self._service_chooser = state.WeightedRoundRobin(rng)
        self._fleet = state.FleetSnapshot(None, {}, {}, frozenset())
        self._call_by_number: dict[int, _open_calls.OpenCall] = {}
        self._send_by_host: dict[str, _peer_messages.SendToPeer] = {}
        self._caller_deadlines = state.CallerDeadlines()
        self._work = state.WorkModel()
        self._attempt_times = state.RunTimes()
        """Times from sending a call to a host until its response."""
        self._lateness_by_host: dict[str, float] = {}
        """How late the nodes of other hosts have run, as they report it."""
        self._stop_window: state.StopWindow | None = None
        self._has_fleet = False

    @property
    def open_calls(self) -> int:
        """Return the number of calls that have not been replied to yet."""
        return len(self._call_by_number)

    @property
    def retry_bounds(self) -> state.RetryBudgetBounds:
        """Return the current bounds of the fleet's retry budget."""
        return self._budget.bounds

    @property
    def peer_count(self) -> int:
        """Return the number of other hosts that calls can be sent to."""
        return len(self._send_by_host)

    def usable_servers(self) -> dict[str, int]:
        """Return the number of servers of each service that can get calls."""
        return self._survey().usable_by_service()

    def handle(self, message: _messages.EntryMessage) -> None:
        """Process one message."""
        match message:
            case _messages.CallArrived():
                self._call_arrived(message)
            case _messages.CallerDisconnected() | _messages.CallerStopped():
                self._caller_left(message)
            case _messages.CallDeadlineReached(number):
                self._deadline_reached(number)
            case _messages.QuotaDecided():
                self._quota_decided(message)
            case _messages.AttemptEnded(number, host, result, active_calls):
                if active_calls is not None:
                    self._placement.record_response(
                        host, active_calls, self._clock.now_s()
                    )
                self._attempt_ended(number, host, result)
            case _messages.CallUnsent():
                self._call_unsent(message)
            case _messages.FleetChanged(fleet):
                self._fleet_changed(fleet)
            case _messages.LoadUpdated(host, load):
                self._placement.record_load(host, load, self._clock.now_s())
            case _messages.PeerLate(host, lateness_s):
                self._lateness_by_host[host] = lateness_s
            case _messages.PeerUp(host, send):
                self._send_by_host[host] = send
                self._placement.mark_reachable(host)
            case _messages.PeerSilent(host):
                self._peer_silent(host)
            case _messages.PeerDown():
                self._peer_down(message)
            case (
                _messages.BoundsChanged()
                | _messages.HostsCounted()
                | _messages.SourceConfirmed()
            ):
                self._update_budget(message)
            case (
                _messages.StopRequested()
                | _messages.StopWindowClosed()
                | _messages.GateClosed()
                | _messages.PeersGivenUp()
            ):
                self._stop(message)
            case _:
                typing.assert_never(message)

    def _stop(
        self,
        message: _messages.StopRequested
        | _messages.StopWindowClosed
        | _messages.GateClosed
        | _messages.PeersGivenUp,
    ) -> None:
        match message:
            case _messages.StopRequested(window):
                self._stop_window = window
            case _messages.StopWindowClosed():
                # What the gate knows of the calls comes before its report.
                closed = _messages.GateClosed()
                self._gate.tell(
                    _messages.CloseGate(lambda: self.mailbox.tell(closed))
                )
            case _messages.GateClosed():
                self._end_calls(
                    call
                    for call in self._call_by_number.values()
                    if call.host in (None, self._own_host)
                )
            case _messages.PeersGivenUp():
                self._end_calls(self._call_by_number.values())
            case _:
                typing.assert_never(message)

    def _update_budget(
        self,
        message: _messages.BoundsChanged
        | _messages.HostsCounted
        | _messages.SourceConfirmed,
    ) -> None:
        match message:
            case _messages.BoundsChanged(_, retries):
                self._budget.bounds = retries
            case _messages.HostsCounted(count):
                self._budget.host_count = count
            case _messages.SourceConfirmed(at_s):
                self._budget.confirmed_at_s = at_s
            case _:
                typing.assert_never(message)

    def _call_arrived(self, message: _messages.CallArrived) -> None:
        request = message.request
        table = self._fleet.table
        if table is None:
            message.reply(
                state.Refusal(
                    state.RefusalKind.NO_TABLE, "", state.NO_TABLE_RETRY_S
                )
            )
            return
        route = table.match(request.host, request.path)
        if route is None:
            self._reject(message, state.RefusalKind.NO_ROUTE, table.version)
            return
        team = None
        if not route.open_to_all and table.team_by_name:
            team = table.team_by_key.get(request.key or "")
            if team is None:
                self._reject(
                    message, state.RefusalKind.KEY_UNKNOWN, table.version
                )
                return
        call = _open_calls.OpenCall.from_arrival(
            message, route, team, self._rank(message.request, route, team)
        )
        call.is_of_repeated_run = self._is_repeating(request.parent_id)
        if self._has_objective_policy and not call.is_from_backend_server:
            call.is_patient = self._has_missed_objective(
                message.request, route
            )
        remaining_s = call.deadline_at_s - self._clock.now_s()
        if remaining_s <= 0.0 and self._clock.now_s() > message.arrived_at_s:
            # It has waited behind others on its connection.
            self._reject(message, state.RefusalKind.EXPIRED, table.version)
            return
        self._call_by_number[call.number] = call
        call.timer = self._start_timer(call.number, remaining_s)
        if team is not None and team.rate_per_s > 0.0:
            self._quota.tell(_messages.QuotaRequested(call.number, team))
        else:
            self._admit(call)

    def _rank(
        self,
        request: state.CallRequest,
        route: state.Route,
        team: state.Team | None,
    ) -> int:
        """Return the rank of a request.

        A call that a run of the own server makes goes first: the run holds a
        slot, and fails with the call.
        """
        if not self._has_objective_policy:
            return _open_calls.rank_of(route, team)
        is_nested = bool(request.parent_id) and self._is_running(
            request.parent_id
        )
        return _open_calls.rank_without_teams(route, is_nested)

    def _has_missed_objective(
        self, request: state.CallRequest, route: state.Route
    ) -> bool:
        """Return whether a request is a retry that comes late already.

        Latency counts from the caller's first attempt.
        """
        deadline_s = request.caller_timeout_s
        if deadline_s is None:
            return False
        self._caller_deadlines.record(
            route.name,
            deadline_s,
            route.timeout_s or _open_calls.DEFAULT_TIME_LIMIT_S,
        )
        return self._caller_deadlines.is_retry(route.name, deadline_s)

    @property
    def _has_objective_policy(self) -> bool:
        """Return whether calls are admitted as in a table without teams."""
        table = self._fleet.table
        return table is not None and not table.team_by_name

    def _reject(
        self,
        message: _messages.CallArrived,
        kind: state.RefusalKind,
        version: int,
    ) -> None:
        self._log_refusal(message.request.request_id, kind, "", version)
        message.reply(state.Refusal(kind))

    def _quota_decided(self, message: _messages.QuotaDecided) -> None:
        call = self._call_by_number.get(message.number)
        if call is None:
            return
        if message.granted:
            call.has_token = True
            self._admit(call)
            return
        if (
            not call.has_waited_for_token
            and message.wait_s <= QUOTA_WAIT_MAX_S
        ):
            call.has_waited_for_token = True
            assert call.team is not None
            asyncio.get_running_loop().call_later(
                message.wait_s,
                self._quota.tell,
                _messages.QuotaRequested(call.number, call.team),
            )
            return
        self._finish(
            call,
            state.Refusal(
                state.RefusalKind.OVER_QUOTA,
                "",
                self._retry_after_s(call, message.wait_s),
            ),
        )

    def _admit(self, call: _open_calls.OpenCall) -> None:
        if not call.has_service:
            call.service = self._service_chooser.choose(call.attempts.route)
            self._count_admission(call)
        self._dispatch(
            call,
            state.Refuse(
                state.Refusal(
                    state.RefusalKind.NO_SERVER,
                    "no usable server",
                    self._retry_after_s(call, NO_SERVER_RETRY_S),
                )
            ),
        )

    def _count_admission(self, call: _open_calls.OpenCall) -> None:
        """Count a call in the retry budget of its service."""
        now_s = self._clock.now_s()
        if call.is_of_repeated_run:
            self._budget.record_repeat(call.service, now_s)
            self.log.count("retries", "of-repeated-run")
        else:
            self._budget.record_first_attempt(call.service, now_s)

    def _dispatch(
        self,
        call: _open_calls.OpenCall,
        fallback: state.Deliver | state.Refuse,
    ) -> None:
        now_s = self._clock.now_s()
        choice = self._choose_server(call, now_s)
        if choice is None:
            self._conclude(call, fallback)
            return
        if not self._ends_before_stop(call, choice, now_s):
            self._refuse_stopping(call, fallback)
            return
        route = call.attempts.route
        if (
            choice.wait_s > REFUSE_WAIT_TARGETS * route.target_s
            and call.attempts.progress is state.Progress.UNSENT
            and not call.is_patient
            and not self._passes_queues(call)
        ):
            self._finish(
                call,
                state.Refusal(
                    state.RefusalKind.OVERLOADED,
                    "expected wait",
                    self._retry_after_s(call, choice.wait_s),
                ),
            )
            return
        self._send(call, choice.server, now_s)

    def _passes_queues(self, call: _open_calls.OpenCall) -> bool:
        """Return whether a call starts before the queued calls of others.

        Nodes report how many calls are queued, but not their ranks.
        """
        return self._has_objective_policy and call.is_from_backend_server

    def _choose_server(
        self, call: _open_calls.OpenCall, now_s: float
    ) -> state.PlacementDecision | None:
        """Return the server for the next attempt, or None if it is futile."""
        if call.deadline_at_s - now_s <= MIN_ATTEMPT_S:
            return None
        return self._placement.choose(
            self._candidates(call),
            call.excluded_server_ids,
            now_s,
            self._outlook(call, now_s),
        )

    def _outlook(
        self, call: _open_calls.OpenCall, now_s: float
    ) -> state.CallOutlook | None:
        """Return what is expected of a call that may be answered in time."""
        if not self._has_objective_policy or call.is_patient:
            return None
        left_s = call.arrived_at_s + call.attempts.route.target_s - now_s
        return self._work.outlook(call.call_class, left_s)

    def _ends_before_stop(
        self,
        call: _open_calls.OpenCall,
        choice: state.PlacementDecision,
        now_s: float,
    ) -> bool:
        window = self._window_at(choice.server.host)
        if window is None:
            return True
        route = call.attempts.route
        longest_s = self._attempt_times.longest_s(route.name)
        if call.is_from_backend_server:
            if longest_s is None:
                # There is no other node to send it to.
                longest_s = UNKNOWN_RUN_TARGETS * route.target_s
        elif not window.accepts_caller(call.arrived_at_s):
            return False
        return window.accepts(
            now_s, call.deadline_at_s, choice.wait_s, longest_s
        )

    def _window_at(self, host: str) -> state.StopWindow | None:
        """Return what a stop leaves for calls at a host, None without one."""
        window = self._stop_window
        if window is None or host == self._own_host:
            return window
        return window.at_peer(self._lateness_by_host.get(host, 0.0))

    def _refuse_stopping(
        self,
        call: _open_calls.OpenCall,
        fallback: state.Deliver | state.Refuse,
    ) -> None:
        """Refuse a call that would not end before this node does."""
        if call.attempts.progress is not state.Progress.UNSENT:
            self._conclude(call, fallback)
            return
        assert self._stop_window is not None
        left_s = self._stop_window.closes_at_s - self._clock.now_s()
        self._finish(
            call,
            state.Refusal(
                state.RefusalKind.OVERLOADED,
                state.STOPPING_REASON,
                self._retry_after_s(call, max(NO_SERVER_RETRY_S, left_s)),
            ),
        )

    def _end_calls(self, calls: Iterable[_open_calls.OpenCall]) -> None:
        """Reply to calls whose results will not be known."""
        for call in list(calls):
            in_flight = call.host is not None
            self._cancel_attempt(call)
            self._conclude(call, call.attempts.stop_step(in_flight))

    def _candidates(
        self, call: _open_calls.OpenCall
    ) -> list[state.BackendServer]:
        regions = call.allowed_regions
        servers = []
        for server in self._fleet.usable_servers(call.service):
            region = self._region_by_data_centre.get(server.data_centre, "")
            if regions is not None and region not in regions:
                continue
            if server.host == self._own_host or (
                server.host in self._send_by_host
            ):
                servers.append(server)
        return servers

    def _send(
        self,
        call: _open_calls.OpenCall,
        server: state.BackendServer,
        now_s: float,
    ) -> None:
        window = self._window_at(server.host)
        deadline_at_s = call.deadline_at_s
        if window is not None:
            deadline_at_s = window.server_deadline_at_s(deadline_at_s)
        sent = call.start_attempt(
            server, self._own_service, deadline_at_s, now_s
        )
        self._placement.record_sent(server.host)
        if server.host == self._own_host:
            call.send = None
            self._gate.tell(
                _messages.RunCall(0, sent, self.handle_local_reply)
            )
            return
        call.send = self._send_by_host[server.host]
        call.send(sent)

    def handle_local_reply(self, message: _peer_messages.PeerMessage) -> None:
        """Process the local gate task's reply to a call."""
        self.handle_peer_reply(self._own_host, message)

    def handle_peer_reply(
        self, host: str, message: _peer_messages.PeerMessage
    ) -> None:
        """Process a gate task's reply to a call.

        Messages that do not end an attempt are ignored.
        """
        ended = _open_calls.attempt_ended(host, message)
        if ended is not None:
            self.mailbox.tell(ended)

    def _attempt_ended(
        self, number: int, host: str, result: state.AttemptResult
    ) -> None:
        call = self._call_by_number.get(number)
        if call is None or call.host != host:
            return
        call.host = None
        if isinstance(result, state.Served):
            self._attempt_times.record(
                call.attempts.route.name, self._clock.now_s() - call.sent_at_s
            )
            if self._has_objective_policy and result.response.status < 500:
                self._work.record(
                    call.call_class,
                    result.run_time_s,
                    self._placement.average_run_time_s(host),
                )
        step = call.attempts.next_step(result)
        match step:
            case state.TryAnotherServer(is_retry, fallback, budget_share):
                now_s = self._clock.now_s()
                if call.caller_stopped or (
                    is_retry and not self._try_retry(call, budget_share, now_s)
                ):
                    self._conclude(call, fallback)
                    return
                if call.is_patient and _finds_no_room(result):
                    self._conclude(call, fallback)
                    return
                if self._becomes_patient(call, result):
                    call.is_patient = True
                    self.log.count("calls_patient")
                self._dispatch(call, fallback)
            case state.Deliver() | state.Refuse():
                self._conclude(call, step)
            case _:
                typing.assert_never(step)

    def _try_retry(
        self, call: _open_calls.OpenCall, share: float, now_s: float
    ) -> bool:
        """Take a retry of a call from the budget, and count the outcome."""
        is_allowed = self._budget.try_retry(call.service, share, now_s)
        self.log.count("retries", "allowed" if is_allowed else "denied")
        return is_allowed

    def _becomes_patient(
        self, call: _open_calls.OpenCall, result: state.AttemptResult
    ) -> bool:
        """Return whether a call now waits where it misses its objective.

        It has been refused by two nodes, so that the others are hardly less
        busy. Waiting in a queue spares it the same answers again and again.
        """
        if not self._has_objective_policy or call.is_patient:
            return False
        if isinstance(result, state.NotRun) and (
            result.reason == state.BUSY_REASON
        ):
            call.busy_server_ids.add(call.servers[-1])
        return len(call.busy_server_ids) >= BUSY_REFUSALS

    def _conclude(
        self, call: _open_calls.OpenCall, step: state.Deliver | state.Refuse
    ) -> None:
        match step:
            case state.Deliver(response):
                self._finish(call, response)
            case state.Refuse(refusal):
                if refusal.kind is state.RefusalKind.OVERLOADED:
                    refusal = state.Refusal(
                        refusal.kind,
                        refusal.detail,
                        self._retry_after_s(call, refusal.retry_after_s),
                    )
                self._finish(call, refusal)
            case _:
                typing.assert_never(step)

    def _finish(self, call: _open_calls.OpenCall, reply: state.Reply) -> None:
        del self._call_by_number[call.number]
        if call.timer is not None:
            call.timer.cancel()
        match reply:
            case state.Refusal(kind, detail):
                if call.holds_unused_token and call.team is not None:
                    self._quota.tell(_messages.QuotaUnused(call.team.name))
                if call.caller_stopped:
                    self._log_caller_left(call, kind)
                else:
                    self._log_refusal(
                        call.request.request_id,
                        kind,
                        detail,
                        0
                        if self._fleet.table is None
                        else (self._fleet.table.version),
                        call,
                    )
                reply = dataclasses.replace(
                    reply, readmission=call.readmission
                )
            case state.Response(status=status):
                duration_s = self._clock.now_s() - call.arrived_at_s
                self.log.count("calls", f"answered-{status // 100}xx")
                self.log.observe("call", duration_s)
                write = self.log.sampled if status < 500 else self.log.decision
                write(
                    "call",
                    request_id=call.request.request_id,
                    outcome="answered",
                    status=status,
                    route=call.attempts.route.name,
                    servers=call.servers,
                    duration_ms=round(1000 * duration_s, 1),
                )
            case _:
                typing.assert_never(reply)
        call.reply(reply)

    def _log_refusal(
        self,
        request_id: str,
        kind: state.RefusalKind,
        detail: str,
        version: int,
        call: _open_calls.OpenCall | None = None,
    ) -> None:
        self.log.count("calls", kind.value)
        fields: dict[str, object] = {}
        if call is not None:
            fields = {
                "route": call.attempts.route.name,
                "team": None if call.team is None else call.team.name,
                "servers": call.servers,
                "progress": call.attempts.progress.value,
                "waited_ms": round(
                    1000 * (self._clock.now_s() - call.arrived_at_s), 1
                ),
            }
            if kind is state.RefusalKind.NO_SERVER:
                fields |= self._server_fields(call)
        self.log.decision(
            "call",
            request_id=request_id,
            outcome=kind.value,
            reason=detail,
            version=version,
            **fields,
        )

    def _server_fields(self, call: _open_calls.OpenCall) -> dict[str, object]:
        """Return the log fields on why no server could be used."""
        counts = self._survey().counts(
            call.service, call.allowed_regions, call.attempts.tried_server_ids
        )
        fields: dict[str, object] = {
            "service": call.service,
            "usable": counts.usable,
            "excluded": {
                exclusion.value: count
                for exclusion, count in counts.excluded.items()
            },
        }
        if counts.data_centres_out:
            fields["data_centres_out"] = counts.data_centres_out
        return fields

    def _survey(self) -> state.ServerSurvey:
        return state.ServerSurvey(
            self._fleet,
            self._placement,
            self._send_by_host,
            self._region_by_data_centre,
            self._clock.now_s(),
        )

    def _caller_left(
        self, message: _messages.CallerDisconnected | _messages.CallerStopped
    ) -> None:
        match message:
            case _messages.CallerDisconnected(number):
                self._caller_disconnected(number)
            case _messages.CallerStopped(number):
                self._caller_stopped(number)
            case _:
                typing.assert_never(message)

    def _caller_disconnected(self, number: int) -> None:
        call = self._call_by_number.pop(number, None)
        if call is None:
            return
        if call.timer is not None:
            call.timer.cancel()
        self._cancel_attempt(call)
        self._log_caller_left(call, None)

    def _caller_stopped(self, number: int) -> None:
        """Cancel a call; the gate replies unless it has begun to run it."""
        call = self._call_by_number.get(number)
        if call is None:
            return
        call.caller_stopped = True
        if call.host is not None:
            self._cancel_attempt(call)
            return
        self._finish(
            call,
            state.Refusal(
                state.RefusalKind.OVERLOADED, state.CALLER_STOPPED_REASON
            ),
        )

    def _log_caller_left(
        self, call: _open_calls.OpenCall, kind: state.RefusalKind | None
    ) -> None:
        self.log.count("calls", "caller-left")
        self.log.sampled(
            "call",
            request_id=call.request.request_id,
            outcome="caller-left",
            reason=None if kind is None else kind.value,
            servers=call.servers,
        )

    def _deadline_reached(self, number: int) -> None:
        call = self._call_by_number.get(number)
        if call is None or self._reads_late_answers(call):
            return
        self._cancel_attempt(call)
        self._conclude(call, call.attempts.timeout_step(call.host is not None))

    def _reads_late_answers(self, call: _open_calls.OpenCall) -> bool:
        """Return whether a call is left open for an answer that has come."""
        now_s = self._clock.now_s()
        until_s = state.late_answers_until_s(call.deadline_at_s, now_s)
        if call.reads_late or call.host is None or until_s <= now_s:
            return False
        call.reads_late = True
        call.timer = self._start_timer(call.number, until_s - now_s)
        return True

    def _start_timer(self, number: int, delay_s: float) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(
            max(0.0, delay_s),
            self.mailbox.tell,
            _messages.CallDeadlineReached(number),
        )

    def _cancel_attempt(self, call: _open_calls.OpenCall) -> None:
        if call.host is None:
            return
        if call.host == self._own_host:
            self._gate.tell(_messages.CancelCall(0, call.number))
            return
        if call.send is not None:
            call.send(_peer_messages.CallCancelled(call.number))

    def _peer_silent(self, host: str) -> None:
        """Send calls at a peer to others; the rest wait for it to answer."""
        self._placement.mark_unreachable(host)
        now_s = self._clock.now_s()
        for call in list(self._call_by_number.values()):
            if (
                call.host != host
                or call.caller_stopped
                or not call.attempts.may_retry_unanswered
            ):
                continue
            choice = self._choose_server(call, now_s)
            if (
                choice is None
                or not self._ends_before_stop(call, choice, now_s)
                or not self._try_retry(
                    call, state.UNANSWERED_RETRY_SHARE, now_s
                )
            ):
                continue
            self._cancel_attempt(call)
            call.attempts.next_step(state.MayHaveRun("peer-silent"))
            self._send(call, choice.server, now_s)

    def _peer_down(self, message: _messages.PeerDown) -> None:
        """End the calls on a link; those on another to the host go on."""
        host = message.host
        self._send_by_host.pop(host, None)
        if not message.is_linked:
            # While a link remains, the load last reported holds: a process
            # that ends accepts no calls, and its links end one by one.
            self._placement.mark_unreachable(host)
            self._lateness_by_host.pop(host, None)
        for call in list(self._call_by_number.values()):
            if call.host == host and message.send in (None, call.send):
                self._attempt_ended(
                    call.number, host, state.MayHaveRun(LINK_LOST)
                )

    def _call_unsent(self, message: _messages.CallUnsent) -> None:
        """End an attempt whose message has not been sent whole."""
        call = self._call_by_number.get(message.number)
        if (
            call is None
            or call.host != message.host
            or call.send != message.send
        ):
            return
        self.log.count("calls_unsent")
        self.log.decision(
            "call-unsent",
            request_id=call.request.request_id,
            peer=message.host,
            server=call.servers[-1],
            body_bytes=len(call.request.body),
        )
        self._attempt_ended(
            call.number,
            message.host,
            state.NotRun(LINK_LOST, NO_SERVER_RETRY_S),
        )

    def _fleet_changed(self, fleet: state.FleetSnapshot) -> None:
        if not self._has_fleet:
            # Until its ports are open, a previous process may make retries.
            self._has_fleet = True
            self._budget.started_at_s = self._clock.now_s()
        if fleet.table is not self._fleet.table and fleet.table is not None:
            self._work.retain(fleet.table.route_names)
            self._caller_deadlines.retain(fleet.table.route_names)
        self._fleet = fleet

    def _retry_after_s(
        self, call: _open_calls.OpenCall, wait_s: float
    ) -> float:
        return call.retry_after_s(wait_s, self._clock.now_s(), self._rng)


def _finds_no_room(result: state.AttemptResult) -> bool:
    """Return whether a node has refused a call since it is too busy.

    Other refusals say nothing about the other servers.
    """
    return (
        isinstance(result, state.NotRun)
        and not result.reached_server
        and result.reason in state.NO_ROOM_REASONS
    )
