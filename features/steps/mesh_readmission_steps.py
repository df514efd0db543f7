"""Steps for pipelined requests that are admitted again in their turn."""

import asyncio
from collections import Counter
import contextlib
import dataclasses
import random

from behave import given
from behave import then
from behave import when
import fleet_model
import mesh_state_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state
from jasminecrank.standins import fleet

RECEIVE_S = 8.0
CALLERS_AT_ONCE = 20
REQUESTS = 20
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


@then(
    "requests have been admitted again, and each counts once in the retry "
    "budget"
)
def step_counted_once(context):
    entry = context.fleet.nodes[0].entry
    assert entry.log.count_by_name["requests_readmitted", ""] > 0
    counted = entry._budget._first_attempts_by_service["ledger"]
    sent = len(context.caller.request_ids) + 1  # of the node's first answer
    assert len(counted) == sent, (len(counted), sent)


class _Ignore:
    """Mailbox that drops its messages."""

    def tell(self, message):
        """Drop a message."""


def _set_weights(entry, version, weights):
    """Let a route lead to services of these weights."""
    services = [
        dataclasses.replace(mesh_state_steps.SERVICE, name=f"s-{number}")
        for number in range(len(weights))
    ]
    route = mesh_state_steps.make_route(
        open_to_all=True,
        weighted_services=tuple(
            state.WeightedService(service.name, weight)
            for service, weight in zip(services, weights, strict=True)
        ),
    )
    table = mesh_state_steps.make_table(version, [route], services=services)
    entry.handle(
        coordination.FleetChanged(
            state.FleetSnapshot(table, {}, {}, frozenset())
        )
    )


def _refuse(entry, readmission=None):
    """Let a request be refused, and return the refusal."""
    replies = []
    request = state.CallRequest(
        "c-1", b"GET", b"/", "a.example", "/1", (), b"", None, 2.0
    )
    now_s = asyncio.get_running_loop().time()
    entry.handle(
        coordination.CallArrived(
            1, request, now_s, replies.append, readmission
        )
    )
    [refusal] = replies
    return refusal


@given("a route whose services have no servers")
def step_route(context):
    rng = random.Random(1)
    context.entry = coordination.EntryTask(
        "10.0.0.9",
        "intake",
        {},
        state.Placement("10.0.0.9", "a", rng),
        state.RetryBudget(state.RetryBudgetBounds(0.2, 10.0, 50.0)),
        _Ignore(),
        _Ignore(),
        fleet_model.LoopClock(),
        rng,
        fleet_model.NullLog(),
    )


@when("requests are refused and admitted again, and {change} before")
def step_admitted_again(context, change):
    weights = {
        "nothing changes": (1.0, 1.0),
        "the weights change": (3.0, 1.0),
        "one service loses its weight": (0.0, 1.0),
    }[change]

    async def act():
        _set_weights(context.entry, 1, (1.0, 1.0))
        first = [_refuse(context.entry).readmission for _ in range(REQUESTS)]
        _set_weights(context.entry, 2, weights)
        return [
            (readmission, _refuse(context.entry, readmission).readmission)
            for readmission in first
        ]

    context.services = [
        (before.service, after.service) for before, after in asyncio.run(act())
    ]


@then("each of them is sent to {service}")
def step_service(context, service):
    before = {first for first, _ in context.services}
    assert before == {"s-0", "s-1"}, before
    for first, second in context.services:
        assert second == (first if service == "its service" else "s-1")
