"""Simulation of the config and membership actors of several nodes.

Messages and timers are delivered in virtual time, without threads.
"""

import dataclasses
import heapq
import itertools
import random

import exchange_machine
import topology_steps

from jasminecrank import coordination
from jasminecrank import protocol
from jasminecrank import state


class ActorMailbox:
    """A mailbox whose messages are delivered by the simulation."""

    def __init__(self, node, actor):
        self.node = node
        self.actor = actor

    def tell(self, message):
        """Queue a message."""
        self.node.simulation.schedule(0.0, self.node, self.actor, message)


class LinkEnd:
    """One end of a link; envelopes are encoded and decoded as on the wire."""

    def __init__(self, node, address):
        self.node = node
        self.address = address
        self.remote_end = None
        self.is_open = True

    def tell(self, message):
        """Send an envelope, or close the link."""
        simulation = self.node.simulation
        if isinstance(message, coordination.StopRequested):
            self.close()
        elif self.is_open and simulation.reachable(
            self.node, self.remote_end.node
        ):
            frame = protocol.encode_envelope(message)
            envelope = protocol.decode_envelope(frame)
            received = coordination.EnvelopeReceived(envelope)
            peer = self.remote_end.node
            simulation.schedule(0.002, peer, peer.membership, received)

    def close(self):
        """Close both ends, as TCP does when a process ends."""
        for end in (self, self.remote_end):
            if end.is_open:
                end.is_open = False
                link_down = coordination.LinkDown(end.address, end, "closed")
                node = end.node
                node.simulation.schedule(
                    0.002, node, node.membership, link_down
                )


class SourceMailbox:
    """The mailbox of the source reader of one node."""

    def __init__(self, node):
        self.node = node

    def tell(self, call):
        """Answer a call from the simulated source."""
        self.node.simulation.answer_source_call(self.node, call)


class SimulatedNode:
    """The config and membership actors of one node, without threads."""

    def __init__(self, simulation, row, incarnation):
        self.simulation = simulation
        self.row = row
        self.paused = False
        self.alive = True
        self.deferred = []
        self.ready = False
        self.events = []
        rng = random.Random(f"{row.host}/{incarnation}")
        self.config = coordination.ConfigActor(
            coordination.ConfigSettings(row.host, row.data_centre),
            simulation.clock,
            simulation,
            rng,
        )
        self.membership = coordination.MembershipActor(
            coordination.MembershipSettings(
                row.host, row.data_centre, incarnation, ()
            ),
            simulation.clock,
            simulation,
            rng,
            self.dial,
            self.events.append,
        )
        for actor in (self.config, self.membership):
            actor._actor_ref = ActorMailbox(self, actor)
        config, membership = self.config.actor_ref, self.membership.actor_ref
        self.membership.connect(config, ActorMailbox(self, None))
        self.config.connect(
            membership,
            SourceMailbox(self),
            (membership, ActorMailbox(self, None)),
        )

    def dial(self, address, hello, mailbox):
        """Open a link to the node at an address."""
        del mailbox
        self.simulation.open_link(self, address, hello)

    def status(self):
        """Return the status of the config actor."""
        return self.config.on_receive(coordination.GetStatus())

    def peers(self):
        """Return the hosts this node is linked with."""
        shown = self.membership.on_receive(coordination.GetStatus())
        return {peer.host for peer in shown}


class Simulation:
    """The clock, the message queue, the source and all nodes."""

    def __init__(self, rows):
        self.clock = state.ManualClock(1000.0)
        self.queue = []
        self.sequence = itertools.count()
        self.documents = {}
        self.watches = []
        self.source_up = True
        self.cut_off = set()
        self.dial_count = 0
        self.by_address = {}
        hosts = state.DocumentName.HOSTS
        rows_by_key = {state.row_key(r): state.encode_row(r) for r in rows}
        self.publish(state.build_document(hosts, 1, rows_by_key))
        for name in state.DocumentName:
            if name is not hosts:
                self.publish(exchange_machine.make_document(name, 1))
        self.nodes = {row.host: self.start(row, 1) for row in rows}

    def start(self, row, incarnation):
        """Start a node and return it."""
        node = SimulatedNode(self, row, incarnation)
        self.by_address[f"{row.address}:{row.peer_port}"] = node
        return node

    def schedule(self, delay_s, node, actor, message):
        """Deliver a message to an actor after a delay."""
        due_s = self.clock.now_s + delay_s
        entry = (due_s, next(self.sequence), node, actor, message)
        heapq.heappush(self.queue, entry)

    def call_later(self, delay_s, mailbox, message):
        """Schedule a timer message, in place of the timers of a node."""
        self.schedule(delay_s, mailbox.node, mailbox.actor, message)

    def run(self, seconds):
        """Advance the clock and deliver the messages that fall due."""
        end_s = self.clock.now_s + seconds
        while self.queue and self.queue[0][0] <= end_s:
            due_s, _, node, actor, message = heapq.heappop(self.queue)
            self.clock.now_s = max(self.clock.now_s, due_s)
            self.dispatch(node, actor, message)
        self.clock.now_s = end_s

    def dispatch(self, node, actor, message):
        """Deliver a message, unless its node is paused or killed."""
        if node.paused:
            node.deferred.append((actor, message))
        elif actor is not None and node.alive:
            actor.on_receive(message)
        elif isinstance(message, coordination.ReadinessChanged):
            node.ready = message.ready and node.alive

    def reachable(self, node, peer):
        """Return whether messages pass between two nodes."""
        data_centres = {node.row.data_centre, peer.row.data_centre}
        is_cut_off = len(data_centres) > 1 and data_centres & self.cut_off
        return node.alive and peer.alive and not is_cut_off

    def open_link(self, node, address, hello):
        """Open a link, or report that it cannot be opened."""
        self.dial_count += 1
        peer = self.by_address.get(address)
        dialler, acceptor = LinkEnd(node, address), LinkEnd(peer or node, "")
        dialler.remote_end, acceptor.remote_end = acceptor, dialler
        if peer is None or peer.paused or not self.reachable(node, peer):
            dialler.is_open = acceptor.is_open = False
            link_down = coordination.LinkDown(address, dialler, "refused")
            self.schedule(0.01, node, node.membership, link_down)
            return
        answer = peer.membership.on_receive(coordination.GetHello())
        host = node.row.host
        link_up = coordination.LinkUp(answer, dialler, host, address)
        self.schedule(0.4, node, node.membership, link_up)
        link_up = coordination.LinkUp(hello, acceptor, host)
        self.schedule(0.2, peer, peer.membership, link_up)

    def publish(self, document):
        """Publish a document at the source and end the watches for it."""
        self.documents[document.name] = document
        watches, self.watches = self.watches, []
        for node, call in watches:
            self.answer_source_call(node, call)

    def newer_documents(self, call):
        """Return the names of the documents that a watch reports."""
        return tuple(
            name
            for name, document in self.documents.items()
            if document.version.number > call.have.get(name).number
        )

    def answer_source_call(self, node, call):
        """Answer a call to the source, or register its watch."""
        is_cut_off = node.row.data_centre in self.cut_off
        answer, delay_s = coordination.SourceFailed("refused"), 0.005
        if self.source_up and not is_cut_off:
            if isinstance(call, coordination.ReadSource):
                document = self.documents[call.name]
                answer = coordination.DocumentRead(document)
            elif names := self.newer_documents(call):
                answer = coordination.WatchCompleted(names)
            else:
                self.watches.append((node, call))
                end = (self.clock.now_s + call.wait_s, next(self.sequence))
                message = _WatchTimeout(node, call)
                heapq.heappush(self.queue, (*end, self, self, message))
                return
        self.schedule(delay_s, node, node.config, answer)

    # The simulation itself receives the timeouts of watches, in place of a
    # node and its actor.
    paused = False
    alive = True

    def on_receive(self, message):
        """End a watch that timed out without a change."""
        if (message.node, message.call) in self.watches:
            self.watches.remove((message.node, message.call))
            node = message.node
            node.config.actor_ref.tell(coordination.WatchCompleted(()))

    def kill(self, host):
        """Kill a node; its links are closed."""
        node = self.nodes[host]
        ends = [
            link.mailbox for link in node.membership._link_by_host.values()
        ]
        for end in ends:
            end.close()
        node.alive = node.ready = False

    def resume(self, host):
        """Resume a paused node and deliver the messages it has missed."""
        node = self.nodes[host]
        node.paused = False
        for actor, message in node.deferred:
            self.schedule(0.0, node, actor, message)
        node.deferred.clear()


class _WatchTimeout:
    def __init__(self, node, call):
        self.node = node
        self.call = call


def make_simulation(hosts, data_centres):
    """Return a simulation whose nodes have distinct addresses."""

    rows = topology_steps.make_hosts(hosts, 2, data_centres)
    return Simulation(
        [
            dataclasses.replace(
                row, service="ledger", share_slot=index, peer_port=1000 + index
            )
            for index, row in enumerate(rows)
        ]
    )
