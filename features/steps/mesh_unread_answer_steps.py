"""Steps for callers that do not read their answers."""

import asyncio
import contextlib
import pathlib
import random
import re
import socket
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when
import mesh_caller_connection_steps
import mesh_memory_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_buffer
from jasminecrank.mesh.transport import _links
from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _deployment

RECEIVE_BUFFER_BYTES = 4_096
CROWD_S = 8.0
"""Time for which a crowd stays; the answers need a part of it."""
SETTLE_S = 0.5
HEAD = (
    "GET /files/{size} HTTP/1.1\r\nHost: a.example\r\n"
    "Request-Id: {request_id}\r\nDeadline-Ms: 15000\r\n\r\n"
)


@given("{hosts:d} node processes with {memory_mb:d} MB each")
def step_nodes(context, hosts, memory_mb):
    context.exit_stack = contextlib.ExitStack()
    folder = context.exit_stack.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.exit_stack.enter_context(asyncio.Runner())
    context.nodes = _deployment.SoakDeployment(
        random.Random(1), hosts, pathlib.Path(folder), memory_mb=memory_mb
    )
    context.exit_stack.callback(
        lambda: context.runner.run(context.nodes.close())
    )
    context.runner.run(context.nodes.start())


@when(
    "{connections:d} callers of one node send {requests:d} requests each for "
    "{size:d} bytes and read nothing"
)
def step_crowd(context, connections, requests, size):
    address = (context.nodes.host(0), context.nodes.ports["callers"])
    context.crowd = []

    async def connect(number):
        sock = socket.socket()
        context.exit_stack.callback(sock.close)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, address)
        heads = (
            HEAD.format(size=size, request_id=f"{number:08x}{turn:08x}")
            for turn in range(requests)
        )
        await loop.sock_sendall(sock, "".join(heads).encode())
        context.crowd.append(sock)

    async def act():
        await asyncio.gather(*(connect(n) for n in range(connections)))
        await asyncio.sleep(CROWD_S)

    context.runner.run(act())


async def _ordinary_statuses(nodes):
    statuses = []
    for number in nodes.hosts:
        caller = fleet.Caller(nodes.host(number), nodes.ports["callers"])
        try:
            response = await caller.request("GET", "/open/1", None, 5_000)
            statuses.append(response.status)
        finally:
            caller.close()
    return statuses


@then(
    "each node answers an ordinary request beside them, and after they have "
    "left"
)
def step_ordinary(context):
    nodes = context.nodes

    async def act():
        statuses = await _ordinary_statuses(nodes)
        for sock in context.crowd:
            sock.close()
        await asyncio.sleep(SETTLE_S)
        return statuses + await _ordinary_statuses(nodes)

    statuses = context.runner.run(act())
    assert set(statuses) == {200}, statuses


@then("each process still runs and has never had more than {memory_mb:d} MB")
def step_memory(context, memory_mb):
    assert not context.nodes.records.process_ends, (
        context.nodes.records.process_ends
    )
    peaks_mb = []
    for node in context.nodes.nodes:
        status = pathlib.Path(f"/proc/{node.process_id}/status").read_text()
        peak = re.search(r"VmHWM:\s+(\d+) kB", status)
        peaks_mb.append(int(peak[1]) * 1024 / 1e6)
    assert max(peaks_mb) <= memory_mb, peaks_mb


@when(
    "a mapped answer of {size:d} bytes comes, and {left:d} bytes are not taken"
)
def step_mapped_answer(context, size, left):
    buffer = _body_buffer.BodyBuffer(size)
    buffer.append(b"x" * size)
    context.body = buffer.view()

    async def act():
        for call in context.arrived:
            call.reply(state.Response(200, b"OK", (), context.body))
        context.left_bytes = left
        context.transport.unsent_bytes = left
        context.shared.limit_unsent()

    context.runner.run(act())


@then("at least {freed:d} bytes of it are freed, and the rest is unchanged")
def step_freed(context, freed):
    rest = bytes(context.body).lstrip(b"\0")
    assert rest == b"x" * len(rest), rest[:40]
    freed_bytes = len(context.body) - len(rest)
    assert freed_bytes >= freed, freed_bytes
    assert len(rest) >= min(context.left_bytes, len(context.body))


@given("a link without a socket")
def step_link(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.transport = mesh_caller_connection_steps.KeepingTransport()
    context.transport.write = lambda data: None

    async def connect():
        context.link = _links.Link(
            mock.Mock(),
            mesh_memory_steps.HELLO,
            False,
            mock.Mock(),
            state.MemoryBudget.from_memory_limit(300_000_000),
        )
        context.link.connection_made(context.transport)
        context.link.data_received(protocol.encode(mesh_memory_steps.HELLO))

    context.runner.run(connect())


@when("a part of {message} of {size:d} bytes arrives")
def step_part(context, message, size):
    make = {
        "an answer": mesh_memory_steps.make_answer,
        "a call": mesh_memory_steps.make_call,
    }[message]
    head = protocol.encode_unframed(make(1, 0))

    async def act():
        follows = coordination.BodyFollows(1, size, head)
        part = coordination.BodyPart(1, bytes(65_536))
        context.link.data_received(
            protocol.encode(follows) + protocol.encode(part)
        )
        context.read = [context.transport.is_reading]
        await asyncio.sleep(0)
        context.read.append(context.transport.is_reading)

    context.runner.run(act())


@then("reading {reads}, and goes on in the next turn")
def step_reads(context, reads):
    assert context.read == [reads == "does not pause", True], context.read
