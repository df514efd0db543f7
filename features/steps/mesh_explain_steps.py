"""Steps for the commands explain and settings check on the platform."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from jasminecrank import operators
from jasminecrank.mesh import state

SOURCE_DIRECTORY = pathlib.Path("src/jasminecrank/mesh")
REASON_CONSTANTS = (
    "BUSY_REASON",
    "DEADLINE_REASON",
    "QUEUE_FULL_REASON",
    "STOPPING_REASON",
    "COST_REASON",
    "REASON_RESET",
    "REASON_MALFORMED",
    "REASON_TRUNCATED",
    "SERVER_GONE",
    "LINK_LOST",
)
LINE_BY_SETTING = {
    "ip": 'ip = "10.1.0.5"',
    "appAddr": 'appAddr = "10.1.0.5:8403"',
}
OTHER_SETTINGS = """
node = "side-1"
service = "s"
zone = "a"
innerPorts = [7660, 7675]
[zones]
a = "savo"
[listen]
outbound = "10.1.0.5:8402"
ready = "10.1.0.5:8406"
[platform]
address = "10.200.1.7:8408"
"""


def run(*arguments):
    """Run the command line and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "jasminecrank.cli", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@then('explain prints {outcome} and "{because}"')
def step_explain(context, outcome, because):
    with tempfile.NamedTemporaryFile(suffix=".log") as file:
        path = pathlib.Path(file.name)
        path.write_bytes(b"".join(context.fleet.log_lines))
        result = run("explain", context.request_id, str(path))
    assert result.returncode == 0, result.stderr
    assert re.search(rf"entry node \S+: {outcome}\n", result.stdout), (
        result.stdout
    )
    assert because in result.stdout, result.stdout


@given(
    "a log in which host {host} restored its entries {age_s:g} s before a "
    "refusal at host a"
)
def step_restore_log(context, host, age_s):
    lines = (
        {
            "time": 100.0 - age_s,
            "up_s": 1.0,
            "host": host,
            "event": "source-restored",
            "era": 3,
            "previous_era": 2,
            "replaced": 1,
            "retained": 2,
            "dropped": 0,
        },
        {
            "time": 100.0,
            "up_s": 2.0,
            "host": "a",
            "event": "call",
            "request_id": "9c41",
            "outcome": "no-server",
        },
    )
    context.log_text = "\n".join(map(json.dumps, lines))


@then("explain {names} era 3 with 2 retained entries")
def step_restore_named(context, names):
    with tempfile.NamedTemporaryFile(suffix=".log") as file:
        path = pathlib.Path(file.name)
        path.write_text(context.log_text)
        result = run("explain", "9c41", str(path))
    assert result.returncode == 0, result.stderr
    named = "era 3 after 2" in result.stdout and "2 retained" in result.stdout
    assert named == (names == "names"), result.stdout


@then("the command explains every outcome and reason that a node logs")
def step_every(context):
    del context
    known = {kind.value for kind in state.RefusalKind}
    assert known - operators.OUTCOMES.keys() <= {
        "request-invalid",
        "too-large",
    }
    text = "".join(
        path.read_text() for path in sorted(SOURCE_DIRECTORY.rglob("*.py"))
    )
    rejected = set(re.findall(r"\bReject\(\s*([A-Z\"][^,]*),", text))
    assert rejected and rejected <= set(REASON_CONSTANTS), rejected
    for pattern in (
        r'MayHaveRun\("([^"]+)"\)',
        r'_refuse\([^)"]*"([^"]+)"',
        *(rf'^{name} = "([^"]+)"' for name in REASON_CONSTANTS),
    ):
        found = set(re.findall(pattern, text, re.MULTILINE))
        assert found, pattern
        missing = found - operators.REASONS.keys() - {"cancelled"}
        missing -= {"upgrade", "headers", "body"}
        assert not missing, (pattern, missing)


@given("a settings file in which {what}")
def step_settings(context, what):
    line_by_setting = dict(LINE_BY_SETTING)
    match what:
        case "ip is missing":
            del line_by_setting["ip"]
        case "appAddr is nonsense":
            line_by_setting["appAddr"] = 'appAddr = "nonsense"'
    context.settings = "\n".join([*line_by_setting.values(), OTHER_SETTINGS])


@when("the settings file is checked")
def step_check(context):
    with tempfile.NamedTemporaryFile(suffix=".toml") as file:
        path = pathlib.Path(file.name)
        path.write_text(context.settings)
        context.result = run("settings", "check", str(path))


@then('the status is {status:d} and the output contains "{says}"')
def step_status(context, status, says):
    result = context.result
    assert result.returncode == status, result
    assert says in result.stdout + result.stderr, result
