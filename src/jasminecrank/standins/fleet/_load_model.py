"""Simulation of callers, entry nodes, admission and servers in virtual time.

Placement and admission decisions are those of `mesh.state`; arrivals, run
times and retry delays are drawn from a seeded generator. The outcome shows how
a placement policy serves callers, without a network.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import heapq
import itertools
import random

from jasminecrank.mesh import state

HOP_LATENCY_S = 0.001
"""Latency of a message between nodes."""
LOAD_CHECK_INTERVAL_S = 0.05
LOAD_REPORT_INTERVAL_S = 0.4
"""Intervals of load checks and of unchanged reports, modelled on nodes."""
CALLER_ATTEMPTS = 3
"""Attempts of a caller per request, including the first one."""
SLOWDOWN_OCCUPANCY = 0.75
"""Fraction of occupied slots above which a server slows down."""
FULL_OCCUPANCY_SLOWDOWN = 0.6
"""Relative increase of run times when all slots are occupied."""


class PlacementPolicy(enum.Enum):
    """How an entry node chooses a backend server."""

    MESH = "chosen"
    """The policy of `mesh.state.Placement`, which nodes use."""
    RANDOM = "random"
    FEWEST_CALLS = "fewest-calls"
    """The least loaded server, with call counts that are never out of date."""
    TWO_CHOICES = "two-choices"
    """The less loaded of two random servers, as they report it."""
    OUTLOOK = "outlook"
    """The policy of nodes in tables without teams."""
    OMNISCIENT = "omniscient"
    """The server that ends a call first, with speeds and calls known."""


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Rate, service time and latency limits of the requests of a route."""

    name: str
    rate_per_s: float
    service_time_s: float
    target_latency_s: float
    deadline_s: float
    rank: int
    spread: float = 0.45
    """Standard deviation of the logarithm of the service time."""


@dataclass(slots=True, frozen=True)
class Scenario:
    """Servers and load of a simulation run."""

    speeds: tuple[float, ...]
    """Assigned to the servers in rotation; 2.0 halves the run times."""
    servers: int
    slots: int
    data_centres: int
    request_classes: tuple[RequestClass, ...]
    duration_s: float = 20.0
    burst_factor: float = 1.0
    """Load multiplier in the middle third of the run."""
    slow_servers: int = 0
    """Servers whose runs take longer in the middle third."""
    slow_factor: float = 5.0
    """By how much their runs take longer."""
    joining_servers: int = 0
    """Servers that join at the start of the middle third."""

    @property
    def middle_third_s(self) -> tuple[float, float]:
        """Return start and end of the middle third of the run."""
        return self.duration_s / 3, 2 * self.duration_s / 3


@dataclass(slots=True)
class Outcome:
    """Counts of requests by result and of calls by server."""

    requests: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    cross_data_centre_calls: int = 0
    calls_by_server: dict[int, int] = field(default_factory=dict)
    first_call_s_by_server: dict[int, float] = field(default_factory=dict)
    """Time at which each server started its first call."""

    @property
    def in_target_ratio(self) -> float:
        """Return the fraction of requests answered within their objective."""
        return self.in_target / max(1, self.requests)

    @property
    def peak_to_mean_calls(self) -> float:
        """Return the ratio of the busiest server's calls to the mean."""
        counts = self.calls_by_server.values()
        return max(counts) * len(counts) / max(1, sum(counts))

    def record_start(self, server: int, now_s: float) -> None:
        """Count a call that a server starts to run."""
        self.calls_by_server[server] += 1
        self.first_call_s_by_server.setdefault(server, now_s)


@dataclass(slots=True)
class _Request:
    request_class: RequestClass
    entry_node: int
    started_s: float
    attempts: int = 0
    tried_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Server:
    number: int
    entry: state.BackendServer
    gate: state.AdmissionController
    speed: float
    reported_load: state.ServerLoad | None = None
    reported_at_s: float = -1.0
    request_by_call_id: dict[int, _Request] = field(default_factory=dict)


class LoadModel:
    """Simulation of one scenario under one placement policy."""

    def __init__(
        self, scenario: Scenario, policy: PlacementPolicy, seed: int
    ) -> None:
        self.outcome = Outcome()
        self._scenario = scenario
        self._policy = policy
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._call_ids = itertools.count(1)
        self._servers = [self._make_server(n) for n in range(scenario.servers)]
        self._placements = [
            state.Placement(
                server.entry.host,
                server.entry.data_centre,
                random.Random(seed + server.number),
            )
            for server in self._servers
        ]
        self._work_models = [state.WorkModel() for _ in self._servers]
        self._linked_servers = [
            self._select_linked_servers(n) for n in range(scenario.servers)
        ]
        self._linked_nodes: list[list[int]] = [[] for _ in self._servers]
        for entry_node, linked in enumerate(self._linked_servers):
            for server in linked:
                self._linked_nodes[server.number].append(entry_node)
        self.outcome.calls_by_server = dict.fromkeys(
            range(scenario.servers), 0
        )

    def run(self) -> Outcome:
        """Simulate the scenario and return its outcome."""
        for request_class in self._scenario.request_classes:
            self._schedule_arrival(request_class)
        self._schedule(0.0, self._report_loads)
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _make_server(self, number: int) -> _Server:
        scenario = self._scenario
        data_centre = f"dc-{number % scenario.data_centres}"
        entry = state.BackendServer(
            f"i-{number}",
            "service",
            f"10.0.0.{number}",
            80,
            data_centre,
            scenario.slots,
            state.ServerState.READY,
            0.0,
            0,
        )
        gate = state.AdmissionController(slots=scenario.slots)
        gate.mark_server_up(entry.server_id, 0.0, 0.0)
        speed = scenario.speeds[number % len(scenario.speeds)]
        return _Server(number, entry, gate, speed)

    def _select_linked_servers(self, number: int) -> list[_Server]:
        own_server = self._servers[number].entry
        snapshot = state.FleetSnapshot(
            None,
            {server.entry.server_id: server.entry for server in self._servers},
            {},
            frozenset(),
        )
        hosts = state.link_targets(
            snapshot, own_server.host, own_server.data_centre
        )
        hosts.add(own_server.host)
        return [
            server for server in self._servers if server.entry.host in hosts
        ]

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _in_middle(self) -> bool:
        begin_s, end_s = self._scenario.middle_third_s
        return begin_s <= self._now_s < end_s

    def _has_joined(self, server: _Server) -> bool:
        scenario = self._scenario
        joined = scenario.servers - scenario.joining_servers
        return (
            server.number < joined or self._now_s >= scenario.middle_third_s[0]
        )

    def _schedule_arrival(self, request_class: RequestClass) -> None:
        rate = request_class.rate_per_s
        if self._in_middle():
            rate *= self._scenario.burst_factor
        at_s = self._now_s + self._rng.expovariate(rate)
        if at_s < self._scenario.duration_s:
            self._schedule(at_s, lambda: self._handle_arrival(request_class))

    def _handle_arrival(self, request_class: RequestClass) -> None:
        self._schedule_arrival(request_class)
        self.outcome.requests += 1
        entry_node = self._rng.randrange(len(self._servers))
        self._place(_Request(request_class, entry_node, self._now_s))

    def _place(self, request: _Request) -> None:
        server = self._choose_server(request)
        if server is None or len(request.tried_ids) >= state.MAX_SERVERS_TRIED:
            self._retry_or_reject(request, 0.1)
            return
        request.tried_ids.add(server.entry.server_id)
        self._placements[request.entry_node].record_sent(server.entry.host)
        self._schedule(
            self._now_s + HOP_LATENCY_S, lambda: self._submit(request, server)
        )

    def _choose_server(self, request: _Request) -> _Server | None:
        linked = [
            server
            for server in self._linked_servers[request.entry_node]
            if server.entry.server_id not in request.tried_ids
        ]
        if not linked:
            return None
        match self._policy:
            case PlacementPolicy.RANDOM:
                return self._rng.choice(linked)
            case PlacementPolicy.FEWEST_CALLS:
                return min(
                    linked,
                    key=lambda server: (
                        server.gate.in_flight + server.gate.queued,
                        self._rng.random(),
                    ),
                )
            case PlacementPolicy.TWO_CHOICES:
                pair = self._rng.sample(linked, min(2, len(linked)))
                return min(pair, key=_reported_calls)
            case PlacementPolicy.OMNISCIENT:
                return min(linked, key=self._expected_end_s)
            case PlacementPolicy.MESH | PlacementPolicy.OUTLOOK:
                place = self._placements[request.entry_node].choose(
                    [server.entry for server in linked],
                    (),
                    self._now_s,
                    self._outlook(request),
                )
                if place is None:
                    return None
                return self._servers[int(place.server.server_id[2:])]

    def _outlook(self, request: _Request) -> state.CallOutlook | None:
        if self._policy is not PlacementPolicy.OUTLOOK:
            return None
        target_s = request.request_class.target_latency_s
        left_s = request.started_s + target_s - self._now_s
        model = self._work_models[request.entry_node]
        return model.outlook(_call_class(request), left_s)

    def _expected_end_s(self, server: _Server) -> float:
        """Return the expected time of a further call, with all known."""
        gate = server.gate
        factor = 1.0 / server.speed
        if server.number < self._scenario.slow_servers and self._in_middle():
            factor *= self._scenario.slow_factor
        outstanding = gate.in_flight + gate.queued
        waiting = max(0, outstanding - gate.slots + 1)
        return factor * (1.0 + waiting / gate.slots) + (
            0.001 * outstanding / gate.slots
        )

    def _submit(self, request: _Request, server: _Server) -> None:
        call_id = next(self._call_ids)
        request_class = request.request_class
        admission_request = state.AdmissionRequest(
            call_id,
            0,
            request_class.rank,
            request_class.name,
            request.started_s + request_class.deadline_s,
            request.started_s + request_class.target_latency_s,
        )
        decision = server.gate.submit(admission_request, self._now_s)
        match decision:
            case state.Admit():
                server.request_by_call_id[call_id] = request
                self._start_call(server, call_id)
            case state.Enqueue():
                server.request_by_call_id[call_id] = request
            case state.Reject():
                self._schedule(
                    self._now_s + HOP_LATENCY_S, lambda: self._place(request)
                )

    def _start_call(self, server: _Server, call_id: int) -> None:
        request = server.request_by_call_id[call_id]
        occupancy = server.gate.in_flight / server.gate.slots
        overload = max(0.0, occupancy - SLOWDOWN_OCCUPANCY) / (
            1.0 - SLOWDOWN_OCCUPANCY
        )
        run_s = (
            request.request_class.service_time_s
            * self._rng.lognormvariate(
                -(request.request_class.spread**2) / 2.0,
                request.request_class.spread,
            )
        )
        run_s *= (1.0 + FULL_OCCUPANCY_SLOWDOWN * overload) / server.speed
        if server.number < self._scenario.slow_servers and self._in_middle():
            run_s *= self._scenario.slow_factor
        self.outcome.record_start(server.number, self._now_s)
        self._schedule(
            self._now_s + run_s,
            lambda: self._finish_call(server, call_id, run_s),
        )

    def _finish_call(
        self, server: _Server, call_id: int, run_s: float
    ) -> None:
        request = server.request_by_call_id.pop(call_id)
        now_s = self._now_s
        server.gate.record_completion(
            request.request_class.name, run_s, False, now_s
        )
        calls = server.gate.in_flight + server.gate.queued
        placement = self._placements[request.entry_node]
        self._work_models[request.entry_node].record(
            _call_class(request),
            run_s,
            placement.average_run_time_s(server.entry.host),
        )
        placement.record_response(server.entry.host, calls, now_s)
        own_data_centre = self._servers[request.entry_node].entry.data_centre
        self.outcome.cross_data_centre_calls += (
            own_data_centre != server.entry.data_centre
        )
        if (
            now_s + HOP_LATENCY_S - request.started_s
            <= request.request_class.target_latency_s
        ):
            self.outcome.in_target += 1
        else:
            self.outcome.late += 1
        released = server.gate.release_queued(now_s)
        for admission_request in released.expired:
            expired = server.request_by_call_id.pop(admission_request.call_id)
            self._retry_or_reject(expired, 0.1)
        for admission_request in released.admitted:
            self._start_call(server, admission_request.call_id)

    def _retry_or_reject(
        self, request: _Request, retry_after_s: float
    ) -> None:
        request.attempts += 1
        remaining_s = (
            request.started_s + request.request_class.deadline_s - self._now_s
        )
        if (
            request.attempts >= CALLER_ATTEMPTS
            or remaining_s < 2 * retry_after_s
        ):
            self.outcome.refused += 1
            return
        request.tried_ids = set()
        retry_at_s = self._now_s + retry_after_s * (1.0 + self._rng.random())
        self._schedule(retry_at_s, lambda: self._place(request))

    def _report_loads(self) -> None:
        now_s = self._now_s
        for server in self._servers:
            load = server.gate.load(now_s, self._has_joined(server))
            previous = server.reported_load
            due = now_s - server.reported_at_s >= LOAD_REPORT_INTERVAL_S
            changed = previous is None or (
                load.server_changed(previous) or load.load_changed(previous)
            )
            if due or changed:
                server.reported_load, server.reported_at_s = load, now_s
                for entry_node in self._linked_nodes[server.number]:
                    self._placements[entry_node].record_load(
                        server.entry.host, load, now_s
                    )
        if now_s < self._scenario.duration_s:
            self._schedule(now_s + LOAD_CHECK_INTERVAL_S, self._report_loads)


def _call_class(request: _Request) -> state.CallClass:
    return state.CallClass.from_call(
        request.request_class.name, b"GET", 0, False
    )


def _reported_calls(server: _Server) -> int:
    load = server.reported_load
    return 0 if load is None else load.in_flight + load.queued
