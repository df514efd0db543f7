"""Capacity of the backend server, which ramps up after a cold start.

The health and load endpoints both lag, so a good report never raises the
capacity: only timely answers to calls do. A bad report lowers it at once,
unless a recent timely answer contradicts the report.
"""

from dataclasses import dataclass
import math

from jasminecrank.state import _calls
from jasminecrank.state import _rows

_MAX_WARMUP_GAP_S = 1.0
"""Longest gap between two answers that counts as warm-up under load."""

_FAILURES_TO_RESET = 3
_SHED_DECREASE_FACTOR = 0.7
_SHED_RECOVERY_PER_S = 1.0

_ANSWER_VALID_S = 1.0
"""How long a timely answer overrides a failed health check."""

_LOAD_REPORT_TTL_S = 5.0
_DOWN_PERIOD_S = 1.5
"""How long a server counts as down; above one health check period."""


@dataclass(slots=True)
class Ramp:
    """Tracks the warm-up and the capacity of one backend server."""

    thread_limit: int
    reset_at_s: float
    warmup_counted_until_s: float
    row: _rows.ServiceRow | None = None
    reserved_slots: int = 0
    warmup_s: float = 0.0
    answered_at_s: float = -math.inf
    failures_in_a_row: int = 0
    started_at_ms: int | None = None
    draining: bool = False
    down_until_s: float = -math.inf
    shed_limit: float = math.inf
    shed_at_s: float = -math.inf
    load_limit: int = 0
    load_limit_until_s: float = -math.inf
    last_reset_reason: str = "start"
    resets: int = 0

    @classmethod
    def from_start(cls, thread_limit: int, now_s: float) -> "Ramp":
        """Return the ramp of a newly started node, whose server is cold."""
        return cls(thread_limit, now_s, now_s)

    def apply_row(
        self, row: _rows.ServiceRow | None, reserved_slots: int
    ) -> None:
        """Apply the service row of a new snapshot."""
        self.row = row
        self.reserved_slots = (
            reserved_slots if row is not None and row.slots > 1 else 0
        )

    def reset(self, reason: str, now_s: float) -> None:
        """Treat the server as cold from now on."""
        if self.warmup_s > 0.0 or reason != self.last_reset_reason:
            self.resets += 1
        self.reset_at_s = now_s
        self.warmup_counted_until_s = now_s
        self.warmup_s = 0.0
        self.failures_in_a_row = 0
        self.shed_limit = math.inf
        self.last_reset_reason = reason

    def capacity(self, now_s: float) -> int:
        """Return how many calls may run on the server at once."""
        row = self.row
        if row is None or self.draining:
            return 0
        # One connection is reserved for the health check.
        limit = min(
            self._slots_after(row, self.warmup_s),
            self.thread_limit,
            max(1, row.max_connections - 1),
        )
        if self.shed_limit < limit:
            limit = max(
                int(self.shed_limit), min(limit, 1 + self.reserved_slots)
            )
        if now_s < self.load_limit_until_s:
            limit = min(limit, self.load_limit)
        return limit

    def cold_limit(self, now_s: float) -> int:
        """Return the slots that a server cold at the last reset can take."""
        if self.row is None:
            return 0
        return self._slots_after(self.row, now_s - self.reset_at_s)

    def is_down(self, now_s: float) -> bool:
        """Return whether the server is presumed unreachable."""
        return now_s < self.down_until_s

    def observe(
        self, permit: _calls.Permit, outcome: _calls.Outcome, now_s: float
    ) -> None:
        """Adjust the capacity to the outcome of a call."""
        match outcome.kind:
            case _calls.OutcomeKind.ANSWERED:
                self._observe_answer(permit, outcome.duration_s, now_s)
            case _calls.OutcomeKind.SHED:
                self.failures_in_a_row = 0
                self._observe_shed(permit.admitted_at_s, now_s)
            case _calls.OutcomeKind.NOT_SENT:
                # Calls whose deadline has passed are not sent either.
                if now_s < permit.deadline_at_s:
                    self.reset("connection refused", now_s)
                    self.down_until_s = now_s + _DOWN_PERIOD_S
            case _calls.OutcomeKind.TIMED_OUT | _calls.OutcomeKind.BROKEN:
                self._observe_failure(permit, now_s)
            case _calls.OutcomeKind.CANCELLED:
                return

    def observe_health(
        self, report: _calls.HealthReport, in_use_peak: int, now_s: float
    ) -> None:
        """Adjust the capacity to a report of the health and load endpoint."""
        if not report.reachable:
            if now_s - self.answered_at_s > _ANSWER_VALID_S:
                self.reset("health unreachable", now_s)
                self.down_until_s = now_s + _DOWN_PERIOD_S
            return
        if self.started_at_ms not in (None, report.started_at_ms):
            self.reset("server restarted", now_s)
        self.started_at_ms = report.started_at_ms
        if self.draining and not report.draining:
            self.reset("server ended draining", now_s)
        self.draining = report.draining
        self._observe_load(report.load, in_use_peak, now_s)
        # With a single cold slot, reserved for internal checks, no ordinary
        # call could start and warm up the server, so health reports do.
        if (
            self.row
            and self._slots_after(self.row, self.warmup_s)
            <= self.reserved_slots
        ):
            self._add_warmup(now_s)

    def _observe_answer(
        self, permit: _calls.Permit, duration_s: float, now_s: float
    ) -> None:
        if permit.admitted_at_s < self.reset_at_s:
            return
        self.failures_in_a_row = 0
        if duration_s > permit.route.deadline_ms / 2000:
            self.warmup_counted_until_s = now_s
            return
        self.answered_at_s = now_s
        self.down_until_s = -math.inf
        self._add_warmup(now_s)

    def _add_warmup(self, now_s: float) -> None:
        gap_s = min(
            max(0.0, now_s - self.warmup_counted_until_s), _MAX_WARMUP_GAP_S
        )
        self.warmup_counted_until_s = max(now_s, self.warmup_counted_until_s)
        self.warmup_s += gap_s
        self.shed_limit += gap_s * _SHED_RECOVERY_PER_S

    def _observe_failure(self, permit: _calls.Permit, now_s: float) -> None:
        self.warmup_counted_until_s = now_s
        allowed_s = permit.deadline_at_s - permit.admitted_at_s
        # A short deadline set by the caller is no sign of a slow server.
        if (
            permit.admitted_at_s < self.reset_at_s
            or allowed_s < permit.route.deadline_ms / 2000
        ):
            return
        self.failures_in_a_row += 1
        if self.failures_in_a_row >= _FAILURES_TO_RESET:
            self.reset("time-outs in a row", now_s)

    def _observe_shed(self, admitted_at_s: float, now_s: float) -> None:
        self.warmup_counted_until_s = now_s
        # Calls admitted before the last decrease report the same overload.
        if admitted_at_s < self.shed_at_s:
            return
        self.shed_limit = max(
            1.0, self.capacity(now_s) * _SHED_DECREASE_FACTOR
        )
        self.shed_at_s = now_s

    def _observe_load(
        self, load: float, in_use_peak: int, now_s: float
    ) -> None:
        """Lower the capacity by the load that bypasses this node."""
        if self.row is None or not math.isfinite(load) or load < 0.0:
            return
        busy = math.ceil(load * self.row.slots - 1e-9)
        external = max(0, busy - in_use_peak)
        floor = max(self.row.cold_slots, 1 + self.reserved_slots)
        self.load_limit = max(floor, self.row.slots - external)
        self.load_limit_until_s = now_s + _LOAD_REPORT_TTL_S

    def _slots_after(self, row: _rows.ServiceRow, elapsed_s: float) -> int:
        if elapsed_s >= row.ramp_s:
            return row.slots
        rise = (row.slots - row.cold_slots) * elapsed_s / row.ramp_s
        return row.cold_slots + int(rise)
