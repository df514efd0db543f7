"""Steps that run the commands of the operators' pages."""

import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[2]


@when("the console commands of {page} are run")
def step_run_page(context, page):
    text = (ROOT / page).read_text()
    commands = []
    for block in re.findall(r"```console\n(.*?)```", text, re.DOTALL):
        commands += re.findall(r"^\$ (.*)$", block, re.MULTILINE)
    assert commands, page
    context.failures = []
    context.statuses = {}
    with tempfile.TemporaryDirectory() as directory:
        work = pathlib.Path(directory)
        shutil.copytree(ROOT / "examples", work / "examples")
        shutil.copytree(ROOT / "features/golden", work / "features/golden")
        (work / "jasminecrank").write_text(
            f'#!/bin/sh\nexec "{sys.executable}" -m jasminecrank.cli "$@"\n'
        )
        (work / "jasminecrank").chmod(0o755)
        environment = {**os.environ, "PATH": f"{work}:{os.environ['PATH']}"}
        for command in commands:
            context.statuses[command] = subprocess.run(
                command,
                shell=True,
                cwd=work,
                env=environment,
                stdout=subprocess.DEVNULL,
                check=False,
            ).returncode


@then("each of them exits with status {statuses}")
def step_statuses(context, statuses):
    allowed = {int(status) for status in statuses.split(" or ")}
    wrong = {
        command: status
        for command, status in context.statuses.items()
        if status not in allowed
    }
    assert not wrong, wrong
