"""Decides which calls a node takes between SIGTERM and SIGKILL."""

import dataclasses
from dataclasses import dataclass
import math
import typing

from jasminecrank.mesh.state import _connection_debts

STOP_MARGIN_S = 0.4
"""Time before SIGKILL at which a stopping node ends its own server's calls."""
MAY_BREAK_OFF_RATIO = 5.0 / 6.0
"""Fraction of the grace period after which calls may be broken off."""
ANSWER_TRANSIT_S = 0.3
"""Time for an answer to come from the server of another host.

Also for the answer that a server gives at its deadline.
"""
END_MARGIN_S = 0.1
"""Time before SIGKILL at which a stopping node waits for nothing any more."""
PEERS_MARGIN_S = 0.25
"""Time before SIGKILL at which it waits for no answer of another host."""
LATE_ANSWERS_S = 0.1
"""Longest time in which a late process reads what has come meanwhile."""
CALLERS_LEAVE_S = 2.3
"""Time in which callers have left, after two failed readiness checks.

They are made every second.
"""


LATENESS_INTERVAL_S = 2.0
"""Interval whose largest delay is kept for another one."""
MAX_LATENESS_S = 1.0
"""Largest delay that a stop allows for."""
MAX_LATENESS_RATIO = 0.2
"""The same as a fraction of a short grace period."""


@dataclass(slots=True)
class Lateness:
    """How late the process has run in the last seconds."""

    _largest_s: float = 0.0
    _previous_s: float = 0.0
    _began_at_s: float = 0.0
    _held_up_s: float = 0.0
    """The latest delay, until what has come in it is read."""

    def record(self, delay_s: float, now_s: float) -> None:
        """Record by how much the process has run too late."""
        self._held_up_s = max(0.0, delay_s)
        if now_s - self._began_at_s >= LATENESS_INTERVAL_S:
            self._previous_s, self._largest_s = self._largest_s, 0.0
            self._began_at_s = now_s
        self._largest_s = max(self._largest_s, delay_s)

    def mark_read(self) -> None:
        """Note that all has been read that came until the last record."""
        self._held_up_s = 0.0

    def unread_s(self, overdue_s: float) -> float:
        """Return how long what is read now may have waited.

        `overdue_s` is the time since the next record was due.
        """
        return max(self._held_up_s, overdue_s)

    @property
    def recent_s(self) -> float:
        """Return the largest delay of the last seconds."""
        return max(self._largest_s, self._previous_s)


def late_answers_until_s(due_at_s: float, now_s: float) -> float:
    """Return until when answers are read at a moment that is handled late.

    Event loops handle timers before what has come while they did not run.
    """
    return now_s + min(LATE_ANSWERS_S, max(0.0, now_s - due_at_s))


@dataclass(slots=True, frozen=True)
class StopWindow:
    """The time that a stopping node has left for calls."""

    handled_at_s: float
    """When the node learnt of the signal and stopped being ready."""
    closes_at_s: float
    """When a call has to be expected to end, for it to be taken."""
    breaks_off_at_s: float
    """When the own server's runs are answered without their results."""
    may_break_off_at_s: float = math.inf
    """When calls may be broken off at the earliest."""
    killed_at_s: float = math.inf
    """When the grace period ends at the earliest."""

    @classmethod
    def from_signal(
        cls,
        handled_at_s: float,
        last_ran_at_s: float,
        grace_s: float,
        lateness_s: float,
    ) -> typing.Self:
        """Return the window after a signal to stop.

        A signal that comes while the process does not run is handled late.
        Its grace period may have begun when the process last ran, and bounds
        the end; or just now, and bounds what may be broken off. Callers leave
        after the signal was handled. A process that runs late takes calls for
        less time, and needs more time for its end.
        """
        started_at_s = min(handled_at_s, last_ran_at_s)
        allowance_s = min(
            lateness_s, MAX_LATENESS_S, MAX_LATENESS_RATIO * grace_s
        )
        killed_at_s = started_at_s + grace_s
        longest_at_s = killed_at_s - STOP_MARGIN_S
        ends_at_s = longest_at_s - allowance_s
        may_break_off_at_s = (
            handled_at_s + MAY_BREAK_OFF_RATIO * grace_s + ANSWER_TRANSIT_S
        )
        breaks_off_at_s = min(longest_at_s, max(ends_at_s, may_break_off_at_s))
        closes_at_s = min(ends_at_s, breaks_off_at_s - ANSWER_TRANSIT_S)
        return cls(
            handled_at_s,
            closes_at_s,
            breaks_off_at_s,
            may_break_off_at_s,
            killed_at_s,
        )

    def at_peer(self, lateness_s: float) -> typing.Self:
        """Return the window for calls at a host that runs so late.

        It may read the last answers of its server so much later.
        """
        due_at_s = (
            self.awaits_peers_until_s
            - LATE_ANSWERS_S
            - min(lateness_s, MAX_LATENESS_S)
        )
        return dataclasses.replace(
            self,
            closes_at_s=min(self.closes_at_s, due_at_s),
            breaks_off_at_s=min(
                self.breaks_off_at_s, due_at_s + ANSWER_TRANSIT_S
            ),
        )

    def for_lateness(self, lateness_s: float) -> typing.Self:
        """Return the window of a process that has become late meanwhile.

        Calls are broken off earlier, but not before servers have answered at
        the deadlines that they got.
        """
        earliest_at_s = max(
            self.may_break_off_at_s,
            self.breaks_off_at_s - ANSWER_TRANSIT_S + LATE_ANSWERS_S,
        )
        due_at_s = self.killed_at_s - STOP_MARGIN_S - lateness_s
        return dataclasses.replace(
            self,
            breaks_off_at_s=min(
                self.breaks_off_at_s, max(earliest_at_s, due_at_s)
            ),
        )

    @property
    def ends_at_s(self) -> float:
        """Return when nothing is waited for any more, even if it is owed."""
        return self.killed_at_s - END_MARGIN_S

    @property
    def callers_leave_at_s(self) -> float:
        """Return when callers have left, or no call is taken any more."""
        return min(self.handled_at_s + CALLERS_LEAVE_S, self.closes_at_s)

    @property
    def listens_until_s(self) -> float:
        """Return when a new connection has no time left for a request."""
        return self.breaks_off_at_s - _connection_debts.FIRST_REQUEST_S

    @property
    def awaits_peers_until_s(self) -> float:
        """Return when the answers of other hosts are given up.

        Their processes may be late, too, which this one can't know. It has
        nothing else left to do by then, so that waiting puts nothing at risk
        but the calls that would be given up.
        """
        return self.killed_at_s - PEERS_MARGIN_S

    def reads_until_s(self, due_at_s: float, now_s: float) -> float:
        """Return until when answers are read, after calls are to end.

        A process that is late finds some that have come while it did not run.
        """
        return min(late_answers_until_s(due_at_s, now_s), self.ends_at_s)

    def accepts(
        self,
        now_s: float,
        deadline_at_s: float,
        wait_s: float,
        longest_run_s: float | None,
    ) -> bool:
        """Return whether a call is expected to end in time.

        A call without a known run time may take until its deadline.
        """
        if deadline_at_s <= self.closes_at_s:
            return True
        if longest_run_s is None:
            return False
        return now_s + wait_s + longest_run_s <= self.closes_at_s

    def server_deadline_at_s(self, deadline_at_s: float) -> float:
        """Return the deadline of a call that is given to a server now.

        At its deadline, the server gives the call up with an answer of its
        own. The node could only break it off without knowing its outcome.
        A late process takes calls for less time, but awaits their answers.
        """
        return min(deadline_at_s, self.breaks_off_at_s - ANSWER_TRANSIT_S)

    def accepts_caller(self, arrived_at_s: float) -> bool:
        """Return whether a request of a caller comes before they have left.

        The node's own backend server has no other node to send its calls to,
        so that this does not hold for them.
        """
        return arrived_at_s <= self.callers_leave_at_s
