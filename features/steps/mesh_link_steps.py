"""Steps for links that can't be used."""

import asyncio
import dataclasses
import random
import socket

from behave import given
from behave import then
from behave import when
import cbor2
import uvloop

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import transport

UNUSED_PORT = 9
HELLO = coordination.Hello("10.0.0.1", 1, "ledger")
NEWEST_VERSION = 5
INCARNATION_BITS = 48


class ResetTransport:
    """A transport of uvloop between a reset and its report."""

    def is_closing(self):
        """Not reported yet."""
        return False

    def write(self, data):
        """Fail as uvloop does."""
        raise RuntimeError(
            "unable to perform operation; the handler is closed"
        )

    def get_extra_info(self, name):
        """There is no socket any more."""
        del name


class Owner:
    """An owner of links to which nothing happens."""


@given("a link whose socket fails as that of uvloop after a reset")
def step_reset_link(context):
    context.lines = []
    context.log = transport.JsonLog(
        "host-1", transport.BootClock(), _keep(context.lines)
    )


def _keep(lines):
    def write(data):
        lines.append(data)
        return len(data)

    return write


@when("the reset link sends a message")
def step_send(context):
    async def act():
        link = transport.Link(Owner(), HELLO, True, context.log)
        link.connection_made(ResetTransport())

    asyncio.run(act())


@then("that is logged and counted, and no error leaves the link")
def step_logged(context):
    assert context.log.count_by_name["links", "reset"] == 1
    assert any(b'"link-reset"' in line for line in context.lines)


@given("a dialler")
def step_dialler(context):
    context.log = transport.JsonLog("host-1", transport.BootClock(), _keep([]))


@when("it is to keep links to {host} for {seconds:g} s")
def step_dial(context, host, seconds):
    if host.startswith("a host of"):
        host = "a" * 300

    async def act():
        dialler = transport.Dialler(
            Owner(), HELLO, UNUSED_PORT, random.Random(1), context.log
        )
        dialler.set_hosts({host})
        await asyncio.sleep(seconds)
        dialler.set_hosts(set())

    asyncio.run(act())


@then("it has tried more than once")
def step_tried(context):
    dials = context.log.count_by_name["dials", "failed"]
    assert dials > 1, dials


class CountingOwner:
    """An owner that keeps its open links."""

    def __init__(self):
        self.links = set()

    def on_link_opened(self, link, hello):
        """Keep a link."""
        self.links.add(link)

    def on_link_ended(self, link):
        """Drop a link."""
        self.links.discard(link)


async def _redial(turns):
    """Dial, redial after some turns, and return the links at both ends."""
    dialled, accepted = CountingOwner(), CountingOwner()
    log = transport.JsonLog("host-1", transport.BootClock(), _keep([]))
    sock = socket.create_server(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    server = await transport.listen_for_links(accepted, HELLO, sock, log)
    dialler = transport.Dialler(dialled, HELLO, port, random.Random(1), log)
    dialler.set_hosts({"127.0.0.1"})
    for _ in range(turns):
        await asyncio.sleep(0)
    dialler.redial_now("127.0.0.1")
    await asyncio.sleep(0.15)
    counts = (len(dialled.links), len(accepted.links))
    dialler.set_hosts(set())
    server.close()
    for link in dialled.links | accepted.links:
        link.abort()
    await asyncio.sleep(0.01)
    return counts


@when(
    "a host is dialled anew after each of {least:d} to {most:d} turns of "
    "the event loop"
)
def step_redial(context, least, most):
    async def act():
        return {
            turns: await _redial(turns) for turns in range(least, most + 1)
        }

    context.counts_by_turns = uvloop.run(act())


@then("the dialling and the dialled host have one link each")
def step_one_link(context):
    wrong = {
        turns: counts
        for turns, counts in context.counts_by_turns.items()
        if counts != (1, 1)
    }
    assert not wrong, wrong


class KeepingTransport(asyncio.Transport):
    """A transport that keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = []

    def is_closing(self):
        """Always open."""
        return False

    def get_extra_info(self, name, default=None):
        """There is no socket."""
        del name, default

    def write(self, data):
        """Keep a frame."""
        self.written.append(data)

    def get_write_buffer_size(self):
        """Nothing waits."""
        return 0

    def pause_reading(self):
        """Nothing is read."""

    def resume_reading(self):
        """Nothing is read."""

    def write_eof(self):
        """Nothing to do."""

    def abort(self):
        """Nothing is left to do."""


class SilentOwner:
    """An owner that keeps what becomes of the calls on its links."""

    def __init__(self):
        self.unsent = []
        self.received = []

    def on_link_opened(self, link, hello):
        """Nothing to do."""

    def on_message(self, link, message):
        """Keep a message."""
        self.received.append(message)

    def on_call_unsent(self, link, call_id):
        """Keep the id of a call."""
        self.unsent.append(call_id)

    def on_link_ended(self, link):
        """Nothing to do."""


@given("a link to a node of protocol version {version:d}")
def step_version_link(context, version):
    hello = coordination.Hello.from_settings(
        HELLO.host, HELLO.service, random.Random(1)
    )
    assert hello.protocol_version == NEWEST_VERSION
    version_step = (NEWEST_VERSION - version) << INCARNATION_BITS
    context.peer_hello = dataclasses.replace(
        hello, incarnation=hello.incarnation - version_step
    )
    assert context.peer_hello.protocol_version == version


def _open_link(context):
    """Open a link to the peer, and return it with its owner."""
    log = transport.JsonLog("host-1", transport.BootClock(), _keep([]))
    owner = SilentOwner()
    link = transport.Link(owner, HELLO, True, log)
    link_transport = KeepingTransport()
    link.connection_made(link_transport)
    link.data_received(protocol.encode(context.peer_hello))
    link_transport.written.clear()
    return link, owner, link_transport


MESSAGE_BY_WHAT = {
    "which hosts were removed": coordination.HostsRemoved((("10.0.0.9", 10),)),
    "that an era has begun": coordination.EraBegun(3, 5, ()),
    "how late it runs": coordination.LatenessReported(600),
    "a changed load": coordination.LoadChanged(1, 0, 100, 0, 10, 10),
}


@when("it is to tell {what}")
def step_tell(context, what):
    async def act():
        link, _, link_transport = _open_link(context)
        link.send(MESSAGE_BY_WHAT[what])
        link.connection_lost(None)
        return link_transport.written

    context.written = asyncio.run(act())


BOOKING = coordination.CallSent(
    7,
    "r-7",
    "i-1",
    "book",
    b"POST",
    b"/book/1",
    (),
    b"",
    0,
    False,
    5.0,
    1.0,
    "ledger",
    "",
)


@when("a repeated call with {body} is sent on it")
def step_repeated_call(context, body):
    call = dataclasses.replace(
        BOOKING, is_repeat=True, body=bytes(200_000 * (body != "no body"))
    )

    async def act():
        link, _, link_transport = _open_link(context)
        link.send(call)
        link.connection_lost(None)
        return link_transport.written

    context.written = asyncio.run(act())


@then("the peer {reads} that it is a repeat")
def step_reads_repeat(context, reads):
    frame = bytes(context.written[0])[protocol.FRAME_LENGTH.size :]
    message = protocol.decode(frame)
    if isinstance(message, coordination.BodyFollows):
        message = protocol.decode(message.message)
    assert message.is_repeat == (reads == "reads"), message
    fields = cbor2.loads(protocol.encode_unframed(message))
    assert (True in fields[-1:]) == message.is_repeat, fields


SMALL_REPLY = coordination.CallServed(7, 200, b"OK", (), b"done", 0.1, 0)
LARGE_REPLY = dataclasses.replace(SMALL_REPLY, body=bytes(200_000))


@when(
    "a call is sent on it, {reply} comes, and the peer ends it with {message}"
)
def step_peer_ends(context, reply, message):
    async def act():
        link, owner, _ = _open_link(context)
        link.send(BOOKING)
        unsent_call_ids = ()
        match reply:
            case "a part of one":
                head = protocol.encode_unframed(SMALL_REPLY)
                follows = coordination.BodyFollows(1, 200_000, head)
                link.data_received(protocol.encode(follows))
                unsent_call_ids = (BOOKING.call_id,)
            case "a reply":
                link.data_received(protocol.encode(SMALL_REPLY))
        if message == "LinkEnding":
            ending = coordination.LinkEnding(unsent_call_ids)
            link.data_received(protocol.encode(ending))
        link.connection_lost(None)
        return owner

    context.owner = asyncio.run(act())


@then("the call sent on it counts as {outcome}")
def step_outcome(context, outcome):
    owner = context.owner
    found = ([BOOKING.call_id] == owner.unsent, len(owner.received))
    expected = {
        "unsent": (True, 0),
        "lost": (False, 0),
        "answered": (False, 1),
    }
    assert found == expected[outcome], (owner.unsent, owner.received)


@when("this node ends the link, with {state}")
def step_node_ends(context, state):
    async def act():
        link, _, link_transport = _open_link(context)
        link.data_received(protocol.encode(BOOKING))
        match state:
            case "each call replied to":
                link.send(SMALL_REPLY)
            case "a body that is not sent yet":
                link.send(LARGE_REPLY)
        link.end(state != "calls that were not ended")
        link.connection_lost(None)
        return link_transport.written

    context.written = asyncio.run(act())


@then("{times:d} LinkEnding messages are sent, with {unsent:d} calls")
def step_link_ending(context, times, unsent):
    prefix_bytes = protocol.FRAME_LENGTH.size
    endings = [
        message
        for frame in context.written
        if isinstance(
            message := protocol.decode(frame[prefix_bytes:]),
            coordination.LinkEnding,
        )
    ]
    assert len(endings) == times, context.written
    assert sum(len(end.unsent_call_ids) for end in endings) == unsent, endings


@then("{count:d} messages are sent on it")
def step_sent(context, count):
    assert len(context.written) == count, context.written


class RedialingOwner:
    """A node that dials each host that has dialled it."""

    def __init__(self):
        self.dialler = None
        self.accepted = 0

    def on_link_opened(self, link, hello):
        """Dial the host of an accepted link."""
        if not link.dialled:
            self.accepted += 1
            self.dialler.redial_now(hello.host)

    def on_link_ended(self, link):
        """Nothing to do."""


async def _dial_each_other(turns):
    """Let two hosts dial each other; return the links that each accepted."""
    log = transport.JsonLog("host-1", transport.BootClock(), _keep([]))
    hosts = ("127.0.6.1", "127.0.6.2")
    socks = [socket.create_server((hosts[0], 0))]
    port = socks[0].getsockname()[1]
    socks.append(socket.create_server((hosts[1], port)))
    owners, servers = [], []
    for number, host in enumerate(hosts):
        hello = coordination.Hello(host, number, "ledger")
        owner = RedialingOwner()
        owner.dialler = transport.Dialler(
            owner, hello, port, random.Random(number), log
        )
        owners.append(owner)
        servers.append(
            await transport.listen_for_links(owner, hello, socks[number], log)
        )
    owners[0].dialler.set_hosts({hosts[1]})
    for _ in range(turns):
        await asyncio.sleep(0)
    owners[1].dialler.set_hosts({hosts[0]})
    await asyncio.sleep(0.5)
    accepted = [owner.accepted for owner in owners]
    for owner in owners:
        owner.dialler.set_hosts(set())
    for server in servers:
        server.close()
    await asyncio.sleep(0.01)
    return accepted


@given("two hosts on {loop} that dial each other {turns:d} turns apart")
def step_dial_each_other(context, loop, turns):
    run = uvloop.run if loop == "uvloop" else asyncio.run
    context.accepted = run(_dial_each_other(turns))


@then("each has accepted one link after 0.5 s")
def step_one_link_each(context):
    assert context.accepted == [1, 1], context.accepted


LIST_S = 0.4
"""Time in which all nodes notice a change of the list."""


@when(
    "the server of host 1 leaves the list {times:d} times and returns, {event}"
)
def step_leave_and_return(context, times, event):
    async def act():
        deployment = context.fleet
        for _ in range(times):
            await deployment.store.delete("servers/i-1")
            await asyncio.sleep(LIST_S)
            if event == "while its node restarts":
                deployment.nodes[1].abort()
                await asyncio.sleep(LIST_S)
                deployment.nodes[1] = deployment.make_node(1)
                await deployment.nodes[1].start()
            await deployment.register(1)
            await deployment.wait_until(deployment.connected)
            await asyncio.sleep(LIST_S)

    context.runner.run(act())


@then("each node has one link in each direction to each other node")
def step_one_link_per_direction(context):
    nodes = context.fleet.nodes
    hosts = [context.fleet.host(number) for number in range(len(nodes))]
    for own, node in zip(hosts, nodes, strict=True):
        found = sorted((link.peer_host, link.dialled) for link in node._links)
        expected = sorted(
            (host, dialled)
            for host in hosts
            if host != own
            for dialled in (False, True)
        )
        assert found == expected, (own, found)
