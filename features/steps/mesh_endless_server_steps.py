"""Steps for backend servers that send without end."""

import asyncio
import itertools

from behave import then
from behave import when
import process_start_steps

from jasminecrank.standins import fleet

ENDLESS_MAX_BYTES = 1_500_000_000
DEADLINE_MS = 4_000
RECOVERY_S = 10.0


@when(
    "{callers:d} callers call a server that sends {what} for every call, "
    "{calls:d} times in all"
)
def step_call(context, callers, what, calls):
    node = context.node
    node.server.default_behaviour = fleet.Behaviour(what)
    node.server.endless_health = True
    node.server.endless_max_bytes = ENDLESS_MAX_BYTES
    numbers = itertools.count()

    async def call():
        caller = fleet.Caller(process_start_steps.HOST, node.ports["callers"])
        while (number := next(numbers)) < calls:
            try:
                response = await caller.request(
                    "GET" if number % 3 else "POST",
                    "/open/1",
                    None,
                    DEADLINE_MS,
                )
            except OSError:
                response = None
            status = 0 if response is None else response.status
            context.statuses.append(status)
            if status in (0, 503):
                await asyncio.sleep(0.2)
        caller.close()

    async def act():
        await asyncio.gather(*(call() for _ in range(callers)))

    context.statuses = []
    context.runner.run(act())


@then("an ordinary request is answered with 200 once the server has recovered")
def step_recovered(context):
    node = context.node
    node.server.default_behaviour = fleet.Behaviour.SERVE
    node.server.endless_health = False
    context.runner.run(node.until(node.is_serving, RECOVERY_S))
