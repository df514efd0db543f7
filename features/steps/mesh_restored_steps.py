"""Steps for a source that is restored from an older copy."""

import asyncio
import dataclasses
import random
import time

from behave import given
from behave import then
from behave import when
import cbor2
import fleet_model
import mesh_directory_steps
import mesh_exchange_steps
import mesh_link_codec_steps
import mesh_state_steps

from jasminecrank import platform
from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state

LISTING_REVISION = 100
HOLD_S = 10.0
"""Longer than any entry is held for its author."""
KEY_BY_KIND = {"table": "t", "server": "i-1", "out": "dryer"}


def decode(key, value):
    """Decode KIND ARGUMENTS, as `make_value` writes them."""
    kind, *arguments = value.decode().split()
    match kind:
        case "table":
            return state.TableEntry(
                mesh_state_steps.make_table(int(arguments[0]))
            )
        case "server":
            server_state, created, sequence = arguments
            return state.ServerEntry(
                mesh_directory_steps.make_server(
                    key,
                    host=f"10.0.0.{key[-1]}",
                    state=state.ServerState(server_state),
                    created_at_ms=int(created),
                    sequence=int(sequence),
                )
            )
        case "out":
            return state.DataCentreOutEntry(key)
    return state.InvalidEntry(kind)


def make_entry(text):
    """Return the key and the value that an entry of the tables stands for."""
    match text.split():
        case ["table", version]:
            return "t", f"table {version}"
        case ["nonsense"]:
            return "t", "nonsense"
        case ["server", server_state]:
            return "i-1", f"server {server_state} 1 1"
        case ["server", server_state, "of", created]:
            return "i-1", f"server {server_state} {created} 1"
        case ["report", sequence, *_]:
            return "i-1", f"server ready 1 {sequence}"
        case ["out", "dryer"]:
            return "dryer", "out"
        case ["a", "server's", "removal"]:
            return "i-1", None
        case ["the", "return", "of", "dryer"]:
            return "dryer", None
    raise AssertionError(text)


def make_item(text, revision, era):
    """Return the item that an entry of the tables stands for."""
    key, value = make_entry(text)
    return state.SourceItem(
        key,
        state.Position(era, revision),
        None if value is None else value.encode(),
    )


def used_entry(directory):
    """Return what a directory uses besides server i-2, as text."""
    snapshot = directory.snapshot()
    if snapshot.table is not None:
        return f"table {snapshot.table.version}"
    for name in snapshot.data_centres_out:
        return f"out {name}"
    server = snapshot.server_by_id.get("i-1")
    if server is None:
        return "nothing"
    if server.sequence > 1:
        return f"report {server.sequence}"
    if server.created_at_ms > 1 or server.state is state.ServerState.READY:
        return f"server {server.state.value} of {server.created_at_ms}"
    return f"server {server.state.value} of 1"


def other_server(era):
    """Return the item of a server that the restore does not change."""
    return state.SourceItem(
        "i-2", state.Position(era, 20), b"server ready 1 1"
    )


@given("a directory that has read {known} at revision 150")
def step_known(context, known):
    context.now_s = 100.0
    context.era = 1
    context.directory = state.Directory(decode)
    key, value = make_entry(known)
    if value is None:
        before = "out" if key == "dryer" else "server ready 1 1"
        items = [state.SourceItem(key, state.Position(1, 90), before.encode())]
    else:
        items = []
    context.directory.apply_listing(
        [other_server(1), *items], state.Position(1, LISTING_REVISION), 50.0
    )
    context.directory.apply_items([make_item(known, 150, 1)], 60.0)


@when(
    "the source is restored from a copy with {copy} at revision {revision:d}"
)
def step_restored(context, copy, revision):
    context.era += 1
    items = [other_server(context.era)]
    if copy != "nothing":
        items.append(make_item(copy, revision, context.era))
    context.listed = items
    start = state.Position(context.era, max(LISTING_REVISION, revision))
    context.directory.apply_listing(items, start, context.now_s)


@when("{written} is written at revision {revision:d}")
def step_written(context, written, revision):
    context.now_s += 1.0
    item = make_item(written, revision, context.era)
    context.listed = [one for one in context.listed if one.key != item.key] + (
        [] if item.value is None else [item]
    )
    context.directory.apply_changes([item], item.position, context.now_s)


@then("it uses {wanted} once the time to write it again is over")
def step_uses_later(context, wanted):
    list_when_due(context, 200)
    step_uses(context, wanted)


@then("it uses {wanted} after a listing at the same revision")
def step_uses_without_writes(context, wanted):
    list_when_due(context, LISTING_REVISION)
    step_uses(context, wanted)


def list_when_due(context, revision):
    """Let the time to write entries again pass, and list them if needed."""
    context.now_s += HOLD_S
    directory = context.directory
    directory.remove_expired(context.now_s)
    if directory.needs_confirmation(context.now_s):
        start = state.Position(context.era, revision)
        directory.apply_listing(context.listed, start, context.now_s)
        directory.remove_expired(context.now_s)
    assert not directory.needs_confirmation(context.now_s)


@then("it uses {wanted}")
def step_uses(context, wanted):
    found = used_entry(context.directory)
    assert found == normalised(wanted), found


def normalised(wanted):
    """Return what the tables say of an entry as `used_entry` does."""
    match wanted.split():
        case ["server", "of", created]:
            return f"server ready of {created}"
        case ["server", server_state]:
            return f"server {server_state} of 1"
    return wanted


@given("a directory that has read that server i-1 of 2 has {left}")
def step_left(context, left):
    context.now_s = 100.0
    context.directory = state.Directory(decode)
    servers = ["i-1", "i-2"]
    context.directory.apply_listing(
        [
            state.SourceItem(key, state.Position(1, 20), b"server ready 1 1")
            for key in servers
        ],
        state.Position(1, LISTING_REVISION),
        50.0,
    )
    gone = servers if left == "crashed too" else servers[:1]
    context.directory.apply_items(
        [state.SourceItem(key, state.Position(1, 150), None) for key in gone],
        60.0,
    )


@when("the source is restored with {copy}")
def step_servers_restored(context, copy):
    keys = {
        "both of them": ("i-1", "i-2"),
        "i-1 only": ("i-1",),
        "neither of them": (),
    }[copy]
    items = [
        state.SourceItem(key, state.Position(2, 20), b"server ready 1 1")
        for key in keys
    ]
    context.directory.apply_listing(
        items, state.Position(2, LISTING_REVISION), context.now_s
    )


@then("{servers} receive calls")
def step_receive(context, servers):
    usable = context.directory.snapshot().usable_servers("ledger")
    found = sorted(server.server_id for server in usable)
    assert found == servers.split(", "), found


@given("a directory with {entries:d} servers")
def step_many_servers(context, entries):
    context.directory = state.Directory(decode)
    items = [
        state.SourceItem(
            f"i-{number}", state.Position(1, number + 1), b"server ready 1 1"
        )
        for number in range(entries)
    ]
    start = state.Position(1, entries)
    context.directory.apply_listing(items, start, 50.0)


@when("a peer tells of a new era that changes all of them")
def step_told_of_era(context):
    directory = context.directory
    # As decoded from a message, the keys are equal but not the same.
    changed = tuple(key.encode().decode() for key in directory.item_by_key)
    began_s = time.perf_counter()
    assert directory.renew(2, directory.digest, changed, 60.0)
    context.took_s = time.perf_counter() - began_s


@then("the directory is in that era within {limit_s:g} s")
def step_in_era(context, limit_s):
    assert context.directory.position.era == 2
    assert context.took_s <= limit_s, context.took_s


@given("nodes that have read table 6 up to version {versions}")
def step_versions(context, versions):
    context.net = mesh_exchange_steps.Network(4)
    context.versions = [int(version) for version in versions.split(", ")]
    for host, version in zip(context.net.hosts, context.versions, strict=True):
        host.accepted = [other for other in range(4) if other != host.number]
        host.directory.apply_changes(
            [
                mesh_exchange_steps.item(
                    "table", 100 + one, mesh_exchange_steps.table_value(one, 3)
                )
                for one in range(3, version + 1)
            ],
            state.Position(1, 100 + version),
            0.0,
        )


@when("it has lost all but table 3")
def step_old_table(context):
    value = mesh_exchange_steps.table_value(3, 3)
    context.listed = [state.SourceItem("table", state.Position(2, 103), value)]


@when("{readers:d} of them read it, and the others receive what they push")
def step_read(context, readers):
    net = context.net
    for host in net.hosts[:readers]:
        applied = host.directory.apply_listing(
            context.listed, state.Position(2, 103), net.now_s
        )
        host.exchange.push(
            applied.changed,
            [net.send_to(host.number, other) for other in host.accepted],
        )
    net.run(4.0)


@then("all of them have the same entries, with table {version:d}")
def step_agree(context, version):
    directories = [host.directory for host in context.net.hosts]
    found = [directory.table.version for directory in directories]
    assert found == [version] * 4, found
    assert len({directory.digest for directory in directories}) == 1, [
        directory.item_by_key["table"].position for directory in directories
    ]


async def read_from_store(status, text):
    """Return the reply to a watch of a store that answers as told."""
    header = "" if text == "none" else f"Store-Era: {text}\r\n"
    body = '{"events": [], "currentRev": 5}'

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
        writer.write(f"{head}{header}\r\n{body}".encode())
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        address = server.sockets[0].getsockname()
        store = platform.PlatformStore(address)
        return await store.watch(4, 0.5, 65_536, lambda: None)


@when("the store answers status {status:d} with era {text}")
def step_header(context, status, text):
    context.era = asyncio.run(read_from_store(status, text)).era


@then("the reply is of {era}")
def step_era(context, era):
    match context.era:
        case coordination.NamedEra(number):
            found = f"era {number}"
        case coordination.InvalidEra():
            found = "an invalid era"
        case coordination.UnnamedEra():
            found = "no era"
    assert found == era, found


SKIPPED_AFTER_S = 0.5
"""Time into the run, in the wait before an era is listed."""


class ScriptedSource:
    """Replies of the source in order; then nothing more."""

    def __init__(self, replies):
        self._replies = replies
        """A position among them is one that a peer is at."""
        self.skip_to = None
        self.listings = 0
        self.done = asyncio.Event()

    async def read_page(self, after_key, on_reply):
        """Return the next reply to a listing."""
        del on_reply
        self.listings += not after_key
        return await self._next()

    async def watch(self, after_revision, wait_s, max_bytes, on_reply):
        """Return the next reply to a watch."""
        del after_revision, wait_s, max_bytes, on_reply
        return await self._next()

    async def _next(self):
        while self._replies:
            reply = self._replies.pop(0)
            if not isinstance(reply, state.Position):
                return reply
            self.skip_to(reply)
        self.done.set()
        await asyncio.Event().wait()
        raise AssertionError


def make_page(era, revision, has_more=False):
    """Return a page of a listing with one entry."""
    item = state.SourceItem(
        "t", state.Position(state.UNKNOWN_ERA, 5), b"table 1"
    )
    return coordination.Page(
        (item,),
        has_more,
        revision,
        last_key="t",
        era=coordination.NamedEra(era),
    )


def make_reply(text):
    """Return the reply to a watch that the tables name."""
    what, _, named = text.partition(" of ")
    match named.split():
        case ["era", number]:
            era = coordination.NamedEra(int(number))
        case ["no", "era"]:
            era = coordination.UnnamedEra()
        case _:
            era = coordination.InvalidEra("two")
    match what:
        case "changes":
            return coordination.Changes((), 30, era=era)
        case "history gone":
            return coordination.HistoryGone(era)
    return coordination.Unavailable("status 503", era)


@given("a node that has not read the source")
def step_not_read(context):
    context.replies = []


@when("the source fails with {error}, and is listed in {era}")
def step_fails(context, error, era):
    failed = make_reply(f"an error of {error}")
    listed = make_page(2, 25)
    if era == "no era":
        listed = dataclasses.replace(listed, era=coordination.UnnamedEra())
    context.replies += [failed, listed]
    context.source = run_source(context)


@given("a node that has read the source in era 2")
def step_read_source(context):
    context.replies = [make_page(2, 20)]


@when("the source replies with {replies}")
def step_replies(context, replies):
    watch, _, pages = replies.partition(", pages of eras ")
    context.replies.append(make_reply(watch))
    if pages:
        first, second = map(int, pages.split(" and "))
        context.replies += [
            make_page(first, 25, has_more=True),
            make_page(second, 25),
            make_page(max(first, second), 25),
        ]
    elif "era 3" in watch or "gone" in watch:
        context.replies.append(make_page(3 if "era 3" in watch else 2, 25))
    context.source = run_source(context)


@when("these arrive in order: {arrivals}")
def step_arrivals(context, arrivals):
    for arrival in arrivals.split(", "):
        match arrival.split():
            case ["peer", "at", position]:
                parts = map(int, position.split("."))
                context.replies.append(state.Position(*parts))
            case [*first, "page", "of", "era", era]:
                page = make_page(int(era), 25, has_more=bool(first))
                context.replies.append(page)
            case _:
                context.replies.append(make_reply(arrival))
    context.source = run_source(context)


@when("the source begins era 3, and {position} is known before it is listed")
def step_known_before(context, position):
    context.replies += [
        make_reply("changes of era 3"),
        make_page(3, 25),
        coordination.Changes((), 25, era=coordination.NamedEra(3)),
    ]

    def skip(task):
        if position != "nothing":
            era, _, revision = position.partition(".")
            number = state.UNKNOWN_ERA if era == "unknown" else int(era)
            task.skip_to(state.Position(number, int(revision)))

    context.source = run_source(context, skip)


def run_source(context, in_new_era=None):
    """Run a source task until it has had all replies; return its source.

    `in_new_era` is called while the task, no reader, waits to list one.
    """
    context.told = []
    loop = fleet_model.VirtualLoop()

    async def run():
        source = ScriptedSource(context.replies)
        context.log = fleet_model.NullLog()
        task = coordination.SourceTask(
            source, context.told.append, random.Random(1), context.log
        )
        source.skip_to = task.skip_to

        if in_new_era is not None:
            task.set_watching(True, False)
            asyncio.get_running_loop().call_later(
                SKIPPED_AFTER_S, in_new_era, task
            )
        running = asyncio.create_task(task.run())
        done = asyncio.create_task(source.done.wait())
        await asyncio.wait(
            (running, done), return_when=asyncio.FIRST_COMPLETED
        )
        assert not running.done(), running.exception()
        running.cancel()
        return source

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(run())


@then("it has read up to {position}")
def step_read_up_to(context, position):
    positions = [
        message.start
        if isinstance(message, coordination.ListingRead)
        else message.position
        for message in context.told
        if isinstance(
            message, coordination.ListingRead | coordination.ChangesRead
        )
    ]
    found = max(positions)
    assert f"{found.era}.{found.revision}" == position, positions


@then("it has listed the source {times:d} times")
def step_listed(context, times):
    assert context.source.listings == times, context.source.listings


@then("the task has logged {events}")
def step_logged(context, events):
    found = [
        event
        for _, event, fields in context.log.lines
        if event in ("source-era", "era-rejected", "history-gone")
        and fields.get("previous_era") != state.UNKNOWN_ERA
    ]
    wanted = [] if events == "nothing" else events.split(", ")
    assert list(dict.fromkeys(found)) == wanted, found


RETAINED = coordination.ItemsSent(
    (("t", state.Position(2, 90, 1, 150), b"table 6"),)
)


def positions_in(message):
    """Return the positions of a message in order."""
    match message:
        case coordination.ItemsSent(items):
            return [position for _, position, _ in items]
        case coordination.ItemPatched():
            return [message.base_position, message.position]
        case coordination.LoadReported():
            return [message.position, message.complete_position]
    raise AssertionError(message)


@when("{name} is encoded for a node of version {version:d}")
def step_encoded_for(context, name, version):
    messages = mesh_link_codec_steps.MESSAGE_BY_NAME
    message = RETAINED if name == "a retained one" else messages[name]
    frame = protocol.encode(message, version)
    context.decoded = protocol.decode(
        frame[protocol.FRAME_LENGTH.size :], version
    )


@then("that node reads {positions}")
def step_positions(context, positions):
    found = []
    for position in positions_in(context.decoded):
        era = position.era
        text = f"{'unknown' if era < 0 else era}.{position.revision}"
        if position.is_retained:
            text += f" for {'.'.join(map(str, position.written_at))}"
        found.append(text)
    assert found == positions.split(", "), found


@when("an entry at {position} is received from a node of version {version:d}")
def step_position_received(context, position, version):
    numbers = [int(part) for part in position.split(", ")]
    sent = numbers if len(numbers) > 1 else numbers[0]
    items_sent_tag = 10
    body = cbor2.dumps([items_sent_tag, [["t", sent, b"table 6"]]])
    try:
        message = protocol.decode(body, version)
    except protocol.LinkError:
        context.result = "refused"
    else:
        assert isinstance(message, coordination.ItemsSent), message
        context.result = "read"


@then("its frame is {result}")
def step_frame_result(context, result):
    assert context.result == result, context.result


LINK_MBIT_PER_S = 20
LINK_DELAY_S = 0.001
TABLE_ROWS = 200
WRITTEN_AGAIN_AFTER_S = 0.8
ALLOWED_S = 2.0


@given(
    "{hosts:d} nodes whose source loses {lost:d} entries and is away for "
    "{away_s:g} s"
)
def step_lost(context, hosts, lost, away_s):
    loop = fleet_model.VirtualLoop()
    context.runner = asyncio.Runner(loop_factory=lambda: loop)
    context.add_cleanup(context.runner.close)
    context.away_s = away_s
    context.lost = lost

    async def start():
        model = fleet_model.ModelFleet(hosts, LINK_MBIT_PER_S, LINK_DELAY_S)
        context.model = model
        await model.start(TABLE_ROWS)
        context.copy = model.source.copy()
        context.lost_version = model.publish()
        context.began_s = fleet_model.LoopClock().now_s()
        for number in range(lost - 1):
            model.register_servers(1, number + 1)
            await asyncio.sleep(1.0 / lost)
        await asyncio.sleep(1.0)
        context.listings = model.source.listings
        context.entry_bytes = model.entry_bytes

    context.runner.run(start())


@when("the source is back, and after 0.8 s what it lost is written again")
def step_back(context):
    context.restored = context.runner.get_loop().create_task(restore(context))


async def restore(context):
    """Restore the source; publish the lost table and then another one."""
    model = context.model
    await model.source.restore(context.copy, context.away_s)
    await asyncio.sleep(WRITTEN_AGAIN_AFTER_S)
    model.republish()
    model.register_servers(1, context.lost)


@when("meanwhile {meanwhile}")
def step_meanwhile(context, meanwhile):
    model = context.model
    hosts = list(model.node_by_host)

    async def act():
        await asyncio.sleep(context.away_s + 0.1)
        match meanwhile:
            case "a node starts":
                model.restart(hosts[-1])
            case "a third is cut from the source":
                model.source.unreachable_for |= set(hosts[::3])
            case "the source is restored again":
                await model.source.restore(context.copy, 0.2)
        await context.restored
        await asyncio.sleep(0.2)
        context.version = model.publish()

    context.runner.run(act())
    context.runner.run(asyncio.sleep(6.0))


@then("the next table is in force everywhere within {limit_s:g} s")
def step_in_force(context, limit_s):
    delay_s = context.model.delay_s_by_version()[context.version]
    assert delay_s <= limit_s, delay_s


@then("no node has gone back to an older table")
def step_not_back(context):
    for host, node in context.model.node_by_host.items():
        versions = [
            fields["version"]
            for _, event, fields in node.log.lines
            if event == "table-in-force"
        ]
        assert versions == sorted(versions), (host, versions)
        # A node that starts reads the older copy, but its peers know better.
        assert min(node.used_versions) >= context.lost_version or (
            node.started_s < context.began_s
        ), (host, node.used_versions)


@then(
    "the restore has cost at most {listings:d} listings and {limit:d} bytes "
    "of entries a node"
)
def step_cost(context, listings, limit):
    model = context.model
    made = model.source.listings - context.listings
    sent = model.entry_bytes - context.entry_bytes
    each = sent / len(model.node_by_host)
    assert made <= listings and each <= limit, (made, each)


PEER_TABLE_BY_REPORT = {
    "a peer has the same entries": (5, 100, None),
    "a peer has read less": (5, 95, None),
    "a peer has read less, and retains table 6": (6, 95, 150),
    "a peer has read more, and retains table 6": (6, 105, 150),
}
"""Version of the peer's table, its newest revision, and the lost one."""


@given("a node that has listed table 5, where {reports}")
def step_started(context, reports):
    context.net = mesh_exchange_steps.Network(3)
    node, peer, _ = context.net.hosts
    node.accepted = peer.accepted = []
    context.check = state.StartCheck()
    table = mesh_exchange_steps.table_value(5, 3)
    server = mesh_exchange_steps.item("i-1", 100, b"server ready")
    node.directory.apply_listing(
        [mesh_exchange_steps.item("table", 50, table), server],
        state.Position(1, 100),
        0.0,
    )
    context.has_peer = reports != "no peer has reported"
    if context.has_peer:
        version, revision, lost = PEER_TABLE_BY_REPORT[reports]
        position = state.Position(1, 50)
        if lost is not None:
            position = state.Position(1, 50, 0, lost)
        value = mesh_exchange_steps.table_value(version, 3)
        peer.directory.apply_listing(
            [
                state.SourceItem("table", position, value),
                mesh_exchange_steps.item("i-1", revision, b"server ready"),
            ],
            state.Position(1, revision),
            0.0,
        )


def run_start(context, for_s):
    """Let time pass until the node's check at the start is over."""
    node, peer, _ = context.net.hosts
    net = context.net
    exchange = node.exchange
    if context.has_peer:
        load = state.ServerLoad("i", 0, 0, 1, 0.1, 0.0, True)
        exchange.peer_reported(
            net.send_to(0, 1),
            coordination.LoadReported.from_load(
                load, 0.0, 0.0, peer.directory
            ),
        )
    end_s = net.now_s + for_s
    while net.now_s < end_s and not context.check.is_over:
        exchange.check_gaps(net.now_s, False)
        net.run(0.01)
        context.check.update(True, exchange.has_confirmed("table"), net.now_s)


@then("its calls are routed by table {version:d} within {seconds:g} s")
def step_routed(context, version, seconds):
    run_start(context, seconds)
    assert context.check.is_over
    found = context.net.hosts[0].directory.table.version
    assert found == version, found


@then("its calls are not routed before {seconds:g} s")
def step_not_routed(context, seconds):
    run_start(context, seconds)
    assert not context.check.is_over
