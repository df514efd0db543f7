"""Steps for refusals of requests that are not read to their end."""

import asyncio
import contextlib
import json
import pkgutil
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import mesh_owed_steps

from jasminecrank.mesh import state

READER = "jasminecrank.mesh.transport._request_reader:RequestReader"
DRIP_S = 0.1
DRIPS = 40
TARGET = "/book/1"
LENGTH = {"Content-Length": "1000"}


async def _send_requests(caller, count):
    for _ in range(count):
        await caller.send()
    # The first of them is in progress when the next request begins.
    await asyncio.sleep(0.1)


async def _receive(context, caller, sending):
    """Read the answers while the rest is sent."""
    started_s = time.monotonic()
    task = asyncio.create_task(sending)
    await mesh_owed_steps.receive_answers(context, [caller])
    context.elapsed_s = time.monotonic() - started_s
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@when(
    "a caller sends a request that closes, {kbytes:d} kB {wait_s:g} s "
    "after it, and reads at {mbit:g} Mbit/s"
)
def step_trailing(context, kbytes, wait_s, mbit):
    async def act():
        caller = await mesh_owed_steps.open_caller(context, 0, mbit)
        await caller.send(headers={"Connection": "close"})

        async def send_rest():
            await asyncio.sleep(wait_s)
            await caller.write(b"x" * (1_000 * kbytes))

        await _receive(context, caller, send_rest())

    context.runner.run(act())


@when(
    "a caller sends {before:d} requests, then {size:d} MB of a body, "
    "and reads at {mbit:g} Mbit/s"
)
def step_endless_body(context, before, size, mbit):
    async def act():
        caller = await mesh_owed_steps.open_caller(context, 0, mbit)
        await _send_requests(caller, before)
        length = {"Content-Length": str(1_000_000 * size)}
        await caller.send("POST", TARGET, length)
        await _receive(context, caller, caller.write(b"x" * 1_000_000 * size))

    context.runner.run(act())


@when(
    "a caller sends a request that closes, {size:d} MB after it, "
    "and leaves after {after_s:g} s without reading"
)
def step_leave_unread(context, size, after_s):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        await caller.send(headers={"Connection": "close"})
        # The answer has been written when the rest begins to arrive.
        await asyncio.sleep(0.3)
        sending = asyncio.create_task(caller.write(b"x" * 1_000_000 * size))
        await asyncio.sleep(after_s)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        caller.close()

    context.runner.run(act())


@then("node 0 has no connection of callers left after {limit_s:g} s")
def step_none_left(context, limit_s):
    server = context.fleet.nodes[0]._caller_server

    def none_left():
        return not server._context.connections

    context.runner.run(context.fleet.wait_until(none_left, limit_s))


@given("requests have to arrive within {limit_s:g} s")
def step_time_limit(context, limit_s):
    limits = state.CallerLimits(header_timeout_s=limit_s)
    context.fleet.nodes[0]._caller_server.set_limits(limits)


async def _send_part(caller, what):
    drip = b""
    match what:
        case "half a head":
            await caller.write(b"GET /lots/1 HTTP/1.1\r\nHost: a.example\r\n")
        case "a head without its body":
            await caller.send("POST", TARGET, LENGTH)
        case "half a body":
            await caller.send("POST", TARGET, LENGTH)
            await caller.write(b"x" * 500)
        case "a head, a byte each 0.1 s":
            await caller.write(b"POST /book/1 HTTP/1.1\r\nA: ")
            drip = b"a"
        case "a body, a byte each 0.1 s":
            await caller.send("POST", TARGET, LENGTH)
            drip = b"x"
        case "chunks, one each 0.1 s":
            await caller.write(
                b"POST /book/1 HTTP/1.1\r\nHost: a.example\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            drip = b"1\r\nx\r\n"
        case _:
            raise ValueError(what)
    for _ in range(DRIPS if drip else 0):
        await caller.write(drip)
        await asyncio.sleep(DRIP_S)


@when("a caller sends {before:d} requests and, as its next one, {what}")
def step_part(context, before, what):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        await _send_requests(caller, before)
        await _receive(context, caller, _send_part(caller, what))

    context.runner.run(act())


@then("the servers have run {count:d} requests")
def step_runs(context, count):
    servers = context.fleet.servers
    runs = sum(server.runs_by_request_id.total() for server in servers)
    assert runs == count, runs


@when(
    "a caller sends {before:d} requests and another "
    "in whose {callback} the reader fails"
)
def step_callback_fails(context, before, callback):
    _fail_reader(context, before, callback, runs_first=False, headers={})


@when(
    "a caller sends {before:d} requests and another "
    "after which the reader fails, with {header}"
)
def step_fails_after(context, before, header):
    name, value = header.split(": ")
    headers = {name: value}
    _fail_reader(context, before, "on_message_complete", True, headers)


def _fail_reader(context, before, callback, runs_first, headers):
    """Let a callback of the parser fail on the last request."""
    reader_class = pkgutil.resolve_name(READER)
    original = getattr(reader_class, callback)
    failing = False

    def fail(reader, *args):
        if runs_first or not failing:
            original(reader, *args)
        if failing:
            raise LookupError(f"made by the test in {callback}")

    async def act():
        nonlocal failing
        caller = await mesh_owed_steps.open_caller(context)
        await _send_requests(caller, before)
        failing = True
        await caller.send("POST", TARGET, {"Content-Length": "4", **headers})
        await _receive(context, caller, caller.write(b"body"))

    # The parser of a connection takes its callbacks when it opens.
    with mock.patch.object(reader_class, callback, fail):
        context.runner.run(act())


@then("the log names the error that the node met in {callback}")
def step_error_logged(context, callback):
    lines = [
        json.loads(line)
        for line in b"".join(context.fleet.log_lines).splitlines()
    ]
    found = [line for line in lines if line["event"] == "request-read-failed"]
    assert len(found) == 1, lines[-5:]
    assert f"made by the test in {callback}" in found[0]["error"], found
    assert "LookupError" in found[0]["trace"], found
