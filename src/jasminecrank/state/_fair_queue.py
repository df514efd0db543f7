"""Bounded queue of calls that wait for a slot, served by weight."""

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
    """A call whose route, team and deadline are known."""

    call: _calls.CallRequest
    route: _rows.RouteRow
    team: str
    deadline_at_s: float


@dataclass(slots=True, frozen=True)
class Waiting:
    """A call that waits and the ticket its decision is given under.

    A call without a token has a time at which it tries to get one.
    """

    ticket: int
    checked: CheckedCall
    retry_at_s: float | None = None
    give_up_at_s: float = 0.0


@dataclass(slots=True)
class _Lane:
    entries: deque[Waiting] = field(default_factory=deque)
    deficit: int = 0


@dataclass(slots=True)
class FairQueue:
    """Serves teams by deficit round robin, internal checks before them.

    Any team may use the whole ordinary part while it is free. Once it is
    full, the newest call of the team furthest above its weight gives way.
    """

    limit: int = 0
    internal_limit: int = 4
    weight_by_team: Mapping[str, int] = field(default_factory=dict)
    internal: deque[Waiting] = field(default_factory=deque)
    lane_by_team: dict[str, _Lane] = field(default_factory=dict)
    ring: deque[str] = field(default_factory=deque)
    ordinary: int = 0

    def __len__(self) -> int:
        return self.ordinary + len(self.internal)

    def __iter__(self) -> Iterator[Waiting]:
        yield from self.internal
        for lane in self.lane_by_team.values():
            yield from lane.entries

    def waiting_of(self, team: str) -> int:
        """Return how many ordinary calls of a team wait."""
        lane = self.lane_by_team.get(team)
        return len(lane.entries) if lane else 0

    def offer(self, entry: Waiting) -> Waiting | None:
        """Add a call; return the one that has no place, if any."""
        if entry.checked.route.priority is _rows.Priority.INTERNAL:
            if len(self.internal) >= self.internal_limit:
                return entry
            self.internal.append(entry)
            return None
        if self.ordinary < self.limit:
            self._append(entry)
            return None
        team = self._most_served()
        if team is None or self._fill(team, 0) <= self._fill(
            entry.checked.team, 1
        ):
            return entry
        victim = self.lane_by_team[team].entries.pop()
        self.ordinary -= 1
        self._drop_if_empty(team)
        self._append(entry)
        return victim

    def pop_internal(self) -> Waiting | None:
        """Return the next internal check."""
        return self.internal.popleft() if self.internal else None

    def pop(self, may_start: Callable[[str], bool]) -> Waiting | None:
        """Return the next ordinary call of a team that may start one."""
        for _ in range(len(self.ring)):
            team = self.ring[0]
            lane = self.lane_by_team[team]
            if not may_start(team):
                lane.deficit = 0
                self.ring.rotate(-1)
                continue
            if lane.deficit < 1:
                lane.deficit += self._weight(team)
            lane.deficit -= 1
            entry = lane.entries.popleft()
            self.ordinary -= 1
            if not self._drop_if_empty(team) and lane.deficit < 1:
                self.ring.rotate(-1)
            return entry
        return None

    def remove(self, condition: Callable[[Waiting], bool]) -> list[Waiting]:
        """Take out all calls that meet a condition, oldest first."""
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

    def retain(self, by_ticket: Mapping[int, Waiting]) -> None:
        """Keep these calls only, each in its place and for its team."""
        self.internal = _retained(self.internal, by_ticket)
        for team in tuple(self.lane_by_team):
            lane = self.lane_by_team[team]
            lane.entries = _retained(lane.entries, by_ticket)
            self._drop_if_empty(team)
        self.ordinary = sum(
            len(lane.entries) for lane in self.lane_by_team.values()
        )

    def next_deadline_s(self) -> float | None:
        """Return when the next waiting call expires."""
        return min(
            (entry.checked.deadline_at_s for entry in self), default=None
        )

    def _append(self, entry: Waiting) -> None:
        team = entry.checked.team
        lane = self.lane_by_team.get(team)
        if lane is None:
            lane = self.lane_by_team[team] = _Lane()
            self.ring.append(team)
        lane.entries.append(entry)
        self.ordinary += 1

    def _drop_if_empty(self, team: str) -> bool:
        if self.lane_by_team[team].entries:
            return False
        del self.lane_by_team[team]
        self.ring.remove(team)
        return True

    def _most_served(self) -> str | None:
        return max(
            self.lane_by_team,
            key=lambda team: (self._fill(team, 0), team),
            default=None,
        )

    def _fill(self, team: str, more: int) -> float:
        return (self.waiting_of(team) + more) / self._weight(team)

    def _weight(self, team: str) -> int:
        return self.weight_by_team.get(team, 1)


def _retained(
    entries: deque[Waiting], by_ticket: Mapping[int, Waiting]
) -> deque[Waiting]:
    return deque(
        by_ticket[entry.ticket]
        for entry in entries
        if entry.ticket in by_ticket
    )
