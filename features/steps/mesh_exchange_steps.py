"""Steps for the exchange of entries between nodes, in virtual time."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
import mesh_directory_steps
import mesh_state_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh import transport

DELAY_S = 0.002
TICK_S = 0.05
REPORT_PERIOD_S = 0.4
LINK_MBIT_PER_S = 5.0
LINKS_PER_NODE = 12
"""Hosts to which a node of a large fleet opens links besides the readers."""


def decode(key, value):
    """Decode a table to its version only, and other entries as usual."""
    if key != "table":
        return mesh_directory_steps.decode(key, value)
    version = int(value.split(b";")[0])
    return state.TableEntry(mesh_state_steps.make_table(version))


def table_value(version, rows, changed=()):
    """Return a table value whose records all differ from each other.

    Only the records of the rows in `changed` depend on the version.
    """
    rng = random.Random(rows)
    records = [b"%d;" % version]
    for number in range(rows):
        word = rng.randbytes(100).hex()
        mark = version if number in changed else 0
        records.append(
            b'{"row":%d,"is":"%s-%d"}' % (number, word.encode(), mark)
        )
    return b"".join(records)


@dataclass
class Host:
    """A node's directory, exchange and incoming links."""

    number: int
    directory: state.Directory
    exchange: coordination.EntryExchange
    accepted: list = field(default_factory=list)
    received_bytes: int = 0
    received: list = field(default_factory=list)


class Network:
    """Delivers messages between hosts after a delay."""

    def __init__(self, hosts):
        self.now_s = 0.0
        self.hosts = [self.make_host(number) for number in range(hosts)]
        self.dropped_pairs = set()
        self._queue = []
        self._order = itertools.count()
        self._sends = {}
        rng = random.Random(5)
        for host in self.hosts:
            others = [other for other in range(hosts) if other != host.number]
            chosen = set(rng.sample(others, min(len(others), LINKS_PER_NODE)))
            chosen |= {0, 1, 2} - {host.number}
            for other in chosen:
                self.hosts[other].accepted.append(host.number)

    def make_host(self, number):
        """Return a host without entries."""
        directory = state.Directory(decode)
        exchange = coordination.EntryExchange(
            directory,
            state.UploadLimiter.from_link_rate(LINK_MBIT_PER_S),
            random.Random(number),
        )
        return Host(number, directory, exchange)

    def send_to(self, sender, receiver):
        """Return the function that sends messages from one host to another.

        It is always the same one, since the exchange uses it as a key.
        """
        key = (sender, receiver)
        if key not in self._sends:

            def send(message):
                if key not in self.dropped_pairs:
                    entry = (self.now_s + DELAY_S, next(self._order))
                    heapq.heappush(self._queue, (*entry, key, message))

            self._sends[key] = send
        return self._sends[key]

    def read(self, number, items):
        """Let a host read entries from the source and push them to others."""
        host = self.hosts[number]
        position = max(item.position for item in items)
        applied = host.directory.apply_changes(items, position, self.now_s)
        host.exchange.push(
            applied.changed,
            [self.send_to(number, other) for other in host.accepted],
        )

    def run(self, for_s, until=None):
        """Advance time; return when `until` first held, or None."""
        end_s = self.now_s + for_s
        ticks = round(self.now_s / TICK_S)
        while self.now_s < end_s:
            if until is not None and until():
                return self.now_s
            tick_s = (ticks + 1) * TICK_S
            if self._queue and self._queue[0][0] <= tick_s:
                self._deliver()
                continue
            ticks += 1
            self.now_s = tick_s
            for host in self.hosts:
                self._tick(host, ticks)
        return None

    def _tick(self, host, ticks):
        host.exchange.request_pending(self.now_s)
        host.exchange.check_gaps(self.now_s, True)
        if (ticks + host.number) % round(REPORT_PERIOD_S / TICK_S) == 0:
            load = state.ServerLoad("i", 0, 0, 1, 0.1, 0.0, True)
            report = coordination.LoadReported.from_load(
                load,
                0.0,
                0.0,
                host.directory,
            )
            for other in host.accepted:
                self.send_to(host.number, other)(report)

    def _deliver(self):
        at_s, _, (sender, receiver), message = heapq.heappop(self._queue)
        self.now_s = max(self.now_s, at_s)
        host = self.hosts[receiver]
        if not isinstance(
            message, coordination.LoadReported | coordination.LoadChanged
        ):
            host.received.append(message)
            host.received_bytes += len(protocol.encode(message))
        reply = self.send_to(receiver, sender)
        learned = []
        match message:
            case coordination.LoadReported():
                host.exchange.peer_reported(reply, message)
            case coordination.ItemsSent(items):
                learned = [state.SourceItem(*item) for item in items]
            case coordination.ItemPatched():
                learned = host.exchange.handle_patched(
                    message, reply, self.now_s
                )
            case coordination.ItemsAnnounced():
                learned = host.exchange.handle_announced(
                    message, reply, receiver < 3, self.now_s
                )
            case coordination.ItemsRequested():
                host.exchange.send_requested(message, reply, self.now_s)
            case coordination.ListingRequested():
                host.exchange.send_listing(reply)
            case coordination.UploadConfirmed():
                host.exchange.handle_confirmed(reply)
            case coordination.UploadDeferred():
                host.exchange.handle_deferred(message, reply, self.now_s)
        is_upload = False
        if isinstance(
            message, coordination.ItemsSent | coordination.ItemPatched
        ):
            is_upload = host.exchange.confirm_upload(message, reply)
        fresh = host.directory.apply_items(learned, self.now_s).changed
        host.exchange.mark_received(fresh)
        if is_upload and fresh:
            host.exchange.announce_upload(
                fresh,
                [self.send_to(receiver, other) for other in host.accepted],
            )


def item(key, revision, value):
    """Return an entry."""
    return state.SourceItem(key, state.Position(1, revision), value)


@given("{hosts:d} nodes with a table of {rows:d} rows")
def step_nodes(context, hosts, rows):
    context.net = Network(hosts)
    context.rows = rows
    first = [
        item("table", 1, table_value(1, rows)),
        *(
            item(f"i-{number}", 2 + number, b"server ready")
            for number in range(hosts)
        ),
    ]
    for host in context.net.hosts:
        host.directory.apply_listing(first, state.Position(1, hosts + 2), 0.0)
    context.revision = hosts + 2
    context.net.run(1.0)


def third_of_links(context):
    """Return the pairs of each reader with a third of the other nodes."""
    hosts = len(context.net.hosts)
    cut_off = [number for number in range(3, hosts) if number % 3 == 0]
    return {(reader, number) for reader in range(3) for number in cut_off}


def change_table(context, rows):
    """Let all readers read a new table; set `has_change` to check for it."""
    context.revision += 1
    revision = context.revision
    value = table_value(revision, context.rows, range(rows))
    for reader in range(3):
        context.net.read(reader, [item("table", revision, value)])

    def has_change(host):
        return host.directory.table.version == revision

    context.has_change = has_change


@when("all 3 readers read a change of {rows:d} rows")
def step_change(context, rows):
    change_table(context, rows)


@when(
    "all 3 readers read a change of {rows:d} rows, "
    "not delivered to a third of the nodes"
)
def step_change_undelivered(context, rows):
    context.net.dropped_pairs = third_of_links(context)
    change_table(context, rows)


@when(
    "all 3 readers read a change of {rows:d} rows, "
    "after a change that was not delivered to a third of the nodes"
)
def step_change_after_undelivered(context, rows):
    context.net.dropped_pairs = third_of_links(context)
    change_table(context, rows)
    context.net.dropped_pairs = set()
    change_table(context, rows)


@when("the readers read {what}, not delivered to a third of the nodes")
def step_entry_undelivered(context, what):
    context.net.dropped_pairs = third_of_links(context)
    context.revision += 1
    match what:
        case "a new server":
            changed = item("i-new", context.revision, b"server ready")
        case "a server's removal":
            changed = item("i-1", context.revision, None)
    for reader in range(3):
        context.net.read(reader, [changed])

    def has_change(host):
        present = changed.key in host.directory.snapshot().server_by_id
        return present == (changed.value is not None)

    context.has_change = has_change


@when("a node restarts and can reach only its peers")
def step_restarts(context):
    net = context.net
    fresh = net.make_host(5)
    fresh.accepted = net.hosts[5].accepted
    net.hosts[5] = fresh
    for other in fresh.accepted:
        net.send_to(5, other)(coordination.ListingRequested())
    context.has_change = lambda host: host.directory.table is not None


@when("nothing changes for {seconds:g} s")
def step_nothing(context, seconds):
    context.net.run(seconds)


@then("every node has it within {within:g} s")
@then("every node has applied it within {within:g} s")
def step_all_have(context, within):
    net = context.net
    started_s = net.now_s
    at_s = net.run(within, lambda: all(map(context.has_change, net.hosts)))
    late = [host.number for host in net.hosts if not context.has_change(host)]
    assert at_s is not None, (started_s, net.now_s, late)


@then("each node has received at most {most:d} bytes for it")
def step_bytes(context, most):
    context.net.run(1.0)
    received = [host.received_bytes for host in context.net.hosts]
    assert max(received) <= most, sorted(received)[-5:]


@then("no listing and no entry has been sent")
def step_silent(context):
    received = [host.received for host in context.net.hosts if host.received]
    assert not received, received[0][:3]


@given("a value of {rows:d} records")
def step_value(context, rows):
    context.rows = rows
    context.base = table_value(1, rows)


@when("records {changed} change and a node applies the patch to {base}")
def step_patch(context, changed, base):
    numbers = () if changed == "none" else map(int, changed.split(", "))
    context.target = table_value(2, context.rows, tuple(numbers))
    directories = [state.Directory(decode), state.Directory(decode)]
    directories[0].apply_items([item("table", 1, context.base)], 0.0)
    other = context.base if base == "the same" else table_value(3, 200)
    directories[1].apply_items([item("table", 1, other)], 0.0)
    patch = directories[0].create_patch(
        item("table", 2, context.target), state.Position(1, 1)
    )
    context.result = (
        None
        if patch is None
        else directories[1].apply_patch("table", state.Position(1, 1), patch)
    )


@then("the result is {result}")
def step_patched(context, result):
    expected = context.target if result == "the new value" else None
    assert context.result == expected


@given("a message with {count:d} entries of {size:d} bytes")
def step_message(context, count, size):
    value = (b'{"service":"ledger","slots":6}' * size)[:size]
    context.message = coordination.ItemsSent(
        tuple(
            (f"i-{number}", state.Position(1, number), value)
            for number in range(count)
        )
    )


@when("it is encoded and decoded")
def step_encoded(context):
    context.frame = protocol.encode(context.message)
    context.decoded = protocol.decode(
        context.frame[protocol.FRAME_LENGTH.size :]
    )


@then("it is the same and takes at most {limit:d} bytes")
def step_same(context, limit):
    assert context.decoded == context.message
    assert len(context.frame) <= limit, len(context.frame)


class ClosedTransport:
    """Transport that raises an error on each use, as uvloop does."""

    def __init__(self):
        self.closed = False
        self.writes = 0

    def get_extra_info(self, name):
        """Return no socket."""

    def is_closing(self):
        """Return False, as a handle that was closed by its peer."""
        return False

    def write(self, data):
        """Count the writes; raise an error once closed."""
        self.writes += 1
        if self.closed:
            raise RuntimeError("the handle is closed")

    def get_write_buffer_size(self):
        """Return that nothing waits."""
        return 0


@given("a link whose transport has closed")
def step_closed_link(context):
    async def connect():
        hello = coordination.Hello("10.0.0.1", 1, "ledger")
        log = transport.JsonLog("10.0.0.1", transport.BootClock(), len)
        link = transport.Link(None, hello, True, log)
        link.connection_made(context.transport)
        return link

    context.transport = ClosedTransport()
    context.link = asyncio.run(connect())
    context.transport.closed = True
    context.link.connection_lost(None)
    context.written = context.transport.writes


@when("a message is sent on it")
def step_send(context):
    context.link.send(coordination.CallCancelled(1))


@then("nothing is written")
def step_nothing_written(context):
    assert context.transport.writes == context.written
