"""Simulates the document exchange of several nodes without actors."""

import itertools

from hypothesis import stateful
from hypothesis import strategies

from jasminecrank import state

NODE_COUNT = 5
HOST_BY_NUMBER = {
    number: state.HostRow(
        f"n{number}",
        "ledger",
        "north",
        "savo",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        number,
        state.HostState.LIVE,
    )
    for number in range(NODE_COUNT)
}


def make_rows(name, number):
    """Return rows that differ in content and number between versions."""
    match name:
        case state.DocumentName.TABLE:
            service = state.ServiceRow("ledger", 4, 1, float(number), 20)
            route = state.RouteRow(
                "lookup",
                "ledger",
                "GET",
                "/lots",
                state.RouteKind.LOOKUP,
                state.Priority.ORDINARY,
                False,
                number,
            )
            limits = [
                state.LimitRow("ledger", f"team-{one}", 1, 1.0, number, 4)
                for one in range(number % 3 + 1)
            ]
            return [service, route, *limits]
        case state.DocumentName.KEYS:
            return [
                state.KeyRow(f"{number + one:064x}", "team-0")
                for one in range(number % 2 + 1)
            ]
        case state.DocumentName.HOSTS:
            return [
                HOST_BY_NUMBER[one] for one in range(number % NODE_COUNT + 1)
            ]
        case state.DocumentName.OUTAGES:
            outage = state.OutageState.OUT_OF_SERVICE if number % 2 else None
            return [
                state.OutageRow(
                    "north", outage or state.OutageState.IN_SERVICE
                )
            ]


def make_document(name, number):
    """Build the only valid version with a number."""
    by_key = {
        state.row_key(row): state.encode_row(row)
        for row in make_rows(name, number)
    }
    return state.build_document(name, number, by_key)


class Network:
    """Nodes and the messages in flight, in order on each link."""

    def __init__(self, count, links):
        self.now_s = 0.0
        self.nodes = [self.make_node(one) for one in range(count)]
        self.in_flight = []
        self.links = {frozenset(link) for link in links}
        self.cut_links = set()
        self.pushed = set()
        self.repeated_pushes = []
        for one, other in itertools.permutations(range(count), 2):
            self.announce_versions(one, other)

    @staticmethod
    def make_node(number):
        """Return a node without any documents."""
        return state.ExchangeState.from_host(f"n{number}")

    def linked(self, one, other):
        """Return whether two nodes have a working link."""
        pair = frozenset((one, other))
        return pair in self.links and pair not in self.cut_links

    def announce_versions(self, one, other):
        """Report the versions of one node to another on a new link."""
        if self.linked(one, other):
            versions = self.nodes[one].config.versions()
            sends = self.nodes[other].peer_up(f"n{one}", versions, self.now_s)
            self.send(other, sends)

    def send(self, origin, sends):
        """Add messages to those in flight."""
        for send in sends:
            if isinstance(send, state.SendDelta):
                self.record_push(origin, send)
            self.in_flight.append((origin, int(send.host[1:]), send))

    def record_push(self, origin, send):
        """Record a push and detect a version pushed twice on a link."""
        key = (origin, send.host, send.delta.name, send.delta.target)
        if key in self.pushed:
            self.repeated_pushes.append(key)
        self.pushed.add(key)

    def offer(self, number, document):
        """Pass a document from the source to one node."""
        offered = self.nodes[number].receive_document(
            None, document, self.now_s
        )
        self.send(number, offered.sends)
        return offered.offer_result

    def deliver(self, index):
        """Deliver the message at an index, dropping it if the link is cut."""
        origin, target, send = self.in_flight.pop(index)
        if not self.linked(origin, target):
            return
        node, host = self.nodes[target], f"n{origin}"
        match send:
            case state.SendDelta():
                offered = node.receive_delta(host, send.delta, self.now_s)
                self.send(target, offered.sends)
            case state.SendDocument():
                offered = node.receive_document(
                    host, send.document, self.now_s
                )
                self.send(target, offered.sends)
            case state.SendFetch():
                sends = node.receive_fetch(host, send.name, send.have)
                self.send(target, sends)
            case state.SendVersions():
                self.send_heartbeat(origin, target)

    def send_heartbeat(self, origin, target):
        """Report the versions of one node to another."""
        if self.linked(origin, target):
            versions = self.nodes[origin].config.versions()
            sends = self.nodes[target].receive_versions(
                f"n{origin}", versions, self.now_s
            )
            self.send(target, sends)

    def deliver_all(self):
        """Deliver all messages in order."""
        while self.in_flight:
            self.deliver(0)

    def converge(self):
        """Send heartbeats and let timeouts expire until all nodes converge."""
        for _ in range(2 * len(self.nodes)):
            self.now_s += 5.0
            for one, other in itertools.permutations(
                range(len(self.nodes)), 2
            ):
                self.send_heartbeat(one, other)
            self.deliver_all()


class ExchangeMachine(stateful.RuleBasedStateMachine):
    """Injects random faults; all nodes must reach the newest versions."""

    names = strategies.sampled_from(list(state.DocumentName))
    nodes = strategies.integers(0, NODE_COUNT - 1)

    def __init__(self):
        super().__init__()
        ring = [(one, (one + 1) % NODE_COUNT) for one in range(NODE_COUNT)]
        self.network = Network(NODE_COUNT, [*ring, (0, 2)])
        self.published = dict.fromkeys(state.DocumentName, 0)
        self.highest = [dict(self.published) for _ in range(NODE_COUNT)]
        self.offered = {}

    @stateful.rule(name=names, node=nodes, lag=strategies.integers(0, 3))
    def source_serves(self, name, node, lag):
        """Let one node read the source or a lagging replica."""
        if lag == 0:
            self.published[name] += 1
        number = self.published[name] - lag
        if number > 0:
            document = make_document(name, number)
            self.offered[name, document.version] = document
            self.network.offer(node, document)

    @stateful.rule(name=names, node=nodes, bad=strategies.integers(0, 2))
    def source_serves_bad(self, name, node, bad):
        """Let one node read a version that must be rejected as a whole."""
        number = self.published[name] + 1
        good = make_document(name, number)
        rows = dict(good.by_key)
        match bad:
            case 0:
                rows.popitem()
            case 1:
                rows["unknown/row"] = "{}"
            case 2:
                rows[next(iter(rows))] = "{}"
        version = good.version
        if bad:
            version = state.build_document(name, number, rows).version
        result = self.network.offer(node, state.Document(name, version, rows))
        assert isinstance(result, state.Invalid | state.Stale), result

    @stateful.precondition(lambda self: self.network.in_flight)
    @stateful.rule(data=strategies.data(), fault=strategies.integers(0, 4))
    def message(self, data, fault):
        """Deliver, lose or duplicate any message in flight."""
        flight = self.network.in_flight
        index = data.draw(strategies.integers(0, len(flight) - 1))
        match fault:
            case 0:
                flight.pop(index)
            case 1:
                flight.append(flight[index])
                self.network.deliver(index)
            case _:
                self.network.deliver(index)

    @stateful.rule(node=nodes)
    def crash(self, node):
        """Restart a node without state; its links are opened again."""
        network = self.network
        network.nodes[node] = network.make_node(node)
        self.highest[node] = dict.fromkeys(state.DocumentName, 0)
        network.in_flight = [
            one for one in network.in_flight if node not in one[:2]
        ]
        for other in set(range(NODE_COUNT)) - {node}:
            network.nodes[other].peer_down(f"n{node}", network.now_s)
            network.announce_versions(node, other)
            network.announce_versions(other, node)

    @stateful.rule(one=nodes, other=nodes)
    def cut_or_join(self, one, other):
        """Cut a link, or restore it if it is cut."""
        pair = frozenset((one, other))
        network = self.network
        if pair not in network.links:
            return
        if pair in network.cut_links:
            network.cut_links.discard(pair)
            network.announce_versions(one, other)
            network.announce_versions(other, one)
            return
        network.cut_links.add(pair)
        for here, there in ((one, other), (other, one)):
            node = network.nodes[here]
            network.send(here, node.peer_down(f"n{there}", network.now_s))

    @stateful.rule(one=nodes, other=nodes)
    def heartbeat(self, one, other):
        """Send a heartbeat between two nodes."""
        self.network.now_s += 1.0
        self.network.send_heartbeat(one, other)

    @stateful.invariant()
    def versions_never_decrease(self):
        """Check that versions only increase and match offered documents."""
        for node, highest in zip(
            self.network.nodes, self.highest, strict=True
        ):
            versions = node.config.versions()
            rows = []
            for name in state.DocumentName:
                version = versions.get(name)
                assert version.number >= highest[name]
                highest[name] = version.number
                if version.number:
                    offered = self.offered[name, version]
                    assert node.config.by_name[name] == offered
                    rows += make_rows(name, version.number)
            whole = state.Snapshot.from_rows(versions, rows)
            assert node.config.snapshot == whole

    def teardown(self):
        """Restore all links; all nodes must reach the newest versions."""
        network = self.network
        for pair in sorted(map(sorted, network.cut_links)):
            network.cut_links.discard(frozenset(pair))
            network.announce_versions(*pair)
            network.announce_versions(*reversed(pair))
        newest = dict.fromkeys(state.DocumentName, 0)
        for node in network.nodes:
            for name in newest:
                number = node.config.versions().get(name).number
                newest[name] = max(newest[name], number)
        network.deliver_all()
        network.converge()
        for node in network.nodes:
            versions = node.config.versions()
            for name, number in newest.items():
                assert versions.get(name).number == number, (name, number)
        self.versions_never_decrease()
