"""Steps for the encoding of messages between nodes."""

import struct
import time
import tracemalloc
import zlib

from behave import then
from behave import when
import cbor2

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state

MESSAGE_BY_NAME = {
    "ItemsSent": coordination.ItemsSent(
        (("servers/i-1", state.Position(1, 7), b"{}"),)
    ),
    "LoadReported": coordination.LoadReported(
        "i-1",
        1,
        0,
        2,
        100,
        0,
        True,
        5,
        5,
        state.Position(1, 7),
        1,
        state.Position(1, 7),
    ),
    "CallSent": coordination.CallSent(
        1,
        "9c41",
        "i-1",
        "lots",
        b"GET",
        b"/lots/1",
        ((b"Host", b"a.example"),),
        b"",
        1,
        True,
        1.0,
        0.5,
        "ledger",
        "team-1",
    ),
    "ItemPatched": coordination.ItemPatched(
        "op/config",
        state.Position(1, 1),
        state.Position(1, 2),
        (b"ab", (1, 5)),
        b"digest",
    ),
    "Presence": coordination.Presence(("10.0.0.1",)),
}


def _changed(values, change):
    """Return the fields of a message after a change."""
    match change:
        case "a key of bytes":
            values[1] = [[b"servers/i-1", [1, 7], b"{}"]]
        case "a revision of text":
            values[1] = [["servers/i-1", [1, "7"], b"{}"]]
        case "an item of two fields":
            values[1] = [["servers/i-1", [1, 7]]]
        case "a field too many":
            values.append(1)
        case "a field too few":
            values.pop()
        case "a mark of no repeat":
            values.append(False)
        case "a mark of text":
            values.append("yes")
        case "a load of text":
            values[2] = "1"
        case "a body of text":
            values[8] = "body"
        case "a header of one part":
            values[7] = [[b"Host"]]
        case "a piece of text":
            values[4] = ["ab"]
        case "arbiters of numbers":
            values[1] = [1]
    return values


@when("a frame holds {message} with {change}")
def step_frame(context, message, change):
    if message == "an unknown tag":
        tag = change if change == "text" else int(change)
        body = cbor2.dumps([tag, "10.0.0.1", 1, "ledger"])
    elif change == "a list 50000 deep":
        body = b"\x81" * 50_000 + b"\x01"
    else:
        frame = protocol.encode(MESSAGE_BY_NAME[message])
        values = cbor2.loads(frame[protocol.FRAME_LENGTH.size :])
        body = cbor2.dumps(_changed(values, change))
    context.expected = MESSAGE_BY_NAME.get(message)
    try:
        context.decoded = protocol.decode(body)
    except protocol.LinkError:
        context.decoded = None


@then("it is a message")
def step_message(context):
    assert context.decoded == context.expected, context.decoded


@then("it is refused")
def step_refused(context):
    assert context.decoded is None, context.decoded


MB = 1_000_000
ITEMS_SENT_TAG = 10
REPEATED_BY_WHAT = {
    "small numbers": b"\x01",
    "empty lists": b"\x80",
    "empty texts": b"\x60",
    "lists without end": b"\x9f",
}


def _large_frame(size, what):
    match what:
        case "one large entry":
            items = (("op/config", state.Position(1, 1), b"x" * size),)
        case "9000 entries":
            value = b"x" * (size // 9000)
            items = tuple(
                (f"servers/{n}", state.Position(1, n), value)
                for n in range(1, 9001)
            )
        case _:
            head = bytes([0x82, ITEMS_SENT_TAG, 0x9A])
            count = struct.pack("!I", size)
            return head + count + REPEATED_BY_WHAT[what] * size
    frame = protocol.encode(coordination.ItemsSent(items))
    return zlib.decompress(frame[protocol.FRAME_LENGTH.size :])


@when("a frame of {size:d} MB holds {what}, {form}")
def step_large_frame(context, size, what, form):
    frame = _large_frame(size * MB, what)
    context.frame = zlib.compress(frame) if form == "compressed" else frame


@then(
    "it is {result} within {limit_s:g} s, with less than {peak:d} MB "
    "at its peak"
)
def step_large_result(context, result, limit_s, peak):
    started_s = time.monotonic()
    found = _decode(context.frame)
    elapsed_s = time.monotonic() - started_s
    tracemalloc.start()
    _decode(context.frame)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert found == result, found
    assert elapsed_s < limit_s, elapsed_s
    assert peak_bytes < peak * MB, peak_bytes


def _decode(frame):
    try:
        protocol.decode(frame)
    except protocol.LinkError:
        return "refused"
    return "a message"
