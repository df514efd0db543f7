"""Task that reads and watches the configuration source."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import enum
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
READERS_LEAD_S = 0.9
"""Least time that the readers of the source have to list a new era.

Other nodes that watch it in their place get the entries from them, instead of
listing the source all at once.
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
REASON_OUTDATED = "reply-of-an-earlier-era"
UNNAMED_ERA = 0
"""Era of a source that has not named one."""
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.8
"""Longest back-off after a failed read.

It leaves room in the 2 s within which a new table has to be active.
"""


@dataclass(slots=True, frozen=True)
class NamedEra:
    """A reply names the era of the source, which rises with each restore."""

    number: int


@dataclass(slots=True, frozen=True)
class UnnamedEra:
    """A reply does not name the era of the source."""


@dataclass(slots=True, frozen=True)
class InvalidEra:
    """A reply names an era that can't be used."""

    text: str


SourceEra = NamedEra | UnnamedEra | InvalidEra


@dataclass(slots=True, frozen=True)
class Page:
    """One page of the source's entries, ordered by key.

    Their positions have no era; that of the reply holds.
    """

    items: tuple[state.SourceItem, ...]
    has_more: bool
    revision: int
    transfer_s: float = 0.0
    """Time in which the response was received, once it had begun."""
    last_key: str = ""
    """Key after which the next page begins, if there is one."""
    rejected: tuple[str, ...] = ()
    """Why the other items of the page can't be used."""
    era: SourceEra = UnnamedEra()


@dataclass(slots=True, frozen=True)
class Changes:
    """Entries that changed after one revision, up to another."""

    items: tuple[state.SourceItem, ...]
    revision: int
    transfer_s: float = 0.0
    """Time in which the response was received, once it had begun."""
    rejected: tuple[str, ...] = ()
    """Why the other changes can't be used."""
    era: SourceEra = UnnamedEra()


@dataclass(slots=True, frozen=True)
class ChangesTooLarge:
    """The changes after a revision exceed the bytes that were asked for."""

    era: SourceEra = UnnamedEra()


@dataclass(slots=True, frozen=True)
class HistoryGone:
    """The source does not have the changes after the requested revision."""

    era: SourceEra = UnnamedEra()


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The source could not be reached or sent no usable reply."""

    reason: str
    era: SourceEra = UnnamedEra()


Reply = Page | Changes | ChangesTooLarge | HistoryGone | Unavailable


class EraStep(enum.Enum):
    """How the era of a reply compares with the one known so far."""

    SAME = "same"
    BEGUN = "begun"
    """The source has been restored, and its entries are to be listed."""
    LEARNT = "learnt"
    """A peer has named it since the request, which continued another era."""
    OUTDATED = "outdated"
    """The reply was sent before the source was restored."""


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
    """Keeps the position up to which the source has been read.

    It lists all entries first, then watches for changes. It lists them again
    if the source no longer has the changes, if it has been restored, or if a
    listing is shorter since it has only the last change of each entry.
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
        self._era = state.UNKNOWN_ERA
        self._position: state.Position | None = None
        self._must_list = False
        self._is_reader = True
        self._failures = 0
        self._max_changes_bytes = MIN_CHANGES_BYTES

    def set_watching(self, watching: bool, is_reader: bool) -> None:
        """Start or stop watching the source, for others or in their place."""
        self._is_reader = is_reader
        if watching:
            self._enabled.set()
        else:
            self._enabled.clear()

    def skip_to(self, position: state.Position) -> None:
        """Read only changes after a position, since the others are known.

        One of an earlier era is of entries that the source may have lost.
        """
        if position.era < self._era:
            return
        self._era = max(self._era, position.era)
        self._position = max(position, self._position or position)

    def list_again(self) -> None:
        """Read all entries next, also those that have not changed."""
        self._must_list = True

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
        if self._position is None or self._must_list:
            await self._read_all()
            return
        self._log.count("source_calls", "watch")
        asked_era = self._era
        result = await self._port.watch(
            self._position.revision,
            WATCH_TIMEOUT_S,
            self._max_changes_bytes,
            self._replied,
        )
        match self._compare_era(result, asked_era):
            case EraStep.BEGUN:
                # What was read is no continuation.
                if not self._is_reader:
                    await asyncio.sleep(
                        READERS_LEAD_S * (1.0 + 0.5 * self._rng.random())
                    )
                return
            case EraStep.LEARNT:
                return
            case EraStep.OUTDATED:
                await self._back_off(REASON_OUTDATED)
                return
            case EraStep.SAME:
                pass
            case step:
                typing.assert_never(step)
        match result:
            case Changes(items, revision, transfer_s, rejected):
                self._record_success()
                self._log_rejected(rejected, revision)
                self._log_read("watch", items, revision, transfer_s)
                position = state.Position(self._era, revision)
                self.skip_to(position)
                self._tell(
                    _messages.ChangesRead(self._in_era(items), position)
                )
                await asyncio.sleep(max(0.0, WATCH_PAUSE_S - transfer_s))
            case ChangesTooLarge():
                self._log.decision(
                    "changes-too-large",
                    after_revision=self._position.revision,
                    max_bytes=self._max_changes_bytes,
                )
                await self._read_all()
            case HistoryGone():
                self._log.decision(
                    "history-gone",
                    era=self._era,
                    revision=self._position.revision,
                )
                self._position = None
            case Unavailable(reason):
                await self._back_off(reason)
            case _:
                typing.assert_never(result)

    async def _read_all(self) -> None:
        items: list[state.SourceItem] = []
        self._must_list = False
        start_revision = None
        transfer_s = 0.0
        after_key = ""
        pages = 0
        held_bytes = 0
        while True:
            self._log.count("source_calls", "list")
            asked_era = self._era
            page = await self._port.read_page(after_key, self._replied)
            match self._compare_era(page, asked_era):
                case EraStep.BEGUN | EraStep.LEARNT if (
                    start_revision is not None
                ):
                    return  # The pages before are of another era.
                case EraStep.BEGUN | EraStep.LEARNT | EraStep.SAME:
                    pass
                case EraStep.OUTDATED:
                    await self._back_off(REASON_OUTDATED)
                    return
                case step:
                    typing.assert_never(step)
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
            items.extend(self._in_era(page.items))
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
        start = state.Position(self._era, start_revision)
        if items:
            self.skip_to(start)
        self._tell(_messages.ListingRead(tuple(items), start))
        await asyncio.sleep(LISTING_PAUSE_S)

    def _in_era(
        self, items: Iterable[state.SourceItem]
    ) -> tuple[state.SourceItem, ...]:
        return tuple(
            item.at(item.position.in_era(self._era)) for item in items
        )

    def _compare_era(self, reply: Reply, asked_era: int) -> EraStep:
        """Compare the era of a reply with the known one, and store it.

        `asked_era`: the one that was known when the request was sent.
        """
        match reply.era:
            case UnnamedEra() if isinstance(reply, Unavailable):
                return EraStep.SAME  # It may not be from the source.
            case UnnamedEra():
                number = max(self._era, UNNAMED_ERA)
            case InvalidEra(text):
                self._log.count("source_eras", "rejected")
                self._log.decision("era-rejected", text=text, era=self._era)
                number = max(self._era, UNNAMED_ERA)
            case NamedEra(number):
                pass
            case era:
                typing.assert_never(era)
        if number < self._era:
            self._log.count("source_eras", "outdated")
            self._log.decision("era-rejected", text=str(number), era=self._era)
            return EraStep.OUTDATED
        if number == self._era:
            return EraStep.SAME if asked_era == number else EraStep.LEARNT
        if self._era != state.UNKNOWN_ERA:
            self._log.count("source_eras", "begun")
        self._log.decision(
            "source-era",
            era=number,
            previous_era=self._era,
            revision=None
            if self._position is None
            else (self._position.revision),
        )
        self._era = number
        self._position = None
        return EraStep.BEGUN

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
            after_revision=(
                None if self._position is None else self._position.revision
            ),
            era=self._era,
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
