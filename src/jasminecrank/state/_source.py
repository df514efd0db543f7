"""When a node calls the configuration service."""

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
import random

from jasminecrank import const
from jasminecrank.state import _topology

_BACKOFF_INITIAL_S = 0.5
_BACKOFF_MAX_S = 8.0
_WATCHER_BURST_CALLS = 10
"""A watch and all four documents, twice."""
_TAKEOVER_DELAY_S = 3.0
"""Time for a lost link to a watcher to be dialled anew."""


@dataclass(slots=True)
class SourceSchedule:
    """Spaces the calls of one node so that the fleet keeps to its budget.

    Every watch and every read is one call. Watchers share one half of the
    source's capacity, all other nodes the other half.
    """

    rate_per_s: float
    burst_calls: int
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
        rate_per_s = _rate_per_caller(fleet_hosts)
        first_s = now_s + delay_s + rng.uniform(0, 1 / rate_per_s)
        return cls(rate_per_s, 1, first_s, first_s)

    def update_rate(
        self, topology: _topology.Topology, watching: bool
    ) -> None:
        """Take the part of the budget that the host list gives."""
        if watching:
            self.rate_per_s = _rate_per_caller(topology.watcher_count())
            self.burst_calls = _WATCHER_BURST_CALLS
        else:
            self.rate_per_s = _rate_per_caller(len(topology.by_host))
            self.burst_calls = 1

    def may_call(self, now_s: float) -> bool:
        """Return whether a call now is within the budget."""
        allowed_s = self.due_s - (self.burst_calls - 1) / self.rate_per_s
        return now_s >= max(allowed_s, self.not_before_s)

    def record_call(self, now_s: float) -> None:
        """Count one call."""
        self.due_s = max(self.due_s, now_s) + 1 / self.rate_per_s

    def record_success(self) -> None:
        """End the back-off."""
        self.failures = 0

    def record_failure(self, now_s: float, rng: random.Random) -> None:
        """Back off exponentially with jitter."""
        limit_s = min(_BACKOFF_MAX_S, _BACKOFF_INITIAL_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        self.not_before_s = now_s + rng.uniform(limit_s / 2, limit_s)


def _rate_per_caller(callers: int) -> float:
    share = const.SOURCE_CALLS_SHARE * const.SOURCE_CALLS_PER_S
    return share / max(1, callers)


@dataclass(slots=True)
class WatcherRole:
    """Decides whether a node watches the source.

    The candidates of a data centre are linked to each other. One without a
    link for some seconds counts as down, and the next one watches.
    """

    host: str
    data_centre: str
    unlinked_since_s_by_host: dict[str, float] = field(default_factory=dict)
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
        self.unlinked_since_s_by_host = {
            host: self.unlinked_since_s_by_host.get(host, now_s)
            for host in others
            if host not in linked
        }
        down = {
            host
            for host, since_s in self.unlinked_since_s_by_host.items()
            if now_s - since_s >= _TAKEOVER_DELAY_S
        }
        chosen = topology.watchers(self.data_centre, down)
        self.watching = any(row.host == self.host for row in chosen)
