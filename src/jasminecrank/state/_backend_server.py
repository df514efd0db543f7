"""Calls that run on this node's backend server."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.state import _calls
from jasminecrank.state import _fair_queue
from jasminecrank.state import _ramp
from jasminecrank.state import _rows
from jasminecrank.state import _slots
from jasminecrank.state import _versions

_DURATION_EWMA_WEIGHT = 0.1
_RETRY_AFTER_MIN_S = 0.05
_RETRY_AFTER_MAX_S = 5.0


@dataclass(slots=True)
class BackendServer:
    """Owns the slots and permits of one backend server."""

    ramp: _ramp.Ramp
    slots: _slots.SlotPool = field(default_factory=_slots.SlotPool)
    permit_by_id: dict[int, _calls.Permit] = field(default_factory=dict)
    running_by_team: Counter[str] = field(default_factory=Counter)
    last_permit_id: int = 0
    mean_duration_s: float = 0.01

    def has_room(self, priority: _rows.Priority, now_s: float) -> bool:
        """Return whether a call may start now."""
        return self.slots.has_room(
            priority, self.ramp.capacity(now_s), self.ramp.reserved_slots
        )

    def start(
        self,
        checked: _fair_queue.CheckedCall,
        version: _versions.Version,
        now_s: float,
    ) -> _calls.Permit:
        """Take a slot and return the permit to run a call."""
        route = checked.route
        self.slots.acquire(
            route.priority,
            self.ramp.capacity(now_s),
            self.ramp.cold_limit(now_s),
        )
        if route.priority is _rows.Priority.ORDINARY:
            self.running_by_team[checked.team] += 1
        self.last_permit_id += 1
        permit = _calls.Permit(
            request_id=checked.call.request_id,
            route=route,
            team=checked.team,
            version=version,
            deadline_at_s=checked.deadline_at_s,
            idempotency_key=checked.call.idempotency_key,
            permit_id=self.last_permit_id,
            admitted_at_s=now_s,
        )
        self.permit_by_id[permit.permit_id] = permit
        return permit

    def finish(
        self, permit: _calls.Permit, outcome: _calls.Outcome, now_s: float
    ) -> bool:
        """Release a permit; return False if it was not outstanding."""
        if self.permit_by_id.pop(permit.permit_id, None) is None:
            return False
        self.slots.release(permit.route.priority)
        if permit.route.priority is _rows.Priority.ORDINARY:
            self.running_by_team[permit.team] -= 1
            if not self.running_by_team[permit.team]:
                del self.running_by_team[permit.team]
        self.mean_duration_s += _DURATION_EWMA_WEIGHT * (
            outcome.duration_s - self.mean_duration_s
        )
        self.ramp.observe(permit, outcome, now_s)
        return True

    def observe_health(
        self, report: _calls.HealthReport, now_s: float
    ) -> None:
        """Adjust the capacity to a report of the health and load endpoint."""
        self.ramp.observe_health(report, self.slots.take_peak(), now_s)

    def retry_after_s(self, queue_length: int, now_s: float) -> float:
        """Estimate how long a queue of this length takes to be served."""
        rounds = (queue_length + 1) / max(1, self.ramp.capacity(now_s))
        return min(
            _RETRY_AFTER_MAX_S,
            max(_RETRY_AFTER_MIN_S, rounds * self.mean_duration_s),
        )
