"""Steps for the attempts of a call in the event-loop node."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from mesh_state_steps import make_route

from jasminecrank.mesh import state

# Attempt results by name, with the possible numbers of runs at the server.
OUTCOME_BY_NAME = {
    "served 200": (state.Served(state.Response(200, b"", (), b""), 0.1), (1,)),
    "served 500": (state.Served(state.Response(500, b"", (), b""), 0.1), (1,)),
    "lost": (state.MayHaveRun("lost"), (0, 1)),
    "rejected": (state.NotRun("server-rejected", 0.1, True), (0,)),
    "busy": (state.NotRun("busy", 0.1, False), (0,)),
}
NOT_RUN_REFUSALS = (state.RefusalKind.OVERLOADED, state.RefusalKind.EXPIRED)


@given("a call on a route of kind {kind} with {attempts:d} attempts")
def step_call(context, kind, attempts):
    route = make_route(kind=state.RouteKind(kind), max_attempts=attempts)
    context.attempts = state.CallAttempts(route)


@when("its attempts end with {names}")
def step_attempts_end(context, names):
    for number, name in enumerate(names.split(", ")):
        context.attempts.tried_server_ids.add(f"i-{number}")
        context.step = context.attempts.next_step(OUTCOME_BY_NAME[name][0])


@then("the next step is {wanted}")
def step_next(context, wanted):
    match context.step:
        case state.Deliver():
            found = "deliver"
        case state.TryAnotherServer():
            found = "try elsewhere"
        case state.Refuse(refusal):
            found = f"refuse {refusal.kind.value}"
    assert found == wanted, found


@when("it times out while it is {where}")
def step_times_out(context, where):
    context.step = context.attempts.timeout_step(where == "at a node")


@then("the refusal is {wanted}")
def step_refusal(context, wanted):
    assert isinstance(context.step, state.Refuse), context.step
    found = context.step.refusal.kind.value
    assert found == wanted, context.step


@then("it is answered with {status} if it ends now")
def step_answered(context, status):
    end = context.step
    if isinstance(end, state.TryAnotherServer):
        end = end.fallback
    match end:
        case state.Deliver(response):
            found = str(response.status)
        case state.Refuse():
            found = "none"
    assert found == status, end


@when("{count:d} calls have random attempt results")
def step_random_results(context, count):
    names = strategies.lists(
        strategies.sampled_from(
            [
                (name, ran)
                for name in OUTCOME_BY_NAME
                for ran in OUTCOME_BY_NAME[name][1]
            ]
        ),
        min_size=1,
        max_size=6,
    )

    @hypothesis.settings(max_examples=count)
    @hypothesis.given(
        kind=strategies.sampled_from(list(state.RouteKind)), script=names
    )
    def check_results(kind, script):
        attempts = state.CallAttempts(make_route(kind=kind, max_attempts=3))
        runs = 0
        for number, (name, ran) in enumerate(script):
            attempts.tried_server_ids.add(f"i-{number}")
            step = attempts.next_step(OUTCOME_BY_NAME[name][0])
            runs += ran
            if not isinstance(step, state.TryAnotherServer):
                break
        end = step
        if isinstance(step, state.TryAnotherServer):
            end = step.fallback
        if kind is state.RouteKind.AT_MOST_ONCE:
            assert runs <= 1, script
        if (
            isinstance(end, state.Refuse)
            and end.refusal.kind in NOT_RUN_REFUSALS
        ):
            assert runs == 0, script
        assert attempts.servers_reached <= 3, script

    context.check_results = check_results


@then("no booking has run twice and every refusal is accurate")
def step_refusals_accurate(context):
    context.check_results()
