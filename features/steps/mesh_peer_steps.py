"""Steps for peers and the links to them."""

import asyncio
import contextlib
import random

from behave import given
from behave import then
from behave import when
import fleet_model
import mesh_directory_steps
import mesh_state_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh import transport

HOST = "10.0.0.1"
PEER = "10.0.0.2"
CHECK_S = 0.1
SILENT_FOR_S = 1.5


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.at_s = 100.0

    def now_s(self):
        """Return the time that was set."""
        return self.at_s


class Log(fleet_model.NullLog):
    """A log that needs no event loop."""

    def decision(self, event, **fields):
        """Keep an event."""
        self.lines.append((event, fields))

    sampled = decision


class FakeTransport:
    """A transport that notes whether it was aborted."""

    def __init__(self):
        self.aborted = False

    def is_closing(self):
        """Return whether it was aborted."""
        return self.aborted

    def write(self, data):
        """Drop what is sent."""

    def get_write_buffer_size(self):
        """Nothing waits."""
        return 0

    def get_extra_info(self, name):
        """There is no socket."""
        del name

    def abort(self):
        """Note that."""
        self.aborted = True


class Owner:
    """An owner of links to which nothing happens."""

    def on_link_opened(self, link, hello):
        """Ignore it."""

    def on_message(self, link, message):
        """Ignore it."""


def first_report(now_s, accepting=True):
    """Return a load report as it is sent when a link begins."""
    sent = []

    class Receiver:
        host = HOST
        protocol_version = coordination.PROTOCOL_VERSION
        report_basis = None
        send = staticmethod(sent.append)

    coordination.LoadReporter(
        state.Directory(fleet_model.decode),
        state.SourceContact(PEER),
        lambda host: True,
    ).send(
        state.ServerLoad("i-1", 0, 0, 4, 0.1, 0.0, accepting),
        [Receiver()],
        now_s,
    )
    return sent[0]


def _tick(context, seconds, each=lambda: None):
    for _ in range(round(seconds / CHECK_S)):
        each()
        for _ in range(2):
            context.clock.at_s += CHECK_S / 2
            context.task.handle(coordination.FleetTick())


@given("a node that has dialled a host with {links}")
def step_dialled(context, links):
    context.exit_stack = contextlib.ExitStack()
    runner = context.exit_stack.enter_context(asyncio.Runner())
    context.clock = Clock()
    context.to_entry = []
    context.to_quota = []
    context.directory = state.Directory(fleet_model.decode)
    load = state.ServerLoad("i-0", 0, 0, 4, 0.1, 0.0, True)
    context.task = coordination.FleetTask(
        HOST,
        "a",
        context.directory,
        state.UploadLimiter(0.0),
        coordination.FleetPorts(
            context.to_entry.append,
            lambda message: None,
            context.to_quota.append,
            lambda hosts: None,
            lambda watching, is_reader: None,
            lambda position: None,
            lambda: None,
            lambda: load,
        ),
        context.clock,
        random.Random(1),
        Log(),
    )

    async def make_link():
        hello = coordination.Hello(HOST, 1, "ledger")
        link = transport.Link(Owner(), hello, True, Log())
        link.connection_made(FakeTransport())
        peer_hello = coordination.Hello(PEER, 1, "ledger")
        link.data_received(protocol.encode(peer_hello))
        return link

    count = 1 if links == "one link" else 2
    context.links = [runner.run(make_link()) for _ in range(count)]
    for link in context.links:
        context.task.handle(
            coordination.LinkOpened(link, PEER, True, link.send)
        )
        context.task.handle(
            coordination.PeerMessageReceived(
                link, PEER, first_report(context.clock.now_s()), link.send
            )
        )
    if links.endswith("silent"):
        _tick(context, SILENT_FOR_S)


@when("its server is reported to accept {accepted} calls")
def step_accepts(context, accepted):
    report = first_report(context.clock.now_s(), accepted == "more")
    for link in context.links:
        context.task.handle(
            coordination.PeerMessageReceived(link, PEER, report, link.send)
        )


def taken_as(messages):
    """Return what a task takes the peer as after the messages to it."""
    taken = "unreachable"
    for message in messages:
        match message:
            case coordination.PeerUp():
                taken = "reachable"
            case coordination.PeerSilent():
                taken = "silent"
            case coordination.PeerDown():
                taken = "unreachable"
    return taken


@when("{which} of them is reset")
def step_reset(context, which):
    link = context.links[0 if which == "the first" else -1]
    context.task.handle(coordination.LinkEnded(link, PEER, True))


@then("its entry task takes the host as {taken}, and its quota task too")
def step_taken(context, taken):
    assert taken_as(context.to_entry) == taken, context.to_entry
    assert taken_as(context.to_quota) == taken, context.to_quota


@then("a call that arrives now is {result}")
def step_call(context, result):
    server = mesh_directory_steps.make_server("i-1", host=PEER)
    table = mesh_state_steps.make_table(routes=[mesh_state_steps.make_route()])
    fleet = state.FleetSnapshot(table, {"i-1": server}, {}, frozenset())
    rng = random.Random(1)
    entry = coordination.EntryTask(
        HOST,
        "ledger",
        {},
        state.Placement(HOST, "a", rng),
        state.RetryBudget(state.RetryBudgetBounds(0.2, 10.0, 56.0)),
        None,
        None,
        context.clock,
        rng,
        Log(),
    )
    request = state.CallRequest(
        "r-1", b"POST", b"/lots/1", "a.example", "/lots/1", (), b"", None, 1.0
    )
    replies = []

    async def call():
        for message in (coordination.FleetChanged(fleet), *context.to_entry):
            entry.handle(message)
        entry.handle(
            coordination.CallArrived(
                1, request, context.clock.now_s(), replies.append
            )
        )

    asyncio.run(call())
    assert (entry.open_calls == 1) == (result == "sent"), replies
    assert len(replies) == (result == "refused"), replies


@then("the server that is known to run there is {running}")
def step_running(context, running):
    found = context.directory.running_id_by_host.get(PEER) or "unknown"
    assert found == running, found


@when(
    "for {seconds:g} s {count:d} bytes of one message arrive on it each 0.1 s"
)
def step_arrive(context, seconds, count):
    link = context.links[0]
    link.data_received(
        protocol.FRAME_LENGTH.pack(protocol.MAX_FRAME_BYTES - 1)
    )
    _tick(context, seconds, lambda: link.data_received(b"a" * count))


@then("the link is {link_state}, and the entry task takes the host as {taken}")
def step_link_state(context, link_state, taken):
    aborted = context.links[0]._transport.aborted
    assert aborted == (link_state == "aborted"), aborted
    assert taken_as(context.to_entry) == taken, context.to_entry


LONG_RUN_S = 1.5
SETTLE_S = 0.4
SETTLE_AFTER_PAUSE_S = 1.0


async def _open_second_link(context):
    dialler = context.fleet.nodes[0]._dialler
    for host in list(dialler._task_by_host):
        await dialler._connect(host)
    await asyncio.sleep(SETTLE_S)


async def _start_call(context, method):
    context.caller = context.fleet.caller(0)
    await context.caller.send(
        method, "/book/1" if method == "POST" else "/lots/1"
    )
    await asyncio.sleep(SETTLE_S)


@when("a call runs over the {which} of two links to host 1, and {event}")
def step_two_links(context, which, event):
    async def act():
        deployment = context.fleet
        deployment.timeout_ms = 10_000
        await deployment.publish()
        await deployment.register(0, "draining")
        await asyncio.sleep(SETTLE_S)
        deployment.servers[1].run_s = LONG_RUN_S
        first = next(
            link for link in deployment.nodes[0]._links if link.dialled
        )
        if which == "second":
            await _open_second_link(context)
            await _start_call(context, "POST")
            first.abort()
            context.response = await context.caller.receive()
        else:
            await _start_call(context, "GET")
            await _open_second_link(context)
            context.caller.close()
            await asyncio.sleep(SETTLE_S)

    context.runner.run(act())


@then("the call on it gets {status:d}")
def step_call_status(context, status):
    assert context.response.status == status, context.response


@then("its run is cancelled")
def step_run_cancelled(context):
    assert context.fleet.servers[1].cancelled_runs == 1
    assert context.fleet.nodes[1].gate.active_calls == 0


@when(
    "nothing arrives on it for {silent_s:g} s, "
    "and the node does not run for {held_s:g} s after that"
)
def step_held_up(context, silent_s, held_s):
    _tick(context, silent_s)
    context.clock.at_s += held_s
    # The check is made at every second tick.
    for _ in range(2):
        context.task.handle(coordination.FleetTick())


@when("a call runs at host 1, whose node falls silent, and {others}")
def step_silent_node(context, others):
    async def act():
        deployment = context.fleet
        deployment.timeout_ms = 10_000
        await deployment.publish()
        for host in range(len(deployment.nodes)):
            if host != 1:
                await deployment.register(host, "draining")
        await asyncio.sleep(SETTLE_S)
        for server in deployment.servers:
            server.run_s = LONG_RUN_S
        context.caller = deployment.caller(0)
        await context.caller.send("GET", "/lots/1", deadline_ms=8_000)
        await asyncio.sleep(SETTLE_S)
        if len(deployment.nodes) > 2:
            await deployment.register(2)
        await asyncio.sleep(SETTLE_S)
        node = deployment.nodes[0]
        stopping = None
        match others:
            case "the node of the third one stops":
                busy = deployment.caller(2)
                await busy.send("POST", "/book/1")
                await asyncio.sleep(0.05)
                stopping = asyncio.create_task(deployment.nodes[2].stop())
                await asyncio.sleep(SETTLE_S)
            case "the caller's node stops":
                now_s = node._clock.now_s()
                window = state.StopWindow(now_s, now_s + 0.1, now_s + 5.0)
                node.entry.mailbox.tell(coordination.StopRequested(window))
            case "no retry is left in the budget":
                node.entry._budget.bounds = state.RetryBudgetBounds(0, 10, 0)
        peer = deployment.nodes[1].config.host
        node.entry.mailbox.tell(coordination.PeerSilent(peer))
        context.response = await context.caller.receive(6.0)
        context.request_id = context.caller.last_request_id
        if stopping is not None:
            stopping.cancel()

    context.runner.run(act())


@then("{count:d} servers have run it")
def step_ran_at(context, count):
    found = sum(
        context.request_id in server.runs_by_request_id
        for server in context.fleet.servers
    )
    assert found == count, found


def _dialled_links(deployment):
    return [link for link in deployment.nodes[0]._links if link.dialled]


@when("a {method} runs at host 1, whose node is not heard for {silent_s:g} s")
def step_paused_peer(context, method, silent_s):
    async def act():
        deployment = context.fleet
        deployment.timeout_ms = 10_000
        await deployment.publish()
        await deployment.register(0, "draining")
        await asyncio.sleep(SETTLE_S)
        deployment.servers[1].run_s = LONG_RUN_S
        context.caller = deployment.caller(0)
        await context.caller.send(method, "/book/1", deadline_ms=8_000)
        await asyncio.sleep(SETTLE_S)
        transports = [link._transport for link in _dialled_links(deployment)]
        for link_transport in transports:
            link_transport.pause_reading()
        await asyncio.sleep(silent_s)
        for link_transport in transports:
            if not link_transport.is_closing():
                link_transport.resume_reading()
        context.response = await context.caller.receive(6.0)
        deployment.servers[1].run_s = 0.0

    context.runner.run(act())


@then("another call gets {status:d} there, over the only link to host 1")
def step_one_link(context, status):
    async def act():
        await asyncio.sleep(SETTLE_AFTER_PAUSE_S)
        response = await context.fleet.caller(0).request("POST", "/book/1")
        assert response.status == status, response
        links = _dialled_links(context.fleet)
        assert len(links) == 1, links

    context.runner.run(act())


@when("a {method} is sent to host 1 {moment}, before its end is noticed")
def step_crossing(context, method, moment):
    async def act():
        deployment = context.fleet
        deployment.timeout_ms = 10_000
        await deployment.publish()
        for host in (0, 2):
            await deployment.register(host, "draining")
        await asyncio.sleep(SETTLE_S)
        node, caller_node = deployment.nodes[1], deployment.nodes[0]
        load = node.gate.load()
        stopping = asyncio.create_task(node.stop())
        while not node.gate.is_closed:
            await asyncio.sleep(0)
        paused = [
            link._transport
            for link in caller_node._links
            if link.peer_host == node.config.host
        ]
        for link_transport in paused:
            link_transport.pause_reading()
        if moment == "after its link has ended":
            while not all(task.done() for task in node._tasks):
                await asyncio.sleep(0)
        # As if the last report had not come.
        caller_node.entry.mailbox.tell(
            coordination.LoadUpdated(node.config.host, load)
        )
        context.caller = deployment.caller(0)
        await context.caller.send(
            method,
            "/book/1" if method == "POST" else "/lots/1",
            deadline_ms=8_000,
        )
        context.request_id = context.caller.last_request_id
        await asyncio.sleep(SETTLE_S)
        await deployment.register(2)
        await asyncio.sleep(SETTLE_S)
        for link_transport in paused:
            link_transport.resume_reading()
        context.response = await context.caller.receive(6.0)
        await stopping

    context.runner.run(act())


DIAL_AFTER_S = 1.0
"""Time in a stop after which a peer dials, before links are ended."""
LINK_END_S = 3.0


@when(
    "a peer dials host 1, "
    "and says who it is after the links of a stop have ended"
)
def step_late_hello(context):
    hello = coordination.Hello.from_settings(PEER, "ledger", random.Random(1))

    async def act():
        node = context.fleet.nodes[1]
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(DIAL_AFTER_S)
        address = node.config.links
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        await stopping
        writer.write(protocol.encode(hello))
        async with asyncio.timeout(LINK_END_S):
            context.received = await reader.read()
        writer.close()

    context.runner.run(act())


@then("host 1 says on that link that it has not run its calls")
def step_link_ending(context):
    data = context.received
    messages = []
    while data:
        (length,) = protocol.FRAME_LENGTH.unpack_from(data)
        end = protocol.FRAME_LENGTH.size + length
        frame, data = data[protocol.FRAME_LENGTH.size : end], data[end:]
        messages.append(protocol.decode(frame))
    assert messages[-1] == coordination.LinkEnding(()), messages
