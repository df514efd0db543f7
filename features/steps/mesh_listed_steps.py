"""Steps for several entries at the address of one backend server."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
from mesh_directory_steps import make_server
from mesh_state_steps import make_table

from jasminecrank.mesh import state

HOST = "10.0.0.1"
REPORT_S = 0.5
"""Time in which nodes have checked and reported which servers run."""


@given(f"host {HOST} lists these servers and runs {{running}}")
def step_listed(context, running):
    entry_by_key = {
        row["id"]: state.ServerEntry(
            make_server(
                row["id"],
                service=row["service"],
                port=int(row["port"]),
                created_at_ms=int(row["created"]),
            )
        )
        for row in context.table
    }
    entry_by_key["t"] = state.TableEntry(make_table())
    context.directory = state.Directory(lambda key, value: entry_by_key[key])
    context.directory.apply_items(
        [
            state.SourceItem(key, state.Position(1, revision), b"")
            for revision, key in enumerate(entry_by_key, 1)
        ],
        0.0,
    )
    if running != "unknown":
        context.directory.set_running(HOST, running)


@then("{used} is used there")
def step_used(context, used):
    found = sorted(context.directory.snapshot().server_by_id)
    assert found == used.split(", "), found


@when(
    "{count:d} entries of service {service} at port {port}, "
    "created {age} s ago, are added for each host"
)
def step_add_others(context, count, service, port, age):
    async def act():
        deployment = context.fleet
        for number in range(len(deployment.servers)):
            entry = deployment.server_entry(number)
            entry["info"]["service"] = service
            if port == "other":
                host, _, own_port = entry["address"].rpartition(":")
                entry["address"] = f"{host}:{int(own_port) + 1}"
            if age == "never":
                del entry["born"]
            else:
                entry["born"] = round(1000 * (time.time() - float(age)))
            for index in range(count):
                key = f"servers/w-{number}-{index}"
                await deployment.store.put(key, entry)
        await asyncio.sleep(REPORT_S)

    context.runner.run(act())


@when("the server of each host is replaced, and the old entries remain")
def step_replace(context):
    async def act():
        deployment = context.fleet
        for number, server in enumerate(deployment.servers):
            server.server_id = f"n-{number}"
            await deployment.register(number)
        await asyncio.sleep(REPORT_S)

    context.runner.run(act())
