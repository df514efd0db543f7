"""Calls that wait for a quota token and retry."""

from collections.abc import Callable
import dataclasses
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.state import _fair_queue

_WAIT_MAX_S = 0.1
"""Maximum wait for a token, within which a lending peer replies."""

_RETRY_MIN_S = 0.0005
_MAX_WAITING_PER_TEAM = 8
"""Limit of waiting calls; a team above its rate always has some."""


@dataclass(slots=True)
class TokenWaitList:
    """Calls that may still get a token before their wait ends."""

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
        """Add a call that got no token; return False if there is no room."""
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
        """Keep a call until its retry; return False if that is too late."""
        retry_at_s = now_s + max(_RETRY_MIN_S, wait_s)
        if retry_at_s > entry.retry_until_s:
            return False
        self.by_ticket[entry.ticket] = dataclasses.replace(
            entry, retry_at_s=retry_at_s
        )
        return True

    def pop_due(self, now_s: float) -> list[_fair_queue.WaitingCall]:
        """Remove and return the calls due for a retry, oldest first."""
        return self.remove(
            lambda entry: (
                entry.retry_at_s is not None and entry.retry_at_s <= now_s
            )
        )

    def remove(
        self, condition: Callable[[_fair_queue.WaitingCall], bool]
    ) -> list[_fair_queue.WaitingCall]:
        """Remove and return the calls that meet a condition, oldest first."""
        removed = [
            entry for entry in self.by_ticket.values() if condition(entry)
        ]
        for entry in removed:
            del self.by_ticket[entry.ticket]
        removed.sort(key=lambda entry: entry.ticket)
        return removed

    def next_retry_at_s(self) -> float | None:
        """Return the time of the next retry, or None without waiting calls."""
        return min(
            (
                entry.retry_at_s
                for entry in self.by_ticket.values()
                if entry.retry_at_s is not None
            ),
            default=None,
        )
