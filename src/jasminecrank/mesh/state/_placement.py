"""Selects the backend server for a call."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from dataclasses import dataclass
from dataclasses import field
import enum
import random

from jasminecrank.mesh.state import _entries
from jasminecrank.mesh.state import _gate
from jasminecrank.mesh.state import _run_times
from jasminecrank.mesh.state import _table
from jasminecrank.mesh.state import _work_model

REMOTE_DATA_CENTRE_COST_RUNS = 1.6
"""Cost of a server in another data centre, in typical run times.

Bandwidth between data centres is scarce, so calls leave their own data centre
only when it is busy.
"""
START_POSITIONS = 100
"""Positions at which a node may begin to split; weights are percentages."""
REMOTE_HOST_COST_S = 0.002
"""Cost of another host: two hops in the data centre and their CPU time."""
FAILURE_COST_RUNS = 6.0
"""Cost of a failed attempt to its caller, in run times.

Only failures above the typical rate count: if all servers fail alike, the
cause is elsewhere, and the server that happened to fail least must not get all
calls.
"""
FULL_SERVER_COST_RUNS = 1.2
"""Cost of a fully loaded server, in run times.

Servers slow down when nearly full, and calls that other nodes send in the
meantime add to the wait.
"""
UNMEASURED_RUN_TIME_FACTOR = 0.6
"""Assumed run time of a server without recent runs, in typical run times.

Below 1, so that each server occasionally gets a call that shows its speed.
"""
LATE_COST_OBJECTIVES = 1.5
"""Cost of missing the latency objective, in latency objectives.

It outweighs a data centre's distance where the own one has slow servers only.
"""
FULL_SERVER_LATE_RUNS = 6.0
"""Run times by which a call at a full server may take longer.

Without it the fast servers are filled, slow down, and answer late as well.
"""
SCORE_JITTER = 0.2
"""Random fraction added to a score, so that nodes choose differently."""
LOAD_MAX_AGE_S = 1.5
"""Age above which a load report is ignored: three idle report intervals."""
INITIAL_LIMIT = 2
"""Concurrent calls to a server that has not reported a load yet."""


class Exclusion(enum.Enum):
    """Why a server may not get a call."""

    DISPLACED = "displaced"
    """Another server is listed at its address and preferred."""
    DRAINING = "draining"
    REGION = "region"
    """It is outside the home regions of the route or the team."""
    DATA_CENTRE_OUT = "data-centre-out"
    UNREACHABLE = "unreachable"
    """There is no link to its host, or its node is silent."""
    NOT_ACCEPTING = "not-accepting"
    """Its node reports that it is stopping or that the server is down."""
    TRIED = "tried"


@dataclass(slots=True, frozen=True)
class PlacementDecision:
    """The selected server and the expected wait for a slot there."""

    server: _entries.BackendServer
    wait_s: float


@dataclass(slots=True)
class _ReportedLoad:
    load: _gate.ServerLoad
    reported_at_s: float
    measured_at_s: float
    """When a call was last seen to have completed there.

    This node got its response, or the reported averages changed.
    """
    sent_since_report: int = 0

    @property
    def utilization(self) -> float:
        """Return the share of the server's slots that are taken."""
        outstanding = self.load.in_flight + self.sent_since_report
        return min(1.0, outstanding / max(1, self.load.limit))


@dataclass(slots=True, frozen=True)
class _Estimate:
    """Run time and failure rate of a server, or typical values of several."""

    run_time_s: float
    failure_rate: float


@dataclass(slots=True)
class Placement:
    """Selects servers by the loads that their nodes report."""

    own_host: str
    own_data_centre: str
    rng: random.Random
    _reported_load_by_host: dict[str, _ReportedLoad] = field(
        default_factory=dict
    )
    _unreachable_hosts: set[str] = field(default_factory=set)

    def record_load(
        self, host: str, load: _gate.ServerLoad, now_s: float
    ) -> None:
        """Record a load report, which proves that the host is reachable."""
        self._unreachable_hosts.discard(host)
        known = self._reported_load_by_host.get(host)
        measured_at_s = now_s
        if known is not None and (
            (known.load.run_time_s, known.load.failure_rate)
            == (load.run_time_s, load.failure_rate)
        ):
            measured_at_s = known.measured_at_s
        self._reported_load_by_host[host] = _ReportedLoad(
            load, now_s, measured_at_s
        )

    def mark_unreachable(self, host: str) -> None:
        """Exclude a host until it is reachable and drop its load report."""
        self._unreachable_hosts.add(host)
        self._reported_load_by_host.pop(host, None)

    def mark_reachable(self, host: str) -> None:
        """Allow a host to be selected again."""
        self._unreachable_hosts.discard(host)

    def record_sent(self, host: str) -> None:
        """Count a call that the latest load report does not include yet."""
        report = self._reported_load_by_host.get(host)
        if report is not None:
            report.sent_since_report += 1

    def record_response(
        self, host: str, active_calls: int, now_s: float
    ) -> None:
        """Update the load of a host with the active calls it reported."""
        report = self._reported_load_by_host.get(host)
        if report is None:
            return
        limit = report.load.limit
        report.load = dataclasses.replace(
            report.load,
            in_flight=min(active_calls, limit),
            queued=max(0, active_calls - limit),
        )
        report.sent_since_report = 0
        # Averages of a steady server do not change, and do not age either.
        report.measured_at_s = now_s

    def choose(
        self,
        servers: Iterable[_entries.BackendServer],
        tried: Collection[str],
        now_s: float,
        outlook: _work_model.CallOutlook | None = None,
    ) -> PlacementDecision | None:
        """Return the server at which a call is expected to complete first.

        With an outlook, its chance to complete in time counts as well.
        """
        best: PlacementDecision | None = None
        best_score = 0.0
        servers = tuple(servers)
        typical = self._typical_estimate(servers)
        for server in servers:
            report = self._fresh_report(server, now_s)
            if self._exclusion(server, report, tried) is not None:
                continue
            estimate = _estimate(report, typical, now_s)
            candidate = PlacementDecision(
                server, _expected_wait_s(report, estimate.run_time_s)
            )
            score = self._score(candidate, report, estimate, typical)
            if outlook is not None:
                score += _late_cost_s(candidate, report, estimate, outlook)
            score *= 1.0 + SCORE_JITTER * self.rng.random()
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best

    def average_run_time_s(self, host: str) -> float:
        """Return the average run time that a host reports, or 0."""
        report = self._reported_load_by_host.get(host)
        return 0.0 if report is None else report.load.run_time_s

    def exclusion(
        self,
        server: _entries.BackendServer,
        tried: Collection[str],
        now_s: float,
    ) -> Exclusion | None:
        """Return why a server can't be selected, or None if it can be."""
        return self._exclusion(
            server, self._fresh_report(server, now_s), tried
        )

    def _exclusion(
        self,
        server: _entries.BackendServer,
        report: _ReportedLoad | None,
        tried: Collection[str],
    ) -> Exclusion | None:
        if server.host in self._unreachable_hosts:
            return Exclusion.UNREACHABLE
        if report is not None and not report.load.accepting:
            return Exclusion.NOT_ACCEPTING
        if server.server_id in tried:
            return Exclusion.TRIED
        return None

    def _typical_estimate(
        self, servers: tuple[_entries.BackendServer, ...]
    ) -> "_Estimate":
        """Return the medians of the reported run times and failure rates."""
        loads = [
            report.load
            for server in servers
            if (report := self._reported_load_by_host.get(server.host))
            is not None
        ]
        run_times_s = sorted(
            load.run_time_s for load in loads if load.run_time_s > 0.0
        )
        failure_rates = sorted(load.failure_rate for load in loads)
        return _Estimate(
            run_times_s[len(run_times_s) // 2]
            if run_times_s
            else _gate.DEFAULT_RUN_TIME_S,
            failure_rates[(len(failure_rates) - 1) // 2]
            if failure_rates
            else 0.0,
        )

    def _score(
        self,
        candidate: PlacementDecision,
        report: _ReportedLoad | None,
        estimate: "_Estimate",
        typical: "_Estimate",
    ) -> float:
        run_time_s = estimate.run_time_s
        score = candidate.wait_s + run_time_s
        if report is not None:
            score += run_time_s * FULL_SERVER_COST_RUNS * report.utilization**2
        excess = max(0.0, estimate.failure_rate - typical.failure_rate)
        score += run_time_s * FAILURE_COST_RUNS * excess
        if candidate.server.host != self.own_host:
            score += REMOTE_HOST_COST_S
        if candidate.server.data_centre != self.own_data_centre:
            score += typical.run_time_s * REMOTE_DATA_CENTRE_COST_RUNS
        return score

    def _fresh_report(
        self, server: _entries.BackendServer, now_s: float
    ) -> _ReportedLoad | None:
        report = self._reported_load_by_host.get(server.host)
        if report is None or now_s - report.reported_at_s > LOAD_MAX_AGE_S:
            return None
        if report.load.server_id not in ("", server.server_id):
            return None
        return report


def _estimate(
    report: _ReportedLoad | None, typical: _Estimate, now_s: float
) -> _Estimate:
    """Return the estimate of a server, decayed by the age of its values."""
    unmeasured_s = UNMEASURED_RUN_TIME_FACTOR * typical.run_time_s
    if report is None:
        return _Estimate(unmeasured_s, 0.0)
    retained = _run_times.retained_share(now_s - report.measured_at_s)
    run_time_s = report.load.run_time_s or unmeasured_s
    # Run times differ by factors: the difference would fade too late.
    return _Estimate(
        unmeasured_s * (run_time_s / unmeasured_s) ** retained,
        retained * report.load.failure_rate,
    )


def _late_cost_s(
    candidate: PlacementDecision,
    report: _ReportedLoad | None,
    estimate: _Estimate,
    outlook: _work_model.CallOutlook,
) -> float:
    """Return the cost of the risk that a call is late, as a time."""
    if outlook.target_left_s <= 0.0:
        return 0.0
    utilization = 0.0 if report is None else report.utilization
    run_time_s = estimate.run_time_s * (
        1.0 + FULL_SERVER_LATE_RUNS * utilization * utilization
    )
    return (
        LATE_COST_OBJECTIVES
        * outlook.target_left_s
        * outlook.late_probability(candidate.wait_s, run_time_s)
    )


def _expected_wait_s(report: _ReportedLoad | None, run_time_s: float) -> float:
    if report is None:
        return 0.0
    limit = max(1, report.load.limit)
    outstanding = (
        report.load.in_flight + report.load.queued + report.sent_since_report
    )
    return max(0.0, (outstanding - limit + 1) * run_time_s / limit)


@dataclass(slots=True)
class WeightedRoundRobin:
    """Smooth weighted round robin over the services of each route.

    Each node begins at a random position, and again when the weights change.
    Otherwise the first requests at all nodes of a large fleet would go to the
    service with the most weight, or to the one whose turn was next before.
    """

    rng: random.Random
    _rotation_by_route: dict[str, "_Rotation"] = field(default_factory=dict)

    def choose(self, route: _table.Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        rotation = self._rotation_by_route.get(route.name)
        if (
            rotation is None
            or rotation.weighted_services != route.weighted_services
        ):
            rotation = _Rotation(route.weighted_services)
            for _ in range(self.rng.randrange(START_POSITIONS)):
                rotation.next_service()
            self._rotation_by_route[route.name] = rotation
        return rotation.next_service()


@dataclass(slots=True)
class _Rotation:
    """Smooth weighted round robin over services with constant weights."""

    weighted_services: tuple[_table.WeightedService, ...]
    _credit_by_service: dict[str, float] = field(init=False)

    def __post_init__(self) -> None:
        self._credit_by_service = {
            weighted.service: 0.0 for weighted in self.weighted_services
        }

    def next_service(self) -> str:
        """Return the service whose turn it is."""
        credit = self._credit_by_service
        total = 0.0
        for weighted in self.weighted_services:
            credit[weighted.service] += weighted.weight
            total += weighted.weight
        chosen = max(credit, key=lambda name: credit[name])
        credit[chosen] -= total
        return chosen
