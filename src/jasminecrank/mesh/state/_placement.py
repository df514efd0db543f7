"""Which backend server a call goes to."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from dataclasses import dataclass
from dataclasses import field
import random

from jasminecrank.mesh.state import _directory
from jasminecrank.mesh.state import _gate
from jasminecrank.mesh.state import _table

OTHER_DATA_CENTRE_RUNS = 1.2
"""Run times that a server of another data centre has to save.

Bytes between data centres are scarce, so calls leave their own only when it
is busy.
"""
OTHER_HOST_S = 0.002
"""Two hops between hosts of one data centre, with their processor time."""
FAILURE_COST_RUNS = 6.0
"""Run times that a failed attempt costs its caller.

Only failures beyond those of the usual server count: where all fail alike, the
cause is elsewhere, and the server with the best luck must not get all calls.
"""
FULL_COST_RUNS = 1.2
"""Run times that are added at a full server.

Servers slow down when they are nearly full, and calls that other nodes send
meanwhile have to wait.
"""
UNKNOWN_RUNS = 0.6
"""Run time of a server without recent runs, in usual run times.

Below 1, so that each server gets a call now and then that shows its speed.
"""
RELAX_S = 4.0
"""Time after which half of what is known of a server is forgotten.

A server that looked bad gets no calls that could show it has recovered.
"""
SCORE_NOISE = 0.2
"""Random part of a score, so that nodes don't choose alike."""
UNTOLD_S = 1.5
"""Age at which a told load is no longer used: three idle tellings."""
FIRST_LIMIT = 2
"""Calls at once to a server that has told no load yet."""


@dataclass(slots=True, frozen=True)
class Place:
    """The chosen server and the time the call is expected to wait."""

    server: _directory.BackendServer
    wait_s: float


@dataclass(slots=True)
class _Seen:
    load: _gate.Load
    told_at_s: float
    changed_at_s: float
    """When a run there last changed its run time or its failure rate."""
    sent_since: int = 0


@dataclass(slots=True, frozen=True)
class _Quality:
    """Run time and failure rate of a server, or of the usual one."""

    run_s: float
    failure_rate: float


@dataclass(slots=True)
class Placement:
    """Loads of the servers as told by their nodes."""

    own_host: str
    own_data_centre: str
    rng: random.Random
    _seen_by_host: dict[str, _Seen] = field(default_factory=dict)
    _unreachable: set[str] = field(default_factory=set)

    def told(self, host: str, load: _gate.Load, now_s: float) -> None:
        """Take a node's word on its server's load."""
        self._unreachable.discard(host)
        known = self._seen_by_host.get(host)
        changed_at_s = now_s
        if known is not None and (
            (known.load.run_s, known.load.failure_rate)
            == (load.run_s, load.failure_rate)
        ):
            changed_at_s = known.changed_at_s
        self._seen_by_host[host] = _Seen(load, now_s, changed_at_s)

    def unreachable(self, host: str) -> None:
        """Choose a host only if there is no other."""
        self._unreachable.add(host)
        self._seen_by_host.pop(host, None)

    def reachable(self, host: str) -> None:
        """Choose a host again."""
        self._unreachable.discard(host)

    def sent(self, host: str) -> None:
        """Count a call that the told load does not contain yet."""
        seen = self._seen_by_host.get(host)
        if seen is not None:
            seen.sent_since += 1

    def answered(self, host: str, busy: int) -> None:
        """Take the load that came with an answer."""
        seen = self._seen_by_host.get(host)
        if seen is None:
            return
        limit = seen.load.limit
        seen.load = dataclasses.replace(
            seen.load,
            in_flight=min(busy, limit),
            queued=max(0, busy - limit),
        )
        seen.sent_since = 0

    def choose(
        self,
        servers: Iterable[_directory.BackendServer],
        tried: Collection[str],
        now_s: float,
    ) -> Place | None:
        """Return the server at which a call is expected to end first."""
        best: Place | None = None
        best_score = 0.0
        servers = tuple(servers)
        usual = self._usual(servers)
        for server in servers:
            if server.server_id in tried or server.host in self._unreachable:
                continue
            seen = self._current(server, now_s)
            if seen is not None and not seen.load.accepting:
                continue
            expected = _expected(seen, usual, now_s)
            place = Place(server, _expected_wait_s(seen, expected.run_s))
            score = self._score(place, seen, expected, usual) * (
                1.0 + SCORE_NOISE * self.rng.random()
            )
            if best is None or score < best_score:
                best, best_score = place, score
        return best

    def _usual(
        self, servers: tuple[_directory.BackendServer, ...]
    ) -> "_Quality":
        """Return the medians of what is known of servers."""
        loads = [
            seen.load
            for server in servers
            if (seen := self._seen_by_host.get(server.host)) is not None
        ]
        runs_s = sorted(load.run_s for load in loads if load.run_s > 0.0)
        failures = sorted(load.failure_rate for load in loads)
        return _Quality(
            runs_s[len(runs_s) // 2] if runs_s else _gate.FIRST_RUN_S,
            failures[(len(failures) - 1) // 2] if failures else 0.0,
        )

    def _score(
        self,
        place: Place,
        seen: _Seen | None,
        expected: "_Quality",
        usual: "_Quality",
    ) -> float:
        run_s = expected.run_s
        score = place.wait_s + run_s
        if seen is not None:
            busy = seen.load.in_flight + seen.sent_since
            fullness = min(1.0, busy / max(1, seen.load.limit))
            score += run_s * FULL_COST_RUNS * fullness * fullness
        excess = max(0.0, expected.failure_rate - usual.failure_rate)
        score += run_s * FAILURE_COST_RUNS * excess
        if place.server.host != self.own_host:
            score += OTHER_HOST_S
        if place.server.data_centre != self.own_data_centre:
            score += usual.run_s * OTHER_DATA_CENTRE_RUNS
        return score

    def _current(
        self, server: _directory.BackendServer, now_s: float
    ) -> _Seen | None:
        seen = self._seen_by_host.get(server.host)
        if seen is None or now_s - seen.told_at_s > UNTOLD_S:
            return None
        if seen.load.server_id not in ("", server.server_id):
            return None
        return seen


def _expected(seen: _Seen | None, usual: _Quality, now_s: float) -> _Quality:
    """Return what to expect of a server, the less known the older."""
    unknown_s = UNKNOWN_RUNS * usual.run_s
    if seen is None:
        return _Quality(unknown_s, 0.0)
    kept: float = 0.5 ** ((now_s - seen.changed_at_s) / RELAX_S)
    run_s = seen.load.run_s or unknown_s
    return _Quality(
        unknown_s + kept * (run_s - unknown_s),
        kept * seen.load.failure_rate,
    )


def _expected_wait_s(seen: _Seen | None, run_s: float) -> float:
    if seen is None:
        return 0.0
    limit = max(1, seen.load.limit)
    busy = seen.load.in_flight + seen.load.queued + seen.sent_since
    return max(0.0, (busy - limit + 1) * run_s / limit)


@dataclass(slots=True)
class SplitChooser:
    """Smooth weighted round robin over the parts of each route."""

    _credit_by_route: dict[str, dict[str, float]] = field(default_factory=dict)

    def choose(self, route: _table.Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credit = self._credit_by_route.setdefault(route.name, {})
        services = {part.service for part in route.parts}
        if credit.keys() != services:
            credit.clear()
            credit.update(dict.fromkeys(services, 0.0))
        total = 0.0
        for part in route.parts:
            credit[part.service] += part.weight
            total += part.weight
        chosen = max(credit, key=lambda name: credit[name])
        credit[chosen] -= total
        return chosen
