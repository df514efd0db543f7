"""Steps for bodies in transit between two nodes."""

import asyncio
import contextlib
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import mesh_memory_steps
import mesh_path_steps
import uvloop

from jasminecrank.mesh import coordination

MB = 1_000_000
MAX_BODY_BYTES = 67_108_864
DELISTED_S = 0.3
"""Time in which nodes learn that a server has left the store."""
DEADLINE_MS = 5_000
"""Less than a node has to stop, so that it accepts the call."""
LATE_DEADLINE_MS = 9_000
"""More than a node has to stop."""
RUN_S = 1.0


@given("{hosts:d} hosts with bodies up to 67 MB and no server on the first")
def step_hosts(context, hosts):
    def prepare(deployment):
        deployment.max_body_bytes = MAX_BODY_BYTES
        deployment.timeout_ms = LATE_DEADLINE_MS

    mesh_path_steps.start_deployment(
        context, hosts, prepare, uvloop.new_event_loop
    )

    async def delist():
        await context.fleet.store.delete("servers/i-0")
        await asyncio.sleep(DELISTED_S)

    context.runner.run(delist())


async def _upload(context, size_bytes, deadline_ms=DEADLINE_MS):
    context.response = None
    context.caller = caller = context.fleet.caller(0)
    context.exit_stack.callback(caller.close)
    await caller.send(
        "POST",
        "/book/1",
        deadline_ms=deadline_ms,
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


@given("{count:d} calls of its route have been served")
def step_served(context, count):
    async def act():
        for _ in range(count):
            await _upload(context, 4)
            assert context.response.status == 200, context.response

    context.runner.run(act())


@contextlib.contextmanager
def _stalled(links):
    """Let links send no more parts of bodies."""
    with contextlib.ExitStack() as stack:
        for link in links:
            # The transport calls it whenever its buffer is empty.
            stack.enter_context(mock.patch.object(link, "resume_writing"))
            link.pause_writing()
        yield
    for link in links:
        link.resume_writing()


@when(
    "a body of {size:d} MB is on its way to another host, which stops, "
    "and arrives {arrival}"
)
def step_stop(context, size, arrival):
    async def act():
        deadline_ms = DEADLINE_MS
        if arrival == "not in time":
            deadline_ms = LATE_DEADLINE_MS
        uploading = asyncio.create_task(
            _upload(context, size * MB, deadline_ms)
        )
        node = await _receiving_node(context)
        sender = context.fleet.nodes[0]
        started_s = time.monotonic()
        stopping = asyncio.create_task(node.stop())
        with _stalled([link for link in sender._links if link.dialled]):
            match arrival:
                case "after 3.0 s":
                    await asyncio.sleep(3.0)
                case "not in time":
                    await stopping
                case "cancelled":
                    uploading.cancel()
                    context.caller.close()
                    await stopping
                case _:
                    raise ValueError(arrival)
        await stopping
        context.elapsed_s = time.monotonic() - started_s
        await asyncio.wait((uploading,))

    context.runner.run(act())


@then("the host ended {end}, and has refused {count:d} calls for its stop")
def step_ended(context, end, count):
    least_s, most_s = {
        "once it was served": (3.0, 4.5),
        "within 6.0 s": (5.0, 6.0),
        "without waiting": (0.0, 3.0),
    }[end]
    assert least_s <= context.elapsed_s < most_s, context.elapsed_s
    refusals = [
        line
        for line in context.fleet.log_lines
        if b'"gate-call"' in line and b'"stopping"' in line
    ]
    assert len(refusals) == count, refusals
    assert all(b'"not-run"' in line for line in refusals), refusals


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


@then("its caller gets {status}, and the request has run {runs:d} times")
def step_outcome(context, status, runs):
    ran = mesh_path_steps.count_runs(context, context.request_id)
    response = context.response
    found = ("none" if response is None else str(response.status), ran)
    assert found == (status, runs), (found, context.fleet.log_lines[-8:])
    if status == "503":
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
    assert context.unsent == [context.call.call_id], context.unsent


@when("a call with a body of 64 MB is refused after its first part")
def step_refused(context):
    nodes = context.nodes

    async def act(link):
        link.send(mesh_memory_steps.make_call(1, 64 * MB))
        await nodes.receiver.wait_until(lambda: nodes.receiver.arriving)
        (receiving,) = nodes.receiver.links
        receiving.send(coordination.CallNotRun(1, "stopping", 0.0, False))
        await nodes.sender.wait_until(lambda: nodes.sender.messages)
        # It follows what is in transit.
        link.send(mesh_memory_steps.make_call(2, 100))
        await nodes.receiver.wait_until(lambda: nodes.receiver.messages)
        context.held_bytes = nodes.budget.held_bytes

    mesh_memory_steps.play(context, act)


@then("the receiver gets no more of it and holds no bytes")
def step_discarded(context):
    (message,) = context.nodes.receiver.messages
    assert message.call_id == 2, message.call_id
    assert context.held_bytes == 0, context.held_bytes
