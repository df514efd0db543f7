"""Steps for the tasks that request and grant tokens, in virtual time."""

import heapq
import itertools

from behave import given
from behave import then
from behave import when
import mesh_budget_steps
import mesh_directory_steps
import mesh_state_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

DELAY_S = 0.002
LATE_DELAY_S = 0.4
"""Message delay of an arbiter that answers late."""
TICK_S = 0.1
SILENT_AFTER_S = 1.0
"""Silence after which nodes regard another node as unreachable."""


class NullLog:
    """A log that discards all lines."""

    def decision(self, event, **fields):
        """Discard a line."""


class Nodes:
    """Quota tasks of several nodes and the network between them."""

    def __init__(self, hosts, team):
        self.now = 0.0
        self.team = team
        self.queue = []
        self.order = itertools.count()
        self.delay_by_host = {}
        self.answers = {}
        self.requested_at_s = {}
        self.messages = 0
        self.disconnected = set()
        self.is_cut = lambda sender, receiver: False
        self.names = [f"10.0.0.{number}" for number in range(hosts)]
        servers = {
            f"i-{name}": mesh_directory_steps.make_server(
                f"i-{name}", host=name
            )
            for name in self.names
        }
        table = mesh_state_steps.make_table(1, teams=[(team, ())])
        self.fleet = state.FleetSnapshot(table, servers, {}, frozenset())
        self.task_by_name = {name: self.make_task(name) for name in self.names}
        for name in self.names:
            self.connect(name)
        self.run(10.0)

    def now_s(self):
        """Return the virtual time."""
        return self.now

    def make_task(self, name):
        """Return a new quota task that records its answers."""

        def answer(message):
            match message:
                case coordination.QuotaDecided():
                    self.answers[message.number] = (message, self.now)

        arbiter = state.QuotaArbiter(name, mesh_budget_steps.BOUNDS)
        return coordination.QuotaTask(name, arbiter, answer, self, NullLog())

    def connect(self, name):
        """Open links between a node and all others, in both directions."""
        self.disconnected.discard(name)
        for other in self.names:
            if other != name:
                self.tell(
                    name, coordination.PeerUp(other, self.send(name, other))
                )
                self.tell(
                    other, coordination.PeerUp(name, self.send(other, name))
                )
        self.tell(name, coordination.FleetChanged(self.fleet))

    def tell(self, name, message):
        """Let a task handle a message."""
        self.task_by_name[name].handle(message)

    def send(self, sender, receiver):
        """Return a function that sends messages from one node to another."""

        def send(message):
            self.messages += 1
            delay_s = self.delay_by_host.get(sender, DELAY_S)
            delay_s = max(delay_s, self.delay_by_host.get(receiver, DELAY_S))
            heapq.heappush(
                self.queue,
                (
                    self.now + delay_s,
                    next(self.order),
                    sender,
                    receiver,
                    message,
                ),
            )

        return send

    def deliver(self):
        """Deliver the next message, or drop it if a side is disconnected."""
        self.now, _, sender, receiver, message = heapq.heappop(self.queue)
        if self.disconnected & {sender, receiver} or self.is_cut(
            sender, receiver
        ):
            return
        match message:
            case coordination.TokensGranted():
                received = coordination.ArbiterGranted(sender, message)
            case _:
                reply = self.send(receiver, sender)
                received = coordination.RequesterMessageReceived(
                    sender, message, reply
                )
        self.tell(receiver, received)

    def run(self, for_s):
        """Advance time, delivering messages and ticks."""
        end_s = self.now + for_s
        while True:
            tick_s = (int(self.now / TICK_S + 1e-6) + 1) * TICK_S
            if self.queue and self.queue[0][0] <= min(end_s, tick_s):
                self.deliver()
                continue
            self.now = min(end_s, tick_s)
            if self.now > tick_s - 1e-6 * TICK_S:
                for name in self.names:
                    self.tell(name, coordination.QuotaTick())
            if self.now >= end_s:
                return

    def request_token(self, name, number):
        """Let a call of a node request a token."""
        self.requested_at_s[number] = self.now
        self.tell(name, coordination.QuotaRequested(number, self.team))

    def arbiter(self):
        """Return the team's arbiter while all nodes are connected."""
        chosen = state.arbiter_hosts(self.fleet)
        return state.choose_arbiter(self.team.name, chosen, "")

    def disconnect(self, name):
        """Close the links of a node."""
        self.disconnected.add(name)
        for other in self.names:
            if other != name:
                self.tell(other, coordination.PeerDown(name))
                self.tell(other, coordination.RequesterDisconnected(name))
                self.tell(name, coordination.PeerDown(other))
                self.tell(name, coordination.RequesterDisconnected(other))


@given(
    "{hosts:d} linked nodes and a team with rate {rate:d} and burst {burst:d}"
)
def step_nodes(context, hosts, rate, burst):
    context.nodes = Nodes(hosts, state.Team("team-a", None, rate, burst))


def inject_fault(nodes, fault):
    """Inject a fault; return the nodes that get no calls."""
    arbiter = nodes.arbiter()
    match fault:
        case "nothing fails":
            return ()
        case "the team's arbiter stops responding":
            nodes.delay_by_host[arbiter] = 1e9
        case "the team's arbiter answers late":
            nodes.delay_by_host[arbiter] = LATE_DELAY_S
        case "the team's arbiter loses its links":
            nodes.disconnect(arbiter)
        case "three arbiters lose their links":
            disconnected_names = {
                arbiter,
                *state.arbiter_hosts(nodes.fleet)[:3],
            }
            for name in disconnected_names:
                nodes.disconnect(name)
            return tuple(disconnected_names)
        case "the team's arbiter restarts":
            nodes.disconnect(arbiter)
            nodes.task_by_name[arbiter] = nodes.make_task(arbiter)
            nodes.connect(arbiter)
        case "every node loses its links":
            for name in nodes.names:
                nodes.disconnect(name)
    return (arbiter,)


@when("{fault} and then each node has {calls:d} calls in a second")
def step_calls(context, fault, calls):
    nodes = context.nodes
    absent = inject_fault(nodes, fault)
    if fault == "every node loses its links":
        absent = ()
    number = 0
    for _ in range(calls):
        for name in nodes.names:
            number += 1
            if name not in absent:
                nodes.request_token(name, number)
        nodes.run(1.0 / calls)
    nodes.run(2.0)


@then("every call gets a token within {within:g} s")
def step_all(context, within):
    nodes = context.nodes
    for number, at_s in nodes.requested_at_s.items():
        assert number in nodes.answers, (number, at_s)
        message, answered_s = nodes.answers[number]
        assert message.granted, (number, at_s, message)
        assert answered_s - at_s <= within, (number, at_s, answered_s)


@then("at most {most:d} calls get a token")
def step_most(context, most):
    answers = [message for message, _ in context.nodes.answers.values()]
    granted = sum(message.granted for message in answers)
    assert granted <= most, granted
    assert len(answers) == len(context.nodes.requested_at_s)


@then("the other calls get a retry delay of at most {wait:g} s")
def step_wait(context, wait):
    waits = [
        message.wait_s
        for message, _ in context.nodes.answers.values()
        if not message.granted
    ]
    assert max(waits) <= wait, max(waits)


@when("a node's call leaves its token unused")
def step_unused(context):
    nodes = context.nodes
    context.node = next(n for n in nodes.names if n != nodes.arbiter())
    nodes.request_token(context.node, 1)
    nodes.run(0.05)
    nodes.tell(context.node, coordination.QuotaUnused("team-a"))


@then("its next call gets a token without a message")
def step_spare(context):
    nodes = context.nodes
    sent = nodes.messages
    nodes.request_token(context.node, 2)
    assert nodes.answers[2][0].granted
    assert nodes.messages == sent


@when("the arbiter's reply to 5 calls arrives after another call has asked it")
def step_late_reply(context):
    nodes = context.nodes
    arbiter = nodes.arbiter()
    node = next(
        name
        for name in nodes.names
        if name not in state.arbiter_hosts(nodes.fleet)
    )
    up = coordination.PeerUp(arbiter, lambda message: None)
    nodes.tell(node, up)
    for number in range(5):
        nodes.request_token(node, number)
    nodes.tell(node, coordination.PeerSilent(arbiter))
    nodes.run(1.0)
    nodes.tell(node, up)
    nodes.request_token(node, 5)
    late = coordination.TokensGranted(nodes.team.name, 5, 0)
    nodes.tell(node, coordination.ArbiterGranted(arbiter, late))


@then("that call gets a token")
def step_late_granted(context):
    message, _ = context.nodes.answers[5]
    assert message.granted


@when("{for_s:d} s pass in steps of {step_s:g} s")
def step_pass(context, for_s, step_s):
    nodes = context.nodes
    context.ticks = dict.fromkeys(nodes.names, 0)
    tell = nodes.tell

    def count(name, message):
        match message:
            case coordination.QuotaTick():
                context.ticks[name] += 1
        tell(name, message)

    nodes.tell = count
    started_at_s = nodes.now
    while nodes.now < started_at_s + for_s - step_s / 2:
        nodes.run(step_s)
    context.passed_s = nodes.now - started_at_s


@then("each node has had a tick every 0.1 s")
def step_ticked(context):
    due = context.passed_s / TICK_S
    for ticks in context.ticks.values():
        assert abs(ticks - due) <= 1.0, (ticks, due)
