"""Stand-ins for the platform's store and for a backend server.

They speak what PROTOCOL.md says and behave like a sound store and a sound
server. Only the standard library is used.
"""

import asyncio
import base64
import collections
import itertools
import json
import random
import socket
import time
import urllib.parse

PAGE_SIZE = 50
QUEUED_REQUESTS = 48
"""Requests that a server queues beyond its slots."""
PORTS = range(20_000, 32_000, 2)
"""Candidate ports, below those that the kernel gives out itself."""


async def read_message(reader):
    """Return first line, headers and body of a message, or None at its end."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return None
    line, headers = parse_head(block)
    length = int(headers.get("content-length", "0"))
    return line, headers, await reader.readexactly(length)


def parse_head(block):
    """Return the first line and the headers of a message."""
    lines = block.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return lines[0], headers


def encode_answer(status, body, headers):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class _Listener:
    """Serves connections, each in a task of its own."""

    def __init__(self):
        self._server = None
        self._tasks = set()

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The client has left, or the stand-in ends.
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        raise NotImplementedError


class Store(_Listener):
    """Items with one revision counter, read as pages and by watches."""

    def __init__(self):
        super().__init__()
        self._revision = 10
        self._item_by_key = {}
        self._events = []
        self._changed = asyncio.Condition()

    async def put(self, key, value):
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        await self._add(item)

    async def delete(self, key):
        self._revision += 1
        del self._item_by_key[key]
        await self._add(
            {"key": key, "rev": self._revision, "tombstone": True}
        )

    async def _add(self, event):
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            path, _, query = message[0].split(" ")[1].partition("?")
            fields = dict(
                urllib.parse.parse_qsl(query, keep_blank_values=True)
            )
            if path == "/-/kv-range":
                answer = self._range(fields)
            else:
                answer = await self._watch(fields)
            body = json.dumps(answer).encode()
            writer.write(encode_answer(200, body, {"Store-Era": "1"}))
            await writer.drain()

    def _range(self, fields):
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(fields["prefix"])
            and key > fields.get("after", "")
        )
        return {
            "items": [self._item_by_key[key] for key in keys[:PAGE_SIZE]],
            "hasMore": len(keys) > PAGE_SIZE,
            "currentRev": self._revision,
        }

    async def _watch(self, fields):
        after = int(fields["after"])
        prefix = fields["prefix"]

        def found():
            return [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(fields["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(found)
        except TimeoutError:
            pass  # A watch without a change is answered without events.
        return {"events": found(), "currentRev": self._revision}


class Server(_Listener):
    """Backend server that runs requests in its slots and queues a few.

    It drops a request when its connection closes.
    """

    def __init__(self, server_id, service, slots=12, run_s=0.02):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.run_s = run_s
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        """Of each run: request id, headers and body size."""
        self.runs_by_id = collections.Counter()
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0

    def entry(self, address, zone):
        """Return the next entry with which it registers itself."""
        self.sequence += 1
        return {
            "address": address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self.sequence,
                "coldLeftMs": 0,
            },
        }

    async def _serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            line, headers, body = message
            answering = asyncio.ensure_future(
                self._answer(line, headers, body)
            )
            # Nothing but the end of the connection can come meanwhile.
            ended = asyncio.ensure_future(_wait_for_end(reader))
            try:
                await asyncio.wait(
                    (answering, ended), return_when=asyncio.FIRST_COMPLETED
                )
                if not answering.done():
                    return
            finally:
                answering.cancel()
                ended.cancel()
                await asyncio.wait((answering, ended))
            writer.write(answering.result())
            await writer.drain()

    async def _answer(self, line, headers, body):
        request_id = headers.get("request-id")
        expected = headers.get("expect-instance", self.server_id)
        echoed = {} if request_id is None else {"Request-Id": request_id}
        if expected != self.server_id:
            return encode_answer(
                421, b"", {**echoed, "Instance-Id": self.server_id}
            )
        if self._waiting >= QUEUED_REQUESTS:
            return encode_answer(503, b"", {**echoed, "Not-Executed": "1"})
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if line.split(" ")[1] == "/healthz":
                return encode_answer(
                    200, b"", {"Instance-Id": self.server_id}
                )
            if request_id is None:
                return encode_answer(400, b"", {"Not-Executed": "1"})
            self.runs.append((request_id, headers, len(body)))
            self.runs_by_id[request_id] += 1
            await asyncio.sleep(self.run_s)
        finally:
            self._free.release()
        stamp = {"Server-Stamp": f"stamp-{request_id}"}
        return encode_answer(
            200, f"body of {request_id}".encode(), {**echoed, **stamp}
        )


async def _wait_for_end(reader):
    """Return once the client has ended its side; consume nothing."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


def route(name, prefix, kind, service, timeout_ms, is_public=False):
    return {
        "typeUrl": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": "a.example",
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "public": is_public,
        },
    }


def table(version, routes, services):
    """Return a configuration with one tenant, without a quota."""
    return {
        "version": version,
        "resources": [
            *routes,
            *(
                {
                    "typeUrl": "services",
                    "metadata": {"name": service},
                    "spec": {
                        "healthPath": "/healthz",
                        "maxConns": 110,
                        "protocol": "h1",
                        "tls": False,
                        "coldStartS": 3.0,
                        "coldPerS": 31.0,
                    },
                }
                for service in services
            ),
            {
                "typeUrl": "tenants",
                "metadata": {"name": "tenant-1"},
                "spec": {
                    "apiKeys": ["k1"],
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


def free_ports(hosts, names):
    """Return a port by name that is free on all hosts, and the next too."""
    candidates = iter(random.sample(PORTS, len(PORTS)))
    return {
        name: next(
            port
            for port in candidates
            if all(
                _is_free(host, number)
                for host, number in itertools.product(hosts, (port, port + 1))
            )
        )
        for name in names
    }


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
