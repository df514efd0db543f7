"""Steps for the connections to a backend server."""

import os
import socket
from unittest import mock

from behave import then
from behave import when
import mesh_early_steps

from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _http_client


def _shut_down(transport):
    """End a connection before the event loop handles anything else."""
    found = transport.get_extra_info("socket")
    # A transport would close it only after the call is sent.
    with socket.socket(fileno=os.dup(found.fileno())) as duplicate:
        duplicate.shutdown(socket.SHUT_RDWR)


@when(
    "the server closes its idle connection "
    "and a call is sent before the node reads that"
)
def step_close_idle(context):
    async def act():
        first, _ = await mesh_early_steps.send_call(context)
        assert isinstance(first, state.Served), first
        _shut_down(context.server.writers[0])
        context.result, _ = await mesh_early_steps.send_call(context)

    context.runner.run(act())


@then("the call is served on another connection")
def step_served_again(context):
    assert isinstance(context.result, state.Served), context.result
    assert context.server.opened == 2, context.server.opened


@when(
    "a call is sent on a new connection "
    "that has ended before the node reads that"
)
def step_new_ended(context):
    connect = _http_client.connect

    async def connect_ended(*arguments, **options):
        connection = await connect(*arguments, **options)
        _shut_down(connection._transport)
        return connection

    with mock.patch.object(_http_client, "connect", connect_ended):
        context.result, _ = context.runner.run(
            mesh_early_steps.send_call(context, b"x")
        )


@then("the call counts as not run, and the server has read no request")
def step_not_run(context):
    assert isinstance(context.result, state.NotRun), context.result
    assert not context.server.bodies, context.server.bodies
