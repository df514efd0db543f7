"""Admission control of a backend server, run by the node on its host."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import enum
import heapq
import math
import typing

from jasminecrank.mesh.state import _admission
from jasminecrank.mesh.state import _run_times
from jasminecrank.mesh.state import _stopping

COLD_RATE_FRACTION = 0.95
"""Fraction of the cold-start rate used, so that no second exceeds it."""
COLD_TIMER_S = 0.01
"""Lateness of the timer for a cold admission that is made up for."""
MAX_COLD_INTERVAL_S = 1.0
"""Time between two admissions if the table states no rate."""
ASSUMED_TARGET_FRACTION = 0.3
"""Run time assumed of an unknown route, as a fraction of its objective.

Objectives are set to about three times the mean run time.
"""
ASSUMED_COLD_FACTOR = 2.0
"""Run times in a cold start, as a multiple of those after it."""
MIN_ASSUMED_RUN_S = 0.01
EXPIRY_CHECK_S = 0.05
"""Interval at which queued calls are checked for their deadlines."""
MIN_RELEASE_DELAY_S = 0.002
DEFAULT_RUN_TIME_S = 0.1
"""Run time assumed until a call has completed."""
MAX_WAIT_FRACTION = 0.7
"""Longest accepted wait, as a fraction of the time left to the objective."""
ALWAYS_ACCEPTED_WAIT_S = 0.03
"""Expected wait that is always accepted: about one short run."""
LOAD_CHANGE_FRACTION = 0.2
"""Change of the load, relative to the limit, that is reported at once."""
STOPPING_REASON = "stopping"
"""Reason for refusing calls that would not end before the node does."""
BUSY_REASON = "busy"
"""Reason for refusing calls that would miss their objective."""
DEADLINE_REASON = "deadline"
"""Reason for refusing calls that would miss their deadline."""
QUEUE_FULL_REASON = "queue full"
NO_ROOM_REASONS = frozenset((BUSY_REASON, DEADLINE_REASON, QUEUE_FULL_REASON))
"""Reasons for refusing calls that say how busy a server is."""
MAX_QUEUED_CALLS = 512
"""Bounds the memory used by queued calls."""
MAX_LEFT_ENTRIES = 64
"""Entries of the queue whose calls have left it, beyond as many that wait."""


class ServerHealth(enum.Enum):
    """Health of the backend server, as known to its node."""

    UNKNOWN = "unknown"
    PROBING = "probing"
    UP = "up"


@dataclass(slots=True, frozen=True)
class ServerLoad:
    """The load of a backend server, as its node reports it to other nodes."""

    server_id: str
    in_flight: int
    queued: int
    limit: int
    run_time_s: float
    """Average run time; 0 until a call has completed outside a cold start."""
    failure_rate: float
    accepting: bool

    def server_changed(self, other: "ServerLoad") -> bool:
        """Return whether the server, its limit or its acceptance changed."""
        return (self.server_id, self.limit, self.accepting) != (
            other.server_id,
            other.limit,
            other.accepting,
        )

    def load_changed(self, other: "ServerLoad") -> bool:
        """Return whether the loads differ enough to affect placement."""
        change = self.in_flight + self.queued - other.in_flight - other.queued
        return abs(change) > max(1.0, LOAD_CHANGE_FRACTION * self.limit)


@dataclass(slots=True)
class AdmissionController:
    """Manages slots, queue and cold-start rate of one backend server."""

    slots: int = 1
    server_id: str = ""
    health: ServerHealth = ServerHealth.UNKNOWN
    cold_until_s: float = 0.0
    cold_rate_per_s: float = 0.0
    in_flight: int = 0
    cold_run_time_s: float = 0.0
    """Moving average of run times of the current cold start."""
    run_times: _run_times.RunTimes = field(default_factory=_run_times.RunTimes)
    stop_window: _stopping.StopWindow | None = None
    """Set once the node is being stopped."""
    policy: _admission.AdmissionPolicy = field(
        default_factory=_admission.TeamPolicy
    )
    cold_run_times: _run_times.RunTimes = field(
        default_factory=_run_times.RunTimes
    )
    """Run times of the current cold start, by route."""
    _run_time: _run_times.AgeingRunTime = field(
        default_factory=_run_times.AgeingRunTime
    )
    _failures: _run_times.FailureRate = field(
        default_factory=_run_times.FailureRate
    )
    _queue: list[tuple[int, int, _admission.AdmissionRequest]] = field(
        default_factory=list
    )
    _queued_keys: set[tuple[int, int]] = field(default_factory=set)
    _sequence: int = 0
    _next_cold_admission_at_s: float = 0.0
    _overtaken_checked_at_s: float = -1e9

    @property
    def run_time_s(self) -> float:
        """Return the average run time; 0 until a call has completed."""
        return self._run_time.average_s

    @property
    def failure_rate(self) -> float:
        """Return the average failure rate at the latest completion."""
        return self._failures.rate

    @property
    def queued(self) -> int:
        """Return the number of queued calls, without cancelled ones."""
        return len(self._queued_keys)

    def submit(
        self, request: _admission.AdmissionRequest, now_s: float
    ) -> _admission.Decision:
        """Admit, enqueue or reject a new call."""
        if self.stop_window is not None and not self.ends_before_stop(
            request, self.expected_wait_s(request.rank, now_s), now_s
        ):
            return _admission.Reject(STOPPING_REASON, 0.0)
        idle = self.health is ServerHealth.UP and not self._queued_keys
        if idle and self._has_capacity(now_s):
            self._occupy_slot(now_s)
            return _admission.Admit()
        run_time_s = self._request_run_time_s(request, now_s)
        wait_s = self.expected_wait_s(request.rank, now_s)
        if now_s + wait_s + run_time_s > request.deadline_at_s:
            return _admission.Reject(
                DEADLINE_REASON, self._room_after_s(wait_s, now_s)
            )
        left_s = request.target_at_s - now_s - run_time_s
        if wait_s > max(ALWAYS_ACCEPTED_WAIT_S, MAX_WAIT_FRACTION * left_s):
            return _admission.Reject(
                BUSY_REASON, self._room_after_s(wait_s, now_s)
            )
        if len(self._queued_keys) >= MAX_QUEUED_CALLS:
            return _admission.Reject(
                QUEUE_FULL_REASON, self._room_after_s(wait_s, now_s)
            )
        self._sequence += 1
        heapq.heappush(self._queue, (request.rank, self._sequence, request))
        self._queued_keys.add((request.link_id, request.call_id))
        return _admission.Enqueue()

    def release_queued(self, now_s: float) -> _admission.ReleasedCalls:
        """Dequeue the calls that may start now and those that have expired."""
        admitted = []
        expired = []
        while self._queue:
            request = self._queue[0][2]
            key = (request.link_id, request.call_id)
            if key not in self._queued_keys:
                heapq.heappop(self._queue)
                continue
            if self._misses_deadline(request, now_s):
                heapq.heappop(self._queue)
                self._queued_keys.discard(key)
                expired.append(request)
                continue
            if self.health is not ServerHealth.UP or not self._has_capacity(
                now_s
            ):
                break
            heapq.heappop(self._queue)
            self._queued_keys.discard(key)
            self._occupy_slot(now_s)
            admitted.append(request)
        expired.extend(self._remove_expired(now_s))
        expired.extend(self._remove_overtaken(now_s))
        stopped = self._remove_stopped(now_s)
        self._remove_left()
        return _admission.ReleasedCalls(
            tuple(admitted), tuple(expired), tuple(stopped)
        )

    def cancel(self, link_id: int, call_id: int) -> bool:
        """Cancel a queued call; return whether it was queued."""
        if (link_id, call_id) not in self._queued_keys:
            return False
        self._queued_keys.discard((link_id, call_id))
        return True

    def drain_queue(self) -> tuple[_admission.AdmissionRequest, ...]:
        """Remove and return all queued calls without running them."""
        requests = tuple(self._queued_requests())
        self._queue.clear()
        self._queued_keys.clear()
        return requests

    def record_completion(
        self, route: str, run_time_s: float | None, failed: bool, now_s: float
    ) -> None:
        """Free the slot of a completed call and update the statistics.

        Run times from a cold start are kept apart, since they say nothing
        about the time after it.
        """
        self.in_flight -= 1
        self._failures.record(failed, now_s)
        if run_time_s is None or failed:
            return
        if self.is_cold(now_s):
            self.cold_run_time_s = self.cold_run_time_s or run_time_s
            self.cold_run_time_s += _run_times.RUN_TIME_WEIGHT * (
                run_time_s - self.cold_run_time_s
            )
            self.cold_run_times.record(route, run_time_s)
            return
        self._run_time.record(run_time_s, now_s)
        self.run_times.record(route, run_time_s)

    def mark_server_up(
        self, server_id: str, cold_left_s: float, now_s: float
    ) -> None:
        """Record a successful health check."""
        if server_id != self.server_id:
            self.server_id = server_id
            self._failures = _run_times.FailureRate()
            self._run_time = _run_times.AgeingRunTime()
            self.run_times.clear()
            self.cold_run_times.clear()
            self.cold_run_time_s = 0.0
        self.health = ServerHealth.UP
        self.cold_until_s = max(self.cold_until_s, now_s + cold_left_s)

    def mark_server_unknown(self) -> None:
        """Require a successful health check before the next call."""
        self.health = ServerHealth.UNKNOWN
        self.cold_until_s = 0.0
        self.cold_run_time_s = 0.0
        self.cold_run_times.clear()

    def expected_run_time_s(self, route: str) -> float:
        """Return the expected run time of a route's calls."""
        expected_s = self.run_times.expected_s(route)
        if expected_s is None:
            return self.run_time_s or DEFAULT_RUN_TIME_S
        return expected_s

    def _request_run_time_s(
        self, request: _admission.AdmissionRequest, now_s: float
    ) -> float:
        """Return the expected run time of a call that starts now."""
        match self.policy:
            case _admission.TeamPolicy():
                return self.expected_run_time_s(request.route)
            case _admission.ObjectivePolicy():
                return self._run_time_by_phase_s(request, now_s)
            case _:
                typing.assert_never(self.policy)

    def _run_time_by_phase_s(
        self, request: _admission.AdmissionRequest, now_s: float
    ) -> float:
        """Return the expected run time, apart for a cold start."""
        warm_s = self.run_times.expected_s(request.route)
        if not self.is_cold(now_s):
            if warm_s is not None:
                return warm_s
            return self.run_time_s or self._assumed_run_time_s(request, now_s)
        cold_s = self.cold_run_times.expected_s(request.route)
        if cold_s is not None:
            return cold_s
        if warm_s is not None:
            return ASSUMED_COLD_FACTOR * warm_s
        return self._assumed_run_time_s(request, now_s)

    def _assumed_run_time_s(
        self, request: _admission.AdmissionRequest, now_s: float
    ) -> float:
        """Return a run time for a route of which no call has completed."""
        target_left_s = request.target_at_s - now_s
        assumed_s = ASSUMED_TARGET_FRACTION * target_left_s
        if self.is_cold(now_s):
            assumed_s *= ASSUMED_COLD_FACTOR
        return max(MIN_ASSUMED_RUN_S, assumed_s)

    def longest_run_time_s(self, route: str) -> float | None:
        """Return a run time that few calls of a route exceed, or None."""
        return self.run_times.longest_s(route)

    def expected_wait_s(self, rank: int, now_s: float) -> float:
        """Return how long a new call of a rank would wait for a slot."""
        ahead = sum(
            1
            for entry in self._queue
            if entry[0] <= rank
            and (entry[2].link_id, entry[2].call_id) in self._queued_keys
        )
        return self._wait_behind_s(ahead, now_s)

    def _wait_behind_s(self, ahead: int, now_s: float) -> float:
        """Return the wait for a slot behind a number of queued calls.

        During a cold start, the calls ahead also use up its rate.
        """
        slots = max(1, self.slots)
        excess = ahead + self.in_flight - slots + 1
        wait_s = max(0.0, excess * self._mean_run_time_s(now_s) / slots)
        if not self.is_cold(now_s):
            return wait_s
        turn_at_s = max(now_s, self._next_cold_admission_at_s)
        turn_at_s = min(
            self.cold_until_s, turn_at_s + ahead * self._cold_interval_s
        )
        return max(wait_s, turn_at_s - now_s)

    def _room_after_s(self, wait_s: float, now_s: float) -> float:
        """Return when a rejected call is likely to find room.

        While a server is cold, new calls use up its rate.
        """
        return max(wait_s, self.cold_until_s - now_s)

    def _mean_run_time_s(self, now_s: float) -> float:
        if self.is_cold(now_s) and self.cold_run_time_s:
            return self.cold_run_time_s
        return self.run_time_s or DEFAULT_RUN_TIME_S

    @property
    def _cold_interval_s(self) -> float:
        """Return the time between two admissions during a cold start."""
        rate_per_s = COLD_RATE_FRACTION * self.cold_rate_per_s
        match self.policy:
            case _admission.TeamPolicy():
                pass
            case _admission.ObjectivePolicy(cold_overshoot):
                rate_per_s *= max(1.0, cold_overshoot)
            case _:
                typing.assert_never(self.policy)
        return 1.0 / rate_per_s if rate_per_s > 0.0 else MAX_COLD_INTERVAL_S

    def limit(self, now_s: float) -> int:
        """Return how many calls may run concurrently."""
        if self.is_cold(now_s):
            slots_at_rate = (
                self._mean_run_time_s(now_s) / self._cold_interval_s
            )
            return max(1, min(self.slots, math.ceil(slots_at_rate)))
        return max(1, self.slots)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is still in its cold start."""
        return now_s < self.cold_until_s

    def next_cold_admission_at_s(self, now_s: float) -> float:
        """Return when the cold-start rate admits the next call."""
        if not self.is_cold(now_s):
            return now_s
        return min(self.cold_until_s, self._next_cold_admission_at_s)

    def release_delay_s(self, now_s: float) -> float:
        """Return when to look for queued calls that may start or expire.

        A call that ends makes room at once, so that only the turns of a cold
        start and deadlines need a timer.
        """
        turn_in_s = self.next_cold_admission_at_s(now_s) - now_s
        if turn_in_s <= 0.0:
            return EXPIRY_CHECK_S
        return min(EXPIRY_CHECK_S, max(MIN_RELEASE_DELAY_S, turn_in_s))

    def load(self, now_s: float, accepting: bool) -> ServerLoad:
        """Return the load to report to other nodes."""
        return ServerLoad(
            self.server_id,
            self.in_flight,
            self.queued,
            self.limit(now_s),
            self.run_time_s,
            self.failure_rate,
            accepting and self.health is ServerHealth.UP,
        )

    def _has_capacity(self, now_s: float) -> bool:
        if self.in_flight >= max(1, self.slots):
            return False
        return (
            not self.is_cold(now_s) or self._next_cold_admission_at_s <= now_s
        )

    def _occupy_slot(self, now_s: float) -> None:
        self.in_flight += 1
        if self.is_cold(now_s):
            self._next_cold_admission_at_s = (
                max(self._next_cold_admission_at_s, now_s - COLD_TIMER_S)
                + self._cold_interval_s
            )

    def _misses_deadline(
        self, request: _admission.AdmissionRequest, now_s: float
    ) -> bool:
        run_time_s = 0.5 * self._request_run_time_s(request, now_s)
        return now_s + run_time_s > request.deadline_at_s

    def ends_before_stop(
        self, request: _admission.AdmissionRequest, wait_s: float, now_s: float
    ) -> bool:
        """Return whether a call that waits so long ends in time for a stop."""
        return self.stop_window is None or self.stop_window.accepts(
            now_s,
            request.deadline_at_s,
            wait_s,
            self.longest_run_time_s(request.route),
        )

    def server_deadline_at_s(self, deadline_at_s: float) -> float:
        """Return the deadline of a call that is given to the server now."""
        if self.stop_window is None:
            return deadline_at_s
        return self.stop_window.server_deadline_at_s(deadline_at_s)

    def request_stop(
        self, window: _stopping.StopWindow, now_s: float
    ) -> tuple[_admission.AdmissionRequest, ...]:
        """Begin to stop; dequeue and return the calls that wait too long."""
        self.stop_window = window
        stopped = []
        ahead = 0
        for request in self._queued_requests():
            wait_s = self._wait_behind_s(ahead, now_s)
            if self.ends_before_stop(request, wait_s, now_s):
                ahead += 1
            else:
                stopped.append(request)
        self._discard(stopped)
        return tuple(stopped)

    def _remove_stopped(
        self, now_s: float
    ) -> list[_admission.AdmissionRequest]:
        """Dequeue the calls that would end too late even if they ran now."""
        if self.stop_window is None:
            return []
        stopped = [
            request
            for request in self._queued_requests()
            if not self.ends_before_stop(request, 0.0, now_s)
        ]
        self._discard(stopped)
        return stopped

    def _queued_requests(self) -> list[_admission.AdmissionRequest]:
        """Return the queued calls in the order in which they start."""
        return [
            entry[2]
            for entry in sorted(self._queue, key=lambda entry: entry[:2])
            if (entry[2].link_id, entry[2].call_id) in self._queued_keys
        ]

    def _discard(
        self, requests: Iterable[_admission.AdmissionRequest]
    ) -> None:
        self._queued_keys.difference_update(
            (request.link_id, request.call_id) for request in requests
        )

    def _remove_expired(
        self, now_s: float
    ) -> list[_admission.AdmissionRequest]:
        expired = []
        for _, _, request in self._queue:
            key = (request.link_id, request.call_id)
            if key in self._queued_keys and self._misses_deadline(
                request, now_s
            ):
                self._queued_keys.discard(key)
                expired.append(request)
        return expired

    def _remove_overtaken(
        self, now_s: float
    ) -> list[_admission.AdmissionRequest]:
        """Dequeue the calls that are expected to start after their deadlines.

        Calls of higher ranks have come since they were queued. Their callers
        have time left to try again.
        """
        if (
            isinstance(self.policy, _admission.TeamPolicy)
            or not self._queued_keys
            or now_s - self._overtaken_checked_at_s < EXPIRY_CHECK_S
        ):
            return []
        self._overtaken_checked_at_s = now_s
        overtaken = []
        ahead = 0
        for request in self._queued_requests():
            if now_s + self._wait_behind_s(ahead, now_s) > (
                request.deadline_at_s
            ):
                overtaken.append(request)
            else:
                ahead += 1
        self._discard(overtaken)
        return overtaken

    def _remove_left(self) -> None:
        """Remove the entries of calls that have left the queue, if many.

        Those of a low rank don't come first as long as others wait.
        """
        waiting = len(self._queued_keys)
        if len(self._queue) <= 2 * waiting + MAX_LEFT_ENTRIES:
            return
        self._queue = [
            entry
            for entry in self._queue
            if (entry[2].link_id, entry[2].call_id) in self._queued_keys
        ]
        heapq.heapify(self._queue)
