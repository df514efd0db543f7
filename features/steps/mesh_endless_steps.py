"""Steps for peers that send bytes without end."""

import asyncio
import contextlib
import gc
import json
import resource
import socket
import time

from behave import then
from behave import when
import cbor2

from jasminecrank.mesh import protocol

PART_BYTES = 65_536
MB = 1_000_000
REQUEST_LINE = b"POST /book/1 HTTP/1.1\r\nHost: a\r\n"
CHUNKED = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
IGNORED_MESSAGE = protocol.FRAME_LENGTH.pack(3) + cbor2.dumps([2, 7])
START_AND_PART_BY_WHAT = {
    "a request line": (b"GET /", b"a" * PART_BYTES),
    "a header name": (REQUEST_LINE, b"a" * PART_BYTES),
    "a header value": (REQUEST_LINE + b"A: ", b"a" * PART_BYTES),
    "header lines": (REQUEST_LINE, b"A: bcdefghijklm\r\n" * 4_096),
    "blank lines": (b"", b"\r\n" * (PART_BYTES // 2)),
    "a body": (
        REQUEST_LINE + b"Content-Length: 99000000\r\n\r\n",
        b"a" * PART_BYTES,
    ),
    "chunks": (CHUNKED, b"1000\r\n" + b"a" * 4_096 + b"\r\n"),
    "a chunk extension": (CHUNKED + b"1;", b"a" * PART_BYTES),
    "a trailer": (CHUNKED + b"0\r\nA: ", b"a" * PART_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"A: bcdefghijklm\r\n" * 4_096),
    "half a request and no more": (b"GET /-/read", b""),
    "requests and reads nothing": (
        b"",
        b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 1_000,
    ),
    "a frame of 80 MB": (
        protocol.FRAME_LENGTH.pack(80 * MB),
        b"a" * PART_BYTES,
    ),
    "frames without a Hello": (b"", IGNORED_MESSAGE * 8_192),
    "nothing": (b"", b""),
    "half a Hello and no more": (protocol.FRAME_LENGTH.pack(40), b""),
}


def held_bytes():
    """Return the resident size of this process, which runs the nodes."""
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize()


async def send_endless(sock, part, max_bytes):
    """Send parts until the peer ends the connection; return the bytes."""
    loop = asyncio.get_running_loop()
    sent = 0
    with contextlib.suppress(OSError, TimeoutError):
        while part and sent < max_bytes:
            async with asyncio.timeout(1.0):
                await loop.sock_sendall(sock, part)
            sent += len(part)
    return sent


async def wait_for_end(sock, timeout_s):
    """Return whether the peer ends the connection in time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            while await loop.sock_recv(sock, PART_BYTES):
                pass
    except TimeoutError:
        return False
    except OSError:
        return True
    return True


async def _connect(host, port):
    sock = socket.socket()
    sock.setblocking(False)
    # Small buffers, so that what the kernel holds isn't counted as accepted.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PART_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES)
    await asyncio.get_running_loop().sock_connect(sock, (host, port))
    return sock


@when("a stray connection to the {name} port sends {what} up to {limit:d} MB")
def step_stray(context, name, what, limit):
    start, part = START_AND_PART_BY_WHAT[what]

    async def act():
        address = getattr(context.fleet.nodes[0].config, name)
        gc.collect()
        context.held_before = held_bytes()
        context.sock = await _connect(address.host, address.port)
        context.exit_stack.callback(context.sock.close)
        context.started_s = time.monotonic()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(context.sock, start)
        context.sent = await send_endless(context.sock, part, limit * MB)
        context.held_after = held_bytes()

    context.runner.run(act())


@then(
    "it has been ended within {limit_s:g} s and the node has accepted less "
    "than {limit:d} MB"
)
def step_ended(context, limit_s, limit):
    left_s = context.started_s + limit_s - time.monotonic()
    ended = context.runner.run(wait_for_end(context.sock, max(0.1, left_s)))
    assert context.sent < limit * MB, context.sent
    assert ended, (context.sent, "the connection is still open")


@then("the node holds less than {limit:d} MB more than before")
def step_held(context, limit):
    more = context.held_after - context.held_before
    assert more < limit * MB, more


@then("its log has {event} with the reason {reason}")
def step_logged(context, event, reason):
    lines = [json.loads(line) for line in logged(context.fleet)]
    found = [line for line in lines if line["event"] == event]
    assert any(line["reason"] == reason for line in found), lines[-5:]


def logged(deployment):
    """Return the lines that the nodes have written."""
    return b"".join(deployment.log_lines).splitlines()


@then("a caller is served")
def step_served(context):
    response = context.runner.run(context.fleet.caller(0).request())
    assert response.status == 200, response


async def _exchange_parts(deployment, data, part_bytes, count):
    """Send bytes in parts and return the statuses of the responses."""
    caller = deployment.caller(0)
    await caller.send()
    assert (await caller.receive()).status == 200
    for begin in range(0, len(data), part_bytes):
        caller.write(data[begin : begin + part_bytes])
        await asyncio.sleep(0)
    statuses = [(await caller.receive()).status for _ in range(count)]
    caller.close()
    return statuses


def _request(number, head_bytes):
    head = (
        "GET /lots/1 HTTP/1.1\r\nHost: a.example\r\n"
        f"Request-Id: {number:016x}\r\n"
        "Deadline-Ms: 4000\r\nAuthorization: Token k1\r\nA: "
    ).encode()
    return head + b"a" * (head_bytes - len(head) - 4) + b"\r\n\r\n"


@then(
    "a head of {size:d} bytes is served in parts of "
    "{a:d}, {b:d}, {c:d} and {d:d} bytes"
)
def step_split_heads(context, size, a, b, c, d):
    for number, part_bytes in enumerate((a, b, c, d)):
        statuses = context.runner.run(
            _exchange_parts(
                context.fleet, _request(9_000 + number, size), part_bytes, 1
            )
        )
        assert statuses == [200], (part_bytes, statuses)


@then(
    "{count:d} pipelined requests of {size:d} bytes are served "
    "in parts of {part_bytes:d} bytes"
)
def step_pipelined(context, count, size, part_bytes):
    data = b"".join(_request(7_000 + n, size) for n in range(count))
    statuses = context.runner.run(
        _exchange_parts(context.fleet, data, part_bytes, count)
    )
    assert statuses == [200] * count, statuses
