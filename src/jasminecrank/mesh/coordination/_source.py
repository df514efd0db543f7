"""Task that reads and watches the configuration source."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import random
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _mailbox
from jasminecrank.mesh.coordination import _messages

SOURCE_ORIGIN = "source"
"""Logged origin of entries that this node has read from the source."""
WATCH_TIMEOUT_S = 0.6
"""Longest duration of one watch request.

Its end confirms that the source is reachable. Peers rely on this, so it must
be below the age at which they start to watch the source themselves.
"""
WATCH_PAUSE_S = 0.2
"""Time from the start of a successful reply of a watch to the next one.

It lets changes be read in batches.
"""
LISTING_PAUSE_S = 0.02
"""Time after a listing in which the node may leave the watch to others."""
MIN_CHANGES_BYTES = 65_536
"""Size of changes up to which a listing is never preferred."""
CHANGES_TO_LISTING_RATIO = 1.5
"""Size of changes, relative to a listing, above which a listing is read."""
MAX_LISTING_BYTES = 64 * 1024 * 1024
"""Size of a listing above which it is given up."""
MAX_LISTING_PAGES = 10_000
ITEM_OVERHEAD_BYTES = 256
"""Size of an entry in memory besides its key and value."""
REASON_LISTING_TOO_LARGE = "listing-too-large"
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.8
"""Longest back-off after a failed read.

It leaves room in the 2 s within which a new table has to be active.
"""


@dataclass(slots=True, frozen=True)
class Page:
    """One page of the source's entries, ordered by key."""

    items: tuple[state.SourceItem, ...]
    has_more: bool
    revision: int
    transfer_s: float = 0.0
    """Time in which the response was received, once it had begun."""
    last_key: str = ""
    """Key after which the next page begins, if there is one."""
    rejected: tuple[str, ...] = ()
    """Why the other items of the page can't be used."""


@dataclass(slots=True, frozen=True)
class Changes:
    """Entries that changed after one revision, up to another."""

    items: tuple[state.SourceItem, ...]
    revision: int
    transfer_s: float = 0.0
    """Time in which the response was received, once it had begun."""
    rejected: tuple[str, ...] = ()
    """Why the other changes can't be used."""


@dataclass(slots=True, frozen=True)
class ChangesTooLarge:
    """The changes after a revision exceed the bytes that were asked for."""


@dataclass(slots=True, frozen=True)
class HistoryGone:
    """The source no longer has the changes after the requested revision."""


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The source could not be reached or sent no usable reply."""

    reason: str


class SourcePort(typing.Protocol):
    """Read operations of the source."""

    async def read_page(
        self, after_key: str, on_reply: Callable[[], None]
    ) -> Page | Unavailable:
        """Return a page of the entries that follow a key.

        `on_reply` is called when the source begins to reply with entries.
        """

    async def watch(
        self,
        after_revision: int,
        wait_s: float,
        max_bytes: int,
        on_reply: Callable[[], None],
    ) -> Changes | ChangesTooLarge | HistoryGone | Unavailable:
        """Wait for changes after a revision."""


class SourceTask:
    """Keeps the revision up to which the source has been read.

    It lists all entries first, then watches for changes. It lists them again
    if the source no longer has the changes, or if a listing is shorter since
    it has only the last change of each entry.
    """

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
        self._max_changes_bytes = MIN_CHANGES_BYTES

    def set_watching(self, watching: bool) -> None:
        """Start or stop watching the source."""
        if watching:
            self._enabled.set()
        else:
            self._enabled.clear()

    def skip_to(self, revision: int) -> None:
        """Read only changes after a revision, since the others are known."""
        self._revision = max(revision, self._revision or 0)

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
        result = await self._port.watch(
            self._revision,
            WATCH_TIMEOUT_S,
            self._max_changes_bytes,
            self._replied,
        )
        match result:
            case Changes(items, revision, transfer_s, rejected):
                self._record_success()
                self._log_rejected(rejected, revision)
                self._log_read("watch", items, revision, transfer_s)
                self.skip_to(revision)
                self._tell(_messages.ChangesRead(items, revision))
                await asyncio.sleep(max(0.0, WATCH_PAUSE_S - transfer_s))
            case ChangesTooLarge():
                self._log.decision(
                    "changes-too-large",
                    after_revision=self._revision,
                    max_bytes=self._max_changes_bytes,
                )
                await self._read_all()
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
        transfer_s = 0.0
        after_key = ""
        pages = 0
        held_bytes = 0
        while True:
            self._log.count("source_calls", "list")
            page = await self._port.read_page(after_key, self._replied)
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
            transfer_s += page.transfer_s
            self._log_rejected(page.rejected, page.revision)
            if not page.has_more:
                break
            pages += 1
            held_bytes += _held_bytes(page.items)
            if pages >= MAX_LISTING_PAGES or held_bytes > MAX_LISTING_BYTES:
                self._log.count("source_calls", REASON_LISTING_TOO_LARGE)
                await self._back_off(REASON_LISTING_TOO_LARGE)
                return
            if page.last_key <= after_key:
                await self._back_off("a page does not advance")
                return
            after_key = page.last_key
        self._record_success()
        self._max_changes_bytes = MIN_CHANGES_BYTES + round(
            CHANGES_TO_LISTING_RATIO * _wire_bytes(items)
        )
        self._log_read("list", items, start_revision, transfer_s)
        if items:
            self.skip_to(start_revision)
        self._tell(_messages.ListingRead(tuple(items), start_revision))
        await asyncio.sleep(LISTING_PAUSE_S)

    def _replied(self) -> None:
        """Report a reply at its start, since a large one takes seconds."""
        self._tell(_messages.SourceReplied())

    def _log_rejected(self, reasons: Sequence[str], revision: int) -> None:
        for reason in reasons:
            self._log.count("entries", "rejected")
            self._log.decision(
                "entry-rejected",
                reason=reason,
                source_revision=revision,
                origin=SOURCE_ORIGIN,
            )

    def _log_read(
        self,
        kind: str,
        items: Sequence[state.SourceItem],
        revision: int,
        transfer_s: float,
    ) -> None:
        """Log a read that returned entries.

        Entries that a later one of the same read replaces were received for
        nothing.
        """
        if not items:
            return
        self._log.observe("source_transfer", transfer_s)
        self._log.decision(
            "source-read",
            kind=kind,
            after_revision=self._revision,
            revision=revision,
            entries=len(items),
            superseded=len(items) - len({item.key for item in items}),
            bytes=sum(len(item.value or b"") for item in items),
            transfer_ms=round(1000 * transfer_s),
        )

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


def _held_bytes(items: Sequence[state.SourceItem]) -> int:
    """Return the size of entries in memory."""
    return sum(
        len(item.key) + len(item.value or b"") + ITEM_OVERHEAD_BYTES
        for item in items
    )


def _wire_bytes(items: Sequence[state.SourceItem]) -> int:
    """Return the size of entries in a reply, in which values are base64."""
    return sum(
        len(item.key) + 4 * len(item.value or b"") // 3 for item in items
    )
