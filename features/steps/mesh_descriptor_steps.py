"""Steps for a node process that has few descriptors."""

import asyncio
import contextlib
import resource
import socket

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import state
from jasminecrank.standins import fleet

HOST = "127.0.5.1"
CHECK_PERIOD_S = 0.05

FIRST_USED = 140
"""Used connections that are opened before a pause."""
USED_EVERY = 20
"""Unused connections opened between two requests on the one in use."""


@given("it may open {limit:d} descriptors")
def step_limit(context, limit):
    process_id = context.node.process.pid
    resource.prlimit(process_id, resource.RLIMIT_NOFILE, (limit, limit))


USE_BY_PORT = {
    "callers": b"GET /gone/1 HTTP/1.1\r\nHost: a.example\r\n"
    b"Request-Id: i1\r\nDeadline-Ms: 2000\r\n\r\n",
    "ready": b"GET /-/readyz HTTP/1.1\r\nHost: node\r\n\r\n",
}
"""Requests that are answered at once."""


def _open(address, kind, port):
    connection = socket.create_connection(address)
    if kind == "used":
        connection.sendall(USE_BY_PORT[port])
        assert connection.recv(4096).startswith(b"HTTP/1.1 "), kind
    return connection


@when("{count:d} {kind} connections are opened to its {port} port")
def step_idle(context, count, kind, port):
    async def act():
        context.used = fleet.Caller(HOST, context.node.ports["callers"])
        context.node.server.run_s = 0.02
        address = (HOST, context.node.ports[port])
        context.idle = []
        for number in range(count):
            # The node may take long to accept the connections between two
            # requests, and the one that is in use must not be idle longest.
            if kind == "unused" and number % USED_EVERY == 0:
                await context.used.request("GET", "/open/1", None)
            if kind == "used" and number == FIRST_USED:
                await asyncio.sleep(0.6)
            context.idle.append(_open(address, kind, port))
            context.exit_stack.callback(context.idle[-1].close)
        # Of those that have been used, the one idle longest goes first.
        if kind == "used":
            await context.used.request("GET", "/open/1", None)

    context.runner.run(act())
    context.exit_stack.callback(context.used.close)


async def _is_ready(node):
    reader, writer = await asyncio.open_connection(HOST, node.ports["ready"])
    try:
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: node\r\n\r\n")
        return b"200" in await reader.readline()
    finally:
        writer.close()


@then("within {within_s:g} s it serves a new call and is ready")
def step_new_call(context, within_s):
    node = context.node

    async def is_usable():
        # The connection that is in use is never idle for long.
        response = await context.used.request("GET", "/open/1", None)
        assert response.status == 200, response
        with contextlib.suppress(OSError, AssertionError):
            return await node.is_serving() and await _is_ready(node)
        return False

    node.server.run_s = 0.02
    context.runner.run(node.until(is_usable, within_s))


@then("the call that was open gets {status:d}")
def step_open_call(context, status):
    response = context.runner.run(context.caller.receive())
    assert response.status == status, context.node.describe()


@then("a connection that has been used since is still open")
def step_used(context):
    assert context.used.is_connected


@then("after {after_s:g} s all of them are open")
def step_all_open(context, after_s):
    async def act():
        await asyncio.sleep(after_s)

    context.runner.run(act())
    for connection in context.idle:
        connection.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            assert connection.recv(1), context.node.describe()


@given("connections that are idle since {idle}")
def step_idle_since(context, idle):
    context.idleness_by_connection = {}
    for item in [] if idle == "none" else idle.split(", "):
        name, since_s, *unused = item.split()
        idleness = state.Idleness(not unused, float(since_s))
        context.idleness_by_connection[name] = idleness


@when("{used:d} of {limit} descriptors are open at {now_s:g}")
def step_use(context, used, limit, now_s):
    use = state.DescriptorUse(used, None if limit == "none" else int(limit))
    context.closed = state.connections_to_yield(
        context.idleness_by_connection, use, now_s
    )


@then("the connections {names} are closed")
def step_yielding(context, names):
    expected = [] if names == "none" else names.split(", ")
    assert context.closed == expected, context.closed
