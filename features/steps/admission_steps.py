"""Steps for admission: capacity, queueing and placement."""

import dataclasses

from behave import given
from behave import then
from behave import when
from features.steps import admission_world

from jasminecrank import state


@given("a node of service ledger")
def step_node(context):
    context.world = admission_world.World()


@given("the node {name}")
def step_named_node(context, name):
    context.world = admission_world.World(name)


@given(
    "a node of service ledger with {slots:d} slots, {cold:d} cold and "
    "{connections:d} connections"
)
def step_node_with(context, slots, cold, connections):
    service = state.ServiceRow("ledger", slots, cold, 10.0, connections)
    context.world = admission_world.World(service=service)


@given("a node of service ledger whose slots are all in use")
def step_busy_node(context):
    context.world = admission_world.World(service=admission_world.WARM_SERVICE)
    context.world.start_calls("large", 11)


@given(
    "a node of service ledger whose teams may have {limit:d} calls in flight"
)
def step_bounded_teams(context, limit):
    limits = [
        dataclasses.replace(row, max_in_flight=limit)
        for row in admission_world.LIMITS
    ]
    context.world = admission_world.World(
        service=admission_world.WARM_SERVICE, limits=limits
    )


@given("a waiting {kind} of team small")
def step_waiting(context, kind):
    context.call, result = context.world.call(kind, "small")
    assert isinstance(result, state.Queued), result


@given("a {kind} of team small that has to wait {waits} s for a token")
def step_waiting_for_token(context, kind, waits):
    world = context.world
    world.quota.waits_by_team["small"] = [
        float(wait) for wait in waits.split(", ")
    ]
    context.call, _ = world.call(kind, "small")


@when("the event {event} happens")
def step_event(context, event):
    world = context.world
    match event:
        case "a call ends":
            world.finish()
        case "its deadline":
            world.advance(3.0)
        case "its cancellation":
            world.admission.cancel(context.call.request_id, world.now_s)
            world.collect()
        case _:
            world.run_actions(event)


@when("a call of kind {kind} arrives {way}")
def step_call(context, kind, way):
    context.call, _ = context.world.call(
        kind, **admission_world.way_fields(way)
    )


@when("teams large and small keep {large:d} and {small:d} calls waiting")
def step_keep_waiting(context, large, small):
    context.world = admission_world.World(service=admission_world.WARM_SERVICE)
    context.world.start_calls("large", 11)
    context.wanted = {"large": large, "small": small}


@when("{count:d} calls are served in sequence")
def step_serve(context, count):
    world = context.world
    queue = world.admission.dispatcher.queue
    context.served = {"large": 0, "small": 0}
    for _ in range(count):
        for team, wanted in context.wanted.items():
            while queue.waiting_count(team) < wanted:
                world.call(team=team)
        world.finish()
        context.served[world.permits[-1].team] += 1


@when("these events happen: {events}")
def step_events(context, events):
    context.world.run_actions(events)


@when("team large sends {large:d} lookups and team small sends {small:d}")
def step_burst(context, large, small):
    for team, calls in (("large", large), ("small", small)):
        for _ in range(calls):
            context.world.call(team=team)


@when("{open_calls:d} calls are forwarded to each near host and {end}")
def step_forwarded(context, open_calls, end):
    world = context.world
    chooser = world.admission.placement.host_chooser
    for name in ("ledger-1", "ledger-3"):
        for index in range(open_calls):
            request_id = f"{name}/{index}"
            chooser.record_start(request_id, name, world.now_s + 2.0)
            if end in ("all were answered", "all failed"):
                failed = end == "all failed"
                chooser.record_end(request_id, name, failed, world.now_s)
    if end == "all ran out of time":
        world.advance(2.0)


@then("the next lookup is forwarded to {where}")
def step_next_forward(context, where):
    call, _ = context.world.call()
    near = ["ForwardTo ledger-1", "ForwardTo ledger-3"]
    expected = near if where == "a near host" else [f"ForwardTo {where}"]
    assert context.world.decisions_on(call)[0] in expected


@then("the capacity is {capacity:d}")
def step_capacity(context, capacity):
    assert context.world.capacity() == capacity, context.world.server.ramp


@then("{ordinary:d} ordinary calls and {checks:d} checks run")
def step_running(context, ordinary, checks):
    world = context.world
    for index in range(40):
        world.call(team=("large", "small")[index % 2])
    world.call("check")
    slots = world.server.slots
    assert (slots.ordinary_in_use, slots.internal_in_use) == (
        ordinary,
        checks,
    ), slots


@then("team large gets between {least:d} and {most:d} of them")
def step_share(context, least, most):
    assert least <= context.served["large"] <= most, context.served


@then("its only decision is {decision}")
def step_decision(context, decision):
    seen = context.world.decisions_on(context.call)
    if decision == "none yet":
        assert seen == [], seen
        return
    assert len(seen) == 1, seen
    assert seen[0] == decision or seen[0].split()[0] == decision, seen


@then("its token is {token}")
def step_token(context, token):
    spent = context.world.quota.spent_by_team["small"]
    assert spent == (token == "spent"), spent


@then("{count:d} calls of team small wait")
def step_small_wait(context, count):
    queue = context.world.admission.dispatcher.queue
    assert queue.waiting_count("small") == count


@then("{count:d} calls of team large get QUEUE_FULL with Retry-After")
def step_refused(context, count):
    refused = [
        decision
        for _, decision in context.world.results
        if isinstance(decision, state.Refused) and decision.team == "large"
    ]
    assert len(refused) == count, refused
    for decision in refused:
        assert decision.code.name == "QUEUE_FULL", decision
        assert decision.retry_after_s > 0.0, decision


@then("a check of team large starts once one call has ended")
def step_check_starts(context):
    call, _ = context.world.call("check")
    context.world.finish()
    assert context.world.decisions_on(call) == ["Admitted"]


@then("{running:d} calls of team large run and {waiting:d} wait")
def step_in_flight(context, running, waiting):
    dispatcher = context.world.admission.dispatcher
    assert dispatcher.server.running_by_team["large"] == running
    assert dispatcher.queue.waiting_count("large") == waiting


@then("1 call of team small runs")
def step_small_runs(context):
    assert context.world.server.running_by_team["small"] == 1
