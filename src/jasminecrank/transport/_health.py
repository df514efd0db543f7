"""Probe of the backend server's health endpoint."""

import json
import time

import pykka

from jasminecrank import coordination
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _forwarder

_PROBE_PERIOD_S = 1.0
_PROBE_TIMEOUT_S = 0.5
_IDLE_S = 4.0
_PROBE = protocol.HttpCall(
    state.CallRequest("health", "GET", "/health", None, None, None, None),
    "/health",
    (),
    b"",
)
_UNREACHABLE = state.HealthReport(False, 0, False, 0.0)


class HealthProbe(coordination.NodeActor):
    """Owns the connection that reads health and load."""

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
        self._client = _forwarder.ServerClient(_IDLE_S)

    def on_start(self) -> None:
        """Schedule the first probe."""
        self._timers.call_later(0.0, self.actor_ref, coordination.Tick())

    def on_receive(self, message: object) -> object:
        """Probe once and schedule the next probe."""
        if isinstance(message, coordination.Tick):
            report = coordination.ServerHealth(self._probe())
            coordination.tell_if_alive(self._admission, report)
            self._timers.call_later(
                _PROBE_PERIOD_S, self.actor_ref, coordination.Tick()
            )
        return None

    def _probe(self) -> state.HealthReport:
        outgoing = _forwarder.OutgoingCall(
            _PROBE, (), time.monotonic() + _PROBE_TIMEOUT_S
        )
        evidence = self._client.send(
            self._target, outgoing, protocol.server_evidence
        )
        match evidence:
            case state.Answered():
                return _decode_health(evidence.answer.body)
            case state.Shed():
                # A server that sheds load is there, and as busy as it can be.
                return state.HealthReport(True, 0, False, 1.0)
            case _:
                return _UNREACHABLE


def _decode_health(body: bytes) -> state.HealthReport:
    try:
        values = json.loads(body)
        return state.HealthReport(
            reachable=True,
            started_at_ms=int(values["started_at_ms"]),
            draining=bool(values.get("draining", False)),
            load=float(values.get("load", 0.0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return _UNREACHABLE
