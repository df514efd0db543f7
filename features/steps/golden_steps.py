"""Steps that record a session over raw sockets."""

import os
import pathlib
import re
import socket
import time

from behave import given
from behave import then
from behave import when
import urllib3

from jasminecrank import state

ROOT = pathlib.Path(__file__).resolve().parents[2]
VOLATILE_PATTERNS = (
    (re.compile(r"^(< date: ).*$", re.MULTILINE | re.IGNORECASE), r"\1<date>"),
    (
        re.compile(r"^(< server: Cheroot/).*$", re.MULTILINE | re.IGNORECASE),
        r"\1<version>",
    ),
    (
        re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}"),
        "<request-id>",
    ),
    (re.compile(r"127\.0\.0\.1:\d+"), "127.0.0.1:<port>"),
)


@given("calls of every team succeed on every host")
def step_calls_succeed(context):
    # A node generates no tokens for one loan period after its start.
    deployment = context.deployment
    teams = {
        row.team for row in deployment.rows_by_name[state.DocumentName.KEYS]
    }
    path_by_service = {"intake-ledger": "/lots/0", "silo-control": "/silos/0"}
    deadline_s = time.monotonic() + 20
    for row in deployment.hosts():
        port = deployment.node_by_host[row.host].call_port
        url = f"http://127.0.0.1:{port}{path_by_service[row.service]}"
        for team in sorted(teams):
            key = f"{context.deployment_name}-key-{team}"
            headers = {"Authorization": f"Bearer {key}"}
            while True:
                status = urllib3.request(
                    "GET", url, headers=headers, retries=False
                ).status
                if status == 200:
                    break
                assert time.monotonic() < deadline_s, (row.host, team, status)


@when("these requests are added to the session")
def step_record(context):
    if not hasattr(context, "session"):
        context.session = []
    for row in context.table:
        number = len(context.session) + 1
        context.session.append(_exchange(context, row, number))


@when("the key of {team} is revoked")
def step_revoke(context, team):
    name = state.DocumentName.KEYS
    rows = tuple(
        row
        for row in context.deployment.rows_by_name[name]
        if row.team != team
    )
    context.document = context.deployment.publish(name, rows)


@then("the session equals {path}")
def step_equals(context, path):
    actual = "\n".join(context.session)
    for pattern, replacement in VOLATILE_PATTERNS:
        actual = pattern.sub(replacement, actual)
    golden = ROOT / path
    if os.environ.get("JASMINECRANK_WRITE_GOLDEN") == "1":
        golden.write_bytes(actual.encode())
    expected = golden.read_bytes().decode()
    assert actual == expected, _first_difference(expected, actual)


def _exchange(context, row, number):
    lines = [
        f"{row['method']} {row['path']} HTTP/1.1",
        "Host: kuopio",
        f"X-Request-Id: request-{number:02}",
    ]
    if row["team"]:
        key = f"{context.deployment_name}-key-{row['team']}"
        lines.append(f"Authorization: Bearer {key}")
    if row["header"]:
        lines.append(row["header"])
    if row["body"]:
        lines.append(f"Content-Length: {len(row['body'])}")
    lines.append("Connection: close")
    request = "\r\n".join([*lines, "", row["body"]])
    node = context.deployment.node_by_host[row["host"]]
    with socket.create_connection(
        ("127.0.0.1", node.call_port), 10
    ) as connection:
        connection.sendall(request.encode())
        received = b"".join(iter(lambda: connection.recv(65536), b""))
    answer = received.decode().replace("\r\n", "\n")
    return "\n".join(
        [
            f"--- {row['host']}",
            *(f"> {line}".rstrip() for line in request.split("\r\n")),
            *(f"< {line}".rstrip() for line in answer.split("\n")),
            "",
        ]
    )


def _first_difference(expected, actual):
    pairs = zip(expected.split("\n"), actual.split("\n"), strict=False)
    for number, (old, new) in enumerate(pairs, start=1):
        if old != new:
            return f"line {number}: {old!r} is now {new!r}"
    return f"{len(expected)} bytes are now {len(actual)}"
