"""Steps for odd values in published documents, reports and messages."""

import json
import re

from behave import then
from behave import when
import cbor2
from odd_entry_steps import parse_value

from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state

ROW_BY_KIND = {
    "host row": state.HostRow(
        "h1",
        "ledger",
        "a",
        "savo",
        "10.0.0.1",
        1,
        2,
        3,
        4,
        0,
        state.HostState.LIVE,
    ),
    "limit row": state.LimitRow("ledger", "t1", 1, 2.0, 3, 4),
}
DOCUMENT_BY_KIND = {
    "host row": state.DocumentName.HOSTS,
    "limit row": state.DocumentName.TABLE,
}
REFUSALS = (exceptions.JasminecrankError,)


def _expand(text):
    def value(match):
        words = match[1]
        if words.endswith(" deep"):
            words = f"a list {words}"
        return parse_value(words).removesuffix(':80"') + (
            '"' if "host" in words else ""
        )

    return re.sub("@([^@]*)@", value, text)


def _message_frame(text):
    match text:
        case "a heartbeat of 400 digits":
            versions = [[1, b""]] * 4
            values = ["heartbeat", versions, False, 10**400]
            body = cbor2.dumps(["h1", [1, 0, "h1"], *values])
        case "a list 50000 deep":
            body = b"\x81" * 50_000 + b"\x01"
        case "a message type that is a list":
            body = cbor2.dumps(["h1", [1, 0, "h1"], [1], 2])
        case "a map instead of a list":
            body = cbor2.dumps({"a": 1})
    return b"\x00" + body


def _row_text(kind, text):
    row = state.encode_row(ROW_BY_KIND[kind])
    field = text.partition(":")[0]
    return re.sub(
        field + ':("[^"]*"|[^,}]*)', lambda match: _expand(text), row
    )


@when("the {reader} reads {text}")
def step_read(context, reader, text):
    context.refusal = context.report = None
    try:
        match reader:
            case "document":
                protocol.decode_published(
                    state.DocumentName.TABLE, _expand(text).encode()
                )
            case "watch":
                protocol.decode_changed_names(_expand(text).encode())
            case "health":
                context.report = protocol.decode_health(_expand(text).encode())
            case "message":
                protocol.decode_envelope(_message_frame(text))
            case "host row" | "limit row":
                state.decode_row(
                    DOCUMENT_BY_KIND[reader],
                    state.row_key(ROW_BY_KIND[reader]),
                    _row_text(reader, text),
                )
    except REFUSALS as error:
        context.refusal = error


@then("it reports that it can't use it")
def step_refused(context):
    unreachable = context.report == protocol.UNREACHABLE_REPORT
    assert context.refusal is not None or unreachable, context.report
    assert len(json.dumps(str(context.refusal))) < 1_000, context.refusal


@then("the server was started at {started:d} and has a load of {load:g}")
def step_report(context, started, load):
    report = context.report
    assert (report.started_at_ms, report.load) == (started, load), report
    assert report.reachable, report
