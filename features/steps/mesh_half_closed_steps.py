"""Steps for callers that end their sending side."""

import asyncio
import socket

from behave import when
import mesh_owed_steps


@when("a caller sends a booking and shuts down its sending side")
def step_half_close(context):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        await caller.send("POST", "/book/1")
        await asyncio.sleep(0.05)
        caller._socket.shutdown(socket.SHUT_WR)
        await mesh_owed_steps.receive_answers(context, [caller])

    context.runner.run(act())
