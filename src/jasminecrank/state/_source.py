"""When a node calls the configuration service."""

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
import random

from jasminecrank import const
from jasminecrank.state import _topology

_BACK_OFF_FIRST_S = 0.5
_BACK_OFF_MAX_S = 8.0
_WATCHER_BURST = 10
"""A watch and all four documents, twice."""
_TAKEOVER_S = 3.0
"""Time for a lost link to a watcher to be dialled anew."""


@dataclass(slots=True)
class SourceSchedule:
    """Spaces the calls of one node so that the fleet keeps to its budget.

    Every watch and every read is one call. Watchers share one half of the
    source's capacity, all other nodes the other half.
    """

    rate: float
    burst: int
    due_s: float
    not_before_s: float
    failures: int = 0

    @classmethod
    def from_start(
        cls,
        now_s: float,
        rng: random.Random,
        fleet_hosts: int,
        delay_s: float = 0.0,
    ) -> "SourceSchedule":
        """Return the schedule of a node that knows no host list yet.

        The first call is spread over the time in which the whole fleet
        may call once.
        """
        rate = _rate(fleet_hosts)
        first_s = now_s + delay_s + rng.uniform(0, 1 / rate)
        return cls(rate, 1, first_s, first_s)

    def set_part(self, topology: _topology.Topology, watching: bool) -> None:
        """Take the part of the budget that the host list gives."""
        if watching:
            self.rate = _rate(topology.watcher_count())
            self.burst = _WATCHER_BURST
        else:
            self.rate = _rate(len(topology.by_host))
            self.burst = 1

    def may_call(self, now_s: float) -> bool:
        """Return whether a call now is within the budget."""
        allowed_s = self.due_s - (self.burst - 1) / self.rate
        return now_s >= max(allowed_s, self.not_before_s)

    def called(self, now_s: float) -> None:
        """Count one call."""
        self.due_s = max(self.due_s, now_s) + 1 / self.rate

    def answered(self) -> None:
        """End the back-off."""
        self.failures = 0

    def failed(self, now_s: float, rng: random.Random) -> None:
        """Back off exponentially with jitter."""
        limit_s = min(_BACK_OFF_MAX_S, _BACK_OFF_FIRST_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        self.not_before_s = now_s + rng.uniform(limit_s / 2, limit_s)


def _rate(callers: int) -> float:
    share = const.SOURCE_CALLS_SHARE * const.SOURCE_CALLS_PER_S
    return share / max(1, callers)


@dataclass(slots=True)
class WatchDuty:
    """Decides whether a node watches the source.

    The candidates of a data centre are linked to each other. One without a
    link for some seconds counts as down, and the next one watches.
    """

    host: str
    data_centre: str
    unlinked_since_s: dict[str, float] = field(default_factory=dict)
    watching: bool = False

    def update(
        self,
        topology: _topology.Topology,
        linked: Collection[str],
        now_s: float,
    ) -> None:
        """Decide by the present host list and links."""
        candidates = topology.watch_candidates(self.data_centre)
        others = {row.host for row in candidates} - {self.host}
        self.unlinked_since_s = {
            host: self.unlinked_since_s.get(host, now_s)
            for host in others
            if host not in linked
        }
        down = {
            host
            for host, since_s in self.unlinked_since_s.items()
            if now_s - since_s >= _TAKEOVER_S
        }
        chosen = topology.watchers(self.data_centre, down)
        self.watching = any(row.host == self.host for row in chosen)
