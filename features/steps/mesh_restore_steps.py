"""Steps for runs in which the store comes back from an older copy."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from jasminecrank.standins.soak import restores

SEED = 1
AGAIN_AFTER_S = 0.5


@given("node processes on {hosts:d} hosts and a copy of their store")
def step_hosts(context, hosts):
    context.hosts = hosts


@when(
    "{revisions:d} revisions later {change} and the store is restored, "
    "away for {away:g} s, {times}"
)
def step_restore(context, revisions, change, away, times):
    context.restore = {
        "copy_age": revisions,
        "away_s": away,
        "change": restores.LostChange(change),
        "again_after_s": AGAIN_AFTER_S if times == "twice" else None,
    }


@when("{event} meanwhile")
def step_meanwhile(context, event):
    events = [item for item in restores.Meanwhile if item.value == event]
    assert events or event == "nothing happens", event
    restore = restores.Restore(**context.restore, meanwhile=frozenset(events))
    with tempfile.TemporaryDirectory() as directory:
        context.result = restores.RestoreRun(
            SEED, context.hosts, (restore,), pathlib.Path(directory)
        ).run()


def check(context, lines):
    """Check that nothing went wrong, and describe all that did."""
    assert not lines, "\n".join(
        f"{name}: {len(found)} {found[:3]}"
        for name, found in context.result.lines_by_name.items()
    )


@then("the configuration written next is in force on all nodes within 2 s")
def step_in_force(context):
    assert context.result.configurations == context.hosts
    check(context, context.result.late_configurations)


@then("no request reaches a leaving server more than 2 s after its entry")
def step_leaving(context):
    check(context, context.result.late_runs)


@then("no node returns to an older table")
def step_returns(context):
    check(context, context.result.returns)


@then("no request is lost")
def step_lost(context):
    assert context.result.requests
    check(context, context.result.lost)


@then("the service is served throughout")
def step_served(context):
    check(context, context.result.unserved)
