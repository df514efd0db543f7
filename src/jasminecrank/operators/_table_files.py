"""Validation and compilation of the operators' table in CSV files."""

from collections.abc import Iterator
from collections.abc import Mapping
import csv
from dataclasses import dataclass
from dataclasses import field
import pathlib
import typing

from jasminecrank import exceptions
from jasminecrank import state

_DOCUMENT_BY_FILE: Mapping[str, state.DocumentName] = {
    "services.csv": state.DocumentName.TABLE,
    "routes.csv": state.DocumentName.TABLE,
    "limits.csv": state.DocumentName.TABLE,
    "keys.csv": state.DocumentName.KEYS,
    "hosts.csv": state.DocumentName.HOSTS,
    "outages.csv": state.DocumentName.OUTAGES,
}
_ROW_TYPE_BY_FILE: Mapping[str, type] = {
    "services.csv": state.ServiceRow,
    "routes.csv": state.RouteRow,
    "limits.csv": state.LimitRow,
    "keys.csv": state.KeyRow,
    "hosts.csv": state.HostRow,
    "outages.csv": state.OutageRow,
}

_FILE_BY_PREFIX: Mapping[str, str] = {
    prefix: file
    for prefix, row_type in state.ROW_TYPE_BY_PREFIX.items()
    for file, file_row_type in _ROW_TYPE_BY_FILE.items()
    if file_row_type is row_type
}


def file_of_key(key: str) -> str:
    """Return the name of the table file that contains the row of a key."""
    return _FILE_BY_PREFIX[key.partition("/")[0]]


@dataclass(slots=True, frozen=True)
class TableProblem:
    """An invalid cell, row or header of a table file."""

    file: str
    row: int
    column: str
    value: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}, row {self.row}, column {self.column}: "
            f"{self.value!r} is not {self.expected}"
        )


@dataclass(slots=True, frozen=True)
class TableFiles:
    """The typed rows of a table directory, grouped by document."""

    rows_by_name: Mapping[state.DocumentName, tuple[state.Row, ...]]
    problems: tuple[TableProblem, ...]
    row_number_by_key: Mapping[str, int] = field(default_factory=dict)
    is_complete: bool = True
    """Whether every row was read; false if a file, row or cell is invalid."""

    @classmethod
    def from_directory(cls, directory: pathlib.Path) -> "TableFiles":
        """Read and check all files, collecting problems without raising."""
        rows: dict[state.DocumentName, list[state.Row]] = {
            name: [] for name in state.DocumentName
        }
        problems: list[TableProblem] = []
        row_number_by_key: dict[str, int] = {}
        for file, name in _DOCUMENT_BY_FILE.items():
            reader = _FileReader(directory / file)
            rows[name].extend(reader.read())
            problems.extend(reader.problems)
            row_number_by_key.update(reader.row_number_by_key)
        by_name = {name: tuple(found) for name, found in rows.items()}
        is_complete = not problems
        if is_complete:
            problems.extend(_check_documents(by_name))
        return cls(by_name, tuple(problems), row_number_by_key, is_complete)

    def documents(
        self, number_by_name: Mapping[state.DocumentName, int]
    ) -> tuple[state.Document, ...]:
        """Return the documents; raise TableError if there are problems."""
        if self.problems:
            raise exceptions.TableError(str(self.problems[0]))
        return tuple(
            state.build_document(
                name,
                number_by_name[name],
                _encode_rows(self.rows_by_name[name]),
            )
            for name in state.DocumentName
        )


def _encode_rows(rows: tuple[state.Row, ...]) -> dict[str, str]:
    return {state.row_key(row): state.encode_row(row) for row in rows}


def is_table_directory(directory: pathlib.Path) -> bool:
    """Return whether a directory contains a table file."""
    return any((directory / file).exists() for file in _DOCUMENT_BY_FILE)


class _FileReader:
    """Reads one CSV file into typed rows."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._row_type = _ROW_TYPE_BY_FILE[path.name]
        self._types = typing.get_type_hints(self._row_type)
        self.problems: list[TableProblem] = []
        self.row_number_by_key: dict[str, int] = {}

    def read(self) -> Iterator[state.Row]:
        """Yield valid rows and collect problems."""
        try:
            text = self._path.read_text(encoding="utf-8-sig")
        except (OSError, UnicodeDecodeError) as error:
            self._add_problem(
                1, "-", type(error).__name__, "a readable UTF-8 file"
            )
            return
        reader = csv.DictReader(text.splitlines(), strict=True)
        if not self._check_header(list(reader.fieldnames or [])):
            return
        try:
            for number, values in enumerate(reader, start=2):
                row = self._build_row(number, values)
                if row is None:
                    continue
                key = state.row_key(row)
                first = self.row_number_by_key.setdefault(key, number)
                if first != number:
                    column = next(iter(self._types))
                    self._add_problem(
                        number, column, key, f"unique (also in row {first})"
                    )
                    continue
                yield row
        except csv.Error as error:
            self._add_problem(reader.line_num, "-", str(error), "a CSV row")

    def _check_header(self, columns: list[str]) -> bool:
        expected = list(self._types)
        if columns == expected:
            return True
        self._add_problem(
            1, "-", ",".join(columns), f"the header {','.join(expected)}"
        )
        return False

    def _build_row(
        self, number: int, values: dict[str | None, typing.Any]
    ) -> state.Row | None:
        if None in values or None in values.values():
            count = len([v for v in values.values() if v is not None])
            self._add_problem(
                number, "-", f"{count} cells", f"a row of {len(self._types)}"
            )
            return None
        converted: dict[str, object] = {}
        for column, column_type in self._types.items():
            text = str(values[column]).strip()
            try:
                converted[column] = state.parse_cell(column, column_type, text)
            except exceptions.DocumentError as error:
                self._add_problem(number, column, text, str(error))
                return None
        row: state.Row = self._row_type(**converted)
        return row

    def _add_problem(
        self, row: int, column: str, value: str, expected: str
    ) -> None:
        self.problems.append(
            TableProblem(self._path.name, row, column, value, expected)
        )


def _check_documents(
    rows_by_name: Mapping[state.DocumentName, tuple[state.Row, ...]],
) -> Iterator[TableProblem]:
    config = state.ConfigState.empty()
    for name, rows in rows_by_name.items():
        document = state.build_document(name, 1, _encode_rows(rows))
        result = config.offer(document)
        if isinstance(result, state.Invalid):
            yield TableProblem(
                f"{name.value} files", 0, "-", result.reason, "consistent"
            )
