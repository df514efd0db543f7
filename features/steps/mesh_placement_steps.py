"""Steps on placement and split weights."""

from collections import Counter
import random

from behave import given
from behave import then
from behave import when
from mesh_directory_steps import make_server
from mesh_state_steps import make_route

from jasminecrank.mesh import state


def make_load(
    server_id, busy=0, limit=12, run_time_s=0.1, failing=0.0, open_=True
):
    """Return a told load; what exceeds the limit waits."""
    return state.ServerLoad(
        server_id,
        min(busy, limit),
        max(0, busy - limit),
        limit,
        run_time_s,
        failing,
        open_,
    )


@given("servers with these loads")
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


@when("server a is {word}")
def step_unusable(context, word):
    match word:
        case "tried":
            context.tried.add("a")
        case "unreachable":
            context.placement.mark_unreachable("10.0.0.0")
        case "closed":
            load = make_load("a", open_=False)
            context.placement.record_load("10.0.0.0", load, 0.0)


@when("their last run was {ago:g} s ago")
def step_last_run(context, ago):
    # A host whose load stays the same has had no run in between.
    context.now_s = ago
    for host, load in context.loads.items():
        context.placement.record_load(host, load, ago)


@when("{count:d} calls are placed one by one from belt-a")
def step_place(context, count):
    now_s = getattr(context, "now_s", 0.1)
    context.chosen = Counter()
    for _ in range(count):
        place = context.placement.choose(context.servers, context.tried, now_s)
        context.chosen[place.server.server_id] += 1
        if count < 100:
            context.placement.record_sent(place.server.host)


@then("most go to {wanted}")
def step_most(context, wanted):
    assert context.chosen.most_common(1)[0][0] == wanted, context.chosen


@then("each server gets between {least:d} and {most:d}")
def step_even(context, least, most):
    for server in context.servers:
        assert least <= context.chosen[server.server_id] <= most, (
            context.chosen
        )


@then("all go to {wanted}")
def step_all(context, wanted):
    assert set(context.chosen) == {wanted}, context.chosen


@given("a route split {first:d} to {second:d}")
def step_split(context, first, second):
    context.route = make_route(
        weighted_services=(
            state.WeightedService("first", float(first)),
            state.WeightedService("second", float(second)),
        )
    )


@when("{count:d} requests choose a part")
def step_choose(context, count):
    chooser = state.WeightedRoundRobin()
    context.parts = Counter(
        chooser.choose(context.route) for _ in range(count)
    )


@then("the first part gets {wanted:d}")
def step_part(context, wanted):
    assert context.parts["first"] == wanted, context.parts
