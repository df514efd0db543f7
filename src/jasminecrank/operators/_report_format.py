"""Text and CSV layouts of the monthly report."""

from collections.abc import Iterator
import csv
import io

from jasminecrank.operators import _report

_COLUMNS = (
    "service",
    "team",
    "table version",
    "kind",
    "result",
    "code",
    "run state",
    "count",
)
_ABSENT = "-"


def format_text(report: _report.MonthlyReport) -> Iterator[str]:
    """Yield the report as text: totals, counts by version, problems."""
    yield f"jasminecrank monthly report {report.month}"
    yield ""
    yield "Totals by service and team"
    yield _format_line(_COLUMNS)
    for row in report.totals():
        yield _format_line(_format_cells(row, "all"))
    yield ""
    yield "By table version in force"
    yield _format_line(_COLUMNS)
    for row in report.rows():
        yield _format_line(_format_cells(row, row.key.version))
    yield ""
    yield "Log lines not counted"
    yield f"{'problem':<14}{'place':<50}{'detail':<34}{'count':>14}"
    total = 0
    for problem in report.problems():
        total += problem.count
        yield (
            f"{problem.problem:<14}{problem.place:<50}{problem.detail:<34}"
            f"{problem.count:>14}"
        )
    yield f"{'total':<98}{total:>14}"


def format_csv(report: _report.MonthlyReport) -> Iterator[str]:
    """Yield the report as CSV, with the problems last."""
    yield _format_csv_line(("month", *_COLUMNS))
    for row in report.rows():
        cells = _format_cells(row, row.key.version)
        yield _format_csv_line((report.month, *cells))
    for problem in report.problems():
        yield _format_csv_line(
            (
                report.month,
                "not counted",
                problem.problem,
                problem.place,
                problem.detail,
                "",
                "",
                "",
                str(problem.count),
            )
        )


def _format_cells(row: _report.CountRow, version: str) -> tuple[str, ...]:
    key = row.key
    return (
        key.service or _ABSENT,
        key.team or _ABSENT,
        version,
        key.kind or _ABSENT,
        key.result,
        str(key.code),
        key.run_state or _ABSENT,
        str(row.count),
    )


def _format_line(cells: tuple[str, ...]) -> str:
    service, team, version, kind, result, code, run_state, count = cells
    return (
        f"{service:<20} {team:<24} {version:<24} {kind:<8} {result:<9}"
        f"{code:>5} {run_state:<13}{count:>14}"
    )


def _format_csv_line(cells: tuple[str, ...]) -> str:
    buffer = io.StringIO()
    csv.writer(buffer, lineterminator="").writerow(cells)
    return buffer.getvalue()
