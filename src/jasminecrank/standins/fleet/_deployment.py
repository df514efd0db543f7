"""Deployment in one process, with a loopback address for each host."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
import socket
import time
import typing

from jasminecrank import platform
from jasminecrank.mesh import daemon
from jasminecrank.mesh import settings
from jasminecrank.mesh import state
from jasminecrank.mesh import transport
from jasminecrank.standins.fleet import _caller
from jasminecrank.standins.fleet import _entries
from jasminecrank.standins.fleet import _pipelining_caller
from jasminecrank.standins.fleet import _server
from jasminecrank.standins.fleet import _store

PORTS = range(20_000, 32_000, 2)
"""Candidate ports, below the ephemeral port range of the kernel.

All are even: the odd port after the link port of a node is left for its
metrics.
"""
HEALTH_PROPAGATION_S = 0.15
"""Time in which nodes report to each other that their servers are healthy."""
DATA_CENTRES = ("belt-a", "belt-b")


class Deployment:
    """Store, backend servers and nodes; hosts are numbered from 0."""

    def __init__(self, hosts: int, slots: int = 4) -> None:
        self.store = _store.Store()
        self.servers = [
            _server.Server(f"i-{number}", slots) for number in range(hosts)
        ]
        self.nodes: list[daemon.Node] = []
        self.log_lines: list[bytes] = []
        self.version = 1
        self.timeout_ms = 1000
        self.memory_limit_bytes = 300_000_000
        self.max_body_bytes: int | None = None
        """Limit of the table; None for the node's own."""
        self.keys = ["k1", "k2"]
        self.rate_per_s = 0
        self.stop_grace_s = 6.0
        self.idle_routes = 0
        self.service = "ledger"
        """Service named in the settings of nodes created from now on."""
        self.changed_settings: settings.NodeSettings | None = None
        """Settings that nodes get on a reload; None for unchanged ones."""
        self._incarnation_by_id: dict[str, _entries.Incarnation] = {}
        self._callers: list[_caller.Caller] = []
        self._ports: dict[str, int] = {}
        self._store_port = 0

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready and linked."""
        self._store_port = await self.store.listen("127.0.0.1")
        self._ports = free_ports(
            [self.host(number) for number in range(len(self.servers))],
            ("callers", "links", "status", "metrics", "server"),
        )
        await self.publish()
        for number, server in enumerate(self.servers):
            await server.listen(self.host(number), self._ports["server"])
            await self.register(number)
        for number in range(len(self.servers)):
            self.nodes.append(self.make_node(number))
            await self.nodes[number].start()
        await self.wait_until(self.connected)
        await asyncio.sleep(HEALTH_PROPAGATION_S)

    def connected(self) -> bool:
        """Return whether all nodes are ready, accept calls and are linked."""
        return all(
            node.ready
            and node.gate.load().accepting
            and node.linked_host_count == len(self.nodes) - 1
            for node in self.nodes
        )

    def close(self) -> None:
        """Close all callers, nodes, servers and the store."""
        for caller in self._callers:
            caller.close()
        for node in self.nodes:
            node.abort()
        for server in self.servers:
            server.close()
        self.store.close()

    def host(self, number: int) -> str:
        """Return the IP address of a host."""
        return f"127.0.1.{number + 1}"

    def caller(self, number: int) -> _caller.Caller:
        """Return a client of the node on a host."""
        caller = _caller.Caller(self.host(number), self._ports["callers"])
        self._callers.append(caller)
        return caller

    def pipelining_caller(
        self, number: int, mbit_per_s: float = 0.0
    ) -> _pipelining_caller.PipeliningCaller:
        """Return a client of the node on a host that reads at a rate."""
        address = (self.host(number), self._ports["callers"])
        return _pipelining_caller.PipeliningCaller(address, mbit_per_s)

    def make_node(self, number: int) -> daemon.Node:
        """Return a node for a host, not yet started."""
        host = self.host(number)
        config = settings.NodeSettings(
            host=host,
            name=f"host-{number}",
            service=self.service,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            region_by_data_centre=dict.fromkeys(DATA_CENTRES, "savo"),
            callers=settings.Endpoint(host, self._ports["callers"]),
            links=settings.Endpoint(host, self._ports["links"]),
            status=settings.Endpoint(host, self._ports["status"]),
            metrics=settings.Endpoint(host, self._ports["metrics"]),
            backend_server=settings.Endpoint(host, self._ports["server"]),
            source=settings.Endpoint("127.0.0.1", self._store_port),
            link_mbit_per_s=1000.0,
            memory_limit_bytes=self.memory_limit_bytes,
            quota=state.QuotaBounds(5.0, 0.25, 20.0),
            retry_budget=state.RetryBudgetBounds(0.2, 10.0, 56.0),
            heartbeat_s=1.5,
            stop_grace_s=self.stop_grace_s,
            drain_s=2.0,
        )
        source = platform.PlatformStore(
            ("127.0.0.1", self._store_port), local_host=host
        )
        return daemon.Node(
            config,
            platform.PlatformCodec(),
            source,
            platform.EntryDecoder().decode,
            transport.JsonLog(
                config.name, transport.BootClock(), self._write_log
            ),
            random.Random(number),
            lambda: self.changed_settings or config,
        )

    async def publish(self) -> None:
        """Publish the table as a new version."""
        self.version += 1
        team = _entries.TeamRow(self.keys, self.rate_per_s)
        config = _entries.table_entry(
            self.version,
            self.timeout_ms,
            {"team-1": team},
            self.idle_routes,
            self.max_body_bytes,
        )
        await self.store.put("op/config", config)

    async def register(
        self, number: int, server_state: str = "ready", cold_ms: int = 0
    ) -> None:
        """Write the store entry of a host's backend server."""
        await self.store.put(
            f"servers/{self.servers[number].server_id}",
            self.server_entry(number, server_state, cold_ms),
        )

    def server_entry(
        self, number: int, server_state: str = "ready", cold_ms: int = 0
    ) -> dict[str, typing.Any]:
        """Return the next store entry of a host's backend server."""
        incarnation = self._incarnation_by_id.setdefault(
            self.servers[number].server_id, _entries.Incarnation()
        )
        return _entries.server_entry(
            f"{self.host(number)}:{self._ports['server']}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            self.servers[number].slots,
            server_state,
            cold_ms,
            incarnation,
        )

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = 10.0
    ) -> float:
        """Poll until a condition is met and return the seconds it took."""
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise TimeoutError(
                    f"{condition} was not met within {timeout_s} s"
                )
            await asyncio.sleep(0.01)
        return time.monotonic() - started_s

    def _write_log(self, data: bytes) -> int:
        self.log_lines.append(data)
        return len(data)


def free_ports(hosts: list[str], names: Sequence[str]) -> dict[str, int]:
    """Return a port by name that is free on all of the hosts."""
    ports: dict[str, int] = {}
    candidates = random.sample(PORTS, len(PORTS))
    for name in names:
        ports[name] = next(
            port
            for port in iter(candidates.pop, None)
            if _is_free(hosts, port)
        )
    return ports


def _is_free(hosts: list[str], port: int) -> bool:
    for host in hosts:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
