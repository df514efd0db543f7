"""Fleet and source tasks of many nodes in virtual time."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import random
import selectors

import mesh_exchange_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state

DATA_CENTRES = ("a", "b", "c", "d")
BYTES_PER_MBIT = 125_000
BASE64_RATIO = 4 / 3
"""Growth of a value in a reply of the source."""
SOURCE_DELAY_S = 0.004
SOURCE_TIMEOUT_S = 1.0
"""Time after which a read of an unreachable source fails."""
HISTORY_S = 20.0
SERVER_INFO = (
    '{"info":{"service":"seka91a","slots":6,"version":"v1"},"status":'
    '{"coldLeftMs":0,"seq":%d,"state":"ready"},"zone":"%s"}'
)
"""What an entry of a server says besides its host and data centre."""
CHANGE_INTERVAL_S = 0.87


def decode(key, value):
    """Decode a table to its version, and a server to its host."""
    if key == "table":
        return mesh_exchange_steps.decode(key, value)
    host, data_centre, _ = value.decode().split(" ", 2)
    return state.ServerEntry(
        state.BackendServer(
            key,
            "ledger",
            host,
            8403,
            data_centre,
            6,
            state.ServerState.READY,
            0.0,
            1,
        )
    )


class _JumpingSelector(selectors.SelectSelector):
    """Advances virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Return at once, with the time advanced by the timeout."""
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all tasks wait."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the virtual time in seconds."""
        return self._jumping.now_s

    def block(self, seconds):
        """Let time pass while no task runs."""
        self._jumping.now_s += seconds


class LoopClock:
    """Clock that reads the virtual time."""

    def now_s(self):
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()


class NullLog:
    """Log that keeps the lines of decisions."""

    def __init__(self):
        self.lines = []

    def decision(self, event, **fields):
        """Keep an event with its time."""
        self.lines.append((LoopClock().now_s(), event, fields))

    sampled = decision

    def failure(self, event, error, **fields):
        """Fail the test, since no error is expected."""
        raise AssertionError((event, fields)) from error

    def count(self, name, label=""):
        """Ignore a count."""

    def observe(self, name, seconds):
        """Ignore a duration."""


@dataclass
class Source:
    """Entries and their history, as the source keeps them."""

    era: int = 1
    revision: int = 10
    item_by_key: dict = field(default_factory=dict)
    events: list = field(default_factory=list)
    waiters: set = field(default_factory=set)
    unreachable_for: set = field(default_factory=set)
    sent_bytes_by_host: dict = field(default_factory=dict)
    calls: int = 0
    listings: int = 0
    is_away: bool = False

    def put(self, key, value):
        """Write an entry and end the watches that wait."""
        self.revision += 1
        position = state.Position(self.era, self.revision)
        item = state.SourceItem(key, position, value)
        self.item_by_key[key] = item
        now_s = LoopClock().now_s()
        self.events.append((now_s, item))
        self.events = [
            event for event in self.events if event[0] > now_s - HISTORY_S
        ]
        self._end_waits()

    def copy(self):
        """Return a copy from which the source can be restored."""
        return self.revision, dict(self.item_by_key), list(self.events)

    async def restore(self, copy, away_s):
        """Be away, and come back in the next era as in a copy."""
        self.is_away = True
        self._end_waits()
        await asyncio.sleep(away_s)
        self.era += 1
        self.revision, items, events = copy
        self.item_by_key = {
            key: item.at(state.Position(self.era, item.position.revision))
            for key, item in items.items()
        }
        self.events = [
            (
                at_s,
                item.at(state.Position(self.era, item.position.revision)),
            )
            for at_s, item in events
        ]
        self.is_away = False

    def _end_waits(self):
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    def is_reached_by(self, host):
        """Return whether a host reaches the source now."""
        return not self.is_away and host not in self.unreachable_for


class SourcePort:
    """Reads of the source by one host, over its link."""

    def __init__(self, source, node):
        self._source = source
        self._node = node

    async def read_page(self, after_key, on_reply):
        """Return all entries as one page."""
        del after_key
        if not await self._reach():
            return coordination.Unavailable("timeout")
        on_reply()
        self._source.listings += 1
        items = tuple(self._source.item_by_key.values())
        revision = self._source.revision
        era = self._node.named_era()
        await self._transfer(items)
        return coordination.Page(without_eras(items), False, revision, era=era)

    async def watch(self, after_revision, wait_s, max_bytes, on_reply):
        """Return the changes after a revision, waiting for one."""
        if not await self._reach():
            return coordination.Unavailable("timeout")
        if self._source.revision < after_revision:
            return coordination.HistoryGone(self._node.named_era())
        if self._source.revision == after_revision:
            waiter = asyncio.get_running_loop().create_future()
            self._source.waiters.add(waiter)
            await asyncio.wait([waiter], timeout=wait_s)
        if not self._source.is_reached_by(self._node.host):
            return coordination.Unavailable("timeout")
        on_reply()
        items = tuple(
            item
            for _, item in self._source.events
            if item.position.revision > after_revision
        )
        revision = self._source.revision
        era = self._node.named_era()
        if wire_bytes(items) > max_bytes:
            return coordination.ChangesTooLarge()
        await self._transfer(items)
        return coordination.Changes(without_eras(items), revision, era=era)

    async def _reach(self):
        self._source.calls += 1
        await asyncio.sleep(SOURCE_DELAY_S)
        if self._source.is_reached_by(self._node.host):
            return True
        if not self._source.is_away:
            await asyncio.sleep(SOURCE_TIMEOUT_S)
        return False

    async def _transfer(self, items):
        size = wire_bytes(items)
        sent = self._source.sent_bytes_by_host
        sent[self._node.host] = sent.get(self._node.host, 0) + size
        await asyncio.sleep(size / self._node.bytes_per_s)


def without_eras(items):
    """Return entries as a reply has them, whose era holds for all."""
    return tuple(
        item.at(state.Position(state.UNKNOWN_ERA, item.position.revision))
        for item in items
    )


def wire_bytes(items):
    """Return the size of entries in a reply of the source."""
    return BASE64_RATIO * sum(len(item.value or b"") for item in items)


@dataclass(eq=False)
class LinkEnd:
    """One end of a link, which sends over the uplink of its host."""

    fleet: "ModelFleet"
    sender: str
    receiver: str
    dialled: bool
    other: "LinkEnd | None" = None
    closed: bool = False
    received_bytes: int = 0
    awaits_answers: bool = False
    has_calls: bool = False
    """No calls are sent in the model."""

    def send(self, message):
        """Deliver a message after the bytes queued before it."""
        if not self.closed:
            self.fleet.transmit(self, message)

    def abort(self):
        """Close both ends."""
        for end in (self, self.other):
            if end is not None and not end.closed:
                end.closed = True
                self.fleet.tell(
                    end.sender,
                    coordination.LinkEnded(end, end.receiver, end.dialled),
                )


class ModelNode:
    """The fleet and source tasks of one host."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.host = f"10.0.0.{number}"
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.log = NullLog()
        self.links_by_host = {}
        self.uploads = state.UploadLimiter(0.0)
        self.set_link_rate(fleet.mbit_per_s)
        self.source = coordination.SourceTask(
            SourcePort(fleet.source, self),
            lambda message: fleet.tell(self.host, message),
            random.Random(number),
            self.log,
        )
        load = state.ServerLoad("i", 0, 0, 1, 0.1, 0.0, True)
        self.directory = state.Directory(decode)
        self.task = coordination.FleetTask(
            self.host,
            self.data_centre,
            self.directory,
            self.uploads,
            coordination.FleetPorts(
                self._use,
                lambda message: None,
                lambda message: None,
                lambda hosts: fleet.dial(self, hosts),
                self.source.set_watching,
                self.source.skip_to,
                self.source.list_again,
                lambda: load,
            ),
            LoopClock(),
            random.Random(1000 + number),
            self.log,
        )
        self.used_versions = []
        """Versions of the table that calls have been routed by."""
        self._tasks = []

    def named_era(self):
        """Return the era that replies of the source have for this node.

        One of the previous version does not read it.
        """
        if self.host in self._fleet.old_hosts:
            return coordination.UnnamedEra()
        return coordination.NamedEra(self._fleet.source.era)

    def _use(self, message):
        if isinstance(message, coordination.FleetChanged) and (
            message.fleet.table is not None
        ):
            self.used_versions.append(message.fleet.table.version)

    def set_link_rate(self, mbit_per_s):
        """Set the rate of the host's link."""
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.uploads.max_bytes = state.UploadLimiter.from_link_rate(
            mbit_per_s
        ).max_bytes

    def start(self):
        """Start the tasks."""
        self.started_s = LoopClock().now_s()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.task.run()),
            loop.create_task(self.source.run()),
            loop.create_task(self._tick()),
        ]

    def stop(self):
        """Stop the tasks without closing links, as a power loss does."""
        for task in self._tasks:
            task.cancel()

    def in_force_since_s(self, version):
        """Return when a table version, or a newer one, took effect."""
        return min(
            (
                at_s
                for at_s, event, fields in self.log.lines
                if event == "table-in-force" and fields["version"] >= version
            ),
            default=float("inf"),
        )

    async def _tick(self):
        await asyncio.sleep(0.05 * random.Random(self.host).random())
        while True:
            self.task.mailbox.tell(coordination.FleetTick())
            await asyncio.sleep(coordination.FLEET_TICK_S)


class ModelFleet:
    """Nodes, their links and the source that some of them read."""

    def __init__(self, hosts, mbit_per_s, delay_s):
        self.loop = asyncio.get_running_loop()
        self.source = Source()
        self.mbit_per_s = mbit_per_s
        self.delay_s = delay_s
        self.lost_hosts = set()
        self.old_hosts = set()
        """Hosts whose nodes are of the previous version of the protocol."""
        self.listing_requests = 0
        """Listings that nodes have requested from each other."""
        self.sent_bytes_by_host = {}
        self.entry_bytes = 0
        """Bytes sent between nodes besides load reports."""
        self.longest_wait_s = 0.0
        """Longest time that a message has waited for its sender's uplink."""
        self._uplink_free_at_s = {}
        self.node_by_host = {}
        for number in range(hosts):
            node = ModelNode(self, number)
            self.node_by_host[node.host] = node
        self.published_s_by_version = {}
        self.rows = 0

    async def start(self, rows):
        """Start all nodes with a table and wait until they are linked."""
        await self.power_on(rows)
        await asyncio.sleep(6.0)

    async def power_on(self, rows, before_entries_s=0.0):
        """Start all nodes, some time before the source has entries."""
        self.rows = rows
        if before_entries_s:
            self._start_nodes()
            await asyncio.sleep(before_entries_s)
        self.register_servers(len(self.node_by_host), 0)
        self.publish()
        if not before_entries_s:
            self._start_nodes()

    def _start_nodes(self):
        for node in self.node_by_host.values():
            node.start()

    def all_linked(self):
        """Return whether all nodes have the newest table and their links."""
        version = len(self.published_s_by_version)
        return all(
            node.task.table_version == version and node.links_by_host
            for node in self.node_by_host.values()
        )

    def publish(self, changed_rows=1):
        """Publish a new version of the table."""
        version = len(self.published_s_by_version) + 1
        self.published_s_by_version[version] = LoopClock().now_s()
        value = mesh_exchange_steps.table_value(
            version, self.rows, range(changed_rows)
        )
        self.source.put("table", value)
        return version

    def republish(self):
        """Publish the newest version again, as the source has lost it."""
        version = len(self.published_s_by_version)
        value = mesh_exchange_steps.table_value(version, self.rows, range(1))
        self.source.put("table", value)

    def restart(self, host):
        """Replace a node by one without entries, as after a kill."""
        old = self.node_by_host[host]
        old.stop()
        for end in list(old.links_by_host.values()):
            end.abort()
        linked = [
            other
            for other in self.node_by_host.values()
            if host in other.links_by_host
        ]
        for other in linked:
            other.links_by_host.pop(host).abort()
        node = ModelNode(self, int(host.rpartition(".")[2]))
        self.node_by_host[host] = node
        node.start()
        for other in linked:
            self.dial(other, {*other.links_by_host, host})

    def register_servers(self, count, state_number):
        """Let the servers of the first hosts renew their entries."""
        for node in list(self.node_by_host.values())[:count]:
            info = SERVER_INFO % (state_number, node.data_centre)
            value = f"{node.host} {node.data_centre} {info}"
            self.source.put(f"i-{node.host}", value.encode())

    def set_link_rate(self, count, mbit_per_s):
        """Change the rate of the first hosts' links."""
        for node in list(self.node_by_host.values())[:count]:
            node.set_link_rate(mbit_per_s)

    async def publish_series(self, count, interval_s=CHANGE_INTERVAL_S):
        """Publish versions at intervals.

        The default is as quickly as the operators' link allows.
        """
        for _ in range(count):
            self.publish()
            await asyncio.sleep(interval_s)

    def readers(self):
        """Return the hosts that are to read the source for the fleet."""
        node = next(iter(self.node_by_host.values()))
        return state.watcher_hosts(node.directory.snapshot())

    def confirmed_ages_s(self):
        """Return each node's age of the source's last reply."""
        now_s = self.loop.time()
        return [
            node.task.confirmed_age_s(now_s)
            for node in self.node_by_host.values()
        ]

    def taken_over_since(self, start_s):
        """Return the hosts that have started to watch since a time."""
        return [
            host
            for host, node in self.node_by_host.items()
            if any(
                at_s > start_s and event == "watch-duty" and fields["watching"]
                for at_s, event, fields in node.log.lines
            )
        ]

    def lose(self, hosts):
        """Let hosts lose power: their links fall silent."""
        self.lost_hosts |= set(hosts)
        for host in hosts:
            self.node_by_host[host].stop()

    def delay_s_by_version(self):
        """Return the time until each version was in force everywhere.

        A newer version counts as well. Hosts that were lost are left out.
        """
        delay_s_by_version = {}
        for version, published_s in self.published_s_by_version.items():
            taken_s = [
                node.in_force_since_s(version)
                for host, node in self.node_by_host.items()
                if host not in self.lost_hosts
            ]
            delay_s = max(taken_s) - published_s
            delay_s_by_version[version] = round(delay_s, 2)
        return delay_s_by_version

    def tell(self, host, message):
        """Pass a message to the fleet task of a host."""
        self.node_by_host[host].task.mailbox.tell(message)

    def dial(self, node, hosts):
        """Open the missing links of a node to other hosts."""
        for host in hosts - node.links_by_host.keys():
            end = LinkEnd(self, node.host, host, True)
            end.other = LinkEnd(self, host, node.host, False, end)
            node.links_by_host[host] = end
            for one in (end, end.other):
                self.tell(
                    one.sender,
                    coordination.LinkOpened(
                        one,
                        one.receiver,
                        one.dialled,
                        one.send,
                        self.version_between(one.sender, one.receiver),
                    ),
                )
        for host in node.links_by_host.keys() - hosts:
            node.links_by_host.pop(host).abort()

    def version_between(self, host, other):
        """Return the version of the protocol on a link."""
        if self.old_hosts & {host, other}:
            return coordination.FIRST_VERSION_WITH_ERAS - 1
        return coordination.PROTOCOL_VERSION

    def transmit(self, end, message):
        """Deliver a message once the sender's uplink has carried it."""
        if self.lost_hosts & {end.sender, end.receiver}:
            return
        loop = asyncio.get_running_loop()
        version = self.version_between(end.sender, end.receiver)
        if version < coordination.FIRST_VERSION_WITH_ERAS:
            assert not isinstance(message, coordination.LoadChanged)
            if isinstance(message, coordination.EraBegun):
                return
        frame = protocol.encode(message, version)
        size = len(frame)
        message = protocol.decode(frame[protocol.FRAME_LENGTH.size :], version)
        self.listing_requests += isinstance(
            message, coordination.ListingRequested
        )
        if not isinstance(
            message, coordination.LoadReported | coordination.LoadChanged
        ):
            self.entry_bytes += size
        sent = self.sent_bytes_by_host
        sent[end.sender] = sent.get(end.sender, 0) + size
        free_at_s = max(
            loop.time(), self._uplink_free_at_s.get(end.sender, 0.0)
        )
        self.longest_wait_s = max(self.longest_wait_s, free_at_s - loop.time())
        free_at_s += size / self.node_by_host[end.sender].bytes_per_s
        self._uplink_free_at_s[end.sender] = free_at_s
        loop.call_at(free_at_s + self.delay_s, self._deliver, end, message)

    def _deliver(self, end, message):
        if end.closed or self.lost_hosts & {end.sender, end.receiver}:
            return
        self.tell(
            end.receiver,
            coordination.PeerMessageReceived(
                end.other, end.sender, message, end.other.send
            ),
        )
