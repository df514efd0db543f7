"""Steps for odd entries of the platform's store."""

import base64
import copy
import json

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import strategies
import platform_entry_steps

from jasminecrank import platform
from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

PLACEHOLDER = "@value@"
GOOD_SERVERS = 5
SPECS = platform_entry_steps.CONFIG["resources"]
PATH_BY_SERVER_FIELD = {
    "address": ("address",),
    "born": ("born",),
    "service": ("info", "service"),
    "slots": ("info", "slots"),
    "zone": ("info", "zone"),
    "state": ("status", "state"),
    "coldLeftMs": ("status", "coldLeftMs"),
    "more": ("more",),
}
PATH_BY_CONFIG_FIELD = {
    "version": ("version",),
    "resources": ("resources",),
    "timeoutMs": ("resources", 0, "spec", "timeoutMs"),
    "targetLatencyMs": ("resources", 0, "spec", "targetLatencyMs"),
    "priority": ("resources", 0, "spec", "priority"),
    "maxAttempts": ("resources", 0, "spec", "maxAttempts"),
    "host": ("resources", 0, "spec", "host"),
    "weight": ("resources", 0, "spec", "split", 0, "weight"),
    "healthPath": ("resources", 1, "spec", "healthPath"),
    "coldPerS": ("resources", 1, "spec", "coldPerS"),
    "ratePerS": ("resources", 3, "spec", "ratePerS"),
    "apiKeys": ("resources", 3, "spec", "apiKeys"),
}
PATH_BY_ITEM_FIELD = {
    "item": (),
    "key": ("key",),
    "rev": ("rev",),
    "value": ("value",),
    "lease": ("lease",),
}


def parse_value(text):
    """Return the JSON text of a value of these tables."""
    words = text.split(" ")
    match words:
        case [count, "digits"]:
            return "9" * int(count)
        case [count, "characters"]:
            return json.dumps("a" * int(count))
        case ["a", "host", "of", count, "characters"]:
            return json.dumps("a" * int(count) + ":80")
        case ["a", "list", depth, "deep"]:
            return "[" * int(depth) + "]" * int(depth)
    return text


def replace(document, path, value):
    """Return the JSON text of a document with one value replaced."""
    if not path:
        return value
    parent = copy.deepcopy(document)
    inner = parent
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = PLACEHOLDER
    return json.dumps(parent).replace(f'"{PLACEHOLDER}"', value)


def decode_with(key, document, path, value):
    """Return the decoded entry of a document with one value replaced."""
    text = replace(document, path, parse_value(value))
    return platform.EntryDecoder().decode(key, text.encode())


@when("the store holds a server entry whose {field} is {value}")
def step_server(context, field, value):
    path = PATH_BY_SERVER_FIELD[field]
    context.entry = decode_with(
        "servers/i-1", platform_entry_steps.SERVER, path, value
    )


@when("the store holds a server entry under {key}")
def step_server_key(context, key):
    key = key.replace("\\r", "\r").replace("\\n", "\n")
    context.entry = platform.EntryDecoder().decode(
        key, json.dumps(platform_entry_steps.SERVER).encode()
    )


@when("the store holds a configuration whose {field} is {value}")
def step_config(context, field, value):
    path = PATH_BY_CONFIG_FIELD[field]
    context.entry = decode_with(
        "op/config", platform_entry_steps.CONFIG, path, value
    )


@given("a directory with {count:d} good servers and a table")
def step_directory(context, count):
    assert count == GOOD_SERVERS
    context.good_items = [
        state.SourceItem(
            f"servers/i-{number}",
            state.Position(1, number + 1),
            replace(
                platform_entry_steps.SERVER,
                ("address",),
                f'"10.0.0.{number}:80"',
            ).encode(),
        )
        for number in range(count)
    ]
    context.good_items.append(
        state.SourceItem(
            "op/config",
            state.Position(1, GOOD_SERVERS + 1),
            json.dumps(platform_entry_steps.CONFIG).encode(),
        )
    )


ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from((2**63, -(2**63) - 1, 10**400))
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(
        ("10.0.0.1:80", "10.0.0.1:0", "ready", "huvo11a", "\ud800", "\0")
    ),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=8,
)


def _odd_documents(document, path_by_field):
    return strategies.builds(
        lambda path, value: replace(document, path, json.dumps(value)),
        strategies.sampled_from([(), *path_by_field.values()]),
        ODD_VALUES,
    ).map(str.encode)


ODD_ITEMS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("servers/odd", "servers/", "other", "")),
        strategies.binary(max_size=40)
        | _odd_documents(
            platform_entry_steps.SERVER, PATH_BY_SERVER_FIELD
        ).filter(lambda value: b'"10.128.0.9' not in value),
    )
    | strategies.tuples(
        strategies.just("op/config"),
        _odd_documents(
            {**platform_entry_steps.CONFIG, "version": 1},
            {
                field: path
                for field, path in PATH_BY_CONFIG_FIELD.items()
                if field != "version"
            },
        ),
    ),
    min_size=1,
    max_size=4,
)


@when("entries with values of every kind are put between them")
def step_odd_between(context):
    context.fleets = []

    @for_all(ODD_ITEMS)
    def apply(odd):
        directory = state.Directory(platform.EntryDecoder().decode)
        revision = 100
        for good in context.good_items:
            items = [good]
            for key, value in odd:
                revision += 1
                items.insert(
                    0,
                    state.SourceItem(key, state.Position(1, revision), value),
                )
            directory.apply_items(items, 0.0)
        # The table's key has one entry only, so the last good one is put
        # again, as its operator does with the next version.
        config = {**platform_entry_steps.CONFIG, "version": 9}
        directory.apply_items(
            [
                state.SourceItem(
                    "op/config",
                    state.Position(1, revision + 1),
                    json.dumps(config).encode(),
                )
            ],
            0.0,
        )
        context.fleets.append(directory.snapshot())

    apply()


@then("no exception leaves the directory")
def step_no_exception(context):
    assert len(context.fleets) >= 100, len(context.fleets)


@then("the {count:d} good servers and the table are in the fleet")
def step_good_stand(context, count):
    for fleet in context.fleets:
        good = {f"i-{number}" for number in range(count)}
        assert good <= fleet.server_by_id.keys(), fleet.server_by_id
        assert fleet.table is not None and fleet.table.version == 9, fleet


@when("a page of the store has an item whose {field} is {value}")
def step_page(context, field, value):
    def item(number):
        return {
            "key": f"servers/i-{number}",
            "value": base64.b64encode(b"{}").decode(),
            "rev": number,
            "created": number,
            "lease": 0,
        }

    odd = replace(item(2), PATH_BY_ITEM_FIELD[field], parse_value(value))
    parts = [json.dumps(item(1)), odd, json.dumps(item(3))]
    body = f'{{"items":[{",".join(parts)}],"hasMore":true,"currentRev":9}}'
    context.page = platform.decode_page(
        body.encode(), 0.0, coordination.UnnamedEra()
    )


@then("the page has the 2 good items, and the odd one {fate}")
def step_page_items(context, fate):
    page = context.page
    assert isinstance(page, coordination.Page), page
    found = {item.position.revision: item.value for item in page.items}
    assert page.last_key == "servers/i-3", page
    assert (found.pop(1), found.pop(3)) == (b"{}", b"{}"), page
    match fate:
        case "is rejected":
            assert not found and len(page.rejected) == 1, page
        case "has an empty value":
            assert found == {2: b""} and not page.rejected, page
        case "has its value":
            assert found == {2: b"{}"} and not page.rejected, page


@when("the store gets a server entry whose {field} is {value}")
def step_store_odd(context, field, value):
    async def act():
        deployment = context.fleet
        entry = deployment.server_entry(0)
        text = replace(entry, PATH_BY_SERVER_FIELD[field], parse_value(value))
        await deployment.store.put_bytes("servers/a-odd", text.encode())

        def rejected():
            lines = b"".join(deployment.log_lines).splitlines()
            hosts = {
                json.loads(line)["host"]
                for line in lines
                if b'"entry-rejected"' in line and b"servers/a-odd" in line
            }
            return len(hosts) == len(deployment.nodes)

        await deployment.wait_until(rejected, 2.0)

    context.runner.run(act())


@then("every node has logged the rejected entry, and no failure")
def step_logged(context):
    for node in context.fleet.nodes:
        metrics = node.read_metrics(b"/metrics").body.decode()
        assert 'entries_total{result="rejected"}' in metrics, metrics
    for event in (b"-failed", b"task-"):
        lines = [
            line for line in context.fleet.log_lines if b'"' + event in line
        ]
        assert not lines, lines
