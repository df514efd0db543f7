"""Steps for requests that one read brings whole while memory is short."""

import asyncio
import re
import time

from behave import given
from behave import then
from behave import when
import mesh_path_steps

from jasminecrank.mesh import state

MB = 1_000_000
STOP_GRACE_S = 1.0
ANSWERS_TIMEOUT_S = 8.0
HELD_S = 0.3
"""Time after which a node has read what was sent to it."""
PAUSE_S = 0.1
"""Time in which a node reads what was sent before."""
SIZES_OF_CLAIMS = (65_536, 1_024)
"""Sizes that fill the part for small bodies up to 1 KB."""


@given("a node with {limit:d} MB of memory, all used that is for small bodies")
def step_full(context, limit):
    def prepare(deployment):
        deployment.memory_limit_bytes = limit * MB
        deployment.timeout_ms = 10_000
        deployment.stop_grace_s = STOP_GRACE_S

    mesh_path_steps.start_deployment(context, 1, prepare)
    context.budget = context.fleet.nodes[0].memory_budget
    context.claim_ids = []
    for size in SIZES_OF_CLAIMS:
        while isinstance(
            decision := context.budget.claim(state.BodyUse.CALLER, size),
            state.Granted,
        ):
            context.claim_ids.append(decision.claim_id)
    context.filled_bytes = context.budget.held_bytes
    context.early_bytes = 0


@given("as many bytes as it keeps of bodies whose claims wait")
def step_early_full(context):
    context.early_bytes = context.budget.early_limit_bytes
    assert context.budget.keep_early(context.early_bytes)
    context.filled_bytes = context.budget.held_bytes


def free(context):
    """Release what fills the budget."""
    context.budget.drop_early(context.early_bytes)
    context.early_bytes = 0
    while context.claim_ids:
        context.budget.release(context.claim_ids.pop())


async def open_caller(context):
    """Return a connected caller that the scenario closes."""
    caller = context.fleet.pipelining_caller(0)
    context.exit_stack.callback(caller.close)
    await caller.connect()
    return caller


async def send_whole(caller, text, is_last):
    """Send a request without a chance for the node to read in between."""
    headers = {"Connection": "close"} if is_last else {}
    if text == "a line without method":
        await caller.write(b"/lots/1\r\n\r\n")
        return
    if text == "a pause":
        await asyncio.sleep(PAUSE_S)
        return
    if half := re.fullmatch(r"(first|second) half of (\d+) kB", text):
        size_bytes = 1_000 * int(half[2])
        if half[1] == "first":
            headers["Content-Length"] = str(size_bytes)
            await caller.send("POST", "/book/1", headers)
        await caller.write(b"x" * (size_bytes // 2))
        return
    size, chunked = re.fullmatch(r"(\d+) kB( in chunks)?", text).groups()
    body = b"x" * 1_000 * int(size)
    if chunked:
        # The framing of a pipelining caller is its Content-Length alone.
        await caller.send("GET", "/lots/1", {"Transfer-Encoding": "chunked"})
        await caller.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
        return
    headers["Content-Length"] = str(len(body))
    await caller.send("POST", "/book/1", headers)
    await caller.write(body)


@when("a caller sends {sent} at once, and {event}")
def step_send(context, sent, event):
    texts = sent.split(", ")
    context.answers = []

    async def act():
        caller = await open_caller(context)
        context.callers = [caller]
        for number, text in enumerate(texts, 1):
            await send_whole(caller, text, number == len(texts))
        reading = asyncio.ensure_future(caller.receive_all(ANSWERS_TIMEOUT_S))
        await asyncio.sleep(HELD_S)
        context.runs_while_full = runs(context, caller)
        context.bytes_while_full = context.budget.held_bytes
        match event:
            case "memory is free soon":
                free(context)
            case "the node stops":
                await context.fleet.nodes[0].stop()
            case "the caller leaves":
                reading.cancel()
                caller.close()
                return
            case "no memory is free":
                pass
            case _:
                raise ValueError(event)
        context.answers = await reading

    context.runner.run(act())


def runs(context, caller):
    """Return how often each request of a caller has run, in order."""
    return [
        mesh_path_steps.count_runs(context, request_id)
        for request_id in caller.request_ids
    ]


@then("{kB:d} kB are counted and {first:d} requests run meanwhile")
def step_meanwhile(context, kB, first):  # noqa: N803
    assert sum(context.runs_while_full) == first, context.runs_while_full
    counted = context.bytes_while_full - context.filled_bytes
    assert counted == 1_000 * kB, counted


@then("the answers are {statuses} in this order, those of 200 have run once")
def step_answers(context, statuses):
    found = [answer.status for answer in context.answers]
    expected = [] if statuses == "none" else list(map(int, statuses.split()))
    assert found == expected, found
    (caller,) = context.callers
    for request_id, answer in zip(
        caller.request_ids, context.answers, strict=False
    ):
        count = mesh_path_steps.count_runs(context, request_id)
        assert count == (1 if answer.status == 200 else 0), count
        if answer.status == 200:
            mesh_path_steps.check_response(answer, request_id)


@then("the node holds no bytes once the memory is free")
def step_none_held(context):
    async def act():
        free(context)
        await context.fleet.wait_until(
            lambda: not (context.budget.held_bytes or context.budget.waiting)
        )

    context.runner.run(act())


@when("{count:d} callers send {size:d} kB each at once")
def step_many(context, count, size):
    context.size_bytes = 1_000 * size

    async def act():
        callers = [await open_caller(context) for _ in range(count)]
        for caller in callers:
            await send_whole(caller, f"{size} kB", True)
        started_s = time.monotonic()
        readings = [
            asyncio.ensure_future(caller.receive_all(ANSWERS_TIMEOUT_S))
            for caller in callers
        ]
        await asyncio.wait(readings, timeout=1.0)
        context.early = [
            reading.result()[0].status
            for reading in readings
            if reading.done()
        ]
        context.waiting = context.budget.waiting
        context.bytes_while_full = context.budget.held_bytes
        free(context)
        answers = await asyncio.gather(*readings)
        context.elapsed_s = time.monotonic() - started_s
        context.statuses = [answer.status for (answer,) in answers]
        context.runs = [runs(context, caller) for caller in callers]

    context.runner.run(act())


@then("{waiting:d} wait and are answered 200, and {refused:d} get 503 at once")
def step_early(context, waiting, refused):
    assert context.early == [503] * refused, context.early
    assert context.waiting == waiting, context.waiting
    assert context.statuses.count(200) == waiting, context.statuses
    assert context.statuses.count(503) == refused, context.statuses
    for status, count in zip(context.statuses, context.runs, strict=True):
        assert count == [1 if status == 200 else 0], (status, count)
    counted = context.bytes_while_full - context.filled_bytes
    assert counted == waiting * context.size_bytes, counted
