"""Steps on the tables and the gate of the event-loop node."""

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import state

SERVICE = state.Service("ledger", "/healthz", 110, 3.0, 31.0)


def make_route(name="r", host="a.example", prefix="/", **changes):
    """Return a route with usual values."""
    fields = {
        "kind": state.RouteKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "target_s": 0.3,
        "priority": 2,
        "weighted_services": (state.WeightedService("ledger", 1.0),),
        "max_attempts": 2,
        "open_to_all": False,
    }
    fields.update(changes)
    return state.Route(name=name, host=host, prefix=prefix, **fields)


def make_table(version=1, routes=(), teams=(), services=(SERVICE,)):
    """Return a table with usual limits."""
    return state.Table.from_rows(
        version, routes, services, teams, state.CallerLimits()
    )


@given("a table with the routes")
def step_table(context):
    context.table_in_force = make_table(
        routes=[
            make_route(row["route"], row["host"], row["prefix"])
            for row in context.table
        ]
    )


@when("a request for {host} and {path} arrives")
def step_match(context, host, path):
    context.route = context.table_in_force.match(host, path)


@then("it takes route {name}")
def step_route(context, name):
    found = "none" if context.route is None else context.route.name
    assert found == name, found


@when("a table with {fault} is built")
def step_bad_table(context, fault):
    team = state.Team("a", None, 0.0, 0.0)
    other = state.Team("b", None, 0.0, 0.0)
    try:
        match fault:
            case "an unknown service":
                weighted = state.WeightedService("absent", 1.0)
                make_table(routes=[make_route(weighted_services=(weighted,))])
            case "a shared key":
                make_table(teams=[(team, ("k",)), (other, ("k",))])
        context.error = ""
    except ValueError as error:
        context.error = str(error)


@then("it is refused because of {reason}")
def step_refused(context, reason):
    assert reason in context.error, context.error


def make_request(number, rank=0, deadline_at_s=2.0, target_at_s=1.0):
    """Return a call that asks for a slot."""
    return state.AdmissionRequest(
        number, 1, rank, "r", deadline_at_s, target_at_s
    )


@given("a warm gate with {slots:d} slots")
def step_gate(context, slots):
    context.gate = state.AdmissionController(
        slots=slots, health=state.ServerHealth.UP
    )
    context.decisions = []


@when("{count:d} calls with {left:g} s until their deadline arrive at once")
def step_calls(context, count, left):
    context.decisions = [
        context.gate.submit(make_request(number, 0, left), 0.0)
        for number in range(count)
    ]


@then("{start:d} start, {wait:d} wait and {reject:d} are rejected")
def step_decisions(context, start, wait, reject):
    kinds = [type(decision) for decision in context.decisions]
    found = [
        kinds.count(kind)
        for kind in (state.Admit, state.Enqueue, state.Reject)
    ]
    assert found == [start, wait, reject], found


@when("calls of these ranks arrive")
def step_ranks(context):
    context.starts = []
    for number, row in enumerate(context.table):
        call = make_request(number, int(row["rank"]), 60.0, 60.0)
        if isinstance(context.gate.submit(call, 0.0), state.Admit):
            context.starts.append(number)


@then("they start in this order")
def step_order(context):
    for _ in context.table.rows[1:]:
        context.gate.record_completion("r", 0.1, False, 0.1)
        released = context.gate.release_queued(0.1)
        context.starts.extend(one.call_id for one in released.admitted)
    wanted = [int(row["call"]) for row in context.table]
    assert context.starts == wanted, context.starts


@given("a gate whose server bears {rate:g} calls a second while cold")
def step_cold(context, rate):
    context.gate = state.AdmissionController(slots=12, cold_rate_per_s=rate)
    context.gate.mark_server_up("i-1", 60.0, 0.0)


@when("calls arrive every {gap:g} s for 3 s")
def step_flow(context, gap):
    context.starts = []
    for number in range(round(3 / gap)):
        now_s = number * gap
        call = make_request(number, 0, now_s + 2.0, now_s + 1.0)
        started = isinstance(context.gate.submit(call, now_s), state.Admit)
        started += len(context.gate.release_queued(now_s).admitted)
        for _ in range(started):
            context.starts.append(now_s)
            context.gate.record_completion("r", 0.01, False, now_s)


@then(
    "no second has more than {most:d} starts and 3 s have at least {least:d}"
)
def step_rate(context, most, least):
    starts = context.starts
    for begin_s in starts:
        inside = [at_s for at_s in starts if 0 <= at_s - begin_s < 1.0]
        assert len(inside) <= most, len(inside)
    assert len(starts) >= least, len(starts)


@when("the server becomes doubtful")
def step_doubtful(context):
    context.gate.mark_server_unknown()


@then("the waiting call is given up between {least:g} and {most:g} s")
def step_given_up(context, least, most):
    for step in range(1, 100):
        now_s = step / 100
        if context.gate.release_queued(now_s).expired:
            assert least <= now_s <= most, now_s
            return
    raise AssertionError("the call is never given up")


@when("the waiting call {number:d} is withdrawn")
def step_withdrawn(context, number):
    assert context.gate.cancel(1, number)


@then("only call {number:d} starts when the slot is free")
def step_only(context, number):
    context.gate.record_completion("r", 0.1, False, 0.1)
    started = [
        one.call_id for one in context.gate.release_queued(0.1).admitted
    ]
    assert started == [number], started
