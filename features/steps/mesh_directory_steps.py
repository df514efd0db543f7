"""Steps on the directory of published entries."""

from behave import given
from behave import then
from behave import when
from mesh_state_steps import make_table

from jasminecrank.mesh import state


def make_server(server_id="i-1", **changes):
    """Return a backend server with usual values."""
    fields = {
        "service": "ledger",
        "host": "10.0.0.1",
        "port": 8080,
        "data_centre": "belt-a",
        "slots": 12,
        "state": state.ServerState.READY,
        "cold_left_s": 0.0,
        "created_at_ms": 0,
    }
    fields.update(changes)
    return state.BackendServer(server_id=server_id, **fields)


def decode(key, value):
    """Decode the small language of these steps: KIND WORD."""
    kind, _, word = value.decode().partition(" ")
    match kind:
        case "table":
            return state.TableEntry(make_table(int(word)))
        case "server":
            return state.ServerEntry(
                make_server(key, state=state.ServerState(word))
            )
        case "out":
            return state.DataCentreOutEntry(word)
    return state.InvalidEntry(kind)


def item(key, revision, value):
    """Return an entry."""
    encoded = None if value is None else value.encode()
    return state.SourceItem(key, revision, encoded)


@given("a directory with table version {version:d} at revision {revision:d}")
def step_table(context, version, revision):
    context.directory = state.Directory(decode)
    context.directory.apply_items(
        [item("t", revision, f"table {version}")], 0.0
    )


@when("table version {version:d} arrives at revision {revision:d}")
def step_newer(context, version, revision):
    context.directory.apply_items(
        [item("t", revision, f"table {version}")], 1.0
    )


@then("the table in force has version {version:d}")
def step_in_force(context, version):
    assert context.directory.snapshot().table.version == version


@given("a directory with server i-1 in state {word}")
def step_server(context, word):
    context.now_s = 100.0
    context.directory = state.Directory(decode)
    context.directory.apply_items([item("i-1", 10, f"server {word}")], 90.0)


@when("the source has returned {ago:g} s ago and the entry is removed")
def step_removed(context, ago):
    context.directory.start_expiry_grace(context.now_s - ago)
    context.directory.apply_items([item("i-1", 11, None)], context.now_s)


@when("the entry comes back")
def step_back(context):
    entry = item("i-1", 12, "server ready")
    context.directory.apply_items([entry], context.now_s)


def decode_born(key, value):
    """Decode STATE BORN as a server's entry."""
    word, born = value.decode().split()
    return state.ServerEntry(
        make_server(
            key, state=state.ServerState(word), created_at_ms=int(born)
        )
    )


@given("a directory with server i-1 born at {born:d}")
def step_born(context, born):
    context.directory = state.Directory(decode_born)
    context.directory.apply_items([item("i-1", 10, f"ready {born}")], 0.0)


@when(
    "server i-2 of the same address and state {word} "
    "says it was born at {born:d}"
)
def step_second(context, word, born):
    context.directory.apply_items([item("i-2", 11, f"{word} {born}")], 1.0)


@then("only {server_id} is in the fleet")
def step_only(context, server_id):
    assert list(context.directory.snapshot().server_by_id) == [server_id]


@when("a listing from revision {revision:d} arrives without it")
def step_listing(context, revision):
    context.directory.apply_listing([], revision, context.now_s)


@then("the server is {now} now and {later} after 2 s")
def step_there(context, now, later):
    for at_s, wanted in ((0.0, now), (2.0, later)):
        context.directory.remove_expired(context.now_s + at_s)
        there = "i-1" in context.directory.snapshot().server_by_id
        assert there == (wanted == "there"), (at_s, there)


@given("a fleet with the servers")
def step_fleet(context):
    context.servers = {
        row["id"]: make_server(
            row["id"],
            service=row["service"],
            data_centre=row["data centre"],
            state=state.ServerState(row["state"]),
        )
        for row in context.table
    }


@when("data centre {out} is out of service")
def step_out(context, out):
    context.fleet = state.FleetSnapshot(
        None, context.servers, {}, frozenset((out,))
    )


@then("{usable} get work of ledger")
def step_usable(context, usable):
    found = [
        server.server_id for server in context.fleet.usable_servers("ledger")
    ]
    assert found == usable.split(", "), found
