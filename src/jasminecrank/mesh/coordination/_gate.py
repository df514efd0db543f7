"""Task that admits calls to the local backend server."""

import asyncio
from collections import Counter
from collections.abc import Iterable
import dataclasses
from dataclasses import dataclass
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _arriving_calls
from jasminecrank.mesh.coordination import _mailbox
from jasminecrank.mesh.coordination import _messages
from jasminecrank.mesh.coordination import _peer_messages

HEALTH_CHECK_PAUSE_S = 0.3
"""Pause between health checks of a server that is not healthy."""
CLOSED_RETRY_S = 0.8
"""Retry delay of refused calls; by then another server may be listed.

Half of the interval at which servers renew their entries.
"""
LISTING_GRACE_S = 3.0
"""Time after the node's start in which its server may not be listed yet.

A server lists itself within one renewal interval, about 1.5 s. The settings
that name its service were written when the node started.
"""
SAME_START_MAX_S = 0.7
"""Longest time between the starts of node and server after a power loss.

A server that starts at the address later may belong to another service.
"""
MAX_UNREAD_RATIO = 0.5
"""Part of a call's time that it may have waited unread at most."""
SERVER_GONE = "server-gone"
"""Reason for refusing calls to another incarnation of the server."""


class BackendServerPort(typing.Protocol):
    """Connections to the backend server, owned by the transport layer."""

    async def exchange(
        self, call: _peer_messages.CallSent, remaining_s: float
    ) -> state.AttemptResult:
        """Send a call and return its outcome, as far as it is known."""

    async def check_health(self, path: str) -> _messages.Health | None:
        """Return the result of a health check, or None if it fails."""


@dataclass(slots=True)
class _ActiveCall:
    call: _peer_messages.CallSent
    send: _peer_messages.SendToPeer
    unread_s: float = 0.0
    """How long it may have waited unread, with its deadline passing."""
    task: asyncio.Task[None] | None = None
    started: bool = False
    """Whether its task has begun to run."""
    cancelled: bool = False
    """Whether it is not to run, or not to its end."""
    replied: bool = False


class GateTask(_mailbox.MailboxTask[_messages.GateMessage]):
    """Owns the slots, queue and cold start of the local backend server."""

    def __init__(
        self,
        admission: state.AdmissionController,
        port: BackendServerPort,
        address: tuple[str, int],
        service: str,
        clock: _mailbox.Clock,
        log: _mailbox.Log,
        cold_overshoot: float = 1.0,
    ) -> None:
        super().__init__(log)
        self._service = service
        self._cold_overshoot = cold_overshoot
        self._running_ids: Counter[str] = Counter()
        """Ids of the requests that the server runs."""
        self._repeated_ids: Counter[str] = Counter()
        """Those of them whose runs are retries."""
        self._started_at_s = clock.now_s()
        self._server_started_at_s = -1e9
        """Derived from the remaining cold start; long ago if it is warm."""
        self._admission = admission
        self.port = port
        self._address = address
        self._clock = clock
        self._fleet = state.FleetSnapshot(None, {}, {}, frozenset())
        self._own_server: state.BackendServer | None = None
        self._known_incarnations: set[tuple[str, int]] = set()
        """Servers listed at the address that have been in use there."""
        self._gone_server_ids: set[str] = set()
        self._call_by_key: dict[tuple[int, int], _ActiveCall] = {}
        self._arriving = _arriving_calls.ArrivingCalls()
        self._accepting = True
        self._stop_window_closed = False
        self._health_check: asyncio.Task[None] | None = None
        self._tick_scheduled = False

    @property
    def active_calls(self) -> int:
        """Return the number of calls that have not been replied to yet."""
        unreplied = sum(
            not active.replied for active in self._call_by_key.values()
        )
        return unreplied + len(self._arriving)

    @property
    def is_closed(self) -> bool:
        """Return whether each call has been replied to and none is taken."""
        return self._stop_window_closed

    def is_running(self, request_id: str) -> bool:
        """Return whether the server runs a request of this id."""
        return request_id in self._running_ids

    def is_repeating(self, request_id: str) -> bool:
        """Return whether the server's run of this id is a retry."""
        return request_id in self._repeated_ids

    def load(self) -> state.ServerLoad:
        """Return the load of this server as reported to other nodes."""
        return self._admission.load(
            self._clock.now_s(), self._accepting_work()
        )

    def handle(self, message: _messages.GateMessage) -> None:
        """Process one message."""
        match message:
            case _messages.CallArriving():
                self._call_arriving(message)
            case _messages.RunCall(link_id, call):
                self._arriving.remove(link_id, call.call_id)
                self._admit(message)
            case _messages.CancelCall(link_id, call_id):
                self._cancel((link_id, call_id))
            case _messages.LinkClosed(link_id):
                self._link_closed(link_id)
            case _messages.RunEnded():
                self._run_ended(message)
            case _messages.HealthChecked(health):
                self._health_checked(health)
            case _messages.FleetChanged(fleet):
                self._fleet_changed(fleet)
            case _messages.GateTick():
                self._tick_scheduled = False
                self._release_queued()
            case _messages.StopRequested(window):
                self._accepting = False
                self._refuse_stopped(
                    self._admission.request_stop(window, self._clock.now_s())
                )
                self._refuse_arriving()
            case _messages.CloseGate(report):
                try:
                    self._end_all_calls()
                finally:
                    report()
            case _:
                typing.assert_never(message)

    def _call_arriving(self, message: _messages.CallArriving) -> None:
        """Wait for a call, unless the node stops before it would end."""
        self._arriving.add(
            _arriving_calls.ArrivingCall.from_message(
                message, self._clock.now_s()
            )
        )
        self._refuse_arriving()

    def _refuse_arriving(self) -> None:
        """Refuse the arriving calls that would not end before a stop."""
        now_s = self._clock.now_s()
        for arriving in self._arriving.take_unless(
            lambda request: (
                not self._stop_window_closed
                and self._admission.ends_before_stop(request, 0.0, now_s)
            )
        ):
            self._refuse(
                arriving.call, arriving.send, state.STOPPING_REASON, 0.0
            )

    def _admit(self, message: _messages.RunCall) -> None:
        call = message.call
        now_s = self._clock.now_s()
        if self._stop_window_closed:
            self._refuse(call, message.send, state.STOPPING_REASON, 0.0)
            return
        reason = self._rejection_reason(call.server_id)
        if reason is not None:
            self._refuse(call, message.send, reason, CLOSED_RETRY_S)
            return
        request = _arriving_calls.admission_request(
            message.link_id, call, now_s
        )
        active = _ActiveCall(
            call,
            message.send,
            min(message.unread_s, MAX_UNREAD_RATIO * call.remaining_s),
        )
        decision = self._admission.submit(request, now_s)
        match decision:
            case state.Admit():
                self._call_by_key[message.link_id, call.call_id] = active
                self._start(message.link_id, active, request.deadline_at_s)
            case state.Enqueue():
                self._call_by_key[message.link_id, call.call_id] = active
                self._ensure_health_check()
                self._schedule_tick()
            case state.Reject(reason, retry_after_s):
                self._refuse(call, message.send, reason, retry_after_s)
            case _:
                typing.assert_never(decision)

    def _rejection_reason(self, server_id: str) -> str | None:
        """Return why calls to a server must not start, or None if they may."""
        if server_id in self._gone_server_ids:
            return SERVER_GONE
        server = self._fleet.server_by_id.get(server_id)
        if server is not None:
            if (server.host, server.port) != self._address:
                return SERVER_GONE
            if server.state is not state.ServerState.READY:
                return "draining"
            if server.data_centre in self._fleet.data_centres_out:
                return "data-centre-out"
        if self._admission.health is state.ServerHealth.UP and (
            self._admission.server_id not in ("", server_id)
            and not self._is_successor(server)
        ):
            return SERVER_GONE
        return None

    def _is_successor(self, server: state.BackendServer | None) -> bool:
        """Return whether the running server can take calls to a listed one.

        After a power loss, node and server start together, and the new
        incarnation is not listed yet. The settings name its service, which
        has to be the same. Other services reuse addresses, so a server that
        did not start together with the node is not accepted.
        """
        return (
            server is not None
            and server.service == self._service
            and self._clock.now_s() - self._started_at_s < LISTING_GRACE_S
            and abs(self._server_started_at_s - self._started_at_s)
            < SAME_START_MAX_S
            and self._admission.server_id not in self._fleet.server_by_id
        )

    def _start(
        self, link_id: int, active: _ActiveCall, deadline_at_s: float
    ) -> None:
        call = active.call
        if call.server_id != self._admission.server_id and self._is_successor(
            self._fleet.server_by_id.get(call.server_id)
        ):
            active.call = dataclasses.replace(
                call, server_id=self._admission.server_id
            )
        self._running_ids[active.call.request_id] += 1
        if active.call.is_repeat:
            self._repeated_ids[active.call.request_id] += 1
        active.task = asyncio.get_running_loop().create_task(
            self._exchange(link_id, active, deadline_at_s)
        )

    async def _exchange(
        self, link_id: int, active: _ActiveCall, deadline_at_s: float
    ) -> None:
        active.started = True
        call = active.call
        now_s = self._clock.now_s()
        remaining_s = max(0.001, deadline_at_s - now_s)
        server_deadline_at_s = self._admission.server_deadline_at_s(
            deadline_at_s - active.unread_s
        )
        result: state.AttemptResult
        try:
            result = await self._exchange_until(
                call,
                max(0.001, server_deadline_at_s - now_s),
                now_s + remaining_s + state.ANSWER_TRANSIT_S,
            )
        except TimeoutError:
            result = state.MayHaveRun("no answer by the deadline")
        except asyncio.CancelledError:
            result = state.MayHaveRun("cancelled")
        except Exception as error:
            # Without a RunEnded message, the call would hold its slot forever.
            self.log.failure("run-failed", error, request_id=call.request_id)
            result = state.MayHaveRun("error in the node")
        self.mailbox.tell(
            _messages.RunEnded(
                link_id, call.call_id, result, _server_failed(result)
            )
        )

    async def _exchange_until(
        self,
        call: _peer_messages.CallSent,
        remaining_s: float,
        ends_at_s: float,
    ) -> state.AttemptResult:
        """Send a call and return its outcome, or raise TimeoutError."""
        loop = asyncio.get_running_loop()

        def end() -> None:
            now_s = self._clock.now_s()
            until_s = state.late_answers_until_s(ends_at_s, now_s)
            timeout.reschedule(loop.time() + until_s - now_s)

        async with asyncio.timeout(None) as timeout:
            timer = loop.call_later(ends_at_s - self._clock.now_s(), end)
            try:
                return await self.port.exchange(call, remaining_s)
            finally:
                timer.cancel()

    def _run_ended(self, message: _messages.RunEnded) -> None:
        active = self._call_by_key.pop((message.link_id, message.call_id))
        call = active.call
        _remove_one(self._running_ids, call.request_id)
        if call.is_repeat:
            _remove_one(self._repeated_ids, call.request_id)
        now_s = self._clock.now_s()
        match message.result:
            case state.Served(response, run_time_s):
                self._admission.record_completion(
                    call.route, run_time_s, message.server_failed, now_s
                )
                reply: _peer_messages.PeerMessage = _peer_messages.CallServed(
                    call.call_id,
                    response.status,
                    response.reason,
                    response.headers,
                    response.body,
                    run_time_s,
                    self._admission.in_flight + self._admission.queued,
                )
            case state.NotRun(reason, retry_after_s, reached_server):
                self._admission.record_completion(
                    call.route, None, message.server_failed, now_s
                )
                if not reached_server or reason == SERVER_GONE:
                    retry_after_s = max(retry_after_s, CLOSED_RETRY_S)
                    self._mark_server_unknown(reason)
                self._log_ended(call, "not-run", reason)
                reply = _peer_messages.CallNotRun(
                    call.call_id, reason, retry_after_s, reached_server
                )
            case state.MayHaveRun(reason):
                failed = not active.cancelled and message.server_failed
                self._admission.record_completion(
                    call.route, None, failed, now_s
                )
                if not active.cancelled:
                    self._log_ended(call, "may-have-run", reason)
                    if reason == "connection-reset":
                        self._mark_server_unknown(reason)
                reply = (
                    _peer_messages.CallMayHaveRun(call.call_id, reason)
                    if active.started
                    else _not_run(call)
                )
            case _:
                typing.assert_never(message.result)
        if not active.replied:
            active.send(reply)
        self._release_queued()

    def _cancel(self, key: tuple[int, int]) -> None:
        """Cancel a call, unless it runs and must not run twice.

        The entry ignores the reply if the caller has left.
        """
        arriving = self._arriving.remove(*key)
        if arriving is not None:
            arriving.send(_not_run(arriving.call))
        active = self._call_by_key.get(key)
        if active is None or active.cancelled:
            return
        if self._admission.cancel(*key):
            del self._call_by_key[key]
            active.send(_not_run(active.call))
            return
        if active.task is None or (
            active.started and not active.call.idempotent
        ):
            return
        self._cancel_task(key, active)

    def _cancel_task(self, key: tuple[int, int], active: _ActiveCall) -> None:
        active.cancelled = True
        if active.task is not None:
            active.task.cancel()
        if not active.started:
            # A task that is cancelled before it has started reports no end.
            self.mailbox.tell(
                _messages.RunEnded(*key, state.MayHaveRun("cancelled"), False)
            )

    def _link_closed(self, link_id: int) -> None:
        self._arriving.remove_link(link_id)
        for key in [key for key in self._call_by_key if key[0] == link_id]:
            self._cancel(key)

    def _release_queued(self) -> None:
        now_s = self._clock.now_s()
        released = self._admission.release_queued(now_s)
        for request in released.expired:
            key = (request.link_id, request.call_id)
            active = self._call_by_key.pop(key)
            self._refuse(active.call, active.send, state.DEADLINE_REASON, 0.0)
        self._refuse_stopped(released.stopped)
        for request in released.admitted:
            active = self._call_by_key[request.link_id, request.call_id]
            self._start(request.link_id, active, request.deadline_at_s)
        if self._admission.queued:
            self._schedule_tick()

    def _refuse_stopped(
        self, requests: Iterable[state.AdmissionRequest]
    ) -> None:
        for request in requests:
            active = self._call_by_key.pop((request.link_id, request.call_id))
            self._refuse(active.call, active.send, state.STOPPING_REASON, 0.0)

    def _schedule_tick(self) -> None:
        if self._tick_scheduled:
            return
        self._tick_scheduled = True
        now_s = self._clock.now_s()
        asyncio.get_running_loop().call_later(
            self._admission.release_delay_s(now_s),
            self.mailbox.tell,
            _messages.GateTick(),
        )

    def _refuse(
        self,
        call: _peer_messages.CallSent,
        send: _peer_messages.SendToPeer,
        reason: str,
        retry_after_s: float,
    ) -> None:
        self._log_ended(call, "not-run", reason)
        send(
            _peer_messages.CallNotRun(
                call.call_id, reason, retry_after_s, False
            )
        )

    def _log_ended(
        self, call: _peer_messages.CallSent, outcome: str, reason: str
    ) -> None:
        self.log.count("gate_calls", outcome)
        self.log.decision(
            "gate-call",
            request_id=call.request_id,
            server=call.server_id,
            outcome=outcome,
            reason=reason,
            in_flight=self._admission.in_flight,
            queued=self._admission.queued,
        )

    def _fleet_changed(self, fleet: state.FleetSnapshot) -> None:
        for server_id, server in self._fleet.server_by_id.items():
            if (server.host, server.port) == self._address and (
                server_id not in fleet.server_by_id
            ):
                self._gone_server_ids.add(server_id)
        self._fleet = fleet
        self._admission.policy = self._policy(fleet)
        own_servers = [
            server
            for server in fleet.server_by_id.values()
            if (server.host, server.port) == self._address
        ]
        self._gone_server_ids.difference_update(
            server.server_id for server in own_servers
        )
        newest = max(
            own_servers, key=lambda server: server.created_at_ms, default=None
        )
        self._own_server = newest
        listed = fleet.listed_at(*self._address)
        known = self._known_incarnations.intersection(
            map(_incarnation, listed)
        )
        in_use = set(map(_incarnation, filter(fleet.has_service, listed)))
        if in_use - known:
            # One of them may have replaced the server that ran before.
            self._mark_server_unknown("new-incarnation")
        # A service can leave the table and return while its server runs.
        self._known_incarnations = known | in_use
        if newest is not None:
            self._admission.slots = newest.slots
            service = fleet.table and fleet.table.service_by_name.get(
                newest.service
            )
            if service:
                self._admission.cold_rate_per_s = service.cold_rate_per_s
            self._admission.cold_until_s = max(
                self._admission.cold_until_s,
                fleet.cold_until_s_by_id.get(newest.server_id, 0.0),
            )
        if newest is None or self._rejection_reason(newest.server_id):
            self._refuse_queued()
        self._release_queued()

    def _policy(self, fleet: state.FleetSnapshot) -> state.AdmissionPolicy:
        if fleet.table is None or fleet.table.team_by_name:
            return state.TeamPolicy()
        return state.ObjectivePolicy(self._cold_overshoot)

    def _end_all_calls(self) -> None:
        """Reply to the remaining calls, whose results will not be known."""
        self._stop_window_closed = True
        self._refuse_queued()
        self._refuse_arriving()
        for key, active in self._call_by_key.items():
            if not active.started:
                if not active.cancelled:
                    self._cancel_task(key, active)
                active.replied = True
                self._refuse(
                    active.call, active.send, state.STOPPING_REASON, 0.0
                )
                continue
            if active.cancelled:
                continue
            active.cancelled = active.replied = True
            self._log_ended(active.call, "may-have-run", state.STOPPING_REASON)
            active.send(
                _peer_messages.CallMayHaveRun(
                    active.call.call_id, state.STOPPING_REASON
                )
            )

    def _refuse_queued(self) -> None:
        for request in self._admission.drain_queue():
            key = (request.link_id, request.call_id)
            active = self._call_by_key.pop(key)
            self._refuse(active.call, active.send, "closed", CLOSED_RETRY_S)

    def _accepting_work(self) -> bool:
        return (
            self._accepting
            and self._own_server is not None
            and self._rejection_reason(self._own_server.server_id) is None
        )

    def _mark_server_unknown(self, reason: str) -> None:
        if self._admission.health is state.ServerHealth.UP:
            self.log.decision("server-doubtful", reason=reason)
        self._admission.mark_server_unknown()
        self._ensure_health_check()

    def _ensure_health_check(self) -> None:
        if (
            self._admission.health is state.ServerHealth.UP
            or self._health_check is not None
        ):
            return
        self._health_check = asyncio.get_running_loop().create_task(
            self._check_health()
        )

    async def _check_health(self) -> None:
        path = self._health_path()
        health = None
        try:
            health = await self.port.check_health(path) if path else None
        except Exception as error:
            # Without a HealthChecked message, no check would follow.
            self.log.failure("health-check-failed", error)
        if health is None:
            await asyncio.sleep(HEALTH_CHECK_PAUSE_S)
        self.mailbox.tell(_messages.HealthChecked(health))

    def _own_service(self) -> state.Service | None:
        if self._own_server is None or self._fleet.table is None:
            return None
        return self._fleet.table.service_by_name.get(self._own_server.service)

    def _health_path(self) -> str | None:
        service = self._own_service()
        return None if service is None else service.health_path

    def _cold_start_s(self) -> float:
        service = self._own_service()
        return 0.0 if service is None else service.cold_start_s

    def _health_checked(self, health: _messages.Health | None) -> None:
        self._health_check = None
        if health is None:
            if self._own_server is not None:
                self._ensure_health_check()
            return
        now_s = self._clock.now_s()
        self._admission.mark_server_up(
            health.server_id, health.cold_left_s, now_s
        )
        if health.cold_left_s > 0.0:
            cold_s = self._cold_start_s()
            self._server_started_at_s = now_s - cold_s + health.cold_left_s
        self.log.decision(
            "server-up",
            server=health.server_id,
            cold_left_s=round(health.cold_left_s, 3),
        )
        if self._own_server is not None and self._rejection_reason(
            self._own_server.server_id
        ):
            self._refuse_queued()
        self._release_queued()


def _remove_one(counts: Counter[str], request_id: str) -> None:
    if counts[request_id] > 1:
        counts[request_id] -= 1
    else:
        del counts[request_id]


def _incarnation(server: state.BackendServer) -> tuple[str, int]:
    return server.server_id, server.created_at_ms


def _not_run(call: _peer_messages.CallSent) -> _peer_messages.CallNotRun:
    return _peer_messages.CallNotRun(call.call_id, "cancelled", 0.0, False)


def _server_failed(result: state.AttemptResult) -> bool:
    match result:
        case state.Served(response=response):
            return response.status >= 500 and response.status != 504
        case state.NotRun():
            return True
        case state.MayHaveRun():
            return True
        case _:
            typing.assert_never(result)
