"""Steps for complete deployments over real sockets."""

import contextlib
import pathlib
import signal
import tempfile

from behave import given
from behave import then
from behave import when
import urllib3

from jasminecrank import standins
from jasminecrank import state

ROOT = pathlib.Path(__file__).resolve().parents[2]


@given("the deployment {name} runs")
def step_deployment(context, name):
    context.exit_stack = contextlib.ExitStack()
    work = context.exit_stack.enter_context(tempfile.TemporaryDirectory())
    context.deployment_name = name
    context.deployment = context.exit_stack.enter_context(
        standins.Deployment.from_directory(
            ROOT / "examples" / name, pathlib.Path(work)
        )
    )
    deployment = context.deployment
    document = deployment.publish_hosts(deployment.hosts())
    ready = deployment.await_versions(document, 30.0)
    assert ready.keys() == deployment.node_by_host.keys(), ready
    waiting = deployment.await_quotas(30.0)
    assert not waiting, waiting


@when("these calls are sent")
def step_calls(context):
    context.failures = []
    for row in context.table:
        node = context.deployment.node_by_host[row["host"]]
        headers = {}
        if row["team"]:
            key = f"{context.deployment_name}-key-{row['team']}"
            headers["Authorization"] = f"Bearer {key}"
        response = urllib3.request(
            row["method"],
            f"http://127.0.0.1:{node.call_port}{row['path']}",
            headers=headers,
            retries=False,
        )
        actual = (
            str(response.status),
            response.headers.get("X-Result-Code", ""),
        )
        if actual != (row["status"], row["result code"]):
            context.failures.append((row, actual))


@then("every response has the listed status and result code")
def step_answers(context):
    assert not context.failures, context.failures


@when("a table without the team {team} is published")
def step_table_without(context, team):
    name = state.DocumentName.TABLE
    rows = tuple(
        row
        for row in context.deployment.rows_by_name[name]
        if getattr(row, "team", None) != team
    )
    context.document = context.deployment.publish(name, rows)


@then("the document is in force on every node")
def step_in_force_everywhere(context):
    by_host = context.deployment.await_versions(context.document, 14.0)
    missing = context.deployment.node_by_host.keys() - by_host.keys()
    assert not missing, missing


@then("no backend server has received a key or run a request twice")
def step_audit(context):
    for host in context.deployment.server_by_host:
        audit = context.deployment.audit(host)
        assert audit["keys_seen"] == 0, (host, audit)
        assert audit["run_more_than_once"] == [], (host, audit)


@then("every node exits with status {status:d}")
def step_stop(context, status):
    nodes = context.deployment.node_by_host
    for node in nodes.values():
        node.process.send_signal(signal.SIGTERM)
    statuses = {host: node.process.wait(35) for host, node in nodes.items()}
    assert set(statuses.values()) == {status}, statuses
