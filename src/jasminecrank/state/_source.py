"""Schedules the calls of a node to the configuration service."""

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
import random

from jasminecrank import const
from jasminecrank.state import _topology

_BACKOFF_INITIAL_S = 0.5
_BACKOFF_MAX_S = 8.0
_WATCHER_BURST_CALLS = 10
"""Enough for a watch and a read of all four documents, twice."""
_TAKEOVER_DELAY_S = 3.0
"""Time to reconnect a lost link before a watcher counts as down."""


@dataclass(slots=True)
class SourceSchedule:
    """Limits the call rate of one node to its part of the fleet's budget.

    Every watch and every read is one call. Watchers share one half of the
    source's capacity, and all other nodes share the other half.
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
        """Return the schedule of a node without a host list.

        The first call is delayed at random within the time in which every
        node of the fleet may call once.
        """
        rate_per_s = _rate_per_caller(fleet_hosts)
        first_s = now_s + delay_s + rng.uniform(0, 1 / rate_per_s)
        return cls(rate_per_s, 1, first_s, first_s)

    def update_rate(
        self, topology: _topology.Topology, watching: bool
    ) -> None:
        """Update the rate limit from the host list."""
        if watching:
            self.rate_per_s = _rate_per_caller(topology.watcher_count())
            self.burst_calls = _WATCHER_BURST_CALLS
        else:
            self.rate_per_s = _rate_per_caller(len(topology.by_host))
            self.burst_calls = 1

    def may_call(self, now_s: float) -> bool:
        """Return whether the rate limit and the backoff allow a call now."""
        allowed_s = self.due_s - (self.burst_calls - 1) / self.rate_per_s
        return now_s >= max(allowed_s, self.not_before_s)

    def record_call(self, now_s: float) -> None:
        """Count a call against the rate limit."""
        self.due_s = max(self.due_s, now_s) + 1 / self.rate_per_s

    def record_success(self) -> None:
        """Reset the backoff."""
        self.failures = 0

    def record_failure(self, now_s: float, rng: random.Random) -> None:
        """Delay the next call by an exponential backoff with jitter."""
        limit_s = min(_BACKOFF_MAX_S, _BACKOFF_INITIAL_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        self.not_before_s = now_s + rng.uniform(limit_s / 2, limit_s)


def _rate_per_caller(callers: int) -> float:
    share = const.SOURCE_CALLS_SHARE * const.SOURCE_CALLS_PER_S
    return share / max(1, callers)


@dataclass(slots=True)
class WatcherRole:
    """Decides whether a node watches the source.

    The candidates of a data centre are linked to each other. A candidate
    without a link for several seconds counts as down, and the candidate with
    the next rank takes over.
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
        """Reevaluate the role from the current host list and links."""
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
