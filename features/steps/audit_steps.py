"""Steps for reports, explanations and the timeline."""

import os
import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from jasminecrank import state
from jasminecrank.operators import _sequences

GOLDEN = pathlib.Path(__file__).resolve().parents[1] / "golden" / "audit"


@when("jasminecrank runs with {arguments}")
def step_run(context, arguments):
    logs = {
        "LOG1": "intake-ledger-1.log",
        "LOG2": "intake-ledger-2.log",
    }
    command_arguments = [
        logs.get(argument, argument) for argument in arguments.split()
    ]
    context.run = subprocess.run(
        [sys.executable, "-m", "jasminecrank.cli", *command_arguments],
        cwd=GOLDEN,
        capture_output=True,
        env={**os.environ, "COLUMNS": "200"},
        check=False,
    )


@then("it exits with status {status:d}")
def step_status(context, status):
    assert context.run.returncode == status, context.run


@then("its output equals the golden file {name}")
def step_golden(context, name):
    path = GOLDEN / name
    if os.environ.get("JASMINECRANK_WRITE_GOLDEN") == "1":
        path.write_bytes(context.run.stdout)
    assert context.run.stdout == path.read_bytes(), context.run.stdout


@then("the first line of its error output contains {text}")
def step_error(context, text):
    lines = context.run.stderr.decode().splitlines()
    assert lines, context.run
    assert text in lines[0], lines
    assert "Traceback" not in context.run.stderr.decode()


@when("the sequence numbers {numbers} are recorded")
def step_sequence(context, numbers):
    context.sequences = _sequences.SequenceSet()
    context.duplicates = [
        number
        for number in numbers.split()
        if not context.sequences.add(int(number))
    ]


@then("{duplicates} are duplicates and {gaps} are missing")
def step_gaps(context, duplicates, gaps):
    assert (" ".join(context.duplicates) or "none") == duplicates
    found = [
        str(first) if first == last else f"{first}-{last}"
        for first, last in context.sequences.gaps()
    ]
    assert (" ".join(found) or "none") == gaps, found


@given("host b with a clock {offset:d} ms ahead of host a")
def step_clocks(context, offset):
    context.offset = offset
    context.journal_by_host = {
        host: state.Journal.from_host(host) for host in ("a", "b")
    }


@when("a sends a message to b and b answers")
def step_exchange(context):
    a, b = context.journal_by_host["a"], context.journal_by_host["b"]
    now_ms, offset = 1_000_000, context.offset
    events = [a.record("sent", {}, now_ms)]
    b.observe(a.stamp(now_ms), now_ms + 1 + offset)
    events.append(b.record("received", {}, now_ms + 1 + offset))
    events.append(b.record("answered", {}, now_ms + 2 + offset))
    a.observe(b.stamp(now_ms + 2 + offset), now_ms + 3)
    events.append(a.record("closed", {}, now_ms + 3))
    context.events = events[::-1]


@then("the events are in the order {names}")
def step_order(context, names):
    ordered = sorted(context.events, key=lambda event: event.stamp)
    assert [event.name for event in ordered] == names.split(", ")
