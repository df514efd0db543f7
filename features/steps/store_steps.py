"""Steps for the stand-in for the platform's store."""

import asyncio
import contextlib
import time

from behave import given
from behave import then
from behave import when

from jasminecrank.standins import fleet

HOST = "127.0.0.1"
WAIT_MS = 100


async def ask(context, target):
    """Return the status and the headers of an answer, 0 if there is none."""
    reader, writer = await asyncio.open_connection(HOST, context.port)
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: store\r\n\r\n".encode())
        return fleet.parse_head(await reader.readuntil(b"\r\n\r\n"))
    except (OSError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        writer.transport.abort()


@given("a store with the key a at revision 11")
def step_store(context):
    context.exit_stack = contextlib.ExitStack()
    context.runner = context.exit_stack.enter_context(asyncio.Runner())

    async def start():
        context.store = fleet.Store()
        context.port = await context.store.listen(HOST)
        assert await context.store.put("a", 1) == 11

    context.runner.run(start())

    async def close():
        context.store.close()

    context.exit_stack.callback(lambda: context.runner.run(close()))


@when("it is copied, and {count:d} other keys are written")
def step_copy(context, count):
    context.copy = context.store.copy()
    step_write(context, count)


@when("{count:d} other keys are written")
def step_write(context, count):
    for number in range(count):
        context.runner.run(context.store.put(f"b-{number}", number))


@when(
    "it is away for {away_s:g} s and comes back from the copy, {times:d} times"
)
def step_restore(context, away_s, times):
    for _ in range(times):
        context.runner.run(context.store.restore(context.copy, away_s))


@then("only the key a is in it, and its era is {era:d}")
def step_contents(context, era):
    found = context.store.copy().item_by_key
    assert list(found) == ["a"], found
    assert context.store.era == era, context.store.era


@then("a watch from revision {after:d} gets {status:d}")
def step_watch(context, after, status):
    target = f"/-/kv-watch?prefix=&after={after}&waitMs={WAIT_MS}"
    context.answer = context.runner.run(ask(context, target))
    assert context.answer[0] == status, context.answer


@then("the next write has revision {revision:d}")
def step_next_revision(context, revision):
    found = context.runner.run(context.store.put("c", 1))
    assert found == revision, found


@when("a key is written while it is away for {away_s:g} s")
def step_write_away(context, away_s):
    async def act():
        store = context.store
        reader, writer = await asyncio.open_connection(HOST, context.port)
        writer.write(
            b"GET /-/kv-watch?prefix=&after=11&waitMs=5000 HTTP/1.1\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        started_s = time.monotonic()
        restore = asyncio.create_task(store.restore(store.copy(), away_s))
        await asyncio.sleep(0.0)
        write = asyncio.create_task(store.put("b", 1))
        with contextlib.suppress(OSError):
            assert await reader.read() == b""
        context.ended_s = time.monotonic() - started_s
        context.status, _ = await ask(context, "/-/kv-range?prefix=")
        await asyncio.gather(restore, write)
        context.written_s = time.monotonic() - started_s
        writer.close()

    context.runner.run(act())


@then("its connections have ended and another one gets no answer")
def step_no_answer(context):
    assert context.ended_s < 0.1, context.ended_s
    assert context.status == 0, context.status


@then("the write is accepted {least_s:g} s later in era {era:d}")
def step_accepted(context, least_s, era):
    assert context.written_s >= least_s, context.written_s
    assert context.store.era == era, context.store.era


@when("its outage is {outage} and it sends {era}")
def step_outage(context, outage, era):
    context.store.outage = fleet.Outage(outage)
    match era:
        case "no era":
            context.store.encode_era = lambda number: None
        case "the era":
            pass
        case _:
            text = era.removeprefix("era ")
            context.store.encode_era = lambda number: text


@then("the header of the answer is {text}")
def step_header(context, text):
    _, headers = context.answer
    assert headers.get("store-era", "none") == text, headers
