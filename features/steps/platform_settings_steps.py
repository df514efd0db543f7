"""Steps for the platform's settings file."""

import contextlib
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when

from jasminecrank import exceptions
from jasminecrank import platform
from jasminecrank.standins import fleet

RUNS_FOR_S = 3.0
SETTINGS = """
node = "side-belt-hall-a-1"
ip = "10.1.0.5"
zone = "belt-hall-a"
innerPorts = [7660,7675]
bounds = ["graceS=6","drainMs=2000","strictRevoke=false"]
appAddr = "10.1.0.5:8403"
service = "huvo11a"
[zones]
belt-hall-a = "savo"
[listen]
outbound = "10.1.0.5:8402"
ready = "10.1.0.5:8406"
[platform]
address = "10.200.1.7:8408"
"""
REPLACEMENT_BY_CHANGE = {
    "nothing changed": ("", ""),
    "an unknown field": ("[zones]", "more = 1\n[zones]"),
    "no bounds": (
        'bounds = ["graceS=6","drainMs=2000","strictRevoke=false"]\n',
        "",
    ),
    "ip left out": ('ip = "10.1.0.5"\n', ""),
    "service empty": ('"huvo11a"', '""'),
    "appAddr without port": ('"10.1.0.5:8403"', '"10.1.0.5"'),
    "one inner port": ("[7660,7675]", "[7660]"),
    "a bound that is text": ("graceS=6", "graceS=soon"),
    "a link rate": ("[zones]", "[limits]\nlinkMbps = 5.0\n[zones]"),
    "a heartbeat of text": ("[zones]", "heartbeatMs = 'often'\n[zones]"),
    "a link rate of text": (
        "[zones]",
        "[limits]\nlinkMbps = 'fast'\n[zones]",
    ),
    "limits that are no table": ("[zones]", "limits = 3\n[zones]"),
    "inner ports of text": ("[7660,7675]", '["a","b"]'),
    "inner ports of flags": ("[7660,7675]", "[true,9]"),
    "inner ports from 0": ("[7660,7675]", "[0,9]"),
    "inner ports above 65535": ("[7660,7675]", "[65535,65536]"),
    "a port of other digits": ("10.1.0.5:8402", "10.1.0.5:84\u0662"),
    "a port with an exponent": ("10.1.0.5:8402", "10.1.0.5:8\u00b2"),
    "a port of 5000 digits": ("10.1.0.5:8402", "10.1.0.5:" + 5000 * "1"),
    "port 0": ("10.1.0.5:8402", "10.1.0.5:0"),
    "a host with a NUL": ("10.1.0.5:8402", "10.1.\\u0000:8402"),
    "an ip with a space": ('ip = "10.1.0.5"', 'ip = "10.1. 0.5"'),
    "a zone of a number": ('"savo"', "3"),
    "zones that are no table": ('[zones]\nbelt-hall-a = "savo"', "zones = 3"),
    "bounds that are no list": (
        '["graceS=6","drainMs=2000","strictRevoke=false"]',
        "3",
    ),
    "a grace of nan": ("graceS=6", "graceS=nan"),
    "a grace of inf": ("graceS=6", "graceS=inf"),
    "a grace of 0": ("graceS=6", "graceS=0"),
    "a grace below 0": ("graceS=6", "graceS=-1"),
    "a grace of 1e300": ("graceS=6", "graceS=1e300"),
    "a drain below 0": ("drainMs=2000", "drainMs=-1"),
    "a drain of 0": ("drainMs=2000", "drainMs=0"),
    "a quota window of 0": ("graceS=6", "quotaWindowS=0"),
    "a retry ratio of nan": ("graceS=6", "retryBudgetRatio=nan"),
    "a retry slack of 0": ("graceS=6", "budgetSlack=0"),
    "a heartbeat of 0": ("[zones]", "heartbeatMs = 0\n[zones]"),
    "a heartbeat of 400 digits": (
        "[zones]",
        f"heartbeatMs = {400 * '9'}\n[zones]",
    ),
    "a link rate of 0": ("[zones]", "[limits]\nlinkMbps = 0\n[zones]"),
    "a link rate of nan": ("[zones]", "[limits]\nlinkMbps = nan\n[zones]"),
    "an unknown bound of nan": ("graceS=6", "more=nan"),
    "deeply nested lists": ("[zones]", f"more = {5000 * '['}\n[zones]"),
    "a memory limit": ("[zones]", "[limits]\nmemoryMb = 300\n[zones]"),
    "a memory limit of text": (
        "[zones]",
        "[limits]\nmemoryMb = 'much'\n[zones]",
    ),
    "broken TOML": ("[zones]", "[zones"),
}


def write_settings(directory, change):
    """Write a settings file with a change and return its path."""
    path = pathlib.Path(directory) / "boot.toml"
    path.write_text(SETTINGS.replace(*REPLACEMENT_BY_CHANGE[change]))
    return path


@when("a node reads settings with {change}")
def step_read(context, change):
    with tempfile.TemporaryDirectory() as directory:
        try:
            platform.read_settings(str(write_settings(directory, change)))
            context.message = "nothing"
        except exceptions.SettingError as error:
            context.message = str(error)


@then("it reports {message}")
def step_says(context, message):
    assert message in context.message, context.message


@when("the node is started with {file}")
def step_start(context, file):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "absent.toml"
        if file == "a bad bound":
            path = write_settings(directory, "a bound that is text")
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            platform.CONFIG_PATH_VARIABLE: str(path),
        }
        context.process = subprocess.Popen(
            fleet.node_command(),
            env=environment,
            stderr=subprocess.PIPE,
            text=True,
        )
        context.exit_stack = contextlib.ExitStack()
        context.exit_stack.enter_context(context.process)
        context.exit_stack.callback(context.process.kill)
        with contextlib.suppress(subprocess.TimeoutExpired):
            context.process.wait(RUNS_FOR_S)


@then(
    "it writes one error line that contains {named}, and runs for "
    "{least_s:g} s"
)
def step_waits(context, named, least_s):
    assert least_s <= RUNS_FOR_S
    assert context.process.poll() is None, context.process.returncode
    context.process.kill()
    lines = context.process.stderr.read().splitlines()
    assert len(lines) == 1 and named in lines[0], lines


@when("the node is started without a settings variable")
def step_start_without(context):
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": os.pathsep.join(sys.path),
    }
    context.completed = subprocess.run(
        fleet.node_command(),
        env=environment,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


@then(
    "it exits with status {status:d} and one error line that contains {named}"
)
def step_status(context, status, named):
    assert context.completed.returncode == status, context.completed
    lines = context.completed.stderr.splitlines()
    assert len(lines) == 1 and named in lines[0], lines
