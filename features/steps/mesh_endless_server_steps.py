"""Steps for backend servers that send without end."""

import asyncio
import itertools

from behave import given
from behave import then
from behave import when
import process_start_steps

from jasminecrank.standins import fleet

ENDLESS_FAULTS = "send-"
ENDLESS_MAX_BYTES = 1_500_000_000
DEADLINE_MS = 4_000
RECOVERY_S = 10.0
SETTLE_S = 0.5
"""Time in which a node reads a change of the store."""


@given("its server has {slots:d} slots and answers of {size:d} bytes")
def step_slots(context, slots, size):
    node = context.node
    node.server.slots = slots
    node.server.min_body_bytes = size
    entry = fleet.server_entry(
        f"{process_start_steps.HOST}:{node.ports['server']}",
        "belt-a",
        slots,
        "ready",
        0,
    )

    async def act():
        await node.store.put("servers/i-0", entry)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(act())


@when(
    "{callers:d} callers call a server that sends {what} for every call, "
    "{calls:d} times in all"
)
def step_call(context, callers, what, calls):
    node = context.node
    node.server.default_behaviour = fleet.Behaviour(what)
    node.server.endless_health = what.startswith(ENDLESS_FAULTS)
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
    node.server.min_body_bytes = 0
    context.runner.run(node.until(node.is_serving, RECOVERY_S))
