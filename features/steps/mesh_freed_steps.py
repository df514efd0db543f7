"""Steps for the memory of connections that have ended."""

import asyncio
import gc
import random
import weakref

from behave import given
from behave import then
from behave import when

from jasminecrank import platform
from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh.transport import _caller_connection
from jasminecrank.mesh.transport import _http_client
from jasminecrank.mesh.transport import _links
from jasminecrank.mesh.transport import _status_server
from jasminecrank.standins import fleet

COUNT = 6
MIN_COUNT = 5
"""The first call may use a connection that was open before."""
FREED_S = 3.0
CALL_TIMEOUT_S = 10.0
CALL_PAUSE_S = 0.02
CLASS_AND_PORT_BY_NAME = {
    "server connections": (_http_client.ClientConnection, "callers"),
    "store connections": (_http_client.ClientConnection, None),
    "caller connections": (_caller_connection.CallerConnection, "callers"),
    "status connections": (_status_server.StatusConnection, "metrics"),
    "links": (_links.Link, "links"),
}
HELLO = coordination.Hello.from_settings(
    "127.0.1.9", "ledger", random.Random(1)
)


def _link_bytes(what):
    frames = protocol.encode(HELLO, HELLO.protocol_version)
    if "part" in what:
        call = coordination.CallServed(1, 200, b"OK", (), b"", 0.1, 0)
        for message in (
            coordination.BodyFollows(
                1, 400_000, protocol.encode_unframed(call)
            ),
            coordination.BodyPart(1, bytes(65_536)),
        ):
            frames += protocol.encode(message, HELLO.protocol_version)
    return frames[:20] if "half" in what else frames


def _record_instances(context, connection_class):
    """Keep a weak reference to each connection from now on."""
    context.references = []
    initialize = connection_class.__init__

    def record(self, *arguments):
        initialize(self, *arguments)
        context.references.append(weakref.ref(self))

    connection_class.__init__ = record
    context.exit_stack.callback(
        setattr, connection_class, "__init__", initialize
    )


@given("no garbage collection")
def step_no_collection(context):
    gc.collect()
    gc.disable()
    context.exit_stack.callback(gc.enable)


async def _call(context, fault):
    """Get an answer that fails, with a server connection of its own."""
    server = context.fleet.servers[0]
    server.behaviours.append(fleet.Behaviour(fault))
    caller = context.fleet.caller(0)
    async with asyncio.timeout(CALL_TIMEOUT_S):
        # A node refuses calls while it doubts its server.
        while server.behaviours:
            await caller.request("POST", "/book/1")
            await asyncio.sleep(CALL_PAUSE_S)
    caller.close()


async def _read_page(context):
    """Read a page of a store that cuts its answer."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    store = platform.PlatformStore(server.sockets[0].getsockname())
    page = await store.read_page("", lambda: None)
    assert isinstance(page, coordination.Unavailable), page
    server.close()


async def _send(context, port, data):
    """Send bytes on a new connection, and end it."""
    address = getattr(context.fleet.nodes[0].config, port)
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    await writer.drain()
    await asyncio.sleep(0.1)
    writer.transport.abort()


@when("connections of the kind {name} have ended {end}")
def step_end(context, name, end):
    connection_class, port = CLASS_AND_PORT_BY_NAME[name]
    _record_instances(context, connection_class)
    kind, _, what = end.partition(" ")

    async def act():
        for _ in range(COUNT):
            if name == "store connections":
                await _read_page(context)
            elif kind == "in":
                await _call(context, what)
            elif what == "a complete request":
                caller = context.fleet.caller(0)
                await caller.request()
                caller.close()
            elif name == "links":
                await _send(context, port, _link_bytes(what))
            else:
                data = what.replace("..", "\r\n").encode()
                await _send(context, port, data)

    context.runner.run(act())


def _left(context):
    """Return those in memory, but for the one that the next call uses."""
    pool = context.fleet.nodes[0]._server_connections
    left = [reference() for reference in context.references]
    return [
        connection
        for connection in left
        if connection is not None and connection not in pool._idle
    ]


@then("none of them is in memory any more")
def step_freed(context):
    assert len(context.references) >= MIN_COUNT, context.references

    async def act():
        async with asyncio.timeout(FREED_S):
            while _left(context):
                await asyncio.sleep(0.05)

    try:
        context.runner.run(act())
    except TimeoutError:
        raise AssertionError(
            f"{len(_left(context))} of {len(context.references)} in memory"
        ) from None
