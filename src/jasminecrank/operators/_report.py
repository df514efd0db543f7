"""Counts of the monthly report."""

from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
import pathlib
import re
import sqlite3
import tempfile
import typing

from jasminecrank import exceptions
from jasminecrank.operators import _log_lines
from jasminecrank.operators import _sequences

_MONTH = re.compile(r"[0-9]{4}-(0[1-9]|1[0-2])")
_MAX_BUFFERED_KEYS = 50_000
_RESULTS = frozenset({"answered", "replayed", "refused"})
_SCHEMA = """
CREATE TABLE counts (
  service TEXT, team TEXT, version_number INTEGER, version TEXT, kind TEXT,
  result TEXT, code INTEGER, run_state TEXT, count INTEGER,
  PRIMARY KEY (
    service, team, version_number, version, kind, result, code, run_state
  )
) WITHOUT ROWID;
CREATE TABLE problems (
  problem TEXT, place TEXT, detail TEXT, count INTEGER,
  PRIMARY KEY (problem, place, detail)
) WITHOUT ROWID;
"""
_ADD_COUNT = """
INSERT INTO counts VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)
ON CONFLICT DO UPDATE SET count = count + excluded.count
"""
_ADD_PROBLEM = """
INSERT INTO problems VALUES (?, ?, ?, ?)
ON CONFLICT DO UPDATE SET count = count + excluded.count
"""


@dataclass(slots=True, frozen=True, order=True)
class CountKey:
    """The values by which the report groups calls."""

    service: str
    team: str
    version_number: int
    version: str
    kind: str
    result: str
    code: int
    run_state: str


@dataclass(slots=True, frozen=True)
class CountRow:
    """The number of calls with the same key."""

    key: CountKey
    count: int


@dataclass(slots=True, frozen=True)
class ProblemRow:
    """A count of invalid, duplicate, missing or skipped log lines."""

    problem: str
    place: str
    detail: str
    count: int


class MonthlyReport:
    """Counts the calls of one month.

    Counts are kept in a temporary database, so that memory use does not
    depend on the number of lines and versions.
    """

    def __init__(self, month: str, connection: sqlite3.Connection) -> None:
        self.month = month
        self._connection = connection
        self._counts: dict[CountKey, int] = {}
        self._seen_by_process: dict[
            tuple[str, str], _sequences.SequenceSet
        ] = {}

    @classmethod
    @contextlib.contextmanager
    def from_logs(
        cls, month: str, paths: tuple[pathlib.Path, ...]
    ) -> Iterator["MonthlyReport"]:
        """Count the lines of log files; their order does not matter."""
        if not _MONTH.fullmatch(month):
            raise exceptions.SettingError(
                f"--month: {month!r} is not a month in the form YYYY-MM"
            )
        with (
            tempfile.TemporaryDirectory() as directory,
            contextlib.closing(
                sqlite3.connect(pathlib.Path(directory) / "counts")
            ) as connection,
        ):
            connection.executescript(_SCHEMA)
            report = cls(month, connection)
            for path in _log_lines.order_by_content(paths):
                report.add_file(path)
            report.finish()
            yield report

    def add_file(self, path: pathlib.Path) -> None:
        """Count the calls and record the problems of one file."""
        for line in _log_lines.read_lines(path):
            match line:
                case _log_lines.InvalidLine():
                    place = f"{line.file}:{line.line_number}"
                    self._add_problem("broken", place, line.reason)
                case _log_lines.LogLine():
                    self._add_line(line)
                case _:
                    typing.assert_never(line)

    def finish(self) -> None:
        """Store the buffered counts and the gaps in sequence numbers."""
        self._flush()
        for (host, process), seen in self._seen_by_process.items():
            for first, last in seen.gaps():
                self._add_problem(
                    "missing",
                    f"{host}/{process}",
                    f"sequence {first} to {last}",
                    last - first + 1,
                )

    def rows(self) -> Iterator[CountRow]:
        """Yield the counts, ordered by key."""
        cursor = self._connection.execute(
            "SELECT * FROM counts ORDER BY service, team, version_number, "
            "version, kind, result, code, run_state"
        )
        for *key, count in cursor:
            yield CountRow(CountKey(*key), count)

    def totals(self) -> Iterator[CountRow]:
        """Yield the counts of each service and team, summed over versions."""
        cursor = self._connection.execute(
            "SELECT service, team, 0, '', kind, result, code, run_state, "
            "SUM(count) FROM counts GROUP BY service, team, kind, result, "
            "code, run_state ORDER BY service, team, kind, result, code, "
            "run_state"
        )
        for *key, count in cursor:
            yield CountRow(CountKey(*key), count)

    def problems(self) -> Iterator[ProblemRow]:
        """Yield the lines that are not counted, ordered by kind and place."""
        cursor = self._connection.execute(
            "SELECT * FROM problems ORDER BY problem, place, detail"
        )
        for row in cursor:
            yield ProblemRow(*row)

    def _add_line(self, line: _log_lines.LogLine) -> None:
        process = (line.host, line.process)
        seen = self._seen_by_process.setdefault(
            process, _sequences.SequenceSet()
        )
        if not seen.add(line.sequence):
            self._add_problem(
                "doubled",
                f"{line.host}/{line.process}",
                f"sequence {line.sequence}",
            )
            return
        if line.event != "call" or line.text("result") == "forwarded":
            return
        if not line.time.startswith(self.month):
            self._add_problem("other month", line.time[:7], "call")
            return
        key = _count_key(line)
        if key is None:
            place = f"{line.file}:{line.line_number}"
            self._add_problem("broken", place, "call without known result")
            return
        self._counts[key] = self._counts.get(key, 0) + 1
        if len(self._counts) >= _MAX_BUFFERED_KEYS:
            self._flush()

    def _flush(self) -> None:
        self._connection.executemany(
            _ADD_COUNT,
            (
                (
                    key.service,
                    key.team,
                    key.version_number,
                    key.version,
                    key.kind,
                    key.result,
                    key.code,
                    key.run_state,
                    count,
                )
                for key, count in self._counts.items()
            ),
        )
        self._counts.clear()

    def _add_problem(
        self, problem: str, place: str, detail: str, count: int = 1
    ) -> None:
        self._connection.execute(_ADD_PROBLEM, (problem, place, detail, count))


def _count_key(line: _log_lines.LogLine) -> CountKey | None:
    version = line.text("table_version")
    version_number, _, _ = version.partition("-")
    code = line.values.get("result_code", 0)
    if (
        line.text("result") not in _RESULTS
        or not version_number.isascii()
        or not version_number.isdigit()
        or not isinstance(code, int)
    ):
        return None
    return CountKey(
        service=line.text("service"),
        team=line.text("team"),
        version_number=int(version_number),
        version=version,
        kind=line.text("kind"),
        result=line.text("result"),
        code=code,
        run_state=line.text("run_state"),
    )
