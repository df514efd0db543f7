"""Bounded, weighted fair queue of calls that wait for a slot."""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.state import _calls
from jasminecrank.state import _rows


@dataclass(slots=True, frozen=True)
class CheckedCall:
    """A call with its resolved route, team and deadline."""

    call: _calls.CallRequest
    route: _rows.RouteRow
    team: str
    deadline_at_s: float


@dataclass(slots=True, frozen=True)
class WaitingCall:
    """A waiting call and the ticket that identifies its decision.

    `retry_at_s` is set while the call has no token: the time of its next
    attempt to take one.
    """

    ticket: int
    checked: CheckedCall
    retry_at_s: float | None = None
    retry_until_s: float = 0.0


@dataclass(slots=True)
class _TeamQueue:
    entries: deque[WaitingCall] = field(default_factory=deque)
    deficit: int = 0


@dataclass(slots=True)
class FairQueue:
    """Serves internal checks first, then teams by deficit round robin.

    A single team may fill the ordinary part of the queue. Once that part is
    full, a new call evicts the newest call of the team whose queue is longest
    relative to its weight. It is refused if the queue of its own team would
    become at least as long.
    """

    limit: int = 0
    internal_limit: int = 4
    weight_by_team: Mapping[str, int] = field(default_factory=dict)
    internal: deque[WaitingCall] = field(default_factory=deque)
    queue_by_team: dict[str, _TeamQueue] = field(default_factory=dict)
    active_teams: deque[str] = field(default_factory=deque)
    ordinary_count: int = 0

    def __len__(self) -> int:
        return self.ordinary_count + len(self.internal)

    def __iter__(self) -> Iterator[WaitingCall]:
        yield from self.internal
        for queue in self.queue_by_team.values():
            yield from queue.entries

    def waiting_count(self, team: str) -> int:
        """Return the number of waiting ordinary calls of a team."""
        queue = self.queue_by_team.get(team)
        return len(queue.entries) if queue else 0

    def offer(self, entry: WaitingCall) -> WaitingCall | None:
        """Add a call; return the call that is evicted or refused, if any."""
        if entry.checked.route.priority is _rows.Priority.INTERNAL:
            if len(self.internal) >= self.internal_limit:
                return entry
            self.internal.append(entry)
            return None
        if self.ordinary_count < self.limit:
            self._append(entry)
            return None
        team = self._most_overweight_team()
        if team is None or self._weighted_length(
            team, 0
        ) <= self._weighted_length(entry.checked.team, 1):
            return entry
        evicted = self.queue_by_team[team].entries.pop()
        self.ordinary_count -= 1
        self._drop_if_empty(team)
        self._append(entry)
        return evicted

    def pop_internal(self) -> WaitingCall | None:
        """Remove and return the next internal check, if any."""
        return self.internal.popleft() if self.internal else None

    def pop(self, may_start: Callable[[str], bool]) -> WaitingCall | None:
        """Remove and return the next call of a team that may start one."""
        for _ in range(len(self.active_teams)):
            team = self.active_teams[0]
            queue = self.queue_by_team[team]
            if not may_start(team):
                queue.deficit = 0
                self.active_teams.rotate(-1)
                continue
            if queue.deficit < 1:
                queue.deficit += self._weight(team)
            queue.deficit -= 1
            entry = queue.entries.popleft()
            self.ordinary_count -= 1
            if not self._drop_if_empty(team) and queue.deficit < 1:
                self.active_teams.rotate(-1)
            return entry
        return None

    def remove(
        self, condition: Callable[[WaitingCall], bool]
    ) -> list[WaitingCall]:
        """Remove and return calls that meet a condition, oldest first."""
        removed = [entry for entry in self if condition(entry)]
        if removed:
            tickets = {entry.ticket for entry in removed}
            self.retain(
                {
                    entry.ticket: entry
                    for entry in self
                    if entry.ticket not in tickets
                }
            )
        removed.sort(key=lambda entry: entry.ticket)
        return removed

    def retain(self, by_ticket: Mapping[int, WaitingCall]) -> None:
        """Keep only the given calls, in their present order and team."""
        self.internal = _filter_entries(self.internal, by_ticket)
        for team in tuple(self.queue_by_team):
            queue = self.queue_by_team[team]
            queue.entries = _filter_entries(queue.entries, by_ticket)
            self._drop_if_empty(team)
        self.ordinary_count = sum(
            len(queue.entries) for queue in self.queue_by_team.values()
        )

    def next_deadline_s(self) -> float | None:
        """Return the earliest deadline of a waiting call, if any."""
        return min(
            (entry.checked.deadline_at_s for entry in self), default=None
        )

    def _append(self, entry: WaitingCall) -> None:
        team = entry.checked.team
        queue = self.queue_by_team.get(team)
        if queue is None:
            queue = self.queue_by_team[team] = _TeamQueue()
            self.active_teams.append(team)
        queue.entries.append(entry)
        self.ordinary_count += 1

    def _drop_if_empty(self, team: str) -> bool:
        if self.queue_by_team[team].entries:
            return False
        del self.queue_by_team[team]
        self.active_teams.remove(team)
        return True

    def _most_overweight_team(self) -> str | None:
        return max(
            self.queue_by_team,
            key=lambda team: (self._weighted_length(team, 0), team),
            default=None,
        )

    def _weighted_length(self, team: str, added: int) -> float:
        return (self.waiting_count(team) + added) / self._weight(team)

    def _weight(self, team: str) -> int:
        return self.weight_by_team.get(team, 1)


def _filter_entries(
    entries: deque[WaitingCall], by_ticket: Mapping[int, WaitingCall]
) -> deque[WaitingCall]:
    return deque(
        by_ticket[entry.ticket]
        for entry in entries
        if entry.ticket in by_ticket
    )
