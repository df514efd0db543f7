"""Steps that start a node with invalid settings."""

import contextlib
import os
import socket
import subprocess
import sys

from behave import given
from behave import when

VALID = {
    "--host": "silo-1",
    "--data-centre": "belt-a",
    "--source-url": "http://127.0.0.1:9",
    "--server-port": "9",
}


@given("a port that is in use")
def step_port(context):
    context.exit_stack = contextlib.ExitStack()
    listener = socket.create_server(("127.0.0.1", 0))
    context.exit_stack.callback(listener.close)
    context.port_in_use = listener.getsockname()[1]


@when("a node starts with {flag} set to {value}")
def step_start(context, flag, value):
    if value == "IN_USE":
        value = str(context.port_in_use)
    flags = {**VALID, flag: value}
    arguments = [f"{name}={text}" for name, text in flags.items()]
    context.run = subprocess.run(
        [sys.executable, "-m", "jasminecrank.cli", "node", *arguments],
        capture_output=True,
        env={**os.environ, "COLUMNS": "200"},
        timeout=60,
        check=False,
    )
