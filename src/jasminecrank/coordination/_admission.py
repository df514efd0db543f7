"""The actor that decides on calls."""

from dataclasses import dataclass

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _loans
from jasminecrank.coordination import _messages
from jasminecrank.coordination import _timers


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """Whose calls are decided, and whether quotas are lent."""

    host: str
    quota_policy: state.QuotaPolicy = state.QuotaPolicy.LOANS


class AdmissionActor(_actors.NodeActor):
    """Owns quotas, slots and the snapshot by which calls are decided."""

    def __init__(
        self,
        settings: AdmissionSettings,
        clock: state.Clock,
        timers: _timers.Timers,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._admission = state.AdmissionState.from_host(
            settings.host, clock.monotonic_s()
        )
        self._admission.quota.loans.policy = settings.quota_policy
        self._loans = _loans.LoanDesk(self._admission.quota, timers)
        self._membership: _messages.Mailbox | None = None

    def connect(self, membership: _messages.Mailbox) -> None:
        """Take the mailboxes of the other actors."""
        self._membership = membership
        self._loans.start(membership, self.actor_ref)

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        reply = self._handle(message, self._clock.monotonic_s())
        self._loans.flush()
        return reply

    def _handle(self, message: object, now_s: float) -> object:
        match message:
            case _messages.AdmitCall():
                message.reply.set(self._admission.admit(message.call, now_s))
            case _messages.CallFinished():
                self._admission.finish(message.permit, message.outcome)
            case _messages.SnapshotChanged():
                self._admission.apply_snapshot(message.snapshot, now_s)
            case _messages.ReadinessChanged():
                self._admission.ready = message.ready
            case _messages.StopRequested():
                self._admission.draining = True
                self._admission.quota.start_draining()
            case _messages.ServerHealth() | _messages.CancelCall():
                return None
            case (
                _messages.Delivered()
                | _messages.PeerUp()
                | _messages.PeerDown()
                | _messages.QuotaTick()
            ):
                self._loans.handle(message, self.actor_ref, now_s)
            case _messages.GetStatus():
                return self._status()
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected message {message!r}"
                )
        return None

    def _status(self) -> _messages.AdmissionStatus:
        return _messages.AdmissionStatus(
            slots_in_use=self._admission.slots.in_use,
            capacity=self._admission.slots.capacity,
            queued=0,
            by_result=dict(self._admission.by_result),
            quota_usable=self._admission.quota.is_usable(
                self._clock.monotonic_s()
            ),
        )
