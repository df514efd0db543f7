"""A small deployment for the scripts of this review.

Nodes are processes, started with the command of the deploy file. The store
and the backend servers are stand-ins in this process, on loopback addresses.
"""

import asyncio
import itertools
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

import stand_ins

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("belt-a", "belt-b")
START_TIMEOUT_S = 20.0
HEARTBEAT_S = 1.5
CONTACT_S = 3.0
"""The bound contactMs: machines are in touch after so long without trouble."""


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self._began_s:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Deployment:
    """The store, a backend server and a node process for each host.

    `services` are those of the hosts' servers; `make_table` returns the
    configuration of a version.
    """

    def __init__(self, services, net, make_table):
        self.hosts = range(len(services))
        self.store = stand_ins.Store()
        self.servers = [
            stand_ins.Server(f"i-{number}-0", service)
            for number, service in enumerate(services)
        ]
        self.ports = {}
        self._net = net
        self._make_table = make_table
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._process_by_host = {}
        self._renewing = []
        self._version = 0
        self._store_port = 0

    def host(self, number):
        return f"{self._net}.{number + 1}"

    async def start(self):
        self.ports = stand_ins.free_ports(
            [self.host(number) for number in self.hosts],
            ("callers", "ready", "inbound", "links", "server"),
        )
        self._store_port = await self.store.listen("127.0.0.1", 0)
        await self.publish()
        for number in self.hosts:
            await self.start_server(number, self.servers[number])
        for number in self.hosts:
            self.write_settings(number, self.servers[number].service)
            self._spawn(number)
        for number in self.hosts:
            await self._wait_until_ready(number)
        # Links open, and nodes report to each other that servers are up.
        await asyncio.sleep(CONTACT_S + 1.0)

    async def publish(self):
        self._version += 1
        await self.store.put("op/config", self._make_table(self._version))

    async def start_server(self, number, server):
        """Let a server listen on a host and register itself."""
        self.servers[number] = server
        await server.listen(self.host(number), self.ports["server"])
        await self._write_entry(number, server)
        self._renewing.append(
            asyncio.create_task(self._renew(number, server))
        )

    async def write_state(self, number, state):
        """Let a server write a state into its entry, and keep it there."""
        self.servers[number].state = state
        await self._write_entry(number, self.servers[number])

    async def end_server(self, number):
        """End a host's server, whose entry is removed."""
        server, self.servers[number] = self.servers[number], None
        await self.store.delete(f"servers/{server.server_id}")
        server.close()

    async def _write_entry(self, number, server):
        address = f"{self.host(number)}:{self.ports['server']}"
        await self.store.put(
            f"servers/{server.server_id}",
            server.entry(address, ZONES[number % len(ZONES)]),
        )

    async def _renew(self, number, server):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.servers[number] is not server:
                return
            await self._write_entry(number, server)

    def write_settings(self, number, service):
        host, links = self.host(number), self.ports["links"]
        zones = "".join(f'{zone} = "savo"\n' for zone in ZONES)
        bounds = ",".join(
            f'"{bound}"'
            for bound in (
                "seedLagS=3", "addrReuseS=2", "contactMs=3000", "ackMs=4000",
                "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200",
                "configApplyMs=2000", "rollbackSlackMs=250", "maxSkewMs=5000",
                "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetSlack=56",
                "quotaWindowS=5", "quotaOvershoot=0.25", "quotaSlack=20",
                "coldOvershoot=1.5", "coldSlack=5", "evacuateMs=5000",
                "recoveryS=15",
            )
        )
        text = f"""node = "side-{number}"
role = "node"
machineClass = "side"
serves = ["side"]
ip = "{host}"
zone = "{ZONES[number % len(ZONES)]}"
region = "savo"
innerPorts = [{links},{links + 1}]
seeds = []
bootstrap = true
heartbeatMs = 1500
bounds = [{bounds}]
appAddr = "{host}:{self.ports['server']}"
service = "{service}"
[zones]
{zones}[listen]
inbound = "{host}:{self.ports['inbound']}"
outbound = "{host}:{self.ports['callers']}"
ready = "{host}:{self.ports['ready']}"
[limits]
cpuShare = 0.86
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[platform]
address = "127.0.0.1:{self._store_port}"
form = "read"
readsPerS = 2000
historyS = 20
"""
        path = self._folder / f"side-{number}.toml"
        # A node may read the file at any moment.
        part = path.with_suffix(".part")
        part.write_text(text)
        part.replace(path)
        return path

    def _spawn(self, number):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["JASMINECRANK_CONFIG"] = str(self._folder / f"side-{number}.toml")
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with open(self._folder / f"side-{number}.log", "ab") as log:
            self._process_by_host[number] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, number, signal_number):
        self._process_by_host[number].send_signal(signal_number)

    def is_running(self, number):
        return self._process_by_host[number].poll() is None

    async def is_ready(self, number):
        request = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host(number), self.ports["ready"]
                )
                try:
                    writer.write(request)
                    return b" 200 " in await reader.readline()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return False

    async def _wait_until_ready(self, number):
        for _ in range(round(START_TIMEOUT_S / 0.1)):
            if await self.is_ready(number):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"node {number} does not become ready")

    def log_events(self, number):
        """Return the log lines of a node that are JSON."""
        events = []
        path = self._folder / f"side-{number}.log"
        for line in path.read_text(errors="replace").splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return events

    def close(self):
        """End every process that this deployment has started."""
        for process in self._process_by_host.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._process_by_host.values():
            process.wait()
        for server in self.servers:
            if server is not None:
                server.close()
        for task in self._renewing:
            task.cancel()
        self.store.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self._folder, ignore_errors=True)


_ids = itertools.count(1)


def request_head(method, path, deadline_ms, key="k1", extra=()):
    """Return the id and the encoded head of a new request."""
    request_id = f"{next(_ids):016x}"
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: a.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        *([f"Authorization: Token {key}"] if key else []),
        *extra,
    ]
    return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode()


def run_case(folder, case, limit_s=110.0):
    """Run a case; exit with 1 if the rule broke, 0 if not, 2 if neither."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if trouble else 'no'}")

    async def bounded():
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    status = 2
    try:
        status = 1 if asyncio.run(bounded()) else 0
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
    finally:
        record.write(f"exit status {status}")
        record.close()
    raise SystemExit(status)
