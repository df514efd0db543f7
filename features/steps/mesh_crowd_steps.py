"""Steps for crowds of callers that cost a node much."""

import asyncio
import contextlib
import pathlib
import re
import resource
import socket

from behave import given
from behave import then
from behave import when
import process_start_steps

from jasminecrank.standins import fleet

SENT_MAX_BYTES = 8_000_000
"""Bytes after which a caller of a crowd sends no more."""
SEND_S = 6.0
"""Time for which a crowd sends at most."""
SETTLE_S = 0.5
UNREAD_BUFFER_BYTES = 4_096
MAX_REFUSALS = 4
"""Refusals of an ordinary request while the server is busy with a crowd."""
DESCRIPTORS = 400
PIECE_BYTES = 4_096
PIECE_PAUSE_S = 0.01
HEAD = (
    "POST /open/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
    "Deadline-Ms: 5000\r\n"
)
EXTENSION = b";a=" + b"x" * 16
"""Extension of a chunk, which the node drops."""
LIMITS = """
[limits]
memoryMb = {memory_mb}
"""


def _crowd_bytes(what, number):
    """Return what a caller of the crowd sends, and what it repeats."""
    head = HEAD.format(request_id=f"{number:016x}").encode()
    if what.startswith("a head") and ", and " in what:
        lines, what = what.split(", and ")
        head += _header_lines(lines)
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    match re.findall(r"\d+", what):
        case [count, size] if "extended chunks" in what:
            return chunked + _chunk(int(size), EXTENSION) * int(count), b""
        case [count, size] if "chunk" in what:
            return chunked + _chunk(int(size)) * int(count), b""
        case [size] if "chunk" in what:
            return chunked, _chunk(int(size))
        case [size] if "body" in what:
            length = b"Content-Length: %d\r\n\r\n" % int(size)
            sent_bytes = min(SENT_MAX_BYTES, int(size) - 1)
            return head + length + bytes(sent_bytes), b""
        case [_]:
            lines = _header_lines(what)
            is_whole = "lines" in what
            return head + (lines if is_whole else lines[:-2]), b""
    raise AssertionError(what)


def _header_lines(what):
    """Return the headers of which the text tells."""
    number = int(re.findall(r"\d+", what)[0])
    if "short lines" in what:
        return b"A: b\r\n" * number
    if "bare lines" in what:
        return b"AB:\r\n" * number
    return b"X-Value: " + b"v" * number + b"\r\n"


def _chunk(size, extension=b""):
    return b"%x%b\r\n%b\r\n" % (size, extension, b"x" * size)


@given("a node process with {memory_mb:d} MB and {descriptors:d} descriptors")
def step_process(context, memory_mb, descriptors):
    start_process(context, memory_mb, descriptors)


@given(
    "a node process with {memory_mb:d} MB and bodies up to {max_bytes:d} bytes"
)
def step_process_with_limit(context, memory_mb, max_bytes):
    start_process(context, memory_mb, DESCRIPTORS, max_bytes)


def start_process(context, memory_mb, descriptors, max_body_bytes=None):
    """Start a node process whose table allows bodies up to a size."""
    process_start_steps.open_node(context)
    node = context.node
    node.max_body_bytes = max_body_bytes
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 2 * descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (2 * descriptors, hard))

    async def act():
        await node.open_fleet()
        limits = LIMITS.format(memory_mb=memory_mb)
        node.settings_path.write_text(node.settings() + limits)
        await node.start()
        resource.prlimit(
            node.process.pid,
            resource.RLIMIT_NOFILE,
            (descriptors, descriptors),
        )
        await node.until(node.is_serving)

    context.runner.run(act())


async def _send(node, what, number):
    """Connect and send, as far as the node takes it."""
    reader, writer = await asyncio.open_connection(
        process_start_steps.HOST, node.ports["callers"]
    )
    data, repeated = _crowd_bytes(what, number)
    piece_bytes = PIECE_BYTES if what.endswith("in pieces") else len(data)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_S):
            for start in range(0, len(data), piece_bytes):
                writer.write(data[start : start + piece_bytes])
                await writer.drain()
                if piece_bytes < len(data):
                    await asyncio.sleep(PIECE_PAUSE_S)
            for _ in range(SENT_MAX_BYTES // max(1, len(repeated))):
                if not repeated:
                    break
                writer.write(repeated)
                await writer.drain()
    return reader, writer


@when("{connections:d} callers send {what}, and stay connected")
def step_crowd(context, connections, what):
    async def act():
        context.crowd = await asyncio.gather(
            *(
                _send(context.node, what, number)
                for number in range(connections)
            )
        )

    context.runner.run(act())


@when("{connections:d} callers send {what}, and leave, {times:d} times")
def step_crowd_leaves(context, connections, what, times):
    async def act():
        for _ in range(times):
            crowd = await asyncio.gather(
                *(
                    _send(context.node, what, number)
                    for number in range(connections)
                )
            )
            for _, writer in crowd:
                writer.transport.abort()

    context.runner.run(act())


@then(
    "an ordinary request, sent again if refused, is answered with {status:d}"
)
def step_repeated(context, status):
    async def act():
        for _ in range(MAX_REFUSALS):
            found = await _ordinary_status(context.node)
            if found != 503:
                break
            await asyncio.sleep(SETTLE_S)
        return found

    found = context.runner.run(act())
    assert found == status, found


@then("an ordinary request is answered with {status:d} once they have left")
def step_after_crowd(context, status):
    async def act():
        for _, writer in context.crowd:
            writer.transport.abort()
        await asyncio.sleep(SETTLE_S)
        return await _ordinary_status(context.node)

    found = context.runner.run(act())
    assert found == status, found


@then("an ordinary request is answered with {status:d}")
def step_one_ordinary(context, status):
    found = context.runner.run(_ordinary_status(context.node))
    assert found == status, found


async def _ask_and_read_nothing(node, number):
    """Return a connection whose answer fills all buffers on its way."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
    address = (process_start_steps.HOST, node.ports["callers"])
    await asyncio.get_running_loop().sock_connect(sock, address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=1)
    writer.transport.pause_reading()
    writer.write(
        f"GET /open/1 HTTP/1.1\r\nHost: a.example\r\n"
        f"Request-Id: {number:016x}\r\nDeadline-Ms: 5000\r\n\r\n".encode()
    )
    return reader, writer


@when("{connections:d} callers each ask for an answer and read nothing")
def step_read_nothing(context, connections):
    async def act():
        context.crowd = await asyncio.gather(
            *(
                _ask_and_read_nothing(context.node, number)
                for number in range(connections)
            )
        )
        await asyncio.sleep(SETTLE_S)

    context.runner.run(act())


async def _ordinary_status(node):
    caller = fleet.Caller(process_start_steps.HOST, node.ports["callers"])
    try:
        response = await caller.request("GET", "/open/1", None, 5_000)
    finally:
        caller.close()
    return response.status


@then(
    "an ordinary request is answered with {status:d}, and again once they "
    "have left"
)
def step_ordinary(context, status):
    async def act():
        found = [await _ordinary_status(context.node)]
        for _, writer in context.crowd:
            writer.transport.abort()
        await asyncio.sleep(SETTLE_S)
        found.append(await _ordinary_status(context.node))
        return found

    found = context.runner.run(act())
    assert found == [status, status], found


@then(
    "the process still runs, with at most {memory_mb:d} MB and "
    "{descriptors:d} descriptors"
)
def step_still_runs(context, memory_mb, descriptors):
    process = context.node.process
    assert process.poll() is None, context.node.describe()
    folder = pathlib.Path(f"/proc/{process.pid}")
    peak = re.search(r"VmHWM:\s+(\d+) kB", (folder / "status").read_text())
    assert int(peak[1]) * 1024 <= memory_mb * 1_000_000, peak
    assert len(list((folder / "fd").iterdir())) <= descriptors


@when("a caller sends {count:d} chunks of 1 byte and their end")
def step_single(context, count):
    async def act():
        caller = fleet.Caller(
            process_start_steps.HOST, context.node.ports["callers"]
        )
        await caller.send(
            "POST",
            "/open/1",
            None,
            20_000,
            {"Transfer-Encoding": "chunked"},
            has_length=False,
        )
        caller.write(_chunk(1) * count + b"0\r\n\r\n")
        context.response = await caller.receive(20.0)
        caller.close()

    context.body_bytes = count
    context.runner.run(act())


@when("a caller sends {what}, whole")
def step_single_body(context, what):
    count, size = 1, 0
    match [int(number) for number in re.findall(r"\d+", what)]:
        case [size]:
            headers = {"Content-Length": str(size)}
            data = bytes(size)
        case [count, size]:
            headers = {"Transfer-Encoding": "chunked"}
            data = _chunk(size) * count + b"0\r\n\r\n"

    async def act():
        caller = fleet.Caller(
            process_start_steps.HOST, context.node.ports["callers"]
        )
        await caller.send(
            "POST", "/open/1", None, 20_000, headers, has_length=False
        )
        caller.write(data)
        context.response = await caller.receive(20.0)
        caller.close()

    context.body_bytes = count * size
    context.runner.run(act())


@then("it is answered with {status:d}, and the server has its whole body")
def step_whole_body(context, status):
    assert context.response.status == status, context.response
    request = context.node.server.requests[-1]
    assert len(request.body) == context.body_bytes, len(request.body)
