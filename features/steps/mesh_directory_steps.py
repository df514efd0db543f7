"""Steps for the directory of published entries."""

from behave import given
from behave import then
from behave import when
from mesh_state_steps import make_table

from jasminecrank.mesh import state


def make_server(server_id="i-1", **changes):
    """Return a backend server with default values."""
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
    """Decode the test format of these steps: KIND ARGUMENT."""
    kind, _, argument = value.decode().partition(" ")
    match kind:
        case "table":
            return state.TableEntry(make_table(int(argument)))
        case "server":
            return state.ServerEntry(
                make_server(key, state=state.ServerState(argument))
            )
        case "out":
            return state.DataCentreOutEntry(argument)
    return state.InvalidEntry(kind)


def make_item(key, revision, value):
    """Return a source item with an encoded value."""
    encoded = None if value is None else value.encode()
    return state.SourceItem(key, make_position(revision), encoded)


def make_position(revision, era=1):
    """Return a position of the source."""
    return state.Position(era, revision)


@given("a directory with table version {version:d} at revision {revision:d}")
def step_table(context, version, revision):
    context.directory = state.Directory(decode)
    context.directory.apply_items(
        [make_item("t", revision, f"table {version}")], 0.0
    )


@given(
    "heartbeats every {heartbeat_s:g} s, and a source silent for "
    "{silent_s:g} s"
)
def step_silent(context, heartbeat_s, silent_s):
    context.directory = state.Directory(decode, heartbeat_s=heartbeat_s)
    context.directory.end_outage(100.0 - silent_s, 100.0)


@then("removals are delayed after its return: {delayed}")
def step_delayed(context, delayed):
    assert (context.directory.grace_until_s > 100.0) == (delayed == "yes")


@when("table version {version:d} arrives at revision {revision:d}")
def step_table_arrives(context, version, revision):
    context.directory.apply_items(
        [make_item("t", revision, f"table {version}")], 1.0
    )


@then("the table in force has version {version:d}")
def step_in_force(context, version):
    assert context.directory.snapshot().table.version == version


@given("a directory with server i-1 in state {state_name}")
def step_server(context, state_name):
    context.now_s = 100.0
    context.directory = state.Directory(decode)
    context.directory.apply_items(
        [make_item("i-1", 10, f"server {state_name}")], 90.0
    )


@when("the source recovered {ago:g} s ago and the entry is removed")
def step_removed(context, ago):
    context.directory.start_expiry_grace(context.now_s - ago)
    context.directory.apply_items([make_item("i-1", 11, None)], context.now_s)


@when("the entry reappears")
def step_reappears(context):
    entry = make_item("i-1", 12, "server ready")
    context.directory.apply_items([entry], context.now_s)


def decode_created(key, value):
    """Decode STATE CREATED as a server entry."""
    state_name, created = value.decode().split()
    return state.ServerEntry(
        make_server(
            key,
            state=state.ServerState(state_name),
            created_at_ms=int(created),
        )
    )


@given("a directory with server i-1 created at {created_at_ms:d}")
def step_created(context, created_at_ms):
    context.directory = state.Directory(decode_created)
    context.directory.apply_items(
        [make_item("i-1", 10, f"ready {created_at_ms}")], 0.0
    )


@when(
    "server i-2 at the same address in state {state_name} "
    "is created at {created_at_ms:d}"
)
def step_second(context, state_name, created_at_ms):
    context.directory.apply_items(
        [make_item("i-2", 11, f"{state_name} {created_at_ms}")], 1.0
    )


@then("only {server_id} is in the fleet")
def step_only(context, server_id):
    assert list(context.directory.snapshot().server_by_id) == [server_id]


@when("a listing at revision {revision:d} without the entry arrives")
def step_listing(context, revision):
    context.directory.apply_listing([], make_position(revision), context.now_s)


@then("the server is {now} now and {later} after 2 s")
def step_server_present(context, now, later):
    for at_s, wanted in ((0.0, now), (2.0, later)):
        context.directory.remove_expired(context.now_s + at_s)
        present = "i-1" in context.directory.snapshot().server_by_id
        assert present == (wanted == "there"), (at_s, present)


@given("a fleet with these servers")
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


@then("{usable} receive calls to ledger")
def step_usable(context, usable):
    found = [
        server.server_id for server in context.fleet.usable_servers("ledger")
    ]
    assert found == usable.split(", "), found


@when("a peer with {entries} is complete up to revision {revision:d}")
def step_peer_complete(context, entries, revision):
    own = context.directory.digest
    digest = own if entries == "the same" else own + 1
    context.directory.compare_with_peer(digest, make_position(revision))


@then("the directory is complete up to revision {revision:d}")
def step_complete(context, revision):
    assert context.directory.complete_position.revision == revision
