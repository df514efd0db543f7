"""Steps for status lines that are none."""

from behave import given
from behave import then
from behave import when
import mesh_path_steps

DEADLINE_MS = 9_000
"""Longer than the caller of the stand-ins waits for a response."""
TARGET_BY_METHOD = {"GET": "/lots/1", "POST": "/book/1"}


@given("two nodes whose servers answer 200")
def step_nodes(context):
    def limit(deployment):
        deployment.timeout_ms = DEADLINE_MS

    mesh_path_steps.start_deployment(context, 2, limit)


@when('the first response to a {method} request has the status line "{line}"')
def step_request(context, method, line):
    pending = [line]
    for server in context.fleet.servers:
        # Whichever server runs the request first takes the line.
        server.status_lines = pending

    async def act():
        caller = context.fleet.caller(0)
        context.response = await caller.request(
            method, TARGET_BY_METHOD[method], deadline_ms=DEADLINE_MS
        )

    context.runner.run(act())


@then(
    "the caller gets {status:d} well before its deadline, after {runs:d} runs"
)
def step_status(context, status, runs):
    found = sum(len(server.requests) for server in context.fleet.servers)
    assert (context.response.status, found) == (status, runs), (
        context.response,
        found,
    )
