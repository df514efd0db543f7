"""Steps for backend servers that answer before they have read a body."""

import asyncio
import contextlib
import re
import socket
import time

from behave import given
from behave import then
from behave import when
import uvloop

from jasminecrank import platform
from jasminecrank.mesh import coordination
from jasminecrank.mesh import state
from jasminecrank.mesh import transport

CHECK_PERIOD_S = 0.02
BODY_TIMEOUT_S = 8.0
TCP_ESTABLISHED = 1


class EarlyServer:
    """Server that answers a request with a body when it has read its head."""

    def __init__(self, pause_s):
        self.pause_s = pause_s
        self.opened = 0
        self.open = 0
        self.bodies = []
        self.writers = []

    async def serve(self, reader, writer):
        """Serve a connection until it ends."""
        self.opened += 1
        self.open += 1
        self.writers.append(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The node has closed the connection.
        finally:
            self.open -= 1
            writer.close()

    async def _serve(self, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = re.search(rb"Request-Id: (\S+)", head)[1]
            found = re.search(rb"Content-Length: (\d+)", head)
            length = 0 if found is None else int(found[1])
            if length:
                writer.transport.pause_reading()
            writer.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n"
                b"Content-Length: 2\r\n\r\nok" % request_id
            )
            if length:
                await self._pause(writer)
                self.bodies.append(await reader.readexactly(length))

    async def _pause(self, writer):
        """Read nothing, but notice a reset, which asyncio then does not."""
        sock = writer.get_extra_info("socket")
        until_s = time.monotonic() + self.pause_s
        while time.monotonic() < until_s:
            await asyncio.sleep(CHECK_PERIOD_S)
            tcp_state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            if tcp_state[0] != TCP_ESTABLISHED:
                raise ConnectionResetError
        writer.transport.resume_reading()


@given("a server that answers at once, and reads the body after {pause_s:g} s")
def step_server(context, pause_s):
    context.server = EarlyServer(pause_s)
    start_server(context, context.server.serve)


def start_server(context, serve):
    """Start a server, and a pool of connections to it."""
    context.exit_stack = contextlib.ExitStack()
    context.runner = context.exit_stack.enter_context(
        asyncio.Runner(loop_factory=uvloop.new_event_loop)
    )

    async def listen():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.exit_stack.callback(server.close)
        context.address = server.sockets[0].getsockname()
        clock = transport.BootClock()
        log = transport.JsonLog("host-0", clock, len)
        budget = state.MemoryBudget.from_memory_limit(300_000_000)
        context.pool = transport.ServerConnectionPool(
            context.address,
            platform.PlatformCodec(),
            clock,
            log,
            transport.ReadTurns(budget, log),
        )

    context.runner.run(listen())
    context.exit_stack.callback(context.pool.close)
    context.numbers = iter(range(1, 100))


async def send_call(context, body=b""):
    """Send a call to the server; return its result and the seconds."""
    number = next(context.numbers)
    started_s = time.monotonic()
    result = await context.pool.exchange(
        coordination.CallSent(
            call_id=number,
            request_id=f"r-{number}",
            server_id="i-1",
            route="book",
            method=b"POST" if body else b"GET",
            target=b"/book/1",
            headers=((b"Request-Id", f"r-{number}".encode()),),
            body=body,
            rank=1,
            idempotent=False,
            remaining_s=5.0,
            target_remaining_s=1.0,
            caller_service="intake",
            team="",
        ),
        5.0,
    )
    return result, time.monotonic() - started_s


@when("a call with a body of {size:d} MB is sent to it, and then a small one")
def step_calls(context, size):
    context.body = bytes(range(250)) * (4_000 * size)

    async def act():
        context.calls = [
            await send_call(context, context.body),
            await send_call(context),
        ]

    context.runner.run(act())


@then("both are served within {within_s:g} s, on different connections")
def step_served(context, within_s):
    for result, elapsed_s in context.calls:
        assert isinstance(result, state.Served), result
        assert elapsed_s < within_s, elapsed_s
    assert context.server.opened == 2, context.server.opened


@then("the server gets the whole body")
def step_body(context):
    async def act():
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while not context.server.bodies:
                await asyncio.sleep(CHECK_PERIOD_S)

    context.runner.run(act())
    assert context.server.bodies == [context.body]


@then("a call after that is served within {within_s:g} s")
def step_further(context, within_s):
    result, elapsed_s = context.runner.run(send_call(context))
    assert isinstance(result, state.Served), result
    assert elapsed_s < within_s, elapsed_s


@when("{count:d} calls with a body of {size:d} MB are sent to it")
def step_many(context, count, size):
    async def act():
        for _ in range(count):
            result, _ = await send_call(context, bytes(1_000_000 * size))
            assert isinstance(result, state.Served), result
        await asyncio.sleep(0.2)

    context.runner.run(act())


@then("it has at most {most:d} connections")
def step_most(context, most):
    assert context.server.open <= most, context.server.open
