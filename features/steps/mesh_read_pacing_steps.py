"""Steps for the pace at which requests of callers are read."""

import asyncio
import re
from unittest import mock

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _request_reader

YES_NO = {True: "yes", False: "no"}


@given("a request whose slices had {slices}")
def step_pace(context, slices):
    context.pace = state.ReadPace()
    for item in slices.split(", "):
        size, events = item.split("/")
        context.pace.record(int(size), int(events))


@then("the next slice has {size:d} bytes")
def step_slice(context, size):
    assert context.pace.slice_bytes == size, context.pace


@given("a request of {size:d} bytes in {events:d} events")
def step_request(context, size, events):
    context.pace = state.ReadPace(events, size)


@when("{waiting:d} connections wait")
def step_waiting(context, waiting):
    context.scheduler = state.ReadScheduler()
    for number in range(waiting):
        context.scheduler.add(number, state.ReadPace())


@then("its refusal is due: {due}")
def step_refused(context, due):
    assert YES_NO[context.scheduler.refuses(context.pace)] == due


@given("connections that wait after the events {events}")
def step_order(context, events):
    context.scheduler = state.ReadScheduler()
    for item in events.split():
        name, count = item.split("=")
        context.scheduler.add(name, state.ReadPace(int(count)))


@when("the connections {names} end")
def step_end(context, names):
    for name in names.split():
        context.scheduler.discard(name)


@then("they are parsed in the order {order}, and none is left")
def step_taken(context, order):
    taken = []
    while (reader := context.scheduler.take_next()) is not None:
        taken.append(reader)
    assert " ".join(taken) == order.replace("none", ""), taken
    assert context.scheduler.waiting == 0


@given("a turn of the event loop with {events:d} events")
def step_turn(context, events):
    context.scheduler = state.ReadScheduler(events)


@then("more is parsed in it: {more}")
def step_more(context, more):
    assert YES_NO[context.scheduler.has_turn_left] == more


@when(
    "a request with {count:d} headers and {body} comes in pieces of "
    "{size:d} bytes"
)
def step_pieces(context, count, body, size):
    headers = [(b"A%d" % (n % 7), b"v" * (n % 5)) for n in range(count)]
    match [int(number) for number in re.findall(r"\d+", body)]:
        case [length]:
            context.body = b"b" * length
            headers.append((b"Content-Length", b"%d" % length))
            sent = context.body
        case [chunks, length]:
            context.body = b"b" * length * chunks
            headers.append((b"Transfer-Encoding", b"chunked"))
            chunk = b"%x\r\n%b\r\n" % (length, b"b" * length)
            sent = chunk * chunks + b"0\r\n\r\n"
    lines = b"".join(b"%b: %b\r\n" % header for header in headers)
    data = b"POST /open/1 HTTP/1.1\r\n" + lines + b"\r\n" + sent
    context.headers = headers
    context.owner = mock.Mock()

    async def act():
        reader = _request_reader.RequestReader(
            context.owner, state.MemoryBudget.from_memory_limit(100_000_000)
        )
        for start in range(0, len(data), size):
            reader.feed(data[start : start + size], state.CallerLimits())

    asyncio.run(act())


@then("it is read once, with all headers in order and its whole body")
def step_whole(context):
    context.owner.on_request.assert_called_once()
    request = context.owner.on_request.call_args.args[0]
    assert request.method == b"POST" and request.target == b"/open/1"
    assert request.headers == tuple(context.headers), request.headers
    assert bytes(request.body) == context.body
