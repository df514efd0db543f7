"""Steps for the idle limit of callers' connections."""

import asyncio

from behave import then
from behave import when
import mesh_owed_steps

ANSWER_S = 0.05


@when("one request is sent {how}")
def step_one_request(context, how):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        reading = asyncio.create_task(
            mesh_owed_steps.receive_answers(context, [caller])
        )
        match how:
            case "to a serving node":
                await caller.send()
                await asyncio.sleep(ANSWER_S)
                await context.fleet.nodes[0].stop()
            case "and the node stops":
                context.fleet.servers[0].run_s = 0.2
                await caller.send()
                await asyncio.sleep(ANSWER_S)
                await context.fleet.nodes[0].stop()
            case "that closes":
                await caller.send(headers={"Connection": "close"})
            case _:
                raise ValueError(how)
        await reading

    context.runner.run(act())


@then("its answer has the Connection {connection} and the Keep-Alive {keep}")
def step_headers(context, connection, keep):
    ((answer,),) = context.answers
    found = (
        answer.headers.get("connection", "none"),
        answer.headers.get("keep-alive", "none"),
    )
    assert found == (connection, keep), found


@when(
    "{callers:d} callers each send a request, "
    "and another one {idle_s:g} s after its answer"
)
def step_idle(context, callers, idle_s):
    async def send_twice(caller):
        await caller.send()
        await asyncio.sleep(ANSWER_S + idle_s)
        await caller.send()

    async def act():
        opened = [
            await mesh_owed_steps.open_caller(context) for _ in range(callers)
        ]
        reading = asyncio.create_task(
            mesh_owed_steps.receive_answers(context, opened)
        )
        await asyncio.gather(*map(send_twice, opened))
        await reading

    context.runner.run(act())


@then("each of them is answered {count:d} times")
def step_answers(context, count):
    found = {len(answers) for answers in context.answers}
    assert found == {count}, found
