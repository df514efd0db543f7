"""Steps for server selection and split weights."""

from collections import Counter
import random

from behave import given
from behave import then
from behave import when
from mesh_directory_steps import make_server
from mesh_state_steps import make_route

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
    match condition:
        case "tried":
            context.tried.add("a")
        case "unreachable":
            context.placement.mark_unreachable("10.0.0.0")
        case "closed":
            load = make_load("a", accepting=False)
            context.placement.record_load("10.0.0.0", load, 0.0)


@when("their last run completed {ago:g} s ago")
def step_last_run(context, ago):
    # An unchanged load report means that no run has completed since.
    context.now_s = ago
    for host, load in context.loads.items():
        context.placement.record_load(host, load, ago)


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
def step_split(context, first, second):
    context.route = make_route(
        weighted_services=(
            state.WeightedService("first", float(first)),
            state.WeightedService("second", float(second)),
        )
    )


@when("{count:d} requests are distributed")
def step_distribute(context, count):
    balancer = state.WeightedRoundRobin(random.Random(count))
    context.count_by_service = Counter(
        balancer.choose(context.route) for _ in range(count)
    )


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
    balancers = [
        state.WeightedRoundRobin(random.Random(number))
        for number in range(nodes)
    ]
    rng = random.Random(nodes)
    context.count_by_service = Counter(
        rng.choice(balancers).choose(context.route) for _ in range(count)
    )


@then("the first service's share is at most {limit:g} off its weight")
def step_share(context, limit):
    first, second = context.route.weighted_services
    wanted = first.weight / (first.weight + second.weight)
    share = context.count_by_service["first"] / sum(
        context.count_by_service.values()
    )
    assert abs(share - wanted) <= limit, (share, wanted)
