"""Steps for bodies in transit between two nodes."""

import asyncio

from behave import given
from behave import then
from behave import when
import mesh_memory_steps
import mesh_path_steps
import uvloop

MB = 1_000_000
MAX_BODY_BYTES = 67_108_864
DELISTED_S = 0.3
"""Time in which nodes learn that a server has left the store."""
DEADLINE_MS = 5_000
RUN_S = 1.0


@given("{hosts:d} hosts with bodies up to 67 MB and no server on the first")
def step_hosts(context, hosts):
    def prepare(deployment):
        deployment.max_body_bytes = MAX_BODY_BYTES
        deployment.timeout_ms = DEADLINE_MS

    mesh_path_steps.start_deployment(
        context, hosts, prepare, uvloop.new_event_loop
    )

    async def delist():
        await context.fleet.store.delete("servers/i-0")
        await asyncio.sleep(DELISTED_S)

    context.runner.run(delist())


async def _upload(context, size_bytes):
    caller = context.fleet.caller(0)
    context.exit_stack.callback(caller.close)
    await caller.send(
        "POST",
        "/book/1",
        deadline_ms=DEADLINE_MS,
        headers={"Content-Length": str(size_bytes)},
    )
    context.request_id = caller.last_request_id
    caller.write(b"x" * size_bytes)
    context.response = await caller.receive(10.0)


async def _receiving_node(context):
    """Return the node that has begun to receive the body."""
    async with asyncio.timeout(5.0):
        while True:
            for node in context.fleet.nodes[1:]:
                if node.memory_budget.held_bytes:
                    return node
            await asyncio.sleep(0)


def _accepted_links(node):
    return [link for link in node._links if not link.dialled]


@when("a body of {size:d} MB is on its way to another host, and {end}")
def step_link_ends(context, size, end):
    async def act():
        for server in context.fleet.servers:
            server.run_s = RUN_S
        uploading = asyncio.create_task(_upload(context, size * MB))
        node = await _receiving_node(context)
        if end == "its link is reset while the call runs":
            await context.fleet.wait_until(
                lambda: mesh_path_steps.count_runs(context, context.request_id)
            )
        if end == "the host is killed":
            node.abort()
        else:
            for link in _accepted_links(node):
                link.abort()
        await uploading
        # A second run would have started by now.
        await asyncio.sleep(DELISTED_S)

    context.runner.run(act())


@then("its caller gets {status:d}, and the request has run {runs:d} times")
def step_outcome(context, status, runs):
    ran = mesh_path_steps.count_runs(context, context.request_id)
    found = (context.response.status, ran)
    assert found == (status, runs), (found, context.fleet.log_lines[-8:])
    if status == 503:
        assert float(context.response.headers["retry-after"]) > 0


@when(
    "the link is reset, and a call with a body of {size:g} MB is sent {moment}"
)
def step_reset(context, size, moment):
    sender = context.nodes.sender
    context.call = mesh_memory_steps.make_call(1, round(size * MB))

    async def act(link):
        if moment == "before":
            link.send(context.call)
        link.abort()
        if moment == "at once":
            link.send(context.call)
        await sender.wait_until(lambda: sender.ended)
        context.unsent = list(sender.unsent)
        if moment == "after its end":
            link.send(context.call)
            context.unsent = list(sender.unsent)

    mesh_memory_steps.play(context, act)


@then("the call is reported as unsent, once")
def step_reported(context):
    assert context.unsent == [context.call], len(context.unsent)
