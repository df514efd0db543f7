"""Commands that read the logs and events of nodes."""

from collections.abc import Iterable
import pathlib
import sys

import cyclopts

from jasminecrank import exceptions
from jasminecrank import operators
from jasminecrank.cli import _hosts

_EXIT_INCOMPLETE = 1


def report(logs: list[pathlib.Path], *, month: str, csv: bool = False) -> int:
    """Print the monthly report of log files.

    Status 1 if lines are invalid, duplicate or missing; the report lists them.

    Example: jasminecrank report --month 2026-12 logs/*.log

    Parameters
    ----------
    logs
        Log files of all nodes, in any order.
    month
        Month in the form YYYY-MM, in UTC.
    csv
        Print CSV instead of the text layout.
    """
    with operators.MonthlyReport.from_logs(
        month, tuple(logs)
    ) as monthly_report:
        if csv:
            _print_lines(operators.format_csv(monthly_report))
        else:
            _print_lines(operators.format_text(monthly_report))
        incomplete = any(
            problem.problem != "other month"
            for problem in monthly_report.problems()
        )
    return _EXIT_INCOMPLETE if incomplete else 0


def explain(
    request_id: str,
    logs: list[pathlib.Path],
    *,
    table: list[pathlib.Path] | None = None,
) -> int:
    """Print why a call was answered, forwarded or refused.

    Example: jasminecrank explain 1f0c logs/*.log --table tables/table.json

    Parameters
    ----------
    request_id
        The X-Request-Id of the call, or its Request-Id on the platform.
    logs
        Log files of all nodes, of one kind.
    table
        Compiled tables; the version in force is looked up among them.
    """
    if any(operators.is_node_log(log) for log in logs):
        node_trace = operators.NodeTrace.from_logs(request_id, logs)
        _print_lines(operators.explain_node_call(node_trace))
        return 0
    trace = operators.CallTrace.from_logs(request_id, logs)
    tables = operators.read_tables(table or ())
    _print_lines(operators.explain_call(trace, tables))
    return 0


def timeline(
    logs: list[pathlib.Path] | None = None,
    *,
    compiled: pathlib.Path | None = None,
    team: str = "",
    service: str = "",
    request_id: str = "",
    table_version: str = "",
    host: str = "",
    html: pathlib.Path | None = None,
) -> int:
    """Print the events of all processes in causal order.

    Example: jasminecrank timeline logs/*.log --team accounts

    Parameters
    ----------
    logs
        Log files of nodes; if none are given, the admin endpoints are read.
    compiled
        Directory with the compiled hosts.json, which lists the endpoints.
    team
        Only events of this team.
    service
        Only events of this service.
    request_id
        Only events of this call.
    table_version
        Only events of this version, given as number or number-digest.
    host
        Only events of this host.
    html
        Write an HTML page with a column for each host to this file instead.
    """
    if logs:
        entries = operators.read_log_timeline(logs)
    elif compiled is not None:
        entries = operators.read_fleet_timeline(_hosts.read_hosts(compiled))
    else:
        raise exceptions.SettingError(
            "no log files given; pass log files or --compiled"
        )
    entry_filter = operators.TimelineFilter(
        team, service, request_id, table_version, host
    )
    selected = (entry for entry in entries if entry_filter.matches(entry))
    if html is None:
        _print_lines(operators.format_timeline(selected))
        return 0
    with html.open("w", encoding="utf-8") as file:
        file.writelines(
            f"{line}\n" for line in operators.format_html(selected)
        )
    return 0


def add_commands(app: cyclopts.App) -> None:
    """Register the commands of this module."""
    app.command(report)
    app.command(explain)
    app.command(timeline)


def _print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f"{line}\n")
