"""Steps for trailers of requests and responses."""

from behave import then
from behave import when
import mesh_path_steps


@when(
    "a caller sends a request in chunks with the trailer {trailer}, "
    "and then another one"
)
def step_trailer(context, trailer):
    async def act():
        caller = context.fleet.caller(0)
        chunked = {"Transfer-Encoding": "chunked"}
        await caller.send("POST", "/book/1", "k1", 2000, chunked, False)
        caller.write(b"5\r\nhello\r\n0\r\n" + trailer.encode() + b"\r\n\r\n")
        context.responses = [
            await caller.receive(),
            await caller.request("POST", "/book/1"),
        ]

    context.runner.run(act())


@when("a caller sends a request in chunks with the trailer {trailer}")
def step_only_trailer(context, trailer):
    async def act():
        caller = context.fleet.caller(0)
        chunked = {"Transfer-Encoding": "chunked"}
        await caller.send("POST", "/book/1", "k1", 2000, chunked, False)
        caller.write(b"5\r\nhello\r\n0\r\n" + trailer.encode() + b"\r\n\r\n")
        context.response = await caller.receive()

    context.runner.run(act())


@then("it is answered with {status:d}, and the connection is closed")
def step_closed(context, status):
    assert context.response.status == status, context.response
    assert context.response.headers["connection"] == "close"


@then("both are answered with {status:d}")
def step_statuses(context, status):
    statuses = [response.status for response in context.responses]
    assert statuses == [status, status], context.responses


@then("no server got a header {name}")
def step_no_header(context, name):
    requests = context.fleet.servers[0].requests
    assert len(requests) == 2, requests
    assert all(name not in request.headers for request in requests), requests


@then("its response has no header {name}")
def step_no_response_header(context, name):
    assert name not in context.response.headers, context.response


@then("a second call gets {status:d}")
def step_second(context, status):
    mesh_path_steps.step_send(context, "POST", "/book/1", "k1")
    assert context.response.status == status, context.response
