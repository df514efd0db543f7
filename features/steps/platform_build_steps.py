"""Steps for the build of the node, with an interpreter that only notes."""

import contextlib
import os
import pathlib
import shutil
import subprocess
import tempfile

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[2]
INTERPRETER = """#!/usr/bin/env bash
case "$*" in
    *sysconfig*) cat "$MACHINE_FILE" ;;
    *"pip install"*) mkdir -p target/deps; echo x >> "$INSTALLS_FILE" ;;
esac
"""


def build(context):
    """Run the build script of the folder."""
    environment = {
        "PATH": f"{context.folder / 'bin'}{os.pathsep}{os.environ['PATH']}",
        "MACHINE_FILE": str(context.folder / "machine"),
        "INSTALLS_FILE": str(context.folder / "installs"),
    }
    subprocess.run(
        ["deploy/build"], cwd=context.folder, env=environment, check=True
    )


@given("a folder that was built")
def step_built(context):
    context.exit_stack = contextlib.ExitStack()
    context.folder = folder = pathlib.Path(
        context.exit_stack.enter_context(tempfile.TemporaryDirectory())
    )
    for name in ("deploy/build", "deploy/requirements.txt"):
        (folder / name).parent.mkdir(exist_ok=True)
        shutil.copy(ROOT / name, folder / name)
    (folder / "src/jasminecrank").mkdir(parents=True)
    (folder / "src/jasminecrank/__init__.py").write_text("")
    (folder / "machine").write_text("linux-x86_64 3.11.6")
    (folder / "bin").mkdir()
    interpreter = folder / "bin/python3"
    interpreter.write_text(INTERPRETER)
    interpreter.chmod(0o755)
    build(context)


@when("{change}, and it is built again")
def step_built_again(context, change):
    folder = context.folder
    match change:
        case "nothing changes":
            pass
        case "the package changes":
            (folder / "src/jasminecrank/__init__.py").write_text("a = 1")
        case "the folder moves to another processor":
            (folder / "machine").write_text("linux-aarch64 3.11.6")
        case "the folder moves to another interpreter":
            (folder / "machine").write_text("linux-x86_64 3.12.1")
        case "the requirements change":
            (folder / "deploy/requirements.txt").write_text("other==1.0")
        case _:
            raise ValueError(change)
    build(context)


@then("its libraries were installed {times:d} times")
def step_installs(context, times):
    installs = (context.folder / "installs").read_text().splitlines()
    assert len(installs) == times, installs


@then("the node's package is there")
def step_package(context):
    assert (context.folder / "target/deps/jasminecrank/__init__.py").exists()
