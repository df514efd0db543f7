"""Steps for server selection and split weights."""

from collections import Counter
import dataclasses
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
from mesh_directory_steps import make_server
from mesh_state_steps import make_request
from mesh_state_steps import make_route
from mesh_state_steps import make_table

from jasminecrank.mesh import state


def make_load(
    server_id,
    outstanding=0,
    limit=12,
    run_time_s=0.1,
    failure_rate=0.0,
    accepting=True,
):
    """Return a load report; calls above the limit are queued."""
    return state.ServerLoad(
        server_id,
        min(outstanding, limit),
        max(0, outstanding - limit),
        limit,
        run_time_s,
        failure_rate,
        accepting,
    )


@given("servers with these reported loads")
def step_loads(context):
    context.placement = state.Placement("10.0.9.9", "belt-a", random.Random(1))
    context.servers = []
    context.tried = set()
    context.loads = {}
    context.evacuated = set()
    context.displaced = set()
    context.regions = None
    for number, row in enumerate(context.table):
        host = f"10.0.0.{number}"
        context.servers.append(
            make_server(row["id"], host=host, data_centre=row["data centre"])
        )
        load = make_load(
            row["id"],
            int(row["busy"]),
            int(row["limit"]),
            float(row["run"]),
            float(row["failing"]),
        )
        context.placement.record_load(host, load, 0.0)
        context.loads[host] = load


@when("server a is {condition}")
def step_unavailable(context, condition):
    for part in condition.split(" and "):
        make_unavailable(context, part)


def make_unavailable(context, condition):
    """Make server a unavailable for one reason."""
    match condition:
        case "tried":
            context.tried.add("a")
        case "unreachable":
            context.placement.mark_unreachable("10.0.0.0")
        case "closed":
            load = make_load("a", accepting=False)
            context.placement.record_load("10.0.0.0", load, 0.0)
        case "draining":
            context.servers[0] = dataclasses.replace(
                context.servers[0], state=state.ServerState.DRAINING
            )
        case "without a link":
            context.unlinked = "10.0.0.0"
        case "displaced":
            context.displaced.add("a")
        case "outside the regions":
            context.regions = frozenset({"region of belt-b"})
        case "evacuated":
            context.evacuated.add("belt-a")
        case _:
            raise ValueError(condition)


@then("{usable:d} server is usable and 1 is excluded as {reason}")
def step_excluded(context, usable, reason):
    listed = {server.server_id: server for server in context.servers}
    displaced = {name: listed.pop(name) for name in context.displaced}
    unlinked = getattr(context, "unlinked", None)
    survey = state.ServerSurvey(
        state.FleetSnapshot(
            make_table(), listed, {}, frozenset(context.evacuated), displaced
        ),
        context.placement,
        {server.host for server in context.servers} - {unlinked},
        {name: f"region of {name}" for name in ("belt-a", "belt-b")},
        0.1,
    )
    context.counts = survey.counts("ledger", context.regions, context.tried)
    assert context.counts.usable == usable, context.counts
    assert context.counts.excluded == {state.Exclusion(reason): 1}
    of_call = reason in ("tried", "region")
    assert survey.usable_by_service() == {"ledger": usable + of_call}


@then("the data centres named for it are {named}")
def step_named(context, named):
    found = ", ".join(context.counts.data_centres_out) or "none"
    assert found == named, found


@when("their last run completed {ago:g} s ago")
def step_last_run(context, ago):
    # An unchanged load report means that no run has completed since.
    context.now_s = ago
    for host, load in context.loads.items():
        context.placement.record_load(host, load, ago)


@when("this node then gets a response from server {name}")
def step_response(context, name):
    (server,) = (
        server for server in context.servers if server.server_id == name
    )
    context.placement.record_response(server.host, 0, context.now_s)


@when("{count:d} calls are placed one at a time from belt-a")
def step_place(context, count):
    now_s = getattr(context, "now_s", 0.1)
    context.chosen = Counter()
    for _ in range(count):
        decision = context.placement.choose(
            context.servers, context.tried, now_s
        )
        context.chosen[decision.server.server_id] += 1
        if count < 100:
            context.placement.record_sent(decision.server.host)


@then("most calls go to {wanted}")
def step_most(context, wanted):
    assert context.chosen.most_common(1)[0][0] == wanted, context.chosen


@then("each server receives between {least:d} and {most:d} calls")
def step_each_between(context, least, most):
    for server in context.servers:
        assert least <= context.chosen[server.server_id] <= most, (
            context.chosen
        )


@then("all calls go to {wanted}")
def step_all(context, wanted):
    assert set(context.chosen) == {wanted}, context.chosen


@given("a route with split weights {first:d} and {second:d}")
@when("the split weights change to {first:g} and {second:g}")
def step_split(context, first, second):
    context.route = make_route(
        weighted_services=(
            state.WeightedService("first", float(first)),
            state.WeightedService("second", float(second)),
        )
    )


@given("a route that is split into {parts}")
def step_split_into(context, parts):
    context.route = make_route(
        weighted_services=tuple(
            state.WeightedService(service, float(weight))
            for service, weight in (part.split() for part in parts.split(", "))
        )
    )


@when("{count:d} requests are distributed")
def step_distribute(context, count):
    balancer = state.WeightedRoundRobin(random.Random(count))
    context.count_by_service = Counter(
        balancer.choose(context.route) for _ in range(count)
    )


@then("the services receive {wanted}")
def step_services(context, wanted):
    counts = sorted(context.count_by_service.items())
    received = ", ".join(f"{service} {count}" for service, count in counts)
    assert received == wanted, received


@then("the first service receives {wanted:d}")
def step_first_service(context, wanted):
    assert context.count_by_service["first"] == wanted, (
        context.count_by_service
    )


@when(
    "{count:d} requests arrive at random at {nodes:d} nodes that have just "
    "started"
)
def step_distribute_fleet(context, count, nodes):
    context.balancers = [
        state.WeightedRoundRobin(random.Random(number))
        for number in range(nodes)
    ]
    context.rng = random.Random(nodes)
    step_distribute_more(context, count)


@when("{count:d} more requests arrive at random at these nodes")
def step_distribute_more(context, count):
    context.count_by_service = Counter(
        context.rng.choice(context.balancers).choose(context.route)
        for _ in range(count)
    )


@then("the first service's share is at most {limit:g} off its weight")
def step_share(context, limit):
    first, second = context.route.weighted_services
    wanted = first.weight / (first.weight + second.weight)
    share = context.count_by_service["first"] / sum(
        context.count_by_service.values()
    )
    assert abs(share - wanted) <= limit, (share, wanted)


class PlacedLoad:
    """Calls of one node to servers whose loads are reported to it."""

    run_s = 0.02
    report_s = 0.45
    event_s = 5.0
    end_s = 45.0

    def __init__(self, count):
        self.servers = [
            make_server(f"s{number}", host=f"10.0.0.{number}")
            for number in range(count)
        ]
        self.gates = [
            state.AdmissionController(
                slots=4,
                server_id=server.server_id,
                health=state.ServerHealth.UP,
            )
            for server in self.servers
        ]
        self.placement = state.Placement(
            "10.0.9.9", "belt-a", random.Random(1)
        )
        self.late_s = 0.0
        """Time that the calls of the first server take at the event."""
        self.failing_s = 0.0
        """Time for which the calls of the first server fail."""
        self.calls_s = [[] for _ in range(count)]
        self._numbers = itertools.count()

    def play(self, rate):
        """Place calls at random times."""
        rng = random.Random(2)
        events = [(0.0, next(self._numbers), "report", 0)]
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(rate)) < self.end_s:
            events.append((at_s, next(self._numbers), "call", 0))
        heapq.heapify(events)
        while events:
            now_s, _, kind, number = heapq.heappop(events)
            if now_s >= self.end_s:
                break
            match kind:
                case "call":
                    choice = self.placement.choose(self.servers, (), now_s)
                    self.placement.record_sent(choice.server.host)
                    number = self.servers.index(choice.server)
                    self.calls_s[number].append(now_s)
                    if not self.is_admitted(number, now_s):
                        continue
                    ended_s = now_s + self.run_time_s(number, now_s)
                    heapq.heappush(
                        events, (ended_s, next(self._numbers), "end", number)
                    )
                case "end":
                    self.complete(number, now_s)
                case "report":
                    for server, gate in zip(
                        self.servers, self.gates, strict=True
                    ):
                        self.placement.record_load(
                            server.host, gate.load(now_s, True), now_s
                        )
                    heapq.heappush(
                        events,
                        (
                            now_s + self.report_s,
                            next(self._numbers),
                            "report",
                            0,
                        ),
                    )

    def is_admitted(self, number, now_s):
        request = make_request(
            next(self._numbers), 0, now_s + 0.001, now_s + 0.001
        )
        decision = self.gates[number].submit(request, now_s)
        return isinstance(decision, state.Admit)

    def run_time_s(self, number, now_s):
        if number == 0 and 0.0 <= now_s - self.event_s < self.late_s:
            return self.late_s
        return self.run_s

    def complete(self, number, now_s):
        gate = self.gates[number]
        failed = number == 0 and 0.0 <= now_s - self.event_s < self.failing_s
        late = (
            number == 0
            and self.late_s
            and (
                self.event_s + self.late_s
                <= now_s
                < self.event_s + 2 * self.late_s
            )
        )
        run_time_s = self.late_s if late else self.run_s
        gate.record_completion("r", run_time_s, failed, now_s)
        self.placement.record_response(
            self.servers[number].host, gate.in_flight + gate.queued, now_s
        )


@given("{count:d} servers whose calls run for 0.02 s")
def step_placed_load(context, count):
    context.load = PlacedLoad(count)


@when("a node places {rate:d} calls per second for 45 s")
def step_placed_rate(context, rate):
    context.rate = rate


@when("at 5 s the calls of a server {event}")
def step_placed_event(context, event):
    match event.split():
        case ["take", late, "s"]:
            context.load.late_s = float(late)
        case ["fail", "for", failing, "s"]:
            context.load.failing_s = float(failing)
    context.load.play(context.rate)


@then("from {from_s:g} s on it waits at most {wait_s:g} s for a call")
def step_placed_wait(context, from_s, wait_s):
    load = context.load
    times = [at_s for at_s in load.calls_s[0] if at_s >= from_s]
    found = max(
        later - earlier
        for earlier, later in itertools.pairwise([from_s, *times, load.end_s])
    )
    assert found <= wait_s, found


@then("from {from_s:g} s on it gets at least {share:g} of an equal share")
def step_placed_share(context, from_s, share):
    counts = [
        sum(at_s >= from_s for at_s in times) for times in context.load.calls_s
    ]
    found = counts[0] * len(counts) / sum(counts)
    assert found >= share, (found, counts)
