"""Actor that admits, queues, forwards or rejects calls."""

from dataclasses import dataclass
import math

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _loans
from jasminecrank.coordination import _messages
from jasminecrank.coordination import _timers

_DRAIN_POLL_INTERVAL_S = 0.5
"""Forwarded calls stop being open at their deadline, without a message."""


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """Host, number of worker threads and quota policy of a node."""

    host: str
    threads: int
    quota_policy: state.QuotaPolicy = state.QuotaPolicy.LOANS


class AdmissionActor(_actors.NodeActor):
    """Own the quotas, slots and snapshot that admission depends on."""

    def __init__(
        self,
        settings: AdmissionSettings,
        clock: state.Clock,
        timers: _timers.Timers,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._admission = state.AdmissionState.from_host(
            settings.host,
            clock.monotonic_s(),
            clock.wall_ms(),
            settings.threads,
        )
        self._admission.quota.loans.policy = settings.quota_policy
        self._quota_messenger = _loans.QuotaMessenger(
            self._admission.quota, timers
        )
        self._membership: _messages.Mailbox | None = None
        self._reply_by_ticket: dict[int, _messages.DecisionReply] = {}
        self._tick_due_s = math.inf
        self._drain_replies: list[_messages.DrainedReply] = []
        self._reported_resets = 0

    def connect(self, membership: _messages.Mailbox) -> None:
        """Set the membership mailbox and start the quota ticks."""
        self._membership = membership
        self._quota_messenger.start(membership, self.actor_ref)

    def on_receive(self, message: object) -> object:
        """Handle a message and reply to the queued calls that it decides."""
        now_s = self._clock.monotonic_s()
        if isinstance(message, _messages.GetStatus):
            return self._status()
        self._handle(message, now_s)
        for deferred in self._admission.take_deferred():
            self._reply_by_ticket.pop(deferred.ticket).set(deferred.decision)
        self._quota_messenger.flush()
        self._schedule_tick(now_s)
        self._report_ramp_reset()
        if self._drain_replies:
            self._reply_when_drained(now_s)
        return None

    def _handle(self, message: object, now_s: float) -> None:
        match message:
            case _messages.AdmitCall():
                self._admit(message, now_s)
            case _messages.CallFinished():
                self._admission.finish(message.permit, message.outcome, now_s)
            case _messages.ForwardFinished():
                self._admission.finish_forward(
                    message.forward, message.outcome, now_s
                )
            case _messages.CancelCall():
                self._admission.cancel(message.request_id, now_s)
            case _messages.ServerHealth():
                self._admission.observe_health(message.health, now_s)
            case _messages.SnapshotChanged():
                self._admission.apply_snapshot(message.snapshot, now_s)
            case _messages.ReadinessChanged():
                self._admission.set_ready(
                    message.ready, now_s, message.ticked_s
                )
            case _messages.Tick():
                self._tick(now_s)
            case _messages.StopRequested():
                self._admission.stop(now_s)
                self._admission.quota.start_draining()
            case _messages.AwaitDrained():
                self._drain_replies.append(message.reply)
            case (
                _messages.PeerMessageReceived()
                | _messages.PeerUp()
                | _messages.PeerDown()
                | _messages.QuotaTick()
            ):
                self._quota_messenger.handle(message, self.actor_ref, now_s)
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected message {message!r}"
                )

    def _admit(self, message: _messages.AdmitCall, now_s: float) -> None:
        result = self._admission.admit(message.call, now_s)
        if isinstance(result, state.Queued):
            self._reply_by_ticket[result.ticket] = message.reply
            return
        message.reply.set(result)

    def _tick(self, now_s: float) -> None:
        # A tick that was superseded by an earlier one must not schedule
        # another; otherwise ticks accumulate while calls are queued.
        if now_s >= self._tick_due_s:
            self._tick_due_s = math.inf
        self._admission.tick(now_s)

    def _schedule_tick(self, now_s: float) -> None:
        """Schedule a tick for the next queued call that expires."""
        due_s = self._admission.next_due_s()
        if self._drain_replies:
            due_s = min(due_s or math.inf, now_s + _DRAIN_POLL_INTERVAL_S)
        if due_s is None or due_s >= self._tick_due_s:
            return
        self._tick_due_s = due_s
        self._timers.call_later(
            max(0.0, due_s - now_s), self.actor_ref, _messages.Tick()
        )

    def _reply_when_drained(self, now_s: float) -> None:
        """Reply to a planned stop when no call is open."""
        if self._admission.open_calls(now_s):
            return
        state.check(
            exceptions.ResultCode.INVARIANT_GRACEFUL_STOP,
            not self._reply_by_ticket
            and not self._admission.outstanding_permits(),
            "stopped with %d queued calls and %d running calls",
            len(self._reply_by_ticket),
            self._admission.outstanding_permits(),
        )
        for reply in self._drain_replies:
            reply.set(None)
        self._drain_replies.clear()

    def _report_ramp_reset(self) -> None:
        ramp = self._admission.dispatcher.server.ramp
        if ramp.resets == self._reported_resets:
            return
        self._reported_resets = ramp.resets
        if self._membership is not None:
            self._membership.tell(
                _messages.RecordEvent(
                    "server-cold", {"reason": ramp.last_reset_reason}
                )
            )

    def _status(self) -> _messages.AdmissionStatus:
        server = self._admission.dispatcher.server
        return _messages.AdmissionStatus(
            slots_in_use=server.slots.in_use,
            capacity=server.ramp.capacity(self._clock.monotonic_s()),
            queued=self._admission.waiting_count(),
            by_result=dict(self._admission.by_result),
            quota_usable=self._admission.quota.is_usable(
                self._clock.monotonic_s()
            ),
        )
