"""Steps for validating and activating documents."""

import dataclasses
import json

from behave import given
from behave import then
from behave import when

from jasminecrank import state

SERVICE = state.ServiceRow("ledger", 4, 1, 10.0, 20)
ROUTE = state.RouteRow(
    "lookup",
    "ledger",
    "GET",
    "/lots",
    state.RouteKind.LOOKUP,
    state.Priority.ORDINARY,
    False,
    1000,
)
LIMIT = state.LimitRow("ledger", "belt", 1, 10.0, 10, 4)
HOST = state.HostRow(
    "ledger-1",
    "ledger",
    "north",
    "savo",
    "127.0.0.1",
    1,
    2,
    3,
    4,
    0,
    state.HostState.LIVE,
)
OUTAGE = state.OutageRow("north", state.OutageState.IN_SERVICE)
KEY = state.KeyRow("ab" * 32, "belt")
ROWS = {
    "table": (SERVICE, ROUTE, LIMIT),
    "hosts": (HOST,),
    "keys": (KEY,),
    "outages": (OUTAGE,),
}


def make_document(name, number, rows):
    """Build a document from typed rows."""
    by_key = {state.row_key(row): state.encode_row(row) for row in rows}
    return state.build_document(state.DocumentName(name), number, by_key)


def make_table(content, number):
    """Build a table version with the content that a step names."""
    rows = (SERVICE, ROUTE, dataclasses.replace(LIMIT, burst=11))
    good = make_document("table", number, rows)
    by_key = dict(good.by_key)
    match content:
        case "the same rows":
            return make_document("table", number, ROWS["table"])
        case "another limit":
            return good
        case "a dangling route":
            route = dataclasses.replace(ROUTE, service="absent")
            return make_document("table", number, (SERVICE, route))
        case "a negative rate":
            limit = dataclasses.replace(LIMIT, rate=-1.0)
            return make_document("table", number, (SERVICE, limit))
        case "an unknown field":
            values = json.loads(by_key["route/lookup"])
            by_key["route/lookup"] = json.dumps({**values, "extra": 1})
            return state.build_document(good.name, number, by_key)
        case "a wrong digest":
            version = state.Version(number, "00" * 32)
            return dataclasses.replace(good, version=version)
    raise AssertionError(content)


@given("a node with active table version {number:d}")
def step_node_with_version(context, number):
    context.state = state.ConfigState.empty()
    for name in ("hosts", "keys", "outages"):
        context.state.offer(make_document(name, 1, ROWS[name]))
    context.state.offer(make_document("table", number, ROWS["table"]))


@when("table version {number:d} with {content} is offered")
def step_offer(context, number, content):
    context.result = context.state.offer(make_table(content, number))


@then("the offer is {result}")
def step_offer_result(context, result):
    assert type(context.result).__name__ == result, context.result


@then("table version {number:d} is active")
def step_active(context, number):
    assert context.state.versions().table.number == number
    snapshot = context.state.snapshot
    expected = 11 if type(context.result) is state.Accepted else 10
    assert snapshot.by_limit["ledger", "belt"].burst == expected


@when("the documents arrive in the order {order}")
def step_arrive(context, order):
    config = state.ConfigState.empty()
    context.usable_after = None
    for name in order.split(", "):
        config.offer(make_document(name, 1, ROWS[name]))
        if context.usable_after is None and config.snapshot.routes:
            context.usable_after = name


@then("the route becomes usable with the document {name}")
def step_usable_after(context, name):
    assert context.usable_after == name, context.usable_after
