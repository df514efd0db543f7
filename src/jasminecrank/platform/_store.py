"""Client for reading the platform's store."""

import asyncio
import base64
import binascii
from collections.abc import Callable
from collections.abc import Sequence
import urllib.parse

import msgspec

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh import transport
from jasminecrank.platform import _schema

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
"""Timeout for the start of a response, which usually takes about 4 ms.

It is also the longest pause between its parts. The whole response may take
longer: a megabyte takes 2 s on a link of 5 Mbit/s.
"""
TRANSFER_GRACE_S = 5.0
"""Time that a response may take beyond that at the slowest rate."""
MIN_TRANSFER_BYTES_PER_S = 16_384
"""Slowest rate at which a response is received to its end."""


class PlatformStore:
    """Reads entries over a persistent connection to the store."""

    def __init__(
        self,
        address: tuple[str, int],
        local_host: str | None = None,
        turns: transport.ReadTurns | None = None,
    ) -> None:
        self._address = address
        self._turns = turns
        self._local_host = local_host
        self._host_header = f"{address[0]}:{address[1]}".encode()
        self._connection: transport.ClientConnection | None = None

    async def read_page(
        self, after_key: str, on_reply: Callable[[], None]
    ) -> coordination.Page | coordination.Unavailable:
        """Return a page of the entries after a key."""
        query = {"prefix": "", "after": after_key}
        if not after_key:
            del query["after"]
        try:
            raw = await self._get(
                "/-/kv-range", query, READ_TIMEOUT_S, on_reply
            )
            era = read_era(raw.headers)
            if raw.status != 200:
                return coordination.Unavailable(f"status {raw.status}", era)
            return decode_page(bytes(raw.body), self._transfer_s, era)
        except _READ_ERRORS as error:
            return self._unavailable(error)

    async def watch(
        self,
        after_revision: int,
        wait_s: float,
        max_bytes: int,
        on_reply: Callable[[], None],
    ) -> (
        coordination.Changes
        | coordination.ChangesTooLarge
        | coordination.HistoryGone
        | coordination.Unavailable
    ):
        """Return the changes after a revision, waiting for one if needed."""
        query = {
            "prefix": "",
            "after": str(after_revision),
            "waitMs": str(round(wait_s * 1000)),
        }
        try:
            raw = await self._get(
                "/-/kv-watch",
                query,
                wait_s + READ_TIMEOUT_S,
                on_reply,
                max_bytes,
            )
            era = read_era(raw.headers)
            if raw.status == 410:
                return coordination.HistoryGone(era)
            if raw.status != 200:
                return coordination.Unavailable(f"status {raw.status}", era)
            return decode_changes(bytes(raw.body), self._transfer_s, era)
        except _READ_ERRORS as error:
            unavailable = self._unavailable(error)
            if unavailable.reason == transport.REASON_TOO_LARGE:
                return coordination.ChangesTooLarge()
            return unavailable

    @property
    def _transfer_s(self) -> float:
        return 0.0 if self._connection is None else self._connection.transfer_s

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        on_reply: Callable[[], None],
        max_bytes: int = transport.MAX_BODY_BYTES,
    ) -> protocol.RawResponse:
        target = f"{path}?{urllib.parse.urlencode(query)}".encode()
        request = protocol.RawRequest(
            b"GET", target, ((b"Host", self._host_header),), b""
        )
        if self._connection is None or not self._connection.usable:
            self._connection = await transport.connect(
                *self._address,
                CONNECT_TIMEOUT_S,
                self._local_host,
                self._turns,
            )
        connection = self._connection
        loop = asyncio.get_running_loop()
        replied = False
        began_at_s: float | None = None

        def on_progress() -> None:
            nonlocal replied, began_at_s
            now_s = loop.time()
            if began_at_s is None:
                began_at_s = now_s
            transfer_s = connection.received_bytes / MIN_TRANSFER_BYTES_PER_S
            timeout.reschedule(
                min(
                    now_s + READ_TIMEOUT_S,
                    began_at_s + TRANSFER_GRACE_S + transfer_s,
                )
            )
            if not replied and connection.response_status == 200:
                replied = True
                on_reply()

        async with asyncio.timeout(timeout_s) as timeout:
            return await connection.exchange(
                request, None, max_bytes, on_progress
            )

    def _unavailable(self, error: Exception) -> coordination.Unavailable:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
        reason = str(error) or type(error).__name__
        return coordination.Unavailable(reason)


_ERA_HEADER = b"store-era"
_MAX_ERA_DIGITS = 20
_MAX_LOGGED_BYTES = 100

_READ_ERRORS = (
    OSError,
    TimeoutError,
    transport.Broken,
    ValueError,
    RecursionError,
)
_page_decoder = msgspec.json.Decoder(_schema.ItemPage)
_events_decoder = msgspec.json.Decoder(_schema.ItemEvents)
_head_decoder = msgspec.json.Decoder(_schema.ItemHead)
_key_decoder = msgspec.json.Decoder(_schema.ItemKey)
_value_decoder = msgspec.json.Decoder(_schema.ItemValue)


def read_era(headers: state.Headers) -> coordination.SourceEra:
    """Return the era of the store that a response names."""
    value = protocol.find_header(headers, _ERA_HEADER)
    if value is None:
        return coordination.UnnamedEra()
    text = value.strip()
    # Python's int() also takes signs, underscores and other digits.
    if text.isdigit() and len(text) <= _MAX_ERA_DIGITS:
        number = int(text)
        if number <= _schema.MAX_INTEGER:
            return coordination.NamedEra(number)
    return coordination.InvalidEra(
        text[:_MAX_LOGGED_BYTES].decode(errors="replace")
    )


def decode_page(
    body: bytes,
    transfer_s: float,
    era: coordination.SourceEra,
) -> coordination.Page:
    """Return a page of items; raise ValueError if it can't be read."""
    page = _page_decoder.decode(body)
    items, rejected = _decode_items(page.items)
    last_key = _last_key(page.items)
    if page.has_more and not last_key:
        raise ValueError("a page has no key after which to read on")
    return coordination.Page(
        items,
        page.has_more,
        page.revision,
        transfer_s,
        last_key,
        rejected,
        era,
    )


def decode_changes(
    body: bytes,
    transfer_s: float,
    era: coordination.SourceEra,
) -> coordination.Changes:
    """Return changes of items; raise ValueError if they can't be read."""
    changes = _events_decoder.decode(body)
    items, rejected = _decode_items(changes.events)
    return coordination.Changes(
        items, changes.revision, transfer_s, rejected, era
    )


def _decode_items(
    raw_items: Sequence[msgspec.Raw],
) -> tuple[tuple[state.SourceItem, ...], tuple[str, ...]]:
    """Return the usable items, and why the others are left out."""
    items = []
    rejected = []
    for raw in raw_items:
        try:
            items.append(_decode_item(raw))
        except (ValueError, RecursionError) as error:
            rejected.append(f"item: {type(error).__name__}: {error}")
    return tuple(items), tuple(rejected)


def _decode_item(raw: msgspec.Raw) -> state.SourceItem:
    head = _head_decoder.decode(raw)
    if len(head.key.encode()) > _schema.MAX_KEY_BYTES:
        raise ValueError(f"key: more than {_schema.MAX_KEY_BYTES} bytes")
    value = None if head.removed else _decode_value(raw)
    position = state.Position(state.UNKNOWN_ERA, head.revision)
    return state.SourceItem(head.key, position, value)


def _decode_value(raw: msgspec.Raw) -> bytes:
    """Return the value of an item, empty if it can't be read.

    An empty value is no valid entry, and replaces an earlier one of its key.
    """
    try:
        return base64.b64decode(
            _value_decoder.decode(raw).value, validate=True
        )
    except (ValueError, RecursionError, binascii.Error):
        return b""


def _last_key(raw_items: Sequence[msgspec.Raw]) -> str:
    """Return the last key that can be read, or an empty string."""
    for raw in reversed(raw_items):
        try:
            return _key_decoder.decode(raw).key
        except (ValueError, RecursionError):
            continue
    return ""
