"""Deployment of a run: nodes are processes, the rest is in this process."""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import functools
import json
import pathlib
import random
import typing

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _processes
from jasminecrank.standins.soak import _proxy
from jasminecrank.standins.soak import _server
from jasminecrank.standins.soak import _tracebacks
from jasminecrank.standins.soak import losses
from jasminecrank.standins.soak import observed

DATA_CENTRES = ("belt-a", "belt-b")
TEAM_RATE_PER_S = 60
FOREIGN_BORN_AHEAD_MS = 3_600_000
COLD_START_S = 3.0
MEMORY_LIMIT_MB = 300
MEMORY_INTERVAL_S = 0.2
RENEWAL_INTERVAL_S = 1.0
"""Interval at which servers write their entries again."""
AGAIN_AWAY_S = 0.1
"""Time for which the store is away when it is restored again."""
MAX_REWRITE_S = 1.0
"""Time after a restore in which what the store has lost is written again."""
START_TIMEOUT_S = 15.0
"""Time limit for all nodes to become ready at the start."""


class SoakDeployment:
    """Owns the store, servers, proxies and node processes of a run."""

    def __init__(
        self,
        rng: random.Random,
        hosts: int,
        folder: pathlib.Path,
        node_path: pathlib.Path | None = None,
        memory_mb: int = MEMORY_LIMIT_MB,
    ) -> None:
        self.rng = rng
        self.hosts = range(hosts)
        self.store = fleet.Store()
        self.records = observed.Records()
        self.servers = [
            _server.SoakServer(
                number, f"i-{number}-0", self.records, self.now_s
            )
            for number in self.hosts
        ]
        self.nodes: list[_processes.NodeProcess] = []
        self.link_proxy_by_hosts: dict[tuple[int, int], _proxy.Proxy] = {}
        """By the connecting and the accepting host of a link."""
        self.store_proxies: list[_proxy.Proxy] = []
        self.added_routes = 0
        """Routes that the table has beside the usual ones."""
        self.keys_by_team: dict[str, list[str]] = {}
        self.ports: dict[str, int] = {}
        self.restarting_hosts: set[int] = set()
        """Hosts whose servers are being replaced or restarted."""
        self.busy_hosts: set[int] = set()
        """Hosts whose node processes get their processors late."""
        self._folder = folder
        self._node_path = node_path
        self._memory_mb = memory_mb
        self.unlisted_hosts: set[int] = set()
        """Hosts whose servers have no entry at the start."""
        self._tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self._generation = 0
        self._written_by_key: dict[str, typing.Any] = {}
        """What the operator and the servers want in the store."""
        self._incarnation_by_id: dict[str, fleet.Incarnation] = {}
        self._started_s = 0.0

    @contextlib.contextmanager
    def record_disturbance(
        self,
        hosts: Iterable[int] | None,
        planned: bool = False,
        excused: observed.Excused | None = None,
    ) -> Iterator[None]:
        """Record that some hosts, or all, are disturbed inside the block."""
        disturbance = self.records.begin_disturbance(
            self.now_s(), hosts, planned, excused
        )
        try:
            yield
        finally:
            disturbance.end_s = self.now_s()

    def now_s(self) -> float:
        """Return the seconds since the end of the start."""
        return asyncio.get_running_loop().time() - self._started_s

    def host(self, number: int) -> str:
        """Return the IP address of a host."""
        return f"127.0.2.{number + 1}"

    async def start(self) -> None:
        """Start everything and wait until each node serves a request."""
        names = ["callers", "ready", "server", "store"]
        names.extend(f"links-{number}" for number in self.hosts)
        addresses = [self.host(number) for number in self.hosts]
        self.ports = fleet.free_ports(addresses, names)
        store = ("127.0.0.1", await self.store.listen("127.0.0.1"))
        for team in ("team-0", "team-1"):
            self.keys_by_team[team] = []
            self.issue_key(team)
        await self.publish()
        for number in self.hosts:
            await self._start_listeners(number, store)
            if number not in self.unlisted_hosts:
                await self.register(number, "ready")
        for number in self.hosts:
            node = _processes.NodeProcess(
                f"host-{number}",
                self.write_settings(number, 20),
                self._folder / f"host-{number}.log",
                self._node_path,
                functools.partial(self._record_end, number),
            )
            self.nodes.append(node)
            node.start()
        self._tasks.append(asyncio.create_task(self._watch_memory()))
        for number in self.hosts:
            self._tasks.append(asyncio.create_task(self._renew(number)))
        await self._wait_until_ready()
        self.records.arrivals.clear()
        self._started_s = asyncio.get_running_loop().time()

    async def _start_listeners(
        self, number: int, store: tuple[str, int]
    ) -> None:
        host = self.host(number)
        await self.servers[number].listen(host, self.ports["server"])
        proxy = _proxy.Proxy(store)
        await proxy.listen(host, self.ports["store"])
        self.store_proxies.append(proxy)
        for client in self.hosts:
            if client != number:
                link = _proxy.Proxy((host, self.ports[f"links-{number}"]))
                await link.listen(host, self.ports[f"links-{client}"])
                self.link_proxy_by_hosts[client, number] = link

    def write_settings(
        self, number: int, retry_slack: int, written_ratio: float = 1.0
    ) -> pathlib.Path:
        """Write a host's settings file, or its first part; return its path."""
        host = self.host(number)
        links = self.ports[f"links-{number}"]
        zones = "\n".join(f'{name} = "savo"' for name in DATA_CENTRES)
        text = f"""
node = "host-{number}"
service = "ledger"
ip = "{host}"
zone = "{DATA_CENTRES[number % 2]}"
region = "savo"
appAddr = "{host}:{self.ports["server"]}"
innerPorts = [{links}, {links + 1}]
bounds = ["drainMs=2000", "graceS={losses.GRACE_S:g}", "retryBudgetRatio=0.2",
  "budgetWindowS=10", "budgetSlack={retry_slack}", "quotaWindowS=5",
  "quotaOvershoot=0.25", "quotaSlack=20"]
[zones]
{zones}
[listen]
outbound = "{host}:{self.ports["callers"]}"
ready = "{host}:{self.ports["ready"]}"
[limits]
memoryMb = {self._memory_mb}
[platform]
address = "{host}:{self.ports["store"]}"
"""
        path = self._settings_path(number)
        path.write_text(text[: round(len(text) * written_ratio)])
        return path

    def remove_settings(self, number: int) -> None:
        """Remove a host's settings file."""
        self._settings_path(number).unlink(missing_ok=True)

    def _settings_path(self, number: int) -> pathlib.Path:
        return self._folder / f"host-{number}.toml"

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for number in self.hosts:
                while not await self._is_serving(number):
                    await asyncio.sleep(0.1)

    async def _is_serving(self, number: int) -> bool:
        caller = fleet.Caller(self.host(number), self.ports["callers"])
        try:
            response = await caller.request("GET", "/open/ready", None)
        except OSError:
            return False
        finally:
            caller.close()
        return response.status == 200

    async def close(self) -> None:
        """Stop all processes and close all sockets of the run."""
        await asyncio.gather(*(node.close() for node in self.nodes))
        for task in self._tasks:
            task.cancel()
        for number in self.hosts[: len(self.nodes)]:
            path = self._folder / f"host-{number}.log"
            self.records.tracebacks.extend(
                (number, line) for line in _tracebacks.read_tracebacks(path)
            )
        for server in self.servers:
            server.close()
        for proxy in [*self.link_proxy_by_hosts.values(), *self.store_proxies]:
            proxy.close()
        self.store.close()

    def _record_end(self, host: int, run: _processes.ProcessRun) -> None:
        status = run.process.returncode
        assert status is not None
        self.records.process_ends.append(
            observed.ProcessEnd(
                host,
                run.incarnation,
                self.now_s(),
                status,
                tuple(run.signals),
            )
        )

    async def _watch_memory(self) -> None:
        peak_bytes = self.records.peak_bytes_by_process
        while True:
            for number, node in enumerate(self.nodes):
                for run in node.runs:
                    process = (number, run.incarnation)
                    peak_bytes[process] = max(
                        peak_bytes.get(process, 0), run.resident_bytes()
                    )
            due_s = self.now_s() + MEMORY_INTERVAL_S
            await asyncio.sleep(MEMORY_INTERVAL_S)
            self.records.delays.append((self.now_s(), self.now_s() - due_s))

    # Changes by operators and by servers.

    async def write(self, key: str, value: object) -> None:
        """Write an item until another value of its key is written."""
        self._written_by_key[key] = value
        await self.store.put(key, value)

    async def remove(self, key: str) -> None:
        """Delete an item."""
        self._written_by_key.pop(key, None)
        await self.store.delete(key)

    def issue_key(self, team: str) -> None:
        """Issue a new key for a team, effective with the next table."""
        self._generation += 1
        key = f"key-{team}-{self._generation}"
        self.keys_by_team[team].append(key)
        self.records.team_by_key[key] = team

    async def publish(self) -> None:
        """Publish the table as a new version."""
        self.version += 1
        rows = {
            team: fleet.TeamRow(tuple(keys), TEAM_RATE_PER_S)
            for team, keys in self.keys_by_team.items()
        }
        entry = fleet.table_entry(
            self.version,
            _server.TIMEOUT_MS,
            rows,
            max_body_bytes=_server.MAX_BODY_BYTES,
        )
        entry["resources"].extend(_server.more_routes(entry["resources"][0]))
        entry["resources"].extend(
            _server.added_routes(entry["resources"][0], self.added_routes)
        )
        await self.write("op/config", entry)

    async def add_route(self) -> None:
        """Publish a table with one more route."""
        self.added_routes += 1
        number = self.added_routes
        await self.publish()
        self.records.written_s_by_route[number] = self.now_s()

    async def register(
        self, number: int, server_state: str, cold_s: float = 0.0
    ) -> None:
        """Write the store entry of a host's server."""
        server = self.servers[number]
        incarnation = self._incarnation_by_id.setdefault(
            server.server_id, fleet.Incarnation()
        )
        await self.write(
            f"servers/{server.server_id}",
            fleet.server_entry(
                f"{self.host(number)}:{self.ports['server']}",
                DATA_CENTRES[number % 2],
                server.slots,
                server_state,
                round(1000 * cold_s),
                incarnation,
            ),
        )

    async def renew(self, number: int) -> None:
        """Write the entry of a host's server again, if it has one."""
        server = self.servers[number]
        entry = self._written_by_key.get(f"servers/{server.server_id}")
        if entry is not None and number not in self.restarting_hosts:
            state = entry["status"]["state"]
            await self.register(number, state, server.cold_left_s)

    async def _renew(self, number: int) -> None:
        rng = random.Random(f"renewals {number}")
        await asyncio.sleep(rng.uniform(0.0, RENEWAL_INTERVAL_S))
        while True:
            await self.renew(number)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    async def restore_store(
        self,
        copy: fleet.StoreCopy,
        away_s: float,
        again_after_s: float | None,
        rng: random.Random,
    ) -> None:
        """Restore the store, and again if a time is given.

        Return when all that it has lost is written again.
        """
        restores = [self._restore_store(copy, 0.0, away_s, rng)]
        if again_after_s is not None:
            delay_s = away_s + again_after_s
            restores.append(
                self._restore_store(copy, delay_s, AGAIN_AWAY_S, rng)
            )
        await asyncio.gather(*restores)

    async def _restore_store(
        self,
        copy: fleet.StoreCopy,
        delay_s: float,
        away_s: float,
        rng: random.Random,
    ) -> None:
        await asyncio.sleep(delay_s)
        with self.record_disturbance(None, excused=observed.Excused.NONE):
            await self.store.restore(copy, away_s)
        back_s = self.now_s()
        await asyncio.gather(
            *(
                self._write_again(key, rng.uniform(0.1, MAX_REWRITE_S))
                for key in sorted({*copy.item_by_key, *self._written_by_key})
            )
        )
        self.records.renewals.append(observed.Renewal(back_s, self.now_s()))

    async def _write_again(self, key: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        written = self._written_by_key.get(key)
        stored = self.store.value(key)
        if written is None:
            if stored is not None:
                await self.store.delete(key)
        elif stored != json.dumps(written).encode():
            await self.store.put(key, written)

    async def put_foreign_entries(self, hosts: Iterable[int]) -> None:
        """Write entries of another writer at the addresses of servers."""
        for number in hosts:
            entry = fleet.server_entry(
                f"{self.host(number)}:{self.ports['server']}",
                DATA_CENTRES[number % 2],
                4,
                "ready",
                0,
            )
            entry["born"] += FOREIGN_BORN_AHEAD_MS
            entry["info"]["service"] = "unknown"
            await self.write(f"servers/foreign-{number}", entry)

    async def delete_foreign_entries(self, hosts: Iterable[int]) -> None:
        """Delete the entries of another writer."""
        for number in hosts:
            await self.remove(f"servers/foreign-{number}")

    async def restart_server(self, number: int, down_s: float) -> None:
        """Stop a server and start a cold one with a new id in its place."""
        server = self.servers[number]
        old_id = server.server_id
        server.close()
        await asyncio.sleep(down_s)
        self._generation += 1
        server.restart(f"i-{number}-{self._generation}", COLD_START_S)
        await server.listen(self.host(number), self.ports["server"])
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await self.register(number, "ready", server.cold_left_s)
        await self.remove(f"servers/{old_id}")
