"""Stand-in for the platform's key-value store."""

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass
import enum
import json
import typing
import urllib.parse

from jasminecrank.standins.fleet import _http

PAGE_SIZE = 3
"""Items per page; small, so that tests exercise paging."""
PART_S = 0.05
"""Interval at which a slow connection gets a part of a response."""


class Outage(enum.Enum):
    """Failure mode of the store."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    THROTTLED = "many"
    RESET = "reset"


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """Contents of the store at one moment."""

    revision: int
    oldest_revision: int
    item_by_key: dict[str, dict[str, typing.Any]]
    events: tuple[dict[str, typing.Any], ...]


class Store:
    """Items with revisions, served as pages and as watches.

    Writes wait while the store is away.
    """

    def __init__(self) -> None:
        self.outage = Outage.NONE
        self.refused_hosts: set[str] = set()
        """Hosts that get status 503 while other hosts are served."""
        self.bytes_per_s: float | None = None
        """Rate at which each connection is served; None for unlimited."""
        self.request_count = 0
        self.era = 1
        """Rises with each restore."""
        self.encode_era: Callable[[int], str | None] = str
        """Returns the header `Store-Era`, None for no header."""
        self._revision = 10
        self._item_by_key: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._oldest_revision = 10
        self._changed = asyncio.Condition()
        self._available = asyncio.Event()
        self._available.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str) -> int:
        """Listen on a free port of an address and return the port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            self._revision,
            self._oldest_revision,
            dict(self._item_by_key),
            tuple(self._events),
        )

    async def restore(self, copy: StoreCopy, away_s: float) -> None:
        """Take the store away for a while and begin a new era from a copy."""
        await self._wait_until_available()
        self._available.clear()
        self._abort_connections()
        await asyncio.sleep(away_s)
        self._revision = copy.revision
        self._oldest_revision = copy.oldest_revision
        self._item_by_key = dict(copy.item_by_key)
        self._events = list(copy.events)
        self.era += 1
        self._available.set()

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, None if there is none."""
        item = self._item_by_key.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def put(self, key: str, value: object) -> int:
        """Write an item as JSON and return its revision."""
        return await self.put_bytes(key, json.dumps(value).encode())

    async def put_bytes(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        await self._wait_until_available()
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        await self._publish_event(item)
        return self._revision

    async def delete(self, key: str) -> int:
        """Delete an item and return the revision of the deletion."""
        await self._wait_until_available()
        self._revision += 1
        self._item_by_key.pop(key, None)
        await self._publish_event(
            {"key": key, "rev": self._revision, "tombstone": True}
        )
        return self._revision

    async def compact(self) -> None:
        """Discard the history; watches of older revisions get status 410."""
        await self._wait_until_available()
        self._oldest_revision = self._revision + 1
        self._revision += 1
        async with self._changed:
            self._changed.notify_all()

    async def _wait_until_available(self) -> None:
        while not self._available.is_set():
            await self._available.wait()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _publish_event(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _http.read_request(reader)) is not None:
                self.request_count += 1
                response = None
                if self._available.is_set():
                    response = await self._respond(request, writer)
                if response is None:
                    writer.transport.abort()
                    return
                await self._send(response, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass  # The client has disconnected.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send(
        self, response: bytes, writer: asyncio.StreamWriter
    ) -> None:
        rate = self.bytes_per_s
        part_bytes = len(response) if rate is None else round(rate * PART_S)
        for start in range(0, len(response), part_bytes):
            if writer.is_closing():
                raise ConnectionResetError  # uvloop raises another error.
            writer.write(response[start : start + part_bytes])
            await writer.drain()
            if rate is not None:
                await asyncio.sleep(PART_S)

    async def _respond(
        self, request: _http.Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        host = writer.get_extra_info("peername")[0]
        if host in self.refused_hosts:
            return self._encode(503, b"")
        match self.outage:
            case Outage.SILENT:
                await asyncio.sleep(60.0)
                return None
            case Outage.BUSY:
                return self._encode(503, b"")
            case Outage.THROTTLED:
                return self._encode(429, b"")
            case Outage.RESET:
                return None
            case Outage.NONE:
                pass
            case _:
                typing.assert_never(self.outage)
        path, _, query = request.target.partition("?")
        parameters = dict(
            urllib.parse.parse_qsl(query, keep_blank_values=True)
        )
        if path == "/-/kv-range":
            return self._read_range(parameters)
        return await self._wait_for_events(parameters)

    def _encode(self, status: int, body: bytes) -> bytes:
        era = self.encode_era(self.era)
        headers = {} if era is None else {"Store-Era": era}
        return _http.encode_response(status, body, headers)

    def _read_range(self, parameters: dict[str, str]) -> bytes:
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(parameters["prefix"])
            and key > parameters.get("after", "")
        )
        page = [self._item_by_key[key] for key in keys[:PAGE_SIZE]]
        body = {
            "items": page,
            "hasMore": len(keys) > PAGE_SIZE,
            "currentRev": self._revision,
        }
        return self._encode(200, json.dumps(body).encode())

    async def _wait_for_events(self, parameters: dict[str, str]) -> bytes:
        after_revision = int(parameters["after"])
        try:
            async with asyncio.timeout(int(parameters["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: (
                            self._is_unknown(after_revision)
                            or any(
                                event["rev"] > after_revision
                                for event in self._events
                            )
                        )
                    )
        except TimeoutError:
            pass  # A watch without changes returns an empty list of events.
        if self._is_unknown(after_revision):
            return self._encode(410, b"")
        events = [
            event for event in self._events if event["rev"] > after_revision
        ]
        body = {"events": events, "currentRev": self._revision}
        return self._encode(200, json.dumps(body).encode())

    def _is_unknown(self, revision: int) -> bool:
        """Return whether the store can't tell the changes since then."""
        return not self._oldest_revision - 1 <= revision <= self._revision
