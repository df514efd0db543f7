"""Steps for answers of a backend server that cost much to parse."""

import asyncio
import contextlib
import re
from unittest import mock

from behave import given
from behave import then
from behave import when
import mesh_early_steps

from jasminecrank import platform
from jasminecrank.mesh import coordination
from jasminecrank.mesh import state
from jasminecrank.mesh import transport
from jasminecrank.mesh.transport import _http_client

EVENTS = ("on_message_begin", "on_header", "on_body")
CALL_TIMEOUT_S = 20.0
MEMORY_LIMIT_BYTES = 300_000_000


def _answer(count, what):
    """Return the bytes of an answer to the first call."""
    line = b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"
    chunked = line + b"Transfer-Encoding: chunked\r\n\r\n"
    sized = b"Content-Length: 2\r\n\r\nok"
    match what:
        case "header lines":
            return line + b"A:\r\n" * count + sized
        case "trailers":
            return chunked + b"0\r\n" + b"A:\r\n" * count + b"\r\n"
        case "interim responses":
            return b"HTTP/1.1 102 P\r\n\r\n" * count + line + sized
    size = int(re.search(r"\d+", what)[0])
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    return chunked + chunk * count + b"0\r\n\r\n"


@given("a server whose answer has {count:d} {what}")
def step_server(context, count, what):
    answer = _answer(count, what)

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()

    mesh_early_steps.start_server(context, serve)


def _count_events(context, exchange):
    """Run an exchange, and count the events in each turn of the loop."""
    context.most_events = events = 0

    def count_event(callback):
        def counted(self, *arguments):
            nonlocal events
            events += 1
            callback(self, *arguments)

        return counted

    def take_turn(loop):
        nonlocal events
        context.most_events = max(context.most_events, events)
        events = 0
        loop.call_soon(take_turn, loop)

    async def act():
        loop = asyncio.get_running_loop()
        loop.call_soon(take_turn, loop)
        async with asyncio.timeout(CALL_TIMEOUT_S):
            context.result = await exchange()

    with contextlib.ExitStack() as stack:
        for name in EVENTS:
            callback = getattr(_http_client.ClientConnection, name)
            stack.enter_context(
                mock.patch.object(
                    _http_client.ClientConnection, name, count_event(callback)
                )
            )
        context.runner.run(act())


@when("a call is sent to it while others use the event loop")
def step_call(context):
    async def exchange():
        result, _ = await mesh_early_steps.send_call(context)
        return result

    _count_events(context, exchange)


@when("it is read as a page of the store while others use the event loop")
def step_page(context):
    clock = transport.BootClock()
    turns = transport.ReadTurns(
        state.MemoryBudget.from_memory_limit(MEMORY_LIMIT_BYTES),
        transport.JsonLog("host-0", clock, len),
    )
    store = platform.PlatformStore(context.address, turns=turns)
    _count_events(context, lambda: store.read_page("", lambda: None))


@then("no page is read")
def step_no_page(context):
    assert isinstance(context.result, coordination.Unavailable), context.result


@then("the call is served, {size:d} bytes")
def step_served(context, size):
    assert isinstance(context.result, state.Served), context.result
    assert len(context.result.response.body) == size, context.result


@then("the call is answer-too-large")
def step_too_large(context):
    assert context.result == state.MayHaveRun("answer-too-large")


@then("at most {most:d} events were parsed in one turn of the event loop")
def step_most_events(context, most):
    assert 0 < context.most_events <= most, context.most_events
