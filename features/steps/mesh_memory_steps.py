"""Steps for the budget of bodies in memory."""

import asyncio
from collections import Counter
import contextlib
import dataclasses
import pathlib
import random
import re
import socket
import tempfile
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import mesh_path_steps
import uvloop

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh import transport
from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _deployment as soak_deployment

MB = 1_000_000
LONG_RUN_S = 5.0
"""Longer than a body may wait for memory."""
SERVER_SLOTS = 12
DELISTED_S = 0.3
"""Time in which nodes learn that a server has left the store."""
USE_BY_NAME = {use.value: use for use in state.BodyUse}
REQUEST_USES = (state.BodyUse.CALLER, state.BodyUse.LINK)


def claim_text(budget, text):
    """Make the claims that a row of a table names."""
    for size, use in re.findall(r"([\d.]+) MB for a (\w+)", text):
        budget.claim(USE_BY_NAME[use], int(float(size) * MB))
    for size in re.findall(r"([\d.]+) MB of answers", text):
        budget.claim_answer(int(float(size) * MB))
    if "waiting behind" in text:
        for size in (64, 8):
            budget.claim(state.BodyUse.CALLER, size * MB, lambda: None)


@given("the budget of a node with {limit:d} MB that holds {held}")
def step_budget(context, limit, held):
    context.budget = state.MemoryBudget.from_memory_limit(limit * MB)
    claim_text(context.budget, held)


@when("{size:g} MB is claimed for a {use}")
def step_claim(context, size, use):
    on_granted = None if use == "link" else (lambda: None)
    context.decision = context.budget.claim(
        USE_BY_NAME[use], round(size * MB), on_granted
    )


@then("the claim is {decision}")
def step_decision(context, decision):
    match context.decision:
        case state.Granted():
            seen = "granted"
        case state.Waiting():
            seen = "waiting"
        case state.Denied(never):
            seen = "denied forever" if never else "denied"
    assert seen == decision, seen


@when("callers claim 40 MB, 20 MB, 30 MB and 1 MB and the first is released")
def step_order(context):
    context.granted = []
    for size in (40, 20, 30, 1):
        context.budget.claim(
            state.BodyUse.CALLER,
            size * MB,
            lambda size=size: context.granted.append(size),
        )
    context.budget.release(1)


@then("those of 40 MB and 20 MB are granted, and the others wait")
def step_order_seen(context):
    assert context.granted == [40, 20], context.granted
    assert context.budget.waiting == 2


@when("a claim of {size:g} MB grows to {new_size:g} MB")
def step_grow(context, size, new_size):
    budget = context.budget
    held_bytes = budget.held_bytes
    claim = budget.claim(state.BodyUse.CALLER, int(size * MB))
    context.grown = budget.grow(
        claim.claim_id, state.BodyUse.CALLER, int(new_size * MB)
    )
    budget.release(claim.claim_id)
    assert budget.held_bytes == held_bytes


@when("{count:d} answers of a server claim 4 MB and then {event}")
def step_server_answers(context, count, event):
    budget = context.budget
    for _ in range(count):
        claim = budget.claim(state.BodyUse.SERVER, 4 * MB, lambda: None)
        assert isinstance(claim, state.Granted), claim
        match event.split():
            case ["shrink", _, size, _]:
                budget.shrink(claim.claim_id, int(float(size) * MB))
            case ["go", *_]:
                budget.move_to_callers(claim.claim_id)


@then("a further one is {decision}")
def step_further_answer(context, decision):
    found = context.budget.claim(state.BodyUse.SERVER, 4 * MB, lambda: None)
    assert type(found).__name__.lower() == decision, found


@then("the claim has {outcome}")
def step_grown(context, outcome):
    assert context.grown == (outcome == "grown")


@given("heads of unfinished requests may have {limit:d} bytes in all")
def step_heads(context, limit):
    context.heads = state.ReceivedHeads(limit)


@when("connections hold {sizes} bytes of heads")
def step_hold_heads(context, sizes):
    for number, size in enumerate(sizes.split(", ")):
        context.heads.record(number, 1)
        context.heads.record(number, int(size))


@then("connections {refused} are refused, and {held:d} bytes are left")
def step_refused_heads(context, refused, held):
    taken = ", ".join(map(str, context.heads.take_excess()))
    assert (taken or "none") == refused, taken
    assert context.heads.held_bytes == held
    assert not context.heads.take_excess()


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Claims and releases in any order, beside a list of what is held."""

    def __init__(self):
        super().__init__()
        self.budget = state.MemoryBudget.from_memory_limit(1_000_000)
        self.size_by_held = {}
        self.size_by_waiting = {}
        self.size_by_answer = {}
        self.size_by_server_answer = {}
        self.size_by_waiting_answer = {}

    def _on_granted(self, box):
        claim_id = box[0]
        self.size_by_held[claim_id] = self.size_by_waiting.pop(claim_id)

    @stateful.rule(
        use=strategies.sampled_from(REQUEST_USES),
        size=strategies.integers(1, 300_000) | strategies.integers(1, 65_536),
        waits=strategies.booleans(),
    )
    def claim(self, use, size, waits):
        box = []
        decision = self.budget.claim(
            use, size, (lambda: self._on_granted(box)) if waits else None
        )
        match decision:
            case state.Granted(claim_id):
                self.size_by_held[claim_id] = size
            case state.Waiting(claim_id):
                assert waits
                box.append(claim_id)
                self.size_by_waiting[claim_id] = size
                self._check_small(size)
            case state.Denied(never):
                assert never or not waits

    def _check_small(self, size):
        """A small body waits only for other small ones."""
        if size <= state.SMALL_BODY_BYTES:
            small = sum(
                held
                for held in self.size_by_held.values()
                if held <= state.SMALL_BODY_BYTES
            )
            waiting = [
                other
                for other in self.size_by_waiting.values()
                if other <= state.SMALL_BODY_BYTES
            ]
            assert small + sum(waiting) > 0.068 * 1_000_000, small

    @stateful.rule(size=strategies.integers(1, 300_000))
    def claim_answer(self, size):
        claim_id = self.budget.claim_answer(size)
        self.size_by_answer[claim_id] = size

    @stateful.rule(size=strategies.integers(1, 100_000))
    def claim_server_answer(self, size):
        box = []

        def on_granted():
            claim_id = box[0]
            self.size_by_server_answer[claim_id] = (
                self.size_by_waiting_answer.pop(claim_id)
            )

        match self.budget.claim(state.BodyUse.SERVER, size, on_granted):
            case state.Granted(claim_id):
                self.size_by_server_answer[claim_id] = size
            case state.Waiting(claim_id):
                assert self.size_by_server_answer
                box.append(claim_id)
                self.size_by_waiting_answer[claim_id] = size
            case state.Denied():
                raise AssertionError("an answer was denied")

    @stateful.precondition(lambda self: self.size_by_server_answer)
    @stateful.rule(data=strategies.data())
    def release_server_answer(self, data):
        ids = sorted(
            {*self.size_by_server_answer, *self.size_by_waiting_answer}
        )
        self._release_server_answer(data.draw(strategies.sampled_from(ids)))

    def _release_server_answer(self, claim_id):
        self.size_by_server_answer.pop(claim_id, None)
        self.size_by_waiting_answer.pop(claim_id, None)
        self.budget.release(claim_id)

    @stateful.precondition(lambda self: self.size_by_answer)
    @stateful.rule(data=strategies.data())
    def release_answer(self, data):
        ids = sorted(self.size_by_answer)
        self._release_answer(data.draw(strategies.sampled_from(ids)))

    def _release_answer(self, claim_id):
        del self.size_by_answer[claim_id]
        self.budget.release(claim_id)

    @stateful.precondition(lambda self: self.size_by_held)
    @stateful.rule(
        data=strategies.data(), size=strategies.integers(1, 300_000)
    )
    def grow(self, data, size):
        claim_id = data.draw(
            strategies.sampled_from(sorted(self.size_by_held))
        )
        if size > self.size_by_held[claim_id] and self.budget.grow(
            claim_id, state.BodyUse.CALLER, size
        ):
            self.size_by_held[claim_id] = size

    @stateful.precondition(
        lambda self: self.size_by_held or self.size_by_waiting
    )
    @stateful.rule(data=strategies.data())
    def release(self, data):
        ids = sorted({*self.size_by_held, *self.size_by_waiting})
        self._release(data.draw(strategies.sampled_from(ids)))

    def _release(self, claim_id):
        self.size_by_held.pop(claim_id, None)
        self.size_by_waiting.pop(claim_id, None)
        self.budget.release(claim_id)
        with contextlib.suppress(KeyError):
            self.budget.release(claim_id)
            raise AssertionError(f"{claim_id} was given back twice")

    @stateful.invariant()
    def within_budget(self):
        held = sum(self.size_by_held.values())
        answers = sum(self.size_by_answer.values())
        server_answers = sum(self.size_by_server_answer.values())
        assert held + answers + server_answers == self.budget.held_bytes
        assert held <= 550_000
        assert server_answers <= 60_000 or (
            len(self.size_by_server_answer) == 1
        )
        assert self.budget.limit_bytes <= 610_000

    def teardown(self):
        """Release what is held until nothing waits."""
        while self.size_by_server_answer:
            self._release_server_answer(min(self.size_by_server_answer))
        assert not self.size_by_waiting_answer
        while self.size_by_answer:
            self._release_answer(min(self.size_by_answer))
        while self.size_by_held:
            self._release(min(self.size_by_held))
        assert not self.size_by_waiting and self.budget.held_bytes == 0


@when("{count:d} random sequences of claims and releases are played")
def step_machine(context, count):
    del context
    settings = hypothesis.settings(
        max_examples=count,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
    )
    stateful.run_state_machine_as_test(BudgetMachine, settings=settings)


@then("the budget was never exceeded and every claim was granted in the end")
def step_machine_passed(context):
    del context


HELLO = coordination.Hello("127.0.0.1", 1, "ledger")
ARRIVAL_TIMEOUT_S = 20.0


class LinkOwner:
    """Keeps the messages that arrive on the links of one node."""

    def __init__(self):
        self.links = []
        self.messages = []
        self.arriving = []
        self.unsent = []
        self.ended = 0
        self._changed = asyncio.Event()

    def on_link_opened(self, link, hello):
        """Keep a link."""
        del hello
        self.links.append(link)
        self._changed.set()

    def on_message(self, link, message):
        """Keep a message."""
        del link
        self.messages.append(message)
        self._changed.set()

    def on_call_arriving(self, link, call):
        """Keep a call whose body is on its way."""
        del link
        self.arriving.append(call)
        self._changed.set()

    def on_call_unsent(self, link, call_id):
        """Keep the id of a call that was not received whole."""
        del link
        self.unsent.append(call_id)

    def on_link_ended(self, link):
        """Count the end of a link."""
        del link
        self.ended += 1
        self._changed.set()

    async def wait_until(self, condition):
        """Wait until a condition holds after an event."""
        async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
            while not condition():
                self._changed.clear()
                await self._changed.wait()


class LinkedNodes:
    """Two ends of a link, with the budget of the accepting one."""

    def __init__(self):
        self.sender = LinkOwner()
        self.receiver = LinkOwner()
        self.budget = state.MemoryBudget.from_memory_limit(300 * MB)
        self.log = transport.JsonLog(
            "host-1", transport.BootClock(), lambda data: len(data)
        )

    async def play(self, act):
        """Open the link and play an act with its dialling end."""
        sock = socket.create_server(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        server = await transport.listen_for_links(
            self.receiver, HELLO, sock, self.log, self.budget
        )
        dialler = transport.Dialler(
            self.sender,
            dataclasses.replace(HELLO, incarnation=2),
            port,
            random.Random(1),
            self.log,
            state.MemoryBudget.from_memory_limit(300 * MB),
        )
        dialler.set_hosts({"127.0.0.1"})
        try:
            await self.sender.wait_until(lambda: self.sender.links)
            await self.receiver.wait_until(lambda: self.receiver.links)
            await act(self.sender.links[0])
        finally:
            dialler.set_hosts(set())
            server.close()
            for owner in (self.sender, self.receiver):
                for link in owner.links:
                    link.abort()
            await asyncio.sleep(0)


def make_call(call_id, size_bytes):
    """Return a call whose body shows misplaced parts."""
    block = bytes(call_id + number & 0xFF for number in range(251))
    body = (block * (size_bytes // len(block) + 1))[:size_bytes]
    return coordination.CallSent(
        call_id,
        f"id-{call_id}",
        "i-1",
        "lots",
        b"POST",
        b"/book/1",
        (),
        body,
        1,
        True,
        5.0,
        2.0,
        "ledger",
        "team-1",
    )


def make_answer(call_id, size_bytes):
    """Return the answer to a call, with a body of one repeated byte."""
    return coordination.CallServed(
        call_id, 200, b"", (), bytes([call_id]) * size_bytes, 0.1, 0
    )


@given("a link between two nodes with 300 MB")
def step_link(context):
    context.nodes = LinkedNodes()


def play(context, act):
    """Play an act on the link of the scenario, on the loop of the nodes."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(context.nodes.play(act))


@when(
    "a call with a body of {size:g} MB is sent, and {count:d} small calls"
    " after it"
)
def step_large_and_small(context, size, count):
    context.sent = [
        make_call(1, round(size * MB)),
        *(make_call(number, 200) for number in range(2, count + 2)),
    ]
    receiver = context.nodes.receiver

    async def act(link):
        for call in context.sent:
            link.send(call)
            await asyncio.sleep(0)
        await receiver.wait_until(
            lambda: (
                len(receiver.messages) == len(context.sent) or receiver.ended
            )
        )
        context.order = [message.call_id for message in receiver.messages]
        context.wrong = [
            message.call_id
            for message, sent in zip(
                sorted(receiver.messages, key=lambda call: call.call_id),
                context.sent,
                strict=False,
            )
            if message.body != sent.body
        ]

    play(context, act)


@then("all arrive whole, and {early:d} small calls before the large one")
def step_all_whole(context, early):
    assert len(context.order) == len(context.sent), context.order
    assert not context.wrong, context.wrong
    assert context.order.index(1) == early, context.order
    assert context.nodes.sender.ended <= 1


@when("two calls with a body of 64 MB and one of 4 MB are sent")
def step_two_large(context):
    nodes = context.nodes

    async def act(link):
        for call in (
            make_call(1, 64 * MB),
            make_call(2, 64 * MB),
            make_call(3, 4 * MB),
        ):
            link.send(call)
        await nodes.receiver.wait_until(
            lambda: len(nodes.receiver.messages) == 2
        )
        await nodes.sender.wait_until(lambda: nodes.sender.messages)
        context.arrived = {
            message.call_id: len(message.body)
            for message in nodes.receiver.messages
        }
        context.held_bytes = nodes.budget.held_bytes
        nodes.receiver.messages.clear()
        context.held_after_bytes = nodes.budget.held_bytes

    play(context, act)


@then("the first and the last arrive, and the second is refused for memory")
def step_second_refused(context):
    assert context.arrived == {1: 64 * MB, 3: 4 * MB}, context.arrived
    assert context.held_bytes == 68 * MB, context.held_bytes
    (refusal,) = context.nodes.sender.messages
    assert isinstance(refusal, coordination.CallNotRun), refusal
    assert (refusal.call_id, refusal.reason) == (2, "memory"), refusal
    log = context.nodes.log
    assert log.count_by_name["memory_refusals", "link"] == 1


@then("no bytes are held once the calls have been dropped")
def step_none_held(context):
    assert context.held_after_bytes == 0, context.held_after_bytes


@when("a call with a body of 64 MB is cancelled after its first part")
def step_cancelled(context):
    nodes = context.nodes

    async def act(link):
        link.send(make_call(1, 64 * MB))
        while not nodes.budget.held_bytes:
            await asyncio.sleep(0)
        link.send(coordination.CallCancelled(1))
        await nodes.receiver.wait_until(lambda: nodes.receiver.messages)
        context.held_bytes = nodes.budget.held_bytes
        link.send(make_call(2, 64 * MB))
        await nodes.receiver.wait_until(
            lambda: len(nodes.receiver.messages) == 2
        )

    play(context, act)


@then("no bytes are held at the receiver, and a call of 64 MB arrives")
def step_cancel_freed(context):
    cancelled, call = context.nodes.receiver.messages
    assert cancelled == coordination.CallCancelled(1), cancelled
    assert context.held_bytes == 0, context.held_bytes
    assert (call.call_id, len(call.body)) == (2, 64 * MB)


@when("{count:d} answers of {size:d} MB are sent at the same time")
def step_answers(context, count, size):
    receiver = context.nodes.receiver

    async def act(link):
        for number in range(count):
            link.send(make_answer(number, size * MB))
        await receiver.wait_until(
            lambda: len(receiver.messages) == count or receiver.ended
        )
        context.bodies = {
            message.call_id: (bytes(message.body[:1]), len(message.body))
            for message in receiver.messages
        }
        context.expected = {
            number: (bytes([number]), size * MB) for number in range(count)
        }

    play(context, act)


@when("answers of 4, 2, 3 and 1 MB are sent at the same time and dropped")
def step_answers_in_turn(context):
    nodes = context.nodes
    context.seen_mb = []

    def on_message(link, message):
        del link
        held_mb = nodes.budget.held_bytes / MB
        context.seen_mb.append((len(message.body) / MB, held_mb))
        nodes.receiver._changed.set()

    async def act(link):
        nodes.receiver.on_message = on_message
        for number, size in enumerate((4, 2, 3, 1)):
            link.send(make_answer(number, size * MB))
        await nodes.receiver.wait_until(lambda: len(context.seen_mb) == 4)

    play(context, act)


@then("they arrive as 1, 2, 3 and 4 MB, and no more was held at a time")
def step_arrived_in_turn(context):
    sizes_mb = [size_mb for size_mb, _ in context.seen_mb]
    assert sizes_mb == [1, 2, 3, 4], context.seen_mb
    assert all(held <= size for size, held in context.seen_mb), context.seen_mb


@when("{count:d} answers of {size:d} MB are kept, and then dropped")
def step_answers_kept(context, count, size):
    nodes = context.nodes
    context.granted = []

    async def act(link):
        for number in range(count):
            link.send(make_answer(number, size * MB))
        await nodes.receiver.wait_until(
            lambda: len(nodes.receiver.messages) == count
        )
        context.held_bytes = nodes.budget.held_bytes
        context.decision = nodes.budget.claim(
            state.BodyUse.CALLER, MB, lambda: context.granted.append(1)
        )
        context.granted_before = len(context.granted)
        nodes.receiver.messages.clear()
        context.held_after_bytes = nodes.budget.held_bytes

    play(context, act)


@then("{size:d} MB were held, and a body of a caller had to wait for them")
def step_answers_counted(context, size):
    assert context.held_bytes == size * MB, context.held_bytes
    assert isinstance(context.decision, state.Waiting), context.decision
    assert not context.granted_before
    assert len(context.granted) == 1
    assert context.held_after_bytes == MB, context.held_after_bytes


@when("a peer sends a part of an answer of {size:d} MB and the link ends")
def step_answer_cut(context, size):
    nodes = context.nodes

    async def act(link):
        head = protocol.encode_unframed(make_answer(1, 0))
        link.send(coordination.BodyFollows(1, size * MB, head))
        link.send(coordination.BodyPart(1, b"x" * 60_000))
        link.send(coordination.Presence(()))
        await nodes.receiver.wait_until(lambda: nodes.receiver.messages)
        context.held_bytes = nodes.budget.held_bytes
        link.abort()
        await nodes.receiver.wait_until(lambda: nodes.receiver.ended)
        context.held_after_bytes = nodes.budget.held_bytes

    play(context, act)


@then("{size:d} MB were held, and none afterwards")
def step_answer_freed(context, size):
    assert context.held_bytes == size * MB, context.held_bytes
    assert context.held_after_bytes == 0, context.held_after_bytes


@then("all {count:d} arrive whole on the link")
def step_answers_whole(context, count):
    assert len(context.expected) == count
    assert context.bodies == context.expected, list(context.bodies)


@when("a peer sends {frames}")
def step_frames(context, frames):
    head = protocol.encode_unframed(make_call(1, 0))
    messages = [coordination.BodyFollows(1, 100_000, head)]
    match frames:
        case "more bytes than announced":
            part = coordination.BodyPart(1, b"x" * 60_000)
            messages.extend([part, part])
        case "a body of 0 bytes":
            messages = [coordination.BodyFollows(1, 0, head)]
        case "a body of 90 MB":
            messages = [coordination.BodyFollows(1, 90 * MB, head)]
        case "a body that belongs to a heartbeat":
            presence = protocol.encode_unframed(coordination.Presence(()))
            messages = [coordination.BodyFollows(1, 100_000, presence)]
    receiver = context.nodes.receiver

    async def act(link):
        for message in messages:
            link.send(message)
        await receiver.wait_until(lambda: receiver.ended)

    play(context, act)


@then("the link is closed and no bytes are held")
def step_link_closed(context):
    assert context.nodes.receiver.ended == 1
    assert context.nodes.budget.held_bytes == 0


@given("two hosts with bodies up to 67 MB and a server on the second only")
def step_two_hosts(context):
    open_two_hosts(context, 300)


@given(
    "two hosts with {limit:d} MB, bodies up to 67 MB and a server on the "
    "second only"
)
def step_two_small_hosts(context, limit):
    open_two_hosts(context, limit)


def open_two_hosts(context, limit_mb):
    """Start two hosts, the first of which has no backend server."""

    def prepare(deployment):
        deployment.memory_limit_bytes = limit_mb * MB
        deployment.max_body_bytes = 67_108_864
        deployment.timeout_ms = 10_000

    mesh_path_steps.start_deployment(context, 2, prepare)

    async def delist():
        await context.fleet.store.delete("servers/i-0")
        await asyncio.sleep(DELISTED_S)

    context.runner.run(delist())


@when("a caller of the first host sends a body of {size:g} MB")
def step_upload(context, size):
    async def upload():
        caller = context.fleet.caller(0)
        await caller.send(
            "POST",
            "/book/1",
            deadline_ms=10_000,
            headers={"Content-Length": str(round(size * MB))},
        )
        caller.write(b"x" * round(size * MB))
        context.response = await caller.receive(10.0)
        context.request_id = caller.last_request_id
        context.size_bytes = round(size * MB)

    context.runner.run(upload())


@then("it gets 200, the server has the whole body, and no link has ended")
def step_uploaded(context):
    lines = context.fleet.log_lines
    ends = [line for line in lines if b'"link-' in line and b"-up" not in line]
    assert not ends, ends
    mesh_path_steps.check_response(context.response, context.request_id)
    (request,) = context.fleet.servers[1].requests
    assert request.body == b"x" * context.size_bytes, len(request.body)


@then("both nodes soon hold no bytes")
def step_nodes_hold_none(context):
    context.runner.run(
        context.fleet.wait_until(
            lambda: (
                not any(
                    node.memory_budget.held_bytes
                    for node in context.fleet.nodes
                )
            )
        )
    )


@given(
    "a node with {limit:d} MB of memory that receives a body of {size:g} MB"
)
def step_held_body(context, limit, size):
    def prepare(deployment):
        deployment.memory_limit_bytes = limit * MB
        deployment.max_body_bytes = 67_108_864
        deployment.timeout_ms = 10_000

    mesh_path_steps.start_deployment(context, 1, prepare)
    context.size_bytes = round(size * MB)
    context.first = context.fleet.caller(0)

    async def hold():
        await start_body(context.first, context.size_bytes)
        context.first.write(b"x" * (context.size_bytes - 1))
        node = context.fleet.nodes[0]
        await context.fleet.wait_until(
            lambda: node.memory_budget.held_bytes == context.size_bytes
        )

    context.runner.run(hold())


async def start_body(caller, size_bytes, **headers):
    """Send the head of an unsafe request with a body."""
    await caller.send(
        "POST",
        "/book/1",
        deadline_ms=10_000,
        headers={
            **({} if headers else {"Content-Length": str(size_bytes)}),
            **{name.replace("_", "-"): text for name, text in headers.items()},
        },
    )


@when("another caller sends {body}, and the first body is {end}")
def step_other_body(context, body, end):
    size, unit, *form = body.split(" ", 2)
    size_bytes = round(float(size) * (MB if unit == "MB" else 1))
    context.other = context.fleet.caller(0)

    async def act():
        if end == "running":
            context.fleet.servers[0].run_s = LONG_RUN_S
            context.first.write(b"x")
            await asyncio.sleep(0.1)
        if form == ["in chunks"]:
            await send_chunked(context.other, size_bytes)
        elif form == ["after 100 Continue"]:
            await start_body(
                context.other,
                size_bytes,
                Expect="100-continue",
                Content_Length=str(size_bytes),
            )
        else:
            await start_body(context.other, size_bytes)
            context.other.write(b"y" * size_bytes)
        await asyncio.sleep(0.1)
        if end == "complete":
            context.first.write(b"x")
        elif end == "cut":
            context.first.close()
        if form == ["after 100 Continue"]:
            context.interim = await context.other.receive_interim()
            context.other.write(b"y" * size_bytes)
        started_s = time.monotonic()
        context.response = await context.other.receive(10.0)
        context.elapsed_s = time.monotonic() - started_s
        context.first_status = "none"
        if end in ("complete", "running"):
            response = await context.first.receive(10.0)
            context.first_status = str(response.status)

    context.runner.run(act())


async def send_chunked(caller, size_bytes):
    """Send a body in chunks of 64 KB, without its length."""
    await caller.send(
        "POST",
        "/book/1",
        deadline_ms=10_000,
        headers={"Transfer-Encoding": "chunked"},
        has_length=False,
    )
    for start in range(0, size_bytes, 64_000):
        count = min(64_000, size_bytes - start)
        caller.write(b"%x\r\n" % count + b"y" * count + b"\r\n")
    caller.write(b"0\r\n\r\n")


@then("the other caller gets {status} and the first one {first}")
def step_other_status(context, status, first):
    code, *when_text = status.split(" ", 1)
    lines = context.fleet.log_lines[-5:]
    assert context.response.status == int(code), (context.response, lines)
    assert context.first_status == first, context.first_status
    runs = mesh_path_steps.count_runs(context, context.other.last_request_id)
    assert runs == (1 if code == "200" else 0), runs
    if code == "503":
        assert float(context.response.headers["retry-after"]) > 0
        assert any(b'"memory-refused"' in line for line in lines), lines
        waited = context.elapsed_s > 2.0
        assert waited == (when_text == ["after 3 s"]), context.elapsed_s


@then("the node soon holds no bytes")
def step_node_holds_none(context):
    context.first.close()
    context.other.close()
    step_nodes_hold_none(context)


class UploadDeployment(soak_deployment.SoakDeployment):
    """Deployment of node processes with 300 MB that take bodies of 67 MB."""

    async def publish(self):
        """Publish a table with long timeouts and large bodies."""
        rows = {
            team: fleet.TeamRow(tuple(keys), 0)
            for team, keys in self.keys_by_team.items()
        }
        await self.store.put(
            "op/config",
            fleet.table_entry(2, 10_000, rows, max_body_bytes=67_108_864),
        )

    def peak_memory_bytes(self, number):
        """Return the largest resident size of a node so far."""
        status = pathlib.Path(f"/proc/{self.nodes[number].process_id}/status")
        (line,) = re.findall(r"VmHWM:\s*(\d+) kB", status.read_text())
        return 1024 * int(line)


@given("a node as a process with {limit:d} MB, and six callers that book")
def step_process(context, limit):
    context.limit_bytes = limit * MB
    context.statuses = []
    context.status_by_upload = {}


@when("four callers send bodies of 64 MB each at the same time, twice")
def step_four_uploads(context):
    async def book(deployment, stop):
        caller = fleet.Caller(deployment.host(0), deployment.ports["callers"])
        key = deployment.keys_by_team["team-0"][0]
        while not stop.is_set():
            response = await caller.request("POST", "/book/1", key)
            context.statuses.append(response.status)
            await asyncio.sleep(0.05)
        caller.close()

    async def upload(deployment):
        caller = fleet.Caller(deployment.host(0), deployment.ports["callers"])
        key = deployment.keys_by_team["team-0"][0]
        size = {"Content-Length": str(64 * MB)}
        await caller.send("POST", "/book/1", key, 10_000, size)
        caller.write(b"x" * 64 * MB)
        response = await caller.receive(10.0)
        context.status_by_upload[caller.last_request_id] = response.status
        caller.close()

    async def act():
        with tempfile.TemporaryDirectory() as folder:
            deployment = UploadDeployment(
                random.Random(1), 1, pathlib.Path(folder)
            )
            deployment.servers[0].slots = SERVER_SLOTS
            stop = asyncio.Event()
            await deployment.start()
            try:
                bookings = [
                    asyncio.ensure_future(book(deployment, stop))
                    for _ in range(6)
                ]
                for _ in range(2):
                    await asyncio.gather(
                        *(upload(deployment) for _ in range(4))
                    )
                stop.set()
                await asyncio.gather(*bookings)
                context.peak_bytes = deployment.peak_memory_bytes(0)
                context.runs_by_id = deployment.servers[0].runs_by_request_id
                context.incarnation = deployment.nodes[0].incarnation
            finally:
                await deployment.close()

    asyncio.run(act())


@then("the process has never had more than 300 MB and is still the first")
def step_peak(context):
    assert context.peak_bytes < context.limit_bytes, context.peak_bytes
    assert context.incarnation == 1


@then("each booking is answered 200, each body 200 or 503 if it has not run")
def step_all_answered(context):
    assert set(context.statuses) == {200}, Counter(context.statuses)
    assert len(context.status_by_upload) == 8
    runs_by_status = {200: 1, 503: 0}
    for request_id, status in context.status_by_upload.items():
        runs = context.runs_by_id[request_id]
        assert runs == runs_by_status[status], (request_id, status, runs)
