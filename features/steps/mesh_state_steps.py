"""Steps for the table and the admission control of the event-loop node."""

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import state

SERVICE = state.Service("ledger", "/healthz", 110, 3.0, 31.0)


def make_route(name="r", host="a.example", prefix="/", **changes):
    """Return a route with default values."""
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
    """Return a table with default limits."""
    return state.Table.from_rows(
        version, routes, services, teams, state.CallerLimits()
    )


@given("a table with these routes")
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


@then("it matches route {name}")
def step_route(context, name):
    found = "none" if context.route is None else context.route.name
    assert found == name, found


@when("a table with {fault} is built")
def step_inconsistent_table(context, fault):
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


@then("it is rejected because of {reason}")
def step_rejected(context, reason):
    assert reason in context.error, context.error


def make_request(number, rank=0, deadline_at_s=2.0, target_at_s=1.0):
    """Return an admission request for a call."""
    return state.AdmissionRequest(
        number, 1, rank, "r", deadline_at_s, target_at_s
    )


@given("an admission controller for a warm server with {slots:d} slots")
def step_controller(context, slots):
    context.controller = state.AdmissionController(
        slots=slots, health=state.ServerHealth.UP
    )
    context.decisions = []


@when("{count:d} calls with {left_s:g} s until their deadline arrive at once")
def step_calls(context, count, left_s):
    context.decisions = [
        context.controller.submit(make_request(number, 0, left_s), 0.0)
        for number in range(count)
    ]


@then(
    "{admitted:d} are admitted, {queued:d} are queued "
    "and {rejected:d} are rejected"
)
def step_decisions(context, admitted, queued, rejected):
    kinds = [type(decision) for decision in context.decisions]
    found = [
        kinds.count(kind)
        for kind in (state.Admit, state.Enqueue, state.Reject)
    ]
    assert found == [admitted, queued, rejected], found


@when("calls with these ranks arrive")
def step_ranks(context):
    context.starts = []
    for number, row in enumerate(context.table):
        request = make_request(number, int(row["rank"]), 60.0, 60.0)
        if isinstance(context.controller.submit(request, 0.0), state.Admit):
            context.starts.append(number)


@then("they start in this order")
def step_order(context):
    for _ in context.table.rows[1:]:
        context.controller.record_completion("r", 0.1, False, 0.1)
        released = context.controller.release_queued(0.1)
        context.starts.extend(request.call_id for request in released.admitted)
    wanted = [int(row["call"]) for row in context.table]
    assert context.starts == wanted, context.starts


@given("a server that takes {rate:g} calls per second during its cold start")
def step_cold_server(context, rate):
    context.controller = state.AdmissionController(
        slots=12, cold_rate_per_s=rate
    )
    context.controller.mark_server_up("i-1", 60.0, 0.0)


@when("calls arrive every {interval_s:g} s for 3 s")
def step_steady_calls(context, interval_s):
    context.starts = []
    for number in range(round(3 / interval_s)):
        now_s = number * interval_s
        request = make_request(number, 0, now_s + 2.0, now_s + 1.0)
        started = isinstance(
            context.controller.submit(request, now_s), state.Admit
        )
        started += len(context.controller.release_queued(now_s).admitted)
        for _ in range(started):
            context.starts.append(now_s)
            context.controller.record_completion("r", 0.01, False, now_s)


@then(
    "at most {most:d} calls start in any second and at least {least:d} in 3 s"
)
def step_start_rate(context, most, least):
    starts = context.starts
    for begin_s in starts:
        inside = [at_s for at_s in starts if 0 <= at_s - begin_s < 1.0]
        assert len(inside) <= most, len(inside)
    assert len(starts) >= least, len(starts)


@when("the health of the server becomes unknown")
def step_health_unknown(context):
    context.controller.mark_server_unknown()


@then("the queued call expires between {least:g} and {most:g} s")
def step_expires(context, least, most):
    for step in range(1, 100):
        now_s = step / 100
        if context.controller.release_queued(now_s).expired:
            assert least <= now_s <= most, now_s
            return
    raise AssertionError("the call never expires")


@when("queued call {number:d} is cancelled")
def step_cancelled(context, number):
    assert context.controller.cancel(1, number)


@then("only call {number:d} starts when the slot becomes free")
def step_only(context, number):
    context.controller.record_completion("r", 0.1, False, 0.1)
    started = [
        request.call_id
        for request in context.controller.release_queued(0.1).admitted
    ]
    assert started == [number], started


@given(
    "a server with {slots:d} slots that takes {rate:g} calls per second "
    "during its cold start"
)
def step_cold_slots(context, slots, rate):
    context.controller = state.AdmissionController(
        slots=slots,
        health=state.ServerHealth.UP,
        cold_until_s=60.0,
        cold_rate_per_s=rate,
    )


@given(
    "its calls run for {run_s:g} s during it, which its node has not seen yet"
)
def step_cold_run(context, run_s):
    context.run_s = run_s


@when(
    "{offered:d} calls per second with an objective of {target_s:g} s and "
    "a deadline of {deadline_s:g} s arrive for {seconds:g} s"
)
def step_cold_load(context, offered, target_s, deadline_s, seconds):
    controller = context.controller
    step_s = 0.005
    ends_s = []
    context.starts_s = []
    arrived = 0
    for tick in range(round(seconds / step_s)):
        now_s = tick * step_s
        while ends_s and ends_s[0] <= now_s:
            ends_s.pop(0)
            controller.record_completion("r", context.run_s, False, now_s)
        started = len(controller.release_queued(now_s).admitted)
        while arrived <= offered * now_s:
            arrived += 1
            request = make_request(
                arrived, 0, now_s + deadline_s, now_s + target_s
            )
            started += isinstance(
                controller.submit(request, now_s), state.Admit
            )
        ends_s += [now_s + context.run_s] * started
        context.starts_s += [now_s] * started


@then(
    "at least {least:d} of them have started, and at most {most:d} in any "
    "second"
)
def step_cold_starts(context, least, most):
    starts_s = context.starts_s
    busiest = max(
        sum(first_s <= start_s < first_s + 1.0 for start_s in starts_s)
        for first_s in starts_s
    )
    assert len(starts_s) >= least, len(starts_s)
    assert busiest <= most, busiest


@when(
    "the cold start ends in {left_s:g} s and {count:d} calls with an "
    "objective of {target_s:g} s arrive at once"
)
def step_cold_calls(context, left_s, count, target_s):
    context.controller.cold_until_s = left_s
    context.decisions = [
        context.controller.submit(make_request(number, 0, 5.0, target_s), 0.0)
        for number in range(count)
    ]


@then("the rejected ones may return after {after_s:g} s or later")
def step_return_after(context, after_s):
    rejected = [
        decision
        for decision in context.decisions
        if isinstance(decision, state.Reject)
    ]
    assert rejected
    for decision in rejected:
        assert decision.retry_after_s >= after_s, decision


def run_calls(context, count, run_s, gap_s, failed=False):
    """Let calls run one at a time, and end some time apart."""
    controller = context.controller
    now_s = getattr(context, "now_s", 0.0)
    for number in range(count):
        now_s += gap_s
        decision = controller.submit(
            make_request(number, 0, now_s + 9.0, now_s + 9.0), now_s
        )
        assert isinstance(decision, state.Admit), decision
        controller.record_completion("r", run_s, failed, now_s)
    context.now_s = now_s


@when("{count:d} calls run for {run_s:g} s each, {gap_s:g} s apart")
def step_run_apart(context, count, run_s, gap_s):
    run_calls(context, count, run_s, gap_s)


@when("{count:d} calls fail, {gap_s:g} s apart")
def step_fail_apart(context, count, gap_s):
    run_calls(context, count, 0.02, gap_s, failed=True)


@then("it reports a run time of {least:g} to {most:g} s")
def step_reported_run(context, least, most):
    found = context.controller.load(context.now_s, True).run_time_s
    assert least <= found <= most, found


@then("it reports a failure rate of {least:g} to {most:g}")
def step_reported_failures(context, least, most):
    found = context.controller.load(context.now_s, True).failure_rate
    assert least <= found <= most, found
