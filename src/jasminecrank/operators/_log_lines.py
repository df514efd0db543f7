"""Parser for the JSON log lines of nodes."""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import hashlib
import json
import pathlib
import typing

from jasminecrank import exceptions

_READ_BYTES = 1 << 20


@dataclass(slots=True, frozen=True)
class LogLine:
    """A valid log line with its position in the file."""

    file: str
    line_number: int
    time: str
    host: str
    process: str
    sequence: int
    event: str
    values: Mapping[str, typing.Any]

    def text(self, field: str) -> str:
        """Return a field as text, or an empty string if it is absent."""
        value = self.values.get(field, "")
        return "" if value is None else str(value)


@dataclass(slots=True, frozen=True)
class InvalidLine:
    """A line that does not have the format of node logs."""

    file: str
    line_number: int
    reason: str


def read_lines(path: pathlib.Path) -> Iterator[LogLine | InvalidLine]:
    """Yield the lines of a file; raise LOG_LINE_INVALID if unreadable."""
    try:
        with path.open("rb") as file:
            for line_number, raw in enumerate(file, start=1):
                yield _parse_line(path.name, line_number, raw)
    except OSError as error:
        raise exceptions.JasminecrankError(
            f"{path} cannot be read: {error.strerror}",
            exceptions.ResultCode.LOG_LINE_INVALID,
        ) from None


def order_by_content(
    paths: tuple[pathlib.Path, ...],
) -> tuple[pathlib.Path, ...]:
    """Return the files in an order that depends only on their contents."""
    return tuple(sorted(paths, key=_content_digest))


def _content_digest(path: pathlib.Path) -> bytes:
    digest = hashlib.sha256()
    try:
        with path.open("rb") as file:
            while chunk := file.read(_READ_BYTES):
                digest.update(chunk)
    except OSError as error:
        raise exceptions.JasminecrankError(
            f"{path} cannot be read: {error.strerror}",
            exceptions.ResultCode.LOG_LINE_INVALID,
        ) from None
    return digest.digest()


def _parse_line(
    file: str, line_number: int, raw: bytes
) -> LogLine | InvalidLine:
    if not raw.endswith(b"\n"):
        return InvalidLine(file, line_number, "cut off")
    try:
        values = json.loads(raw)
    except ValueError:
        return InvalidLine(file, line_number, "not JSON")
    if not isinstance(values, dict):
        return InvalidLine(file, line_number, "not a JSON object")
    texts = [values.get(name) for name in ("time", "host", "process", "event")]
    sequence = values.get("sequence")
    if not all(isinstance(text, str) for text in texts):
        return InvalidLine(
            file, line_number, "lacks time, host, process or event"
        )
    if not isinstance(sequence, int) or sequence < 1:
        return InvalidLine(file, line_number, "lacks a sequence number")
    time, host, process, event = (str(text) for text in texts)
    return LogLine(
        file, line_number, time, host, process, sequence, event, values
    )
