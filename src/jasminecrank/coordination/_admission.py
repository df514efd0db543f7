"""The actor that decides on calls."""

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _messages


class AdmissionActor(_actors.NodeActor):
    """Owns quotas, slots and the snapshot by which calls are decided."""

    def __init__(self, host: str, clock: state.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._admission = state.AdmissionState.from_host(
            host, clock.monotonic_s()
        )
        self._membership: _messages.Mailbox | None = None

    def connect(self, membership: _messages.Mailbox) -> None:
        """Take the mailboxes of the other actors."""
        self._membership = membership

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        now_s = self._clock.monotonic_s()
        match message:
            case _messages.AdmitCall():
                message.reply.set(self._admission.admit(message.call, now_s))
            case _messages.CallFinished():
                self._admission.finish(message.permit, message.outcome)
            case _messages.SnapshotChanged():
                self._admission.apply_snapshot(message.snapshot, now_s)
            case _messages.ReadinessChanged():
                self._admission.ready = message.ready
                self._admission.ticked_s = message.ticked_s
            case _messages.StopRequested():
                self._admission.draining = True
            case _messages.ServerHealth() | _messages.CancelCall():
                return None
            case _messages.Delivered():
                return None
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
        )
