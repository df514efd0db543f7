"""Steps for readiness after a start and after a process pause."""

from behave import given
from behave import then
from behave import when

from jasminecrank import state


def uniform_versions(number):
    """Return a version vector with one number for all documents."""
    version = state.Version(number, "00")
    return state.VersionVector(version, version, version, version)


@given("a node that starts at {now_s:d} s")
def step_starts(context, now_s):
    context.readiness = state.ReadinessState.from_start(now_s)
    context.own = uniform_versions(0)


@when("the events {events} occur")
def step_events(context, events):
    for event in events.split(", "):
        apply_event(context, event.split())


def apply_event(context, event):
    """Apply one event of a scenario."""
    readiness = context.readiness
    match event:
        case ["serve"]:
            for step in ("answer 0 1 100.1", "hold 1", "tick 101"):
                apply_event(context, step.split())
            assert context.decided.ready
        case ["hold", number]:
            context.own = uniform_versions(int(number))
        case ["answer", query_id, number, now_s]:
            readiness.record_reply(
                int(query_id), uniform_versions(int(number)), float(now_s)
            )
        case ["tick", now_s]:
            readiness.detect_pause(float(now_s))
            readiness.tick(float(now_s))
            context.decided = readiness.decide(context.own, float(now_s))
        case _:
            raise AssertionError(event)


@then("the readiness is {expected}")
def step_is(context, expected):
    assert expected in ("ready", "not ready"), expected
    assert context.decided.ready == (expected == "ready"), context.decided


@given("a node that was ready at its last tick at {now_s:d} s")
def step_was_ready(context, now_s):
    context.admission = state.AdmissionState.from_host("a", now_s)
    context.admission.set_ready(True, now_s, now_s)


@when("the node receives a call at {now_s:f} s")
def step_call(context, now_s):
    call = state.CallRequest("r", "GET", "/", None, None, None, None)
    context.decision = context.admission.admit(call, now_s)


@then("the call is refused with {code}")
def step_refused(context, code):
    assert context.decision.code.name == code, context.decision
