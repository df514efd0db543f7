"""Callers, entry nodes, gates and servers as a model in virtual time.

The decisions are those of `mesh.state`; arrivals, run times and the time that
messages take are drawn from a seeded generator. It shows what callers get from
a rule for placing and admitting calls, without a network.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import heapq
import itertools
import random

from jasminecrank.mesh import state

HOP_S = 0.001
"""Time of a message between nodes."""
TICK_S = 0.05
TELL_S = 0.4
"""Periods of load reports, as nodes have them."""
CALLER_TRIES = 3
"""A caller's first attempt and its retries."""
NEARLY_FULL = 0.75
"""Part of its slots from which a server slows down."""
SLOW_DOWN = 0.6
"""What is added to run times at a full server, in run times."""


class Rule(enum.Enum):
    """How an entry node chooses a server."""

    CHOSEN = "chosen"
    RANDOM = "random"
    FEWEST_CALLS = "fewest-calls"


@dataclass(slots=True, frozen=True)
class Kind:
    """Requests of one route."""

    name: str
    per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    rank: int


@dataclass(slots=True, frozen=True)
class Scenario:
    """Servers and load of a run."""

    speeds: tuple[float, ...]
    """Of each server in turn; 2.0 takes half the time."""
    servers: int
    slots: int
    data_centres: int
    kinds: tuple[Kind, ...]
    duration_s: float = 20.0
    burst: float = 1.0
    """Factor of the load in the middle third of the run."""
    slow_servers: int = 0
    """Servers that take five times as long in the middle third."""
    joining_servers: int = 0
    """Servers that are there from the middle third on only."""

    @property
    def middle_s(self) -> tuple[float, float]:
        """Return begin and end of the middle third."""
        return self.duration_s / 3, 2 * self.duration_s / 3


@dataclass(slots=True)
class Outcome:
    """What callers got."""

    asked: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    other_data_centre: int = 0
    calls_by_server: dict[int, int] = field(default_factory=dict)
    first_call_at_s: dict[int, float] = field(default_factory=dict)
    """When each server was given its first call."""

    @property
    def in_target_part(self) -> float:
        """Return the part of requests answered within their objective."""
        return self.in_target / max(1, self.asked)

    @property
    def busiest(self) -> float:
        """Return the calls of the busiest server, in those of the mean."""
        counts = self.calls_by_server.values()
        return max(counts) * len(counts) / max(1, sum(counts))

    def started(self, server: int, now_s: float) -> None:
        """Count a call that a server begins to run."""
        self.calls_by_server[server] += 1
        self.first_call_at_s.setdefault(server, now_s)


@dataclass(slots=True)
class _Request:
    kind: Kind
    entry: int
    begun_s: float
    tries: int = 0
    tried: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Server:
    number: int
    entry: state.BackendServer
    gate: state.AdmissionController
    speed: float
    told: state.ServerLoad | None = None
    told_at_s: float = -1.0
    request_by_call: dict[int, _Request] = field(default_factory=dict)


class LoadModel:
    """One run of a scenario under a rule."""

    def __init__(self, scenario: Scenario, rule: Rule, seed: int) -> None:
        self.outcome = Outcome()
        self._scenario = scenario
        self._rule = rule
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._calls = itertools.count(1)
        self._servers = [self._make_server(n) for n in range(scenario.servers)]
        self._placements = [
            state.Placement(
                server.entry.host,
                server.entry.data_centre,
                random.Random(seed + server.number),
            )
            for server in self._servers
        ]
        self._known = [self._choose_known(n) for n in range(scenario.servers)]
        self._knowing: list[list[int]] = [[] for _ in self._servers]
        for entry, known in enumerate(self._known):
            for server in known:
                self._knowing[server.number].append(entry)
        self.outcome.calls_by_server = dict.fromkeys(
            range(scenario.servers), 0
        )

    def run(self) -> Outcome:
        """Play the scenario and return what callers got."""
        for kind in self._scenario.kinds:
            self._plan_arrival(kind)
        self._at(0.0, self._tick)
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

    def _choose_known(self, number: int) -> list[_Server]:
        own = self._servers[number].entry
        fleet = state.FleetSnapshot(
            None,
            {server.entry.server_id: server.entry for server in self._servers},
            {},
            frozenset(),
        )
        hosts = state.link_targets(fleet, own.host, own.data_centre)
        hosts.add(own.host)
        return [
            server for server in self._servers if server.entry.host in hosts
        ]

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _in_middle(self) -> bool:
        begin_s, end_s = self._scenario.middle_s
        return begin_s <= self._now_s < end_s

    def _is_there(self, server: _Server) -> bool:
        scenario = self._scenario
        joined = scenario.servers - scenario.joining_servers
        return server.number < joined or self._now_s >= scenario.middle_s[0]

    def _plan_arrival(self, kind: Kind) -> None:
        rate = kind.per_s
        if self._in_middle():
            rate *= self._scenario.burst
        at_s = self._now_s + self._rng.expovariate(rate)
        if at_s < self._scenario.duration_s:
            self._at(at_s, lambda: self._arrive(kind))

    def _arrive(self, kind: Kind) -> None:
        self._plan_arrival(kind)
        self.outcome.asked += 1
        entry = self._rng.randrange(len(self._servers))
        self._place(_Request(kind, entry, self._now_s))

    def _place(self, request: _Request) -> None:
        server = self._choose(request)
        if server is None or len(request.tried) >= state.MAX_SERVERS_TRIED:
            self._refuse(request, 0.1)
            return
        request.tried.add(server.entry.server_id)
        self._placements[request.entry].record_sent(server.entry.host)
        self._at(self._now_s + HOP_S, lambda: self._offer(request, server))

    def _choose(self, request: _Request) -> _Server | None:
        known = [
            server
            for server in self._known[request.entry]
            if server.entry.server_id not in request.tried
        ]
        if not known:
            return None
        match self._rule:
            case Rule.RANDOM:
                return self._rng.choice(known)
            case Rule.FEWEST_CALLS:
                return min(
                    known,
                    key=lambda server: (
                        server.gate.in_flight + server.gate.queued,
                        self._rng.random(),
                    ),
                )
            case Rule.CHOSEN:
                place = self._placements[request.entry].choose(
                    [server.entry for server in known], (), self._now_s
                )
                if place is None:
                    return None
                return self._servers[int(place.server.server_id[2:])]

    def _offer(self, request: _Request, server: _Server) -> None:
        call_id = next(self._calls)
        kind = request.kind
        ticket = state.AdmissionRequest(
            call_id,
            0,
            kind.rank,
            kind.name,
            request.begun_s + kind.deadline_s,
            request.begun_s + kind.target_s,
        )
        decision = server.gate.submit(ticket, self._now_s)
        match decision:
            case state.Admit():
                server.request_by_call[call_id] = request
                self._start(server, call_id)
            case state.Enqueue():
                server.request_by_call[call_id] = request
            case state.Reject():
                self._at(self._now_s + HOP_S, lambda: self._place(request))

    def _start(self, server: _Server, call_id: int) -> None:
        request = server.request_by_call[call_id]
        fullness = server.gate.in_flight / server.gate.slots
        over = max(0.0, fullness - NEARLY_FULL) / (1.0 - NEARLY_FULL)
        run_s = request.kind.work_s * self._rng.lognormvariate(-0.1, 0.45)
        run_s *= (1.0 + SLOW_DOWN * over) / server.speed
        if server.number < self._scenario.slow_servers and self._in_middle():
            run_s *= 5.0
        self.outcome.started(server.number, self._now_s)
        self._at(
            self._now_s + run_s, lambda: self._end(server, call_id, run_s)
        )

    def _end(self, server: _Server, call_id: int, run_s: float) -> None:
        request = server.request_by_call.pop(call_id)
        now_s = self._now_s
        server.gate.record_completion(request.kind.name, run_s, False, now_s)
        busy = server.gate.in_flight + server.gate.queued
        self._placements[request.entry].record_response(
            server.entry.host, busy
        )
        own = self._servers[request.entry].entry.data_centre
        self.outcome.other_data_centre += own != server.entry.data_centre
        if now_s + HOP_S - request.begun_s <= request.kind.target_s:
            self.outcome.in_target += 1
        else:
            self.outcome.late += 1
        released = server.gate.release_queued(now_s)
        for ticket in released.expired:
            expired = server.request_by_call.pop(ticket.call_id)
            self._refuse(expired, 0.1)
        for ticket in released.admitted:
            self._start(server, ticket.call_id)

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        request.tries += 1
        left_s = request.begun_s + request.kind.deadline_s - self._now_s
        if request.tries >= CALLER_TRIES or left_s < 2 * retry_after_s:
            self.outcome.refused += 1
            return
        request.tried = set()
        again_s = self._now_s + retry_after_s * (1.0 + self._rng.random())
        self._at(again_s, lambda: self._place(request))

    def _tick(self) -> None:
        now_s = self._now_s
        for server in self._servers:
            load = server.gate.load(now_s, self._is_there(server))
            known = server.told
            due = now_s - server.told_at_s >= TELL_S
            changed = known is None or (
                load.server_changed(known) or load.load_changed(known)
            )
            if due or changed:
                server.told, server.told_at_s = load, now_s
                for entry in self._knowing[server.number]:
                    self._placements[entry].record_load(
                        server.entry.host, load, now_s
                    )
        if now_s < self._scenario.duration_s:
            self._at(now_s + TICK_S, self._tick)
