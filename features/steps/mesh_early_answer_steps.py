"""Steps for a server that answers a long body before it has read it."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

UPLOAD_BYTES = 1_000_000
LONG_BODY_BYTES = 100_000
DEADLINE_MS = 7_000
READ_MARGIN_S = 1.5


@given(
    "its server answers bodies at once and reads them {pause_s:g} s later"
)
def step_early_server(context, pause_s):
    context.pause_s = pause_s
    context.body_sizes = []

    async def serve(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                return
            fields = dict(
                line.lower().split(": ", 1)
                for line in head.decode().split("\r\n")[1:-2]
            )
            request_id = fields.get("request-id", "")
            answer = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Server-Stamp: stamp-{request_id}\r\n"
                "Content-Length: 2\r\n\r\nok"
            ).encode()
            size = int(fields.get("content-length", "0"))
            if size < LONG_BODY_BYTES:
                await reader.readexactly(size)
                writer.write(answer)
                continue
            writer.write(answer)
            await asyncio.sleep(pause_s)
            try:
                context.body_sizes.append(len(await reader.readexactly(size)))
            except (OSError, asyncio.IncompleteReadError) as error:
                context.body_sizes.append(repr(error))

    async def replace():
        deployment = context.fleet
        deployment.servers[0].close()
        await asyncio.sleep(0.05)
        server = await asyncio.start_server(
            serve, deployment.host(0), deployment._ports["server"]
        )
        context.exit_stack.callback(server.close)
        # The calls before have ended on connections to the server before.
        warm = deployment.caller(0)
        assert (await warm.request()).status == 200
        warm.close()

    context.runner.run(replace())


@when("a caller uploads 1 MB and then sends a booking")
def step_upload(context):
    async def act():
        caller = context.fleet.caller(0)
        await caller.send(
            "POST",
            "/book/1",
            deadline_ms=DEADLINE_MS,
            headers={"Content-Length": str(UPLOAD_BYTES)},
        )
        caller.write(bytes(UPLOAD_BYTES))
        assert (await caller.receive()).status == 200
        began_s = time.monotonic()
        response = await caller.request(
            "POST", "/book/2", deadline_ms=DEADLINE_MS
        )
        context.booking = response.status, time.monotonic() - began_s
        await asyncio.sleep(context.pause_s + READ_MARGIN_S)

    context.runner.run(act())


@then("the booking is answered {status:d} within {limit_s:g} s")
def step_booking(context, status, limit_s):
    found, elapsed_s = context.booking
    assert found == status, context.booking
    assert elapsed_s < limit_s, context.booking


@then("the server gets the whole upload")
def step_whole(context):
    assert context.body_sizes == [UPLOAD_BYTES], context.body_sizes


@when("a caller uploads 1 MB and then the node stops")
def step_upload_stop(context):
    async def act():
        caller = context.fleet.caller(0)
        await caller.send(
            "POST",
            "/book/1",
            deadline_ms=DEADLINE_MS,
            headers={"Content-Length": str(UPLOAD_BYTES)},
        )
        caller.write(bytes(UPLOAD_BYTES))
        assert (await caller.receive()).status == 200
        await context.fleet.nodes[0].stop()
        await asyncio.sleep(context.pause_s + READ_MARGIN_S)

    context.runner.run(act())
