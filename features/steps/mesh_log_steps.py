"""Steps for the node's log."""

import collections
import json

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import transport


class Clock:
    """Clock whose time is set by the steps."""

    def __init__(self):
        self.current_s = 100.0

    def now_s(self):
        """Return the time that a step has set."""
        return self.current_s


@given("a log limited to {lines:d} request lines per second")
def step_log(context, lines):
    assert lines == transport.REQUEST_LINES_PER_S
    context.output = []
    context.clock = Clock()

    def write(data):
        context.output.append(data)
        return len(data)

    context.log = transport.JsonLog("host", context.clock, write)


@given("a log whose output {behaviour}")
def step_blocked(context, behaviour):
    context.output = []
    context.clock = Clock()
    context.output_open = False

    def write(data):
        if not context.output_open and behaviour == "is blocked":
            raise BlockingIOError
        size = len(data) if context.output_open else len(data) // 2
        context.output.append(data[:size])
        return size

    context.log = transport.JsonLog("host", context.clock, write)


@when("{count:d} requests are refused within {seconds:g} s")
def step_refuse(context, count, seconds):
    context.ids = [f"{number:016x}" for number in range(count)]
    for number, request_id in enumerate(context.ids):
        context.clock.current_s += seconds / count
        context.log.decision(
            "call",
            request_id=request_id,
            outcome="overloaded" if number % 3 else "over-quota",
            reason="busy",
            version=7,
        )
        if number % 50 == 0:
            context.log.flush()
    context.clock.current_s += 0.1
    context.log.flush()


@when("{count:d} connections are ended within {seconds:g} s for 2 reasons")
def step_end_connections(context, count, seconds):
    context.reasons = []
    for number in range(count):
        context.clock.current_s += seconds / count
        reason = "no-hello" if number % 3 else "frame-before-hello"
        context.reasons.append(reason)
        context.log.connection("link-rejected", reason=reason)
        if number % 50 == 0:
            context.log.flush()
    context.clock.current_s += 1.0
    context.log.flush()


@then("each of them is logged or counted with its reason")
def step_connections(context):
    found = collections.Counter()
    for line in read_lines(context):
        found[line["reason"]] += line.get("connections", 1)
    assert found == collections.Counter(context.reasons), found


@when("a table takes effect")
def step_table(context):
    context.log.decision("table-in-force", version=8)


def read_lines(context):
    """Return the decoded lines that have been written."""
    return [json.loads(line) for line in b"".join(context.output).splitlines()]


@then("each request is logged with its outcome and reason")
def step_named(context):
    outcome_by_id = {}
    for line in read_lines(context):
        assert line["reason"] == "busy"
        assert line["version"] == 7
        for request_id in line.get("request_ids", [line.get("request_id")]):
            outcome_by_id[request_id] = line["outcome"]
    for number, request_id in enumerate(context.ids):
        wanted = "overloaded" if number % 3 else "over-quota"
        assert outcome_by_id.get(request_id) == wanted, number


@then("at most {most:d} lines have been written")
def step_most(context, most):
    assert len(read_lines(context)) <= most, len(read_lines(context))


@then("the last log line reports the table")
def step_says(context):
    events = [line["event"] for line in read_lines(context)]
    assert events[-1] == "table-in-force", events[-3:]


@then("the log buffers at most {most:d} lines and counts the dropped ones")
def step_holds(context, most):
    before = len(b"".join(context.output).splitlines())
    context.output_open = True
    context.clock.current_s += 1.0
    context.log.flush()
    context.log.decision("table-in-force", version=8)
    written = b"".join(context.output).splitlines()
    assert len(written) - before <= most + 2
    lines = [json.loads(line) for line in written]
    named = sum(len(line.get("request_ids", "1")) for line in lines[:-1])
    left_out = sum(line.get("left_out", 0) for line in lines)
    assert named + left_out >= len(context.ids), (named, left_out)
