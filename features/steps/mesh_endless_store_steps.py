"""Steps for a store that sends without end."""

import asyncio
import contextlib
import random
import time

from behave import given
from behave import then
from behave import when
import fleet_model

from jasminecrank import platform
from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

PART_BYTES = 65_536
MB = 1_000_000
MAX_PAGES = 20_000
MAX_LISTED_MB = 256
"""Pages and size after which the store ends the listing after all."""
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
A_BYTE_EACH_TIME = "a byte each 0.1 s"
START_AND_PART_BY_WHAT = {
    "a header value": (OK + b"A: ", b"a" * PART_BYTES),
    "interim answers": (b"", INTERIM * 2_000),
    "a body": (OK + b"\r\n", b"a" * PART_BYTES),
    "chunks": (CHUNKED, b"1000\r\n" + b"a" * 4_096 + b"\r\n"),
    "a trailer": (CHUNKED + b"0\r\nA: ", b"a" * PART_BYTES),
    "garbage": (b"", b"\x00\xff" * (PART_BYTES // 2)),
    A_BYTE_EACH_TIME: (OK + b"Content-Length: 100000\r\n\r\n", b"a"),
}


@given("a store that answers with {what} up to {limit:d} MB")
def step_store(context, what, limit):
    context.exit_stack = contextlib.ExitStack()
    context.runner = context.exit_stack.enter_context(asyncio.Runner())
    context.sent = 0
    start, part = START_AND_PART_BY_WHAT[what]
    pause_s = 0.1 if what == A_BYTE_EACH_TIME else 0.0

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while context.sent < limit * MB:
                writer.write(part)
                context.sent += len(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
        writer.transport.abort()

    async def listen():
        return await asyncio.start_server(serve, "127.0.0.1", 0)

    context.server = context.runner.run(listen())

    async def close():
        context.server.close()
        # The tasks of connections end before the loop is closed.
        await asyncio.sleep(0.15)

    context.exit_stack.callback(lambda: context.runner.run(close()))


@when("the node sends it a {kind}")
def step_read(context, kind):
    port = context.server.sockets[0].getsockname()[1]

    async def act():
        store = platform.PlatformStore(("127.0.0.1", port))
        started_s = time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(12.0):
                if kind == "page":
                    context.result = await store.read_page("", lambda: None)
                else:
                    context.result = await store.watch(
                        1, 0.6, MB, lambda: None
                    )
        context.elapsed_s = time.monotonic() - started_s

    context.result = None
    context.runner.run(act())


@then(
    "the read has failed within {limit_s:g} s and the store has sent less "
    "than {limit:d} MB"
)
def step_failed(context, limit_s, limit):
    assert isinstance(
        context.result,
        coordination.Unavailable | coordination.ChangesTooLarge,
    ), context.result
    assert context.elapsed_s < limit_s, context.elapsed_s
    assert context.sent < limit * MB, context.sent


class EndlessPort:
    """A store whose pages never end."""

    def __init__(self, items, size):
        self.items = items
        self.size = size
        self.pages = 0

    async def read_page(self, after_key, on_reply):
        """Return a page that continues after a key."""
        del after_key, on_reply
        self.pages += 1
        key = f"{self.pages:09d}"
        items = tuple(
            state.SourceItem(
                f"{key}-{number:03d}",
                state.Position(1, 1),
                b"a" * self.size,
            )
            for number in range(self.items)
        )
        listed = self.pages * self.items * self.size
        has_more = self.pages < MAX_PAGES and listed < MAX_LISTED_MB * MB
        return coordination.Page(items, has_more, 1, last_key=f"{key}-999")

    async def watch(self, after_revision, wait_s, max_bytes, on_reply):
        """Wait for ever."""
        await asyncio.Event().wait()


@given(
    "a store whose pages hold {items:d} entries of {size:d} bytes "
    "and never end"
)
def step_pages(context, items, size):
    context.port = EndlessPort(items, size)


@when("a node reads them")
def step_list(context):
    context.told = []

    async def act():
        lost = asyncio.Event()

        def tell(message):
            context.told.append(message)
            lost.set()

        source = coordination.SourceTask(
            context.port, tell, random.Random(1), fleet_model.NullLog()
        )
        task = asyncio.create_task(source.run())
        await asyncio.wait_for(lost.wait(), 30.0)
        task.cancel()

    asyncio.run(act())


@then(
    "it takes less than {limit:d} MB and {pages:d} pages, and loses the store"
)
def step_given_up(context, limit, pages):
    port = context.port
    taken = port.pages * port.items * port.size
    assert taken < limit * MB, taken
    assert port.pages < pages, port.pages
    assert isinstance(context.told[0], coordination.SourceLost), context.told[
        0
    ].__class__
