"""Probe of the backend server's health endpoint."""

import json

import pykka
import urllib3

from jasminecrank import coordination
from jasminecrank import state
from jasminecrank.transport import _forwarder

_PROBE_PERIOD_S = 1.0
_PROBE_TIMEOUT_S = 0.5


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
        self._pool = urllib3.HTTPConnectionPool(
            target.address, target.port, maxsize=1
        )

    def on_start(self) -> None:
        """Schedule the first probe."""
        self._timers.call_later(0.0, self.actor_ref, coordination.Tick())

    def on_receive(self, message: object) -> object:
        """Probe once and schedule the next probe."""
        if isinstance(message, coordination.Tick):
            report = coordination.ServerHealth(self._probe())
            coordination.deliver(self._admission, report)
            self._timers.call_later(
                _PROBE_PERIOD_S, self.actor_ref, coordination.Tick()
            )
        return None

    def _probe(self) -> state.HealthReport:
        try:
            response = self._pool.request(
                "GET", "/health", timeout=_PROBE_TIMEOUT_S, retries=False
            )
            values = json.loads(response.data)
            return state.HealthReport(
                reachable=True,
                started_at_ms=int(values["started_at_ms"]),
                draining=bool(values.get("draining", False)),
                load=float(values.get("load", 0.0)),
            )
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            KeyError,
            TypeError,
        ):
            return state.HealthReport(False, 0, False, 0.0)
