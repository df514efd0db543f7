"""Steps for the platform's settings file."""

import os
import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when

from jasminecrank import exceptions
from jasminecrank import platform

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
        context.completed = subprocess.run(
            [sys.executable, "-m", "jasminecrank.mesh.daemon"],
            env={**os.environ, platform.CONFIG_PATH_VARIABLE: str(path)},
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
