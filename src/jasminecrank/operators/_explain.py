"""Explanation of a call from its log lines and the table rows it used."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
import pathlib

from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.operators import _log_lines


@dataclass(slots=True, frozen=True)
class CallTrace:
    """The log lines of one call, ordered by time."""

    request_id: str
    lines: tuple[_log_lines.LogLine, ...]

    @classmethod
    def from_logs(
        cls, request_id: str, paths: Iterable[pathlib.Path]
    ) -> "CallTrace":
        """Return the trace; raise NOT_FOUND if no line has the request ID."""
        found = [
            line
            for path in paths
            for line in _log_lines.read_lines(path)
            if isinstance(line, _log_lines.LogLine)
            and line.event == "call"
            and line.text("request_id") == request_id
        ]
        if not found:
            raise exceptions.JasminecrankError(
                f"no log line has the request ID {request_id!r}",
                exceptions.ResultCode.NOT_FOUND,
            )
        found.sort(key=lambda line: (line.time, line.host, line.sequence))
        return cls(request_id, tuple(found))


def read_tables(
    paths: Iterable[pathlib.Path],
) -> dict[str, state.Document]:
    """Return the compiled tables by version."""
    by_version: dict[str, state.Document] = {}
    for path in paths:
        try:
            payload = path.read_bytes()
        except OSError as error:
            raise exceptions.TableError(
                f"{path} cannot be read: {error.strerror}"
            ) from None
        document = protocol.decode_published(state.DocumentName.TABLE, payload)
        by_version[str(document.version)] = document
    return by_version


def explain_call(
    trace: CallTrace, by_version: dict[str, state.Document]
) -> Iterator[str]:
    """Yield the outcome of each log line and the rows of its version."""
    yield f"request {trace.request_id}"
    for line in trace.lines:
        yield from _explain_line(line, by_version)


def _explain_line(
    line: _log_lines.LogLine, by_version: dict[str, state.Document]
) -> Iterator[str]:
    yield ""
    yield f"{line.time} on host {line.host}: {_outcome(line)}"
    yield f"  {line.text('method')} {line.text('path')}"
    yield f"  team {line.text('team') or '-'}"
    attempts = line.text("attempts")
    if attempts and attempts != "1":
        yield f"  attempts {attempts}"
    version = line.text("table_version")
    yield f"  table version in force: {version}"
    document = by_version.get(version)
    if document is None:
        yield "  rows: this version is not among the given tables"
        return
    for key in _row_keys(line):
        row = document.by_key.get(key)
        yield f"  {key}: {row if row is not None else 'no such row'}"


def _row_keys(line: _log_lines.LogLine) -> Iterator[str]:
    service, team = line.text("service"), line.text("team")
    route = line.text("route")
    if route:
        yield f"route/{route}"
    if service and team:
        yield f"limit/{service}/{team}"
    if service:
        yield f"service/{service}"


def _outcome(line: _log_lines.LogLine) -> str:
    result = line.text("result")
    if result == "forwarded":
        return f"forwarded to host {line.text('to_host')}"
    if result != "refused":
        return f"{result} with status {line.text('status')}"
    code = line.values.get("result_code", -1)
    try:
        name = exceptions.ResultCode(code).name
    except ValueError:
        name = "unknown code"
    return f"refused, {code} {name}, {line.text('run_state')}"
