"""Periodic health check of the backend server."""

import time

import pykka

from jasminecrank import coordination
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _forwarder

_PROBE_PERIOD_S = 1.0
_PROBE_TIMEOUT_S = 0.5
_MAX_IDLE_S = 4.0
_HEALTH_CALL = protocol.HttpCall(
    state.CallRequest("health", "GET", "/health", None, None, None, None),
    "/health",
    (),
    b"",
)


class HealthProbe(coordination.NodeActor):
    """Actor that polls the health and load of the backend server."""

    def __init__(
        self,
        target: _forwarder.Target,
        timers: coordination.Timers,
        admission: pykka.ActorRef[coordination.AdmissionActor],
    ) -> None:
        super().__init__()
        self._timers = timers
        self._admission = admission
        self._target = target
        self._client = _forwarder.HttpClient(_MAX_IDLE_S)

    def on_start(self) -> None:
        """Schedule the first health check."""
        self._timers.call_later(0.0, self.actor_ref, coordination.Tick())

    def on_receive(self, message: object) -> object:
        """Run one health check and schedule the next."""
        if isinstance(message, coordination.Tick):
            report = coordination.ServerHealth(self._probe())
            coordination.tell_if_alive(self._admission, report)
            self._timers.call_later(
                _PROBE_PERIOD_S, self.actor_ref, coordination.Tick()
            )
        return None

    def _probe(self) -> state.HealthReport:
        outgoing = _forwarder.OutgoingCall(
            _HEALTH_CALL, (), time.monotonic() + _PROBE_TIMEOUT_S
        )
        attempt_result = self._client.send(
            self._target, outgoing, protocol.decode_server_response
        )
        match attempt_result:
            case state.Answered():
                return protocol.decode_health(attempt_result.answer.body)
            case state.Shed():
                # A server that sheds load is reachable and fully loaded.
                return state.HealthReport(True, 0, False, 1.0)
            case _:
                return protocol.UNREACHABLE_REPORT
