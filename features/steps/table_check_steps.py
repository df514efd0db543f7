"""Steps for the check of a table before it is published."""

import contextlib
import csv
import io
import json
import pathlib
import shutil
import sys
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when

from jasminecrank import cli

EXAMPLE = pathlib.Path(__file__).resolve().parents[2] / "examples/kuopio"


def run_table(*arguments):
    """Run a table command in this process; return its status and output."""
    arguments = ["jasminecrank", "table", *map(str, arguments)]
    output = io.StringIO()
    with (
        mock.patch.object(sys, "argv", arguments),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(io.StringIO()),
    ):
        try:
            cli.main()
        except SystemExit as end:
            return end.code, output.getvalue()


@given("the example table")
def step_example(context):
    work = tempfile.TemporaryDirectory()
    context.add_cleanup(work.cleanup)
    context.work = pathlib.Path(work.name)
    context.table_path = context.work / "table"
    context.in_force = []
    shutil.copytree(EXAMPLE, context.table_path)


@given("{form} in force")
def step_in_force(context, form):
    before = context.work / "before"
    if form == "documents":
        assert run_table("compile", EXAMPLE, before)[0] == 0
    elif form != "a missing directory":
        shutil.copytree(EXAMPLE, before)
    if form == "an invalid table":
        (before / "hosts.csv").write_text("host\n")
    context.in_force = ["--in-force", before]


@when("{file}.csv row {number:d} gets {cells}")
def step_set_cells(context, file, number, cells):
    path = context.table_path / f"{file}.csv"
    rows = list(csv.DictReader(path.read_text().splitlines()))
    if number - 2 == len(rows):
        rows.append(dict(rows[-1]))
    rows[number - 2].update(cell.split("=", 1) for cell in cells.split(";"))
    lines = [",".join(rows[0]), *(",".join(row.values()) for row in rows)]
    path.write_text("\n".join(lines))


@then("the check reports {kind} in {file}, row {row:d}, column {column}")
def step_reports(context, kind, file, row, column):
    arguments = ("check", context.table_path, *context.in_force, "--json")
    status, output = run_table(*arguments)
    printed = json.loads(output)
    assert printed["status"] == status, (status, printed)
    findings = printed["findings"]
    # A contradiction may be an error as well; the status tells which.
    assert {f["kind"] for f in findings} <= {kind, "error"}, findings
    place = {"kind": kind, "file": file, "row": row, "column": column}
    found = [f for f in findings if place.items() <= f.items()]
    assert found, findings
    assert all(f["reason"] and f["value"] for f in found), found


@then("the check ends with status {status:d}")
def step_status(context, status):
    ended = run_table("check", context.table_path, *context.in_force)
    assert ended[0] == status, ended
    assert (": valid\n" in ended[1]) == (status == 0), ended


@then("the table compiles")
def step_compiles(context):
    ended = run_table("compile", context.table_path, context.work / "compiled")
    assert ended[0] == 0, ended
