"""Timeline of the events of all processes in causal order."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import datetime
import heapq
import pathlib
import typing

import urllib3

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.operators import _log_lines

_HIDDEN_FIELDS = frozenset(
    {
        "time",
        "level",
        "host",
        "data_centre",
        "process",
        "sequence",
        "event",
        "stamp",
    }
)
_TIMEOUT_S = 2.0


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """Sort key in causal order: logical time, then host and sequence."""

    wall_ms: int
    counter: int
    host: str
    sequence: int


@dataclass(slots=True, frozen=True)
class TimelineEntry:
    """An event of one process."""

    position: Position
    event: str
    fields: Mapping[str, str]

    def text(self) -> str:
        """Return the fields as space-separated key=value pairs."""
        return " ".join(f"{key}={value}" for key, value in self.fields.items())


@dataclass(slots=True, frozen=True)
class TimelineFilter:
    """Selects entries; an empty string matches everything."""

    team: str = ""
    service: str = ""
    request_id: str = ""
    version: str = ""
    host: str = ""

    def matches(self, entry: TimelineEntry) -> bool:
        """Return whether an entry passes all criteria."""
        fields = entry.fields
        return (
            _matches(self.team, fields.get("team"))
            and _matches(self.service, fields.get("service"))
            and _matches(self.request_id, fields.get("request_id"))
            and _matches(self.host, entry.position.host)
            and (
                not self.version
                or any(
                    value == self.version
                    or value.startswith(f"{self.version}-")
                    for key, value in fields.items()
                    if key in ("version", "table_version")
                )
            )
        )


def _matches(wanted: str, found: str | None) -> bool:
    return not wanted or wanted == found


@dataclass(slots=True)
class _ProcessClock:
    """Orders lines without a stamp among the stamped ones of a process."""

    last_stamp: tuple[int, int] = (0, 0)

    def position(self, line: _log_lines.LogLine) -> Position:
        stamp = line.values.get("stamp")
        if isinstance(stamp, list) and len(stamp) == 2:
            logical_time = (int(stamp[0]), int(stamp[1]))
        else:
            logical_time = (_wall_ms(line.time), 0)
        self.last_stamp = max(self.last_stamp, logical_time)
        return Position(*self.last_stamp, line.host, line.sequence)


def _wall_ms(text: str) -> int:
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return 0
    return int(time.timestamp() * 1000)


def read_log_timeline(
    paths: Iterable[pathlib.Path],
) -> Iterator[TimelineEntry]:
    """Yield the entries of log files in causal order.

    Each file must hold the lines of one host in the order of writing.
    """
    merged = heapq.merge(
        *(_read_file(path) for path in paths),
        key=lambda entry: entry.position,
    )
    yield from _without_duplicates(merged)


def _without_duplicates(
    entries: Iterable[TimelineEntry],
) -> Iterator[TimelineEntry]:
    last: TimelineEntry | None = None
    for entry in entries:
        if entry != last:
            yield entry
        last = entry


def _read_file(path: pathlib.Path) -> Iterator[TimelineEntry]:
    clock_by_process: dict[tuple[str, str], _ProcessClock] = {}
    for line in _log_lines.read_lines(path):
        match line:
            case _log_lines.InvalidLine():
                continue
            case _log_lines.LogLine():
                clock = clock_by_process.setdefault(
                    (line.host, line.process), _ProcessClock()
                )
                yield TimelineEntry(
                    clock.position(line), line.event, _fields(line.values)
                )
            case _:
                typing.assert_never(line)


def _fields(values: Mapping[str, typing.Any]) -> dict[str, str]:
    return {
        key: str(value)
        for key, value in values.items()
        if key not in _HIDDEN_FIELDS
    }


def read_fleet_timeline(
    hosts: Iterable[state.HostRow],
) -> Iterator[TimelineEntry]:
    """Yield the entries of all nodes' event rings in causal order."""
    entries: list[TimelineEntry] = []
    for row in hosts:
        entries.extend(_read_event_ring(row))
    entries.sort(key=lambda entry: entry.position)
    yield from entries


def _read_event_ring(row: state.HostRow) -> Iterator[TimelineEntry]:
    url = f"http://{row.address}:{row.admin_port}/events"
    try:
        response = urllib3.request(
            "GET", url, timeout=_TIMEOUT_S, retries=False
        )
        events = response.json()
    except (urllib3.exceptions.HTTPError, ValueError):
        raise exceptions.JasminecrankError(
            f"host {row.host!r} does not answer on its admin port",
            exceptions.ResultCode.NOT_FOUND,
        ) from None
    for sequence, values in enumerate(events):
        wall_ms, counter = values["stamp"]
        yield TimelineEntry(
            Position(wall_ms, counter, row.host, sequence),
            values["event"],
            _fields(values),
        )
