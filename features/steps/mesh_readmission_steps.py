"""Steps for pipelined requests that are admitted again in their turn."""

import asyncio
from collections import Counter
import contextlib

from behave import given
from behave import then
from behave import when

from jasminecrank.standins import fleet

RECEIVE_S = 8.0
CALLERS_AT_ONCE = 20
MAX_ATTEMPTS = 2
"""`maxAttempts` of the routes in the stand-in's table."""
BUDGET_RATIO = 0.2
BUDGET_SLACK = 56
"""Retry budget in the settings of the stand-in's nodes."""
BEHAVIOURS_BY_REJECTED = {
    "all of them": [fleet.Behaviour.SHED],
    "every second of them": [fleet.Behaviour.SHED, fleet.Behaviour.SERVE],
}


@given("a deployment of {hosts:d} hosts whose nodes have answered")
def step_deployment(context, hosts):
    context.exit_stack = contextlib.ExitStack()
    context.runner = context.exit_stack.enter_context(asyncio.Runner())
    context.fleet = fleet.Deployment(hosts)
    context.exit_stack.callback(context.fleet.close)
    context.runner.run(context.fleet.start())
    context.runner.run(_let_nodes_answer(context.fleet))


async def _let_nodes_answer(deployment):
    """Let each node pass on an answer, before which it runs none ahead."""
    for number in range(len(deployment.nodes)):
        caller = deployment.caller(number)
        assert (await caller.request()).status == 200
        caller.close()
    for server in deployment.servers:
        server.arrivals_by_request_id.clear()


async def _call(deployment, number, requests):
    caller = deployment.pipelining_caller(number)
    await caller.connect()
    for _ in range(requests - 1):
        await caller.send()
    await caller.send(headers={"Connection": "close"})
    responses = await caller.receive_all(RECEIVE_S)
    caller.close()
    assert len(responses) == requests, responses


@when(
    "{callers:d} callers pipeline {requests:d} requests each, and the servers "
    "reject {rejected}"
)
def step_pipeline(context, callers, requests, rejected):
    deployment = context.fleet
    context.requests = callers * requests
    for server in deployment.servers:
        server.behaviours = BEHAVIOURS_BY_REJECTED[rejected] * (
            MAX_ATTEMPTS * context.requests
        )
    limit = asyncio.Semaphore(CALLERS_AT_ONCE)

    async def call(number):
        async with limit:
            await _call(deployment, number % len(deployment.nodes), requests)

    async def act():
        await asyncio.gather(*(call(number) for number in range(callers)))

    context.runner.run(act())


def _arrivals_by_request_id(deployment):
    arrivals = Counter()
    for server in deployment.servers:
        arrivals.update(server.arrivals_by_request_id)
    return arrivals


@then("no request reaches more servers than its route allows")
def step_attempts(context):
    arrivals = _arrivals_by_request_id(context.fleet)
    excess = {
        request_id: count
        for request_id, count in arrivals.items()
        if count > MAX_ATTEMPTS
    }
    assert not excess, excess


@then("the repeats of all requests stay within the fleet's retry budget")
def step_budget(context):
    arrivals = _arrivals_by_request_id(context.fleet)
    repeats = arrivals.total() - len(arrivals)
    allowed = BUDGET_RATIO * context.requests + BUDGET_SLACK
    assert repeats <= allowed, (repeats, allowed)
