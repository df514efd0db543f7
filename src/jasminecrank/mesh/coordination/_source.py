"""The task that reads and watches the source."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _mailbox
from jasminecrank.mesh.coordination import _messages

WATCH_TIMEOUT_S = 1.0
"""Longest wait of a watch; its end shows that the source is reachable.

Peers judge a watcher by it, so it stays below the age at which they watch
for themselves.
"""
WATCH_INTERVAL_S = 0.2
"""Least time between two watches, so that changes are read together."""
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.8
"""Back-off after a failed read, within the 2 s for a new table."""


@dataclass(slots=True, frozen=True)
class Page:
    """Some entries of the source, in the order of their keys."""

    items: tuple[state.SourceItem, ...]
    has_more: bool
    revision: int


@dataclass(slots=True, frozen=True)
class Changes:
    """What changed after a revision, up to another."""

    items: tuple[state.SourceItem, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class HistoryGone:
    """The source has dropped the history after the asked revision."""


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The source gave no usable answer."""

    reason: str


class SourcePort(typing.Protocol):
    """Reading calls of the source."""

    async def read_page(self, after_key: str) -> Page | Unavailable:
        """Return the entries that follow a key."""

    async def watch(
        self, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Wait for changes after a revision."""


class SourceTask:
    """Owns the reading position in the source."""

    def __init__(
        self,
        port: SourcePort,
        tell: Callable[[_messages.FleetMessage], None],
        rng: random.Random,
        log: _mailbox.Log,
    ) -> None:
        self._port = port
        self._tell = tell
        self._rng = rng
        self._log = log
        self._enabled = asyncio.Event()
        self._enabled.set()
        self._revision: int | None = None
        self._failures = 0

    def set_watching(self, watching: bool) -> None:
        """Begin or stop to watch."""
        if watching:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def run(self) -> None:
        """Read and watch until the task is cancelled."""
        while True:
            await self._enabled.wait()
            try:
                await self._read_once()
            except Exception as error:
                self._log.failure("source-failed", error)
                await self._back_off("unexpected answer")

    async def _read_once(self) -> None:
        if self._revision is None:
            await self._read_all()
            return
        self._log.count("source_calls", "watch")
        result = await self._port.watch(self._revision, WATCH_TIMEOUT_S)
        match result:
            case Changes(items, revision):
                self._record_success()
                self._revision = max(self._revision, revision)
                self._tell(_messages.ChangesRead(items, revision))
                await asyncio.sleep(WATCH_INTERVAL_S)
            case HistoryGone():
                self._log.decision("history-gone", revision=self._revision)
                self._revision = None
            case Unavailable(reason):
                await self._back_off(reason)
            case _:
                typing.assert_never(result)

    async def _read_all(self) -> None:
        items: list[state.SourceItem] = []
        start_revision = None
        after_key = ""
        while True:
            self._log.count("source_calls", "list")
            page = await self._port.read_page(after_key)
            match page:
                case Unavailable(reason):
                    await self._back_off(reason)
                    return
                case Page():
                    pass
                case _:
                    typing.assert_never(page)
            if start_revision is None:
                start_revision = page.revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after_key = page.items[-1].key
        self._record_success()
        self._revision = start_revision
        self._tell(_messages.ListingRead(tuple(items), start_revision))

    def _record_success(self) -> None:
        if self._failures:
            self._tell(_messages.SourceRecovered())
        self._failures = 0

    async def _back_off(self, reason: str) -> None:
        if self._failures == 0:
            self._tell(_messages.SourceLost(reason))
        self._failures += 1
        self._log.count("source_calls", "failed")
        delay_s = min(RETRY_MAX_S, RETRY_FIRST_S * 2**self._failures)
        await asyncio.sleep(delay_s * (0.5 + self._rng.random()))
