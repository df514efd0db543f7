"""Steps for callers that end their sending side."""

import asyncio
import socket
import time

from behave import then
from behave import when
import mesh_owed_steps

STARTED_S = 0.1
TARGETS = {"GET": "/lots/1", "POST": "/book/1"}


async def _drain_own_server(context):
    """Let the other host, if there is one, serve the callers of host 0."""
    if len(context.fleet.servers) > 1:
        await context.fleet.register(0, "draining")
        await asyncio.sleep(0.5)


async def _shut_down(context, caller):
    """Shut down the sending side of a caller and read until the end."""
    caller._socket.shutdown(socket.SHUT_WR)
    started_s = time.monotonic()
    await mesh_owed_steps.receive_answers(context, [caller])
    context.elapsed_s = time.monotonic() - started_s


@when(
    "a caller sends {count:d} {method} requests "
    "and shuts down its sending side {moment}"
)
def step_half_close(context, count, method, moment):
    async def act():
        await _drain_own_server(context)
        caller = await mesh_owed_steps.open_caller(context)
        for _ in range(count):
            await caller.send(method, TARGETS[method])
        if moment == "while they run":
            await asyncio.sleep(STARTED_S)
        await _shut_down(context, caller)

    context.runner.run(act())


@when(
    "{running:d} POST requests run and a caller of a {method} request "
    "shuts down its sending side"
)
def step_half_close_waiting(context, running, method):
    async def act():
        await _drain_own_server(context)
        callers = [
            await mesh_owed_steps.open_caller(context)
            for _ in range(running + 1)
        ]
        for caller in callers[:-1]:
            await caller.send("POST", TARGETS["POST"])
        await asyncio.sleep(STARTED_S)
        await callers[-1].send(method, TARGETS[method])
        await asyncio.sleep(STARTED_S)
        await _shut_down(context, callers[-1])

    context.runner.run(act())


@when("a caller sends a part of a request and shuts down its sending side")
def step_part(context):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        await caller.send("POST", "/book/1", {"Content-Length": "4"})
        await _shut_down(context, caller)

    context.runner.run(act())


@when(
    "{callers:d} callers send a {method} request and close their connections"
)
def step_close(context, callers, method):
    async def act():
        opened = [
            await mesh_owed_steps.open_caller(context) for _ in range(callers)
        ]
        for caller in opened:
            await caller.send(method, TARGETS[method])
        await asyncio.sleep(STARTED_S)
        for caller in opened:
            caller.close()

    context.runner.run(act())


@when(
    "a caller sends a GET request, shuts down its sending side, "
    "and closes after {closes_s:g} s, having read {read}"
)
def step_close_later(context, closes_s, read):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        await caller.send("GET", "/lots/1")
        await asyncio.sleep(STARTED_S)
        caller._socket.shutdown(socket.SHUT_WR)
        if read == "everything":
            await caller.receive_all(closes_s)
        else:
            await asyncio.sleep(closes_s)
        caller.close()

    context.runner.run(act())


@then("it gets them whole within {within_s:g} s")
def step_elapsed(context, within_s):
    (answers,) = context.answers
    request_ids = context.callers[0].request_ids
    for answer, request_id in zip(answers, request_ids, strict=True):
        if answer.status == 200:
            mesh_owed_steps.check_answer(answer, request_id, context)
    assert context.elapsed_s < within_s, context.elapsed_s


def _count_runs(context, after_s):
    """Return the runs that have begun, and those at work after a while."""
    context.runner.run(asyncio.sleep(after_s))
    servers = context.fleet.servers
    begun = sum(sum(server.runs_by_request_id.values()) for server in servers)
    return begun, sum(server._concurrency for server in servers)


@then(
    "servers have begun {begun:d} requests, "
    "and run {running:d} of them {after_s:g} s later"
)
def step_begun(context, begun, running, after_s):
    found, at_work = _count_runs(context, after_s)
    assert (found, at_work) == (begun, running), (found, at_work)


@then(
    "servers have begun at most {begun:d} requests, "
    "and run {running:d} of them {after_s:g} s later"
)
def step_running(context, begun, running, after_s):
    found, at_work = _count_runs(context, after_s)
    assert 0 < found <= begun, found
    assert at_work == running, at_work
