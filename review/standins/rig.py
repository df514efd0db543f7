"""Stand-ins for the review's scripts: store, servers, clients and links.

Everything listens on loopback addresses. The nodes are the project's own
programs, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE_COMMAND = ("python3", "-m", "jasminecrank.mesh.daemon")
HOST_NAME = "a.example"
KEY = "key-of-team-1"
TEAM = "team-1"
SERVICE = "ledger"
ZONE = "belt-hall-a"
GRACE_S = 6.0
CALM_S = 3.5
"""Calm time after the start; contactMs is 3,000."""
MEMORY_MB = 300
LONGEST_CASE_S = 100.0
OTHER_WRITER_DELAY_S = 0.5
"""Time after the servers' start in which another writer starts."""


def free_ports(hosts, count):
    """Return ports that are free on all hosts; each is followed by one."""
    ports = []
    for port in random.sample(range(20_000, 32_000, 2), 6_000):
        if all(_is_free(host, port + step) for host in hosts for step in (0, 1)):
            ports.append(port)
            if len(ports) == count:
                return ports
    raise RuntimeError("no free ports")


def _is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


async def read_head(reader):
    """Return the first line and the headers of a message, or None."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return None
    first, *lines = block.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def body_of(request_id, size):
    """Return the body that a server sends for a request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


class Record:
    """Lines for record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: pages and watches of its items."""

    def __init__(self):
        self._revision = 10
        self._item_by_key = {}
        self._events = []
        self._changed = asyncio.Condition()
        self._server = None

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def put(self, key, value):
        self._revision += 1
        old = self._item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        await self._announce(item)

    async def delete(self, key):
        if self._item_by_key.pop(key, None) is None:
            return
        self._revision += 1
        await self._announce(
            {"key": key, "rev": self._revision, "tombstone": True}
        )

    async def _announce(self, event):
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                path, _, query = target.partition("?")
                fields = dict(
                    urllib.parse.parse_qsl(query, keep_blank_values=True)
                )
                if path == "/-/kv-range":
                    body = self._page(fields)
                elif path == "/-/kv-watch":
                    body = await self._watch(fields)
                else:
                    writer.write(encode_response(404, {}, b""))
                    continue
                writer.write(
                    encode_response(
                        200,
                        {"Content-Type": "application/json"},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _page(self, fields):
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(fields["prefix"])
            and key > fields.get("after", "")
        )
        return {
            "items": [self._item_by_key[key] for key in keys[:50]],
            "hasMore": len(keys) > 50,
            "currentRev": self._revision,
        }

    async def _watch(self, fields):
        after = int(fields["after"])
        try:
            async with asyncio.timeout(int(fields["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._revision > after
                    )
        except TimeoutError:
            pass
        events = [
            event
            for event in self._events
            if event["rev"] > after and event["key"].startswith(fields["prefix"])
        ]
        return {"events": events, "currentRev": self._revision}


class Server:
    """A backend server. The query of a request states work and answer.

    `work` is the time in milliseconds, `size` the bytes of the answer.
    """

    def __init__(self, server_id, slots, record):
        self.server_id = server_id
        self.slots = slots
        self.runs = []
        self._record = record
        self._free = asyncio.Semaphore(slots)

    async def listen(self, host, port):
        await asyncio.start_server(self._serve, host, port, limit=1 << 20)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                answer = asyncio.ensure_future(
                    self._answer(first, headers, body)
                )
                while not answer.done():
                    await asyncio.wait([answer], timeout=0.02)
                    if reader.at_eof() or reader.exception() is not None:
                        # A request is dropped when its connection closes.
                        answer.cancel()
                        return
                writer.write(answer.result())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, first, headers, body):
        method, target, _ = first.split(" ", 2)
        if target == "/healthz":
            return encode_response(200, {"Instance-Id": self.server_id}, b"")
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if headers.get("expect-instance", self.server_id) != self.server_id:
            return encode_response(421, echo, b"")
        deadline_s = int(headers.get("deadline-ms", "10000")) / 1000
        fields = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query)
        )
        try:
            async with asyncio.timeout(deadline_s):
                async with self._free:
                    self.runs.append(request_id)
                    self._record.write(
                        f"run {request_id} at {self.server_id}, {method} "
                        f"{target}, {len(body)} bytes"
                    )
                    await asyncio.sleep(int(fields.get("work", "20")) / 1000)
        except TimeoutError:
            return encode_response(
                504, {**echo, "Server-Stamp": f"stamp-{request_id}"}, b""
            )
        self._record.write(f"ran {request_id} at {self.server_id}")
        return encode_response(
            200,
            {**echo, "Server-Stamp": f"stamp-{request_id}"},
            body_of(request_id, int(fields.get("size", "200"))),
        )


class NarrowLink:
    """Link of the clients to a node: a rate, and segments of an Ethernet."""

    MSS = 1_400
    WINDOW_BYTES = 65_536

    def __init__(self, target, bytes_per_s):
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0

    async def listen(self, host, port):
        await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.MSS)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES
        )
        try:
            await loop.sock_connect(sock, self._target)
        except OSError:
            sock.close()
            writer.transport.abort()
            return
        up_reader, up_writer = await asyncio.open_connection(
            sock=sock, limit=self.WINDOW_BYTES // 2
        )
        upstream = asyncio.ensure_future(self._relay(reader, up_writer))
        try:
            await self._relay(up_reader, writer)
        finally:
            upstream.cancel()
            up_writer.close()

    async def _relay(self, reader, writer):
        try:
            while data := await reader.read(8_192):
                now_s = time.monotonic()
                self._free_at_s = (
                    max(self._free_at_s, now_s)
                    + len(data) / self._bytes_per_s
                )
                await asyncio.sleep(self._free_at_s - now_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Client:
    """Client with one kept connection."""

    _number = 0

    def __init__(self, name, address, record):
        self._name = name
        self._address = address
        self._record = record
        self._reader = None
        self._writer = None

    async def request(
        self, target, method="GET", body=b"", deadline_ms=6_000
    ):
        """Return status, whether the body is the server's, and the seconds.

        Status 0: the connection ended before a complete answer. None: there
        was no answer within the deadline.
        """
        Client._number += 1
        request_id = f"{self._name}-{Client._number:04d}"
        started_s = time.monotonic()
        self._record.write(
            f"sent {request_id}, {method} {target}, {len(body)} bytes"
        )
        status, whole, received = None, False, 0
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                status, whole, received = await self._exchange(
                    request_id, target, method, body, deadline_ms
                )
        except TimeoutError:
            self.close()
        except OSError:
            status = 0
            self.close()
        took_s = time.monotonic() - started_s
        self._record.write(
            f"answered {request_id}: status {status}, whole {whole}, "
            f"{received} bytes, after {took_s:.3f} s"
        )
        return request_id, status, whole, took_s

    async def _exchange(self, request_id, target, method, body, deadline_ms):
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                *self._address
            )
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self._writer.drain()
        head = await read_head(self._reader)
        if head is None:
            self.close()
            return 0, False, 0
        status = int(head[0].split(" ")[1])
        length = int(head[1]["content-length"])
        received = bytearray()
        while len(received) < length:
            part = await self._reader.read(65_536)
            if not part:
                self.close()
                return 0, False, len(received)
            received += part
        if head[1].get("connection", "").lower() == "close":
            self.close()
        whole = status != 200 or (
            bytes(received) == body_of(request_id, length)
            and head[1].get("server-stamp") == f"stamp-{request_id}"
        )
        return status, whole, len(received)

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class Node:
    """A node's process, started again when it ends, as the platform does."""

    def __init__(self, number, settings, log, record):
        self.number = number
        self.exits = []
        self.process = None
        self._settings = settings
        self._log = log
        self._record = record
        self._closed = False
        self._task = None

    def start(self):
        self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["JASMINECRANK_CONFIG"] = str(self._settings)
        while not self._closed:
            with open(self._log, "ab") as output:
                self.process = await asyncio.create_subprocess_exec(
                    *NODE_COMMAND,
                    cwd=ROOT,
                    env=environment,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                )
            code = await self.process.wait()
            self.exits.append(code)
            self._record.write(f"node {self.number} ended with {code}")
            await asyncio.sleep(0.5)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def close(self):
        self._closed = True
        self.signal(signal.SIGKILL)
        if self._task is not None:
            self._task.cancel()
            if self.process is not None:
                await self.process.wait()


class Deployment:
    """A small deployment: a server and a node on each host."""

    def __init__(
        self, hosts, folder, slots=12, timeout_ms=5_000, link_mbit=1_000
    ):
        self.record = Record(folder / "record.txt")
        self.hosts = [f"127.0.3.{number + 1}" for number in range(hosts)]
        self.store = Store()
        self.servers = [
            Server(f"i-{number:04d}", slots, self.record)
            for number in range(hosts)
        ]
        self.nodes = []
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        ports = free_ports(self.hosts, 6)
        self.callers, self.ready, self.app, self.links = ports[:4]
        self.store_port, self.spare = ports[4:]
        self.other_entries = {}
        """Entries of other writers, in the store before the nodes start."""
        self._timeout_ms = timeout_ms
        self._link_mbit = link_mbit

    async def start(self):
        await self.store.listen(self.hosts[0], self.store_port)
        await self.store.put("op/config", self._config())
        for host, server in zip(self.hosts, self.servers, strict=True):
            await server.listen(host, self.app)
            await self.store.put(
                f"servers/{server.server_id}",
                {
                    "address": f"{host}:{self.app}",
                    "born": int(time.time() * 1000),
                    "info": {
                        "service": SERVICE,
                        "version": "v1",
                        "zone": ZONE,
                        "slots": server.slots,
                    },
                    "status": {"state": "ready", "seq": 1, "coldLeftMs": 0},
                },
            )
        if self.other_entries:
            await asyncio.sleep(OTHER_WRITER_DELAY_S)
        for key, value in self.other_entries.items():
            born_ms = int(time.time() * 1000)
            await self.store.put(key, {**value, "born": born_ms})
        for number, host in enumerate(self.hosts):
            settings = self.work / f"host-{number}.toml"
            settings.write_text(self._settings(number, host))
            node = Node(
                number, settings, self.work / f"host-{number}.log", self.record
            )
            node.start()
            self.nodes.append(node)
        async with asyncio.timeout(20.0):
            for number in range(len(self.hosts)):
                while not await self._is_started(number):
                    await asyncio.sleep(0.1)
        await asyncio.sleep(CALM_S)
        self.record.write("all nodes are in touch")

    async def _is_started(self, number):
        if self.other_entries:
            return await self.is_ready(number)
        client = Client(f"start-{number}", self.caller(number), self.record)
        status = (await client.request("/lots/1?work=5"))[1]
        client.close()
        return status == 200

    def caller(self, number):
        return self.hosts[number], self.callers

    async def is_ready(self, number):
        """Return whether a node answers its readiness check with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.hosts[number], self.ready
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0]

    async def close(self):
        for node in self.nodes:
            await node.close()
        shutil.rmtree(self.work, ignore_errors=True)

    def _config(self):
        routes = [
            {
                "typeUrl": "routes",
                "metadata": {"name": name},
                "spec": {
                    "host": HOST_NAME,
                    "prefix": prefix,
                    "kind": kind,
                    "timeoutMs": self._timeout_ms,
                    "targetLatencyMs": 2_500,
                    "priority": 1,
                    "service": SERVICE,
                    "maxAttempts": 2,
                    "public": False,
                },
            }
            for name, prefix, kind in (
                ("r-lots", "/lots/", "safe"),
                ("r-book", "/book/", "unsafe"),
            )
        ]
        return {
            "version": 7,
            "resources": [
                *routes,
                {
                    "typeUrl": "services",
                    "metadata": {"name": SERVICE},
                    "spec": {
                        "healthPath": "/healthz",
                        "maxConns": 110,
                        "protocol": "h1",
                        "tls": False,
                        "coldStartS": 3.0,
                        "coldPerS": 31.0,
                    },
                },
                {
                    "typeUrl": "tenants",
                    "metadata": {"name": TEAM},
                    "spec": {
                        "apiKeys": [KEY],
                        "priority": 1,
                        "ratePerS": 0,
                        "burst": 0,
                    },
                },
                {
                    "typeUrl": "limits",
                    "metadata": {},
                    "spec": {
                        "maxHeaderBytes": 16_384,
                        "maxBodyBytes": 67_108_864,
                        "headerTimeoutMs": 3_000,
                        "idleTimeoutMs": 15_000,
                    },
                },
            ],
        }

    def _settings(self, number, host):
        return f"""
node = "side-{ZONE}-{number + 1}"
role = "node"
machineClass = "side"
serves = ["side"]
ip = "{host}"
zone = "{ZONE}"
region = "savo"
innerPorts = [{self.links}, {self.links + 1}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "static"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","places","tenants","quota","platform"]
bounds = ["seedLagS=3","addrReuseS=2","contactMs=3000","ackMs=4000","catchUpS=4","drainMs=2000","graceS={GRACE_S:.0f}","lossSlackMs=200","configApplyMs=2000","rollbackSlackMs=250","maxSkewMs=5000","strictRevoke=false","revokeMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","budgetSlack=56","quotaWindowS=5","quotaOvershoot=0.25","quotaSlack=20","coldOvershoot=1.5","coldSlack=5","evacuateMs=5000","recoveryS=15"]
appAddr = "{host}:{self.app}"
service = "{SERVICE}"
[zones]
{ZONE} = "savo"
[listen]
inbound = "{host}:{self.spare}"
outbound = "{host}:{self.callers}"
ready = "{host}:{self.ready}"
[limits]
cpuShare = 0.86
cores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = {self._link_mbit:.1f}
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[platform]
address = "{self.hosts[0]}:{self.store_port}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"""


async def _run(deployment, scenario, prepare):
    try:
        async with asyncio.timeout(LONGEST_CASE_S):
            prepare(deployment)
            await deployment.start()
            return await scenario(deployment)
    except (Exception, asyncio.CancelledError) as error:
        # An error of the script says nothing about the rule.
        deployment.record.write(f"the case did not run: {error!r}")
        return 2
    finally:
        await deployment.close()


def run_case(
    folder, scenario, prepare=lambda deployment: None, hosts=3, **options
):
    """Run a scenario on a new deployment and exit with its result.

    0: the rule held; 1: it was broken; 2: the case did not run. `prepare` is
    called with the deployment before anything is started.
    """

    async def main():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            # The nodes are ended before the script is.
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(hosts, folder, **options)
        return await _run(deployment, scenario, prepare)

    sys.exit(asyncio.run(main()))
