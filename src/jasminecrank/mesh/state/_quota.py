"""Distributes the fleet-wide rate of each team among quota arbiters."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh.state import _host_census
from jasminecrank.mesh.state import _links
from jasminecrank.mesh.state import _table

PRESENCE_INTERVAL_S = 0.4
"""Interval at which a node reports its presence to an arbiter."""
PRESENCE_TIMEOUT_S = 1.3
"""Age at which a node counts as gone: three intervals plus a delay."""
RATE_MARGIN = 1.03
"""Granted rate as a multiple of the team's rate.

It compensates for tokens of calls that are abandoned before they are sent, and
stays well within the overshoot that the platform allows.
"""
TAKEOVER_CREDIT_S = 0.25
"""Seconds of tokens credited at once for nodes that an arbiter takes over.

About the time that the nodes need to notice that the previous arbiter is gone;
four takeovers in a window stay within the allowed overshoot.
"""
OVERSHOOT_FRACTION = 0.8
"""Fraction of the allowed overshoot used while hosts are missing."""


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """The platform's bounds on how far the fleet may exceed a rate."""

    window_s: float
    overshoot: float
    slack: float


@dataclass(slots=True, frozen=True)
class Grant:
    """The number of granted tokens and the time until the next one."""

    granted: int
    wait_s: float


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at_s: float
    rate_share: float
    """Share of the team's rate at the last refill."""


@dataclass(slots=True, frozen=True)
class _Presence:
    received_at_s: float
    arbiters: tuple[str, ...]


def choose_arbiter(
    team: str, reachable: tuple[str, ...], own_host: str
) -> str:
    """Return the host whose node grants tokens of a team.

    A node that reaches no arbiter grants its own tokens.
    """
    if not reachable:
        return own_host
    return _links.rank_hosts(team, reachable)[0]


@dataclass(slots=True)
class QuotaArbiter:
    """Token buckets of the teams, for the nodes that ask this one.

    Each node asks one arbiter per team, and an arbiter grants no more than the
    share of the rate that belongs to the nodes that ask it. The sum of the
    shares therefore stays within the allowed overshoot, however the network is
    partitioned.
    """

    own_host: str
    bounds: QuotaBounds
    host_count: int = 1
    """Hosts in the whole fleet, reachable or not."""
    confirmed_at_s: float | None = None
    """When the source last confirmed the entries; None if not known."""
    _bucket_by_team: dict[str, _Bucket] = field(default_factory=dict)
    _presence_by_host: dict[str, _Presence] = field(default_factory=dict)
    _arbiter_by_query: dict[tuple[str, tuple[str, ...]], str] = field(
        default_factory=dict
    )

    def record_presence(
        self, host: str, reachable: tuple[str, ...], now_s: float
    ) -> None:
        """Record that a node is present and which arbiters it reaches."""
        self._presence_by_host[host] = _Presence(now_s, reachable)

    def refresh_presence(self, host: str, now_s: float) -> None:
        """Record that a node is present and reaches the same arbiters."""
        known = self._presence_by_host.get(host)
        if known is not None:
            self.record_presence(host, known.arbiters, now_s)

    def remove_host(self, host: str) -> None:
        """Stop granting the share of a host's node."""
        self._presence_by_host.pop(host, None)

    def acquire(self, team: _table.Team, count: int, now_s: float) -> Grant:
        """Take up to `count` tokens from the bucket of a team."""
        if team.rate_per_s <= 0.0:
            return Grant(count, 0.0)
        share = self.rate_share(team.name, now_s)
        bucket = self._refill_bucket(team, share, now_s)
        granted = min(count, int(bucket.tokens))
        bucket.tokens -= granted
        if granted == count:
            return Grant(granted, 0.0)
        rate = max(0.01, RATE_MARGIN * team.rate_per_s * share)
        return Grant(granted, max(0.0, 1.0 - bucket.tokens) / rate)

    def refill_buckets(
        self, teams: Iterable[_table.Team], now_s: float
    ) -> None:
        """Refill idle buckets; empty those that other arbiters now grant."""
        for team in teams:
            if team.rate_per_s > 0.0:
                self._refill_bucket(
                    team, self.rate_share(team.name, now_s), now_s
                )

    def rate_share(self, team: str, now_s: float) -> float:
        """Return the share of a team's rate that this node may grant."""
        # A node that reaches no arbiter asks nobody but itself.
        host_count_by_arbiters = Counter(
            presence.arbiters
            for host, presence in self._presence_by_host.items()
            if now_s - presence.received_at_s <= PRESENCE_TIMEOUT_S
            and (presence.arbiters or host == self.own_host)
        )
        covered_hosts = sum(
            count
            for reachable, count in host_count_by_arbiters.items()
            if self._arbiter_of(team, reachable) == self.own_host
        )
        if self._is_left_behind(covered_hosts, now_s):
            return 0.0
        overshoot_factor = 1.0 + OVERSHOOT_FRACTION * self.bounds.overshoot
        return min(
            1.0, overshoot_factor * covered_hosts / max(1, self.host_count)
        )

    def _is_left_behind(self, covered_hosts: int, now_s: float) -> bool:
        """Return whether the rest of the fleet may no longer count this part.

        A part without the source can't know whether its entries still exist.
        """
        return (
            self.confirmed_at_s is not None
            and now_s - self.confirmed_at_s > _host_census.ABSENT_GRANTS_S
            and 2 * covered_hosts <= self.host_count
        )

    def _arbiter_of(self, team: str, reachable: tuple[str, ...]) -> str:
        query = (team, reachable)
        chosen = self._arbiter_by_query.get(query)
        if chosen is None:
            if len(self._arbiter_by_query) > 4096:
                self._arbiter_by_query.clear()
            chosen = choose_arbiter(team, reachable, self.own_host)
            self._arbiter_by_query[query] = chosen
        return chosen

    def _refill_bucket(
        self, team: _table.Team, share: float, now_s: float
    ) -> _Bucket:
        bucket = self._bucket_by_team.setdefault(
            team.name, _Bucket(0.0, now_s, 0.0)
        )
        rate = RATE_MARGIN * team.rate_per_s * share
        added = rate * max(0.0, now_s - bucket.filled_at_s)
        gained_share = max(0.0, share - bucket.rate_share)
        added += (
            RATE_MARGIN * team.rate_per_s * gained_share * TAKEOVER_CREDIT_S
        )
        capacity = max(1.0, team.burst * share) if share > 0.0 else 0.0
        bucket.tokens = min(capacity, bucket.tokens + added)
        bucket.filled_at_s = max(bucket.filled_at_s, now_s)
        bucket.rate_share = share
        return bucket
