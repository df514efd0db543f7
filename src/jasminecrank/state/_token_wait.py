"""Calls that found no token and try again a little later."""

from collections.abc import Callable
import dataclasses
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.state import _fair_queue

_WAIT_MAX_S = 0.1
"""Longest wait for a token, by when an asked peer has lent one."""

_RETRY_MIN_S = 0.0005
_MAX_WAITING_PER_TEAM = 8
"""Calls of one team that wait; a team above its rate always has some."""


@dataclass(slots=True)
class TokenWaitList:
    """Holds calls for as long as a token may still come in time."""

    by_ticket: dict[int, _fair_queue.WaitingCall] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.by_ticket)

    def add(
        self,
        entry: _fair_queue.WaitingCall,
        wait_s: float,
        max_waiting: int,
        now_s: float,
    ) -> bool:
        """Keep a new call that is short of a token, if it may wait."""
        team = entry.checked.team
        waiting = sum(
            other.checked.team == team for other in self.by_ticket.values()
        )
        if (
            len(self.by_ticket) >= max_waiting
            or waiting >= _MAX_WAITING_PER_TEAM
        ):
            return False
        first_attempt = dataclasses.replace(
            entry, retry_until_s=now_s + _WAIT_MAX_S
        )
        return self.schedule_retry(first_attempt, wait_s, now_s)

    def schedule_retry(
        self, entry: _fair_queue.WaitingCall, wait_s: float, now_s: float
    ) -> bool:
        """Keep a call until its next try; return False if it is too late."""
        retry_at_s = now_s + max(_RETRY_MIN_S, wait_s)
        if retry_at_s > entry.retry_until_s:
            return False
        self.by_ticket[entry.ticket] = dataclasses.replace(
            entry, retry_at_s=retry_at_s
        )
        return True

    def pop_due(self, now_s: float) -> list[_fair_queue.WaitingCall]:
        """Take out the calls that are to try again, oldest first."""
        return self.remove(
            lambda entry: (
                entry.retry_at_s is not None and entry.retry_at_s <= now_s
            )
        )

    def remove(
        self, condition: Callable[[_fair_queue.WaitingCall], bool]
    ) -> list[_fair_queue.WaitingCall]:
        """Take out all calls that meet a condition, oldest first."""
        removed = [
            entry for entry in self.by_ticket.values() if condition(entry)
        ]
        for entry in removed:
            del self.by_ticket[entry.ticket]
        removed.sort(key=lambda entry: entry.ticket)
        return removed

    def next_retry_at_s(self) -> float | None:
        """Return when the next call is to try again."""
        return min(
            (
                entry.retry_at_s
                for entry in self.by_ticket.values()
                if entry.retry_at_s is not None
            ),
            default=None,
        )
