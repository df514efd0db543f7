"""Steps for the calls that repeated runs of backend servers make."""

import asyncio

from behave import then
from behave import when

from jasminecrank.mesh import state
from jasminecrank.standins import fleet

RUN_S = 0.6
TICKS_PER_S = 10
TICKS = 300
CALLED = "called"
"""Service that runs of the service `s` call."""
SHARE = state.UNANSWERED_RETRY_SHARE


@when(
    "each node sends {calls:d} calls a second to a service with {servers:d} "
    "servers, whose runs make a call each"
)
def step_load(context, calls, servers):
    context.calls = calls
    context.servers = servers


@when("all allowed retries of both are made for 30 s")
def step_retries(context):
    """Let each run make its call at the next of the servers' nodes."""
    context.retries = []
    context.first_attempts = []
    budgets = context.budgets
    runs = 0
    for tick in range(TICKS):
        now_s = tick / TICKS_PER_S
        for budget in budgets:
            if tick % TICKS_PER_S == 0:
                for _ in range(context.calls):
                    budget.record_first_attempt("s", now_s)
                    runs += 1
                    node = budgets[runs % context.servers]
                    node.record_first_attempt(CALLED, now_s)
                    context.first_attempts.append(now_s)
            while budget.try_retry("s", SHARE, now_s):
                runs += 1
                budgets[runs % context.servers].record_repeat(CALLED, now_s)
                context.retries.append(now_s)
        for budget in budgets:
            while budget.try_retry(CALLED, SHARE, now_s):
                context.retries.append(now_s)


async def _call(caller, request_id):
    """Send a request with an id of its own, and expect its answer."""
    await caller.send(headers={"Request-Id": request_id})
    assert (await caller.receive()).status == 200


@when(
    "a request is {outcome} by its first server, and its run at the second "
    "one makes {calls:d} calls"
)
def step_run(context, outcome, calls):
    deployment = context.fleet
    first, second = deployment.servers
    second.run_s = RUN_S

    async def act():
        match outcome:
            case "rejected":
                first.behaviours = [fleet.Behaviour.SHED]
            case "lost":
                first.behaviours = [fleet.Behaviour.RESET_AFTER_RUN]
            case "refused":
                await deployment.register(0, "draining")
                await asyncio.sleep(RUN_S)
        caller = deployment.caller(0)
        request = asyncio.create_task(caller.request())
        await deployment.wait_until(lambda: len(second.requests) == 1)
        second.run_s = 0.0
        nested = deployment.caller(1)
        for number in range(calls):
            await _call(nested, f"{caller.last_request_id}.{number}")
        assert (await request).status == 200
        # Its run has ended, so that this one is a call like any other.
        await _call(nested, f"{caller.last_request_id}.{calls}")

    second.requests.clear()
    context.runner.run(act())


@then("the second server's node counts {repeats:d} calls of repeated runs")
def step_counted(context, repeats):
    counts = context.fleet.nodes[1].entry.log.count_by_name
    assert counts["retries", "of-repeated-run"] == repeats, counts
