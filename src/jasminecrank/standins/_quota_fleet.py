"""Seeded simulation of the hosts of one service that share quotas.

It uses no sockets and no threads. It simulates the quota state of the nodes,
a network that delays, loses and duplicates messages, and clocks that differ.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import math
import random

from jasminecrank import const
from jasminecrank import state


@dataclass(slots=True)
class WindowAudit:
    """Tracks the largest excess over rate and burst in any time window.

    max_excess is negative while every window from a to b uses fewer tokens
    than the burst at a and the rate from a to b allow.
    """

    excess: float = 0.0
    at_s: float = 0.0
    max_excess: float = float("-inf")

    def advance_to(self, rate: float, burst: float, now_s: float) -> None:
        """Advance to a time at a rate; new windows start with the burst."""
        elapsed_s = now_s - self.at_s
        self.at_s = now_s
        self.excess = max(self.excess - elapsed_s * rate, -burst)

    def count(self, tokens: int) -> None:
        """Add taken tokens, or refunded tokens if negative."""
        self.excess += tokens
        self.max_excess = max(self.max_excess, self.excess)


@dataclass(slots=True)
class FleetNode:
    """State and clock of a node and the messages queued during a pause."""

    quota: state.QuotaState
    clock_offset_s: float
    clock_rate: float
    incarnation: int
    snapshot: state.Snapshot
    paused: bool = False
    waiting: list[tuple[str, state.QuotaMessage]] = field(default_factory=list)

    def local_s(self, now_s: float) -> float:
        """Convert simulation time to the monotonic clock of the node."""
        return self.clock_offset_s + now_s * self.clock_rate


@dataclass(slots=True)
class Network:
    """Delay, loss, duplication and partitions of messages."""

    delay_s: float = 0.001
    delay_max_s: float = 0.002
    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    side_by_host: dict[str, int] = field(default_factory=dict)

    def connects(self, first: str, second: str) -> bool:
        """Return whether two hosts are on the same side of a partition."""
        sides = self.side_by_host
        return sides.get(first, 0) == sides.get(second, 0)


_Delivery = tuple[float, int, str, str, int, state.QuotaMessage]


@dataclass(slots=True)
class QuotaFleet:
    """Simulated nodes of one service on a common time line."""

    service: str
    policy: state.QuotaPolicy
    rng: random.Random
    network: Network = field(default_factory=Network)
    now_s: float = 0.0
    by_host: dict[str, FleetNode] = field(default_factory=dict)
    audit_by_team: dict[str, WindowAudit] = field(default_factory=dict)
    clock_rate_max: float = 1.0
    sent: int = 0
    sent_by_host: Counter[str] = field(default_factory=Counter)
    size_of: Callable[[str, state.QuotaMessage], int] | None = None
    _deliveries: list[_Delivery] = field(default_factory=list)
    _sequence: Iterable[int] = field(default_factory=itertools.count)
    _incarnation: int = 0
    _next_tick_s: float = 0.0

    def start(
        self,
        host: str,
        snapshot: state.Snapshot,
        clock_offset_s: float = 0.0,
        clock_rate: float = 1.0,
    ) -> None:
        """Start or restart the node of a host."""
        self._incarnation += 1
        self.clock_rate_max = max(self.clock_rate_max, clock_rate)
        local_s = clock_offset_s + self.now_s * clock_rate
        quota = state.QuotaState.from_host(
            host, local_s, self.policy, random.Random(self.rng.random())
        )
        node = FleetNode(
            quota, clock_offset_s, clock_rate, self._incarnation, snapshot
        )
        self.by_host[host] = node
        quota.apply_snapshot(snapshot, local_s)
        for peer, other in self.by_host.items():
            if peer != host:
                quota.peer_up(peer, local_s)
                other.quota.peer_up(host, other.local_s(self.now_s))

    def stop(self, host: str) -> None:
        """Stop the node of a host; its peers see the link go down."""
        del self.by_host[host]
        for node in self.by_host.values():
            node.quota.peer_down(host)

    def apply(self, host: str, snapshot: state.Snapshot) -> None:
        """Apply a configuration snapshot on one node."""
        self.update_audit_limits()
        node = self.by_host[host]
        node.snapshot = snapshot
        node.quota.apply_snapshot(snapshot, node.local_s(self.now_s))
        self._send_from(host)
        self.update_audit_limits()

    def take(self, host: str, team: str, repeated: bool = False) -> bool:
        """Take a token on a node; return whether one was available."""
        return self.try_take(host, team, repeated) is None

    def try_take(
        self, host: str, team: str, repeated: bool = False
    ) -> float | None:
        """Take a token; return None, or the suggested wait in seconds."""
        node = self.by_host[host]
        local_s = node.local_s(self.now_s)
        wait_s = node.quota.take(self.service, team, local_s, repeated)
        if wait_s is None:
            self.update_audit_limits((team,))
            self.audit_by_team[team].count(1)
        self._send_from(host)
        return wait_s

    def refund(self, host: str, team: str) -> None:
        """Return a token to the node that granted it."""
        node = self.by_host[host]
        node.quota.refund(self.service, team, node.local_s(self.now_s))
        self.audit_by_team[team].count(-1)

    def resume(self, host: str, team: str, calls: int) -> None:
        """Resume a paused node, which handles calls before queued messages."""
        node = self.by_host[host]
        node.paused = False
        for _ in range(calls):
            self.take(host, team)
        waiting, node.waiting = node.waiting, []
        for sender, message in waiting:
            self._receive(host, sender, message)

    def advance(self, seconds: float) -> None:
        """Advance the simulation; deliver messages and run timers on time."""
        until_s = self.now_s + seconds
        while True:
            delivery_s = (
                self._deliveries[0][0] if self._deliveries else math.inf
            )
            due_s = min(self._next_tick_s, delivery_s)
            if due_s > until_s:
                break
            self.now_s = max(self.now_s, due_s)
            if due_s == delivery_s:
                self._deliver()
            else:
                self._tick()
        self.now_s = until_s

    def update_audit_limits(self, teams: Iterable[str] | None = None) -> None:
        """Update the audits with the largest limits in force on any node."""
        for team in self.audit_by_team if teams is None else teams:
            limits = [
                node.snapshot.by_limit[self.service, team]
                for node in self.by_host.values()
                if (self.service, team) in node.snapshot.by_limit
            ]
            rate = max((limit.rate for limit in limits), default=0.0)
            burst = max((limit.burst for limit in limits), default=0)
            self.audit_by_team[team].advance_to(
                rate * self.clock_rate_max, burst, self.now_s
            )

    def worst_excess(self) -> Mapping[str, float]:
        """Return the largest excess over rate and burst, by team."""
        return {
            team: audit.max_excess
            for team, audit in self.audit_by_team.items()
        }

    def _tick(self) -> None:
        self._next_tick_s += const.QUOTA_TICK_S
        for host, node in tuple(self.by_host.items()):
            if not node.paused:
                node.quota.tick(node.local_s(self.now_s))
                self._send_from(host)

    def _deliver(self) -> None:
        delivery = heapq.heappop(self._deliveries)
        _, _, sender, host, incarnation, message = delivery
        node = self.by_host.get(host)
        if node is None or node.incarnation != incarnation:
            return
        if node.paused:
            node.waiting.append((sender, message))
            return
        self._receive(host, sender, message)

    def _receive(
        self, host: str, sender: str, message: state.QuotaMessage
    ) -> None:
        node = self.by_host[host]
        node.quota.receive(sender, message, node.local_s(self.now_s))
        self._send_from(host)

    def _send_from(self, host: str) -> None:
        for outgoing in self.by_host[host].quota.drain_outbox():
            self.sent += 1
            if self.size_of is not None:
                size_bytes = self.size_of(host, outgoing.message)
                self.sent_by_host[host] += size_bytes
            target = self.by_host.get(outgoing.host)
            if target is None or not self.network.connects(
                host, outgoing.host
            ):
                continue
            copies = 1 + (
                self.rng.random() < self.network.duplicate_probability
            )
            for _ in range(copies):
                if self.rng.random() < self.network.loss_probability:
                    continue
                delay_s = self.rng.uniform(
                    self.network.delay_s, self.network.delay_max_s
                )
                delivery = (
                    self.now_s + delay_s,
                    next(iter(self._sequence)),
                    host,
                    outgoing.host,
                    target.incarnation,
                    outgoing.message,
                )
                heapq.heappush(self._deliveries, delivery)
