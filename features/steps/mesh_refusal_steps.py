"""Steps for refusals of requests that are not read to their end."""

import asyncio
import contextlib
import time

from behave import then
from behave import when
import mesh_owed_steps

TARGET = "/book/1"


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
