"""Steps for the answers that a node owes on its connections."""

import asyncio
import contextlib
import re
import time

from behave import given
from behave import then
from behave import when
import mesh_path_steps
import uvloop

from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh import transport

READ_TIMEOUT_S = 12.0
STOP_GRACE_S = 6.0
REFUSED_BODY_BYTES = 3_000_000
REFUSED_HEADER_BYTES = 70_000


@given("a deployment of {hosts:d} hosts on the event loop of a process")
def step_deployment(context, hosts):
    _start_deployment(context, hosts, STOP_GRACE_S)


@given(
    "a deployment of {hosts:d} hosts on the event loop of a process "
    "with {grace_s:g} s to stop"
)
def step_deployment_grace(context, hosts, grace_s):
    _start_deployment(context, hosts, grace_s)


def _start_deployment(context, hosts, grace_s):
    def prepare(deployment):
        deployment.timeout_ms = 20_000
        deployment.stop_grace_s = grace_s

    mesh_path_steps.start_deployment(
        context, hosts, prepare, uvloop.new_event_loop
    )


@given("servers run for {run_s:g} s and answer with {kbytes:d} kB")
def step_servers(context, run_s, kbytes):
    for server in context.fleet.servers:
        server.run_s = run_s
        server.min_body_bytes = 1_000 * kbytes


async def open_caller(context, number=0, mbit_per_s=0.0):
    """Return a connected caller that reads at a rate."""
    caller = context.fleet.pipelining_caller(number, mbit_per_s)
    context.exit_stack.callback(caller.close)
    await caller.connect()
    return caller


async def _stop_node(context):
    """Stop node 0 and note the time that it takes."""
    started_s = time.monotonic()
    await context.fleet.nodes[0].stop()
    context.stopped_s = time.monotonic() - started_s


async def receive_answers(context, callers):
    """Keep the answers that callers get until their connections end."""
    context.callers = callers
    context.answers = await asyncio.gather(
        *(caller.receive_all(READ_TIMEOUT_S) for caller in callers)
    )


@when(
    "{callers:d} callers send {requests:d} requests each, "
    "read at {mbit:g} Mbit/s, and node 0 stops after {at_s:g} s"
)
def step_stop(context, callers, requests, mbit, at_s):
    async def act():
        opened = [await open_caller(context, 0, mbit) for _ in range(callers)]
        for caller in opened:
            for _ in range(requests):
                await caller.send()
        reading = asyncio.create_task(receive_answers(context, opened))
        await asyncio.sleep(at_s)
        await _stop_node(context)
        await reading

    context.runner.run(act())


@when(
    "a caller sends a request and reads at {mbit:g} Mbit/s, and node 0 stops "
    "and is held up {times}"
)
def step_held_up(context, mbit, times):
    async def act():
        caller = await open_caller(context, 0, mbit)
        await caller.send()
        reading = asyncio.create_task(receive_answers(context, [caller]))
        await asyncio.sleep(0.3)
        loop = asyncio.get_running_loop()
        for span in re.findall(r"from ([\d.]+) s to ([\d.]+) s", times):
            from_s, to_s = map(float, span)
            loop.call_later(from_s, time.sleep, to_s - from_s)
        await _stop_node(context)
        await asyncio.wait((reading,), timeout=1.0)
        reading.cancel()

    context.runner.run(act())


def check_answer(answer, request_id, context):
    """Check that an answer is whole and belongs to a request."""
    start = f"body of {request_id}".encode()
    assert answer.status == 200, answer.status
    assert answer.body.startswith(start), answer.body[:40]
    assert not answer.body[len(start) :].strip(b"."), "body changed"
    least = max(server.min_body_bytes for server in context.fleet.servers)
    assert len(answer.body) >= least, len(answer.body)


def _check_closing(answers):
    closing = [
        answer.headers.get("connection") == "close" for answer in answers
    ]
    expected = [False] * (len(answers) - 1) + [True]
    assert closing == expected, closing


def _check_complete(context, count):
    assert context.answers
    for caller, answers in zip(context.callers, context.answers, strict=True):
        found = [answer.status for answer in answers]
        assert len(answers) == count, found
        for answer, request_id in zip(
            answers, caller.request_ids, strict=False
        ):
            check_answer(answer, request_id, context)


@then(
    "each caller gets {count:d} complete answers, "
    "only the last of which closes"
)
def step_all_answered(context, count):
    _check_complete(context, count)
    for answers in context.answers:
        _check_closing(answers)


@then("it gets {count:d} complete answers")
def step_answered(context, count):
    _check_complete(context, count)


@when("a caller sends {before:d} requests and then {refused}")
def step_refused(context, before, refused):
    async def act():
        caller = await open_caller(context)
        for _ in range(before):
            await caller.send()
        # The first of them is in progress when the last is refused.
        await asyncio.sleep(0.1)
        reading = asyncio.create_task(receive_answers(context, [caller]))
        match refused:
            case "a body of 3 MB":
                length = {"Content-Length": str(REFUSED_BODY_BYTES)}
                await caller.send("POST", "/book/1", length)
                await caller.write(b"x" * REFUSED_BODY_BYTES)
            case "a header of 70 kB":
                await caller.send(headers={"X": "x" * REFUSED_HEADER_BYTES})
            case "a line without method":
                await caller.write(b"/lots/1\r\n\r\n")
            case "an upgrade":
                await caller.send(
                    headers={"Connection": "Upgrade", "Upgrade": "other"}
                )
            case _:
                raise ValueError(refused)
        started_s = time.monotonic()
        await reading
        context.elapsed_s = time.monotonic() - started_s

    context.runner.run(act())


@then(
    "it gets {before:d} complete answers, then {status:d}, "
    "and the connection ends"
)
def step_refusal_last(context, before, status):
    (answers,) = context.answers
    found = [answer.status for answer in answers]
    assert found == [200] * before + [status], found
    request_ids = context.callers[0].request_ids[:before]
    for answer, request_id in zip(answers, request_ids, strict=False):
        check_answer(answer, request_id, context)
    _check_closing(answers)
    assert context.elapsed_s < READ_TIMEOUT_S, context.elapsed_s


@when(
    "a caller sends {count:d} requests and a part of another, and node 0 stops"
)
def step_window(context, count):
    async def act():
        caller = await open_caller(context)
        for _ in range(count):
            await caller.send("POST", "/book/1")
        reading = asyncio.create_task(receive_answers(context, [caller]))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(_stop_node(context))
        # The rest is read before the window closes.
        await asyncio.sleep(min(4.0, 0.3 * context.fleet.stop_grace_s))
        await caller.send("POST", "/book/1", {"Content-Length": "4"})
        await stopping
        await reading

    context.runner.run(act())


@then("it gets the statuses {statuses}, only the last of which closes")
def step_statuses(context, statuses):
    (answers,) = context.answers
    found = " ".join(str(answer.status) for answer in answers)
    assert found == statuses, found
    _check_closing(answers)


@when(
    "node 0 is held up for {held_s:g} s, stops in {busy_with}, and "
    "{opened_s:g} s later a connection opens that sends a request after "
    "{wait_s:g} s"
)
def step_late_connection(context, held_s, busy_with, opened_s, wait_s):
    async def act():
        time.sleep(held_s)
        await asyncio.sleep(0.2)
        # A node that owes nothing ends early.
        busy = await open_caller(context)
        if busy_with == "an upload":
            await busy.send("POST", "/book/1", {"Content-Length": "4"})
        else:
            for server in context.fleet.servers:
                server.run_s = float(busy_with.split()[-2])
            await busy.send("POST", "/book/1")
            reading = asyncio.create_task(busy.receive_all(READ_TIMEOUT_S))
            reading.add_done_callback(lambda _: busy.close())
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(_stop_node(context))
        await asyncio.sleep(opened_s)
        caller = await open_caller(context)
        await asyncio.sleep(wait_s)
        await caller.send()
        await receive_answers(context, [caller])
        await stopping

    context.runner.run(act())


@when(
    "a caller of host 1 is served by host 0, which stops, "
    "and host 1 pauses reading for {pause_s:g} s"
)
def step_link(context, pause_s):
    async def act():
        deployment = context.fleet
        await deployment.register(1, "draining")
        await asyncio.sleep(0.5)
        caller = await open_caller(context, 1)
        await caller.send("POST", "/book/1")
        await asyncio.sleep(0.1)
        reading = asyncio.create_task(receive_answers(context, [caller]))
        stopping = asyncio.create_task(_stop_node(context))
        await asyncio.sleep(2.3)
        links = [
            link._transport
            for link in deployment.nodes[1]._links
            if link.dialled
        ]
        assert links
        for link in links:
            link.pause_reading()
        await asyncio.sleep(pause_s)
        for link in links:
            link.resume_reading()
        await stopping
        await reading

    context.runner.run(act())


def hold_up_after_answer(server, held_s):
    """Let nothing run for a while after the server has sent an answer."""
    send = server._send

    def send_and_hold_up(*args):
        result = send(*args)
        time.sleep(held_s)
        return result

    server._send = send_and_hold_up


@when(
    "a {method} with {left_s:g} s to its deadline is sent to host {host:d}, "
    "answered after {run_s:g} s, and nothing runs for {held_s:g} s from then "
    "on"
)
def step_late_reading(context, method, left_s, host, run_s, held_s):
    async def act():
        deployment = context.fleet
        await deployment.register(1, "draining")
        await asyncio.sleep(0.5)
        deployment.servers[0].run_s = run_s
        hold_up_after_answer(deployment.servers[0], held_s)
        caller = deployment.caller(host)
        await caller.send(method, "/book/1", deadline_ms=round(1000 * left_s))
        context.response = await caller.receive(left_s + held_s + 1.0)
        context.request_id = caller.last_request_id

    context.runner.run(act())


def _unsent_bytes(context):
    body = context.fleet.nodes[0].read_metrics(b"/metrics").body.decode()
    found = re.search(r"caller_unsent_bytes\S* (\S+)", body)
    assert found is not None, body
    return float(found[1])


@when(
    "a caller sends a request, node 0 stops, and the caller sends more bytes "
    "after {more_s:g} s"
)
def step_more_bytes(context, more_s):
    async def act():
        caller = await open_caller(context)
        await caller.send()
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(_stop_node(context))
        await asyncio.sleep(more_s)
        context.were_sent = []
        for _ in range(2):
            # The reset that answers the first bytes comes before the second.
            context.were_sent.append(await caller.write(b"GET "))
            await asyncio.sleep(0.05)
        await receive_answers(context, [caller])
        await stopping

    context.runner.run(act())


@then("the connection takes these bytes")
def step_bytes_taken(context):
    assert context.were_sent == [True, True], context.were_sent


@when("a caller sends {count:d} requests and reads nothing for {pause_s:g} s")
def step_pause(context, count, pause_s):
    async def act():
        caller = await open_caller(context)
        for _ in range(count):
            await caller.send()
        await asyncio.sleep(pause_s)
        context.unsent_bytes = _unsent_bytes(context)
        reading = asyncio.create_task(receive_answers(context, [caller]))
        # The node closes the connection once it is idle.
        await _stop_node(context)
        await reading

    context.runner.run(act())


@then("node 0 held at most {kbytes:d} kB that were not sent")
def step_held(context, kbytes):
    assert context.unsent_bytes <= 1_000 * kbytes, context.unsent_bytes


def _make_debts(due):
    refusal = state.Refusal(state.RefusalKind.TOO_LARGE)
    parts = due.split(", ")
    return state.ConnectionDebts(
        waiting=int("a waiting request" in parts),
        in_progress=int("a request in progress" in parts),
        receiving="a part of a request" in parts,
        refusal=refusal if due.find("refusal") >= 0 else None,
        last_request_read="refusal" in due or "after a close" in due,
        write_blocked="blocked" in parts,
    )


@given("a connection on which {due} is due")
def step_due(context, due):
    context.debts = _make_debts(due)


@when("the decision is taken in the phase {phase}")
def step_phase(context, phase):
    context.phase = state.StopPhase(phase)


@then("its next step is {step}, and the answer being written is {answer}")
def step_next(context, step, answer):
    assert context.debts.next_step(context.phase).value == step
    last = context.debts.is_last_answer(context.phase, 0)
    assert last == (answer == "last"), last


@when(
    "it is found {age_s:g} s after it opened, {phase}, "
    "with {count:d} bytes undelivered"
)
def step_found(context, age_s, phase, count):
    debts = context.debts
    context.stop_step = debts.idle_step(
        state.StopPhase(phase), age_s, count, 0
    )
    context.limit_step = debts.timeout_step(count, 0)


@then("a stop says {stop}, and a time limit says {limit}")
def step_says(context, stop, limit):
    assert context.stop_step.value == stop, context.stop_step
    assert context.limit_step.value == limit, context.limit_step


GOOD_REQUEST = (
    b"GET /lots/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
    b"Deadline-Ms: 20000\r\nAuthorization: Token k1\r\n\r\n"
)
REFUSED_REQUEST = b"GET /lots/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"
AT_ONCE_BY_WHAT = {
    "a refused request and a good one": (1, 1),
    "two refused requests": (2, 0),
    "a refused request and two good ones": (1, 2),
}


@when("node 0 stops, and 0.3 s later a caller sends at once {what}")
def step_at_once(context, what):
    refused, good = AT_ONCE_BY_WHAT[what]
    data = REFUSED_REQUEST * refused
    data += b"".join(GOOD_REQUEST % b"g%d" % n for n in range(good))

    async def act():
        caller = await open_caller(context)
        stopping = asyncio.create_task(_stop_node(context))
        await asyncio.sleep(0.3)
        await caller.write(data)
        await receive_answers(context, [caller])
        await stopping

    context.runner.run(act())


@when("{count:d} callers each get an answer and read nothing of it")
def step_unread(context, count):
    async def act():
        context.unsent_bytes = 0.0
        for _ in range(count):
            caller = await open_caller(context)
            await caller.send()
            await asyncio.sleep(0.1)
            context.unsent_bytes = max(
                context.unsent_bytes, _unsent_bytes(context)
            )

    context.runner.run(act())


@then("another caller is served")
def step_other_served(context):
    async def act():
        for server in context.fleet.servers:
            server.min_body_bytes = 0
        return await context.fleet.caller(0).request()

    response = context.runner.run(act())
    assert response.status == 200, response


@given("a server that reads nothing of a body for {pause_s:g} s")
def step_pausing_server(context, pause_s):
    context.exit_stack = contextlib.ExitStack()
    context.runner = context.exit_stack.enter_context(
        asyncio.Runner(loop_factory=uvloop.new_event_loop)
    )

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        await asyncio.sleep(pause_s)
        writer.transport.resume_reading()
        length = int(re.search(rb"Content-Length: (\d+)", head)[1])
        await reader.readexactly(length)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def listen():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.exit_stack.callback(server.close)
        return server.sockets[0].getsockname()

    context.address = context.runner.run(listen())


@when("a request with a body of {size:d} MB is sent to it")
def step_send_body(context, size):
    async def act():
        connection = await transport.connect(*context.address, 1.0)
        request = protocol.RawRequest(
            b"POST", b"/book/1", (), b"x" * (1_000_000 * size)
        )
        started_s = time.monotonic()
        context.response = await connection.exchange(request)
        context.elapsed_s = time.monotonic() - started_s
        connection.abort()

    context.runner.run(act())


@then("its response arrives after {pause_s:g} s")
def step_late_response(context, pause_s):
    assert context.response.body == b"ok", context.response
    assert context.elapsed_s >= pause_s, context.elapsed_s


@when("{count:d} callers leave without waiting for their answers")
def step_leave(context, count):
    async def act():
        callers = [context.fleet.caller(0) for _ in range(count)]
        for caller in callers:
            await caller.send()
        await asyncio.sleep(0.1)
        for caller in callers:
            caller.close()
        await asyncio.sleep(0.5)

    context.runner.run(act())


@then("at most {most:d} lines say that their connections were cut")
def step_few_lines(context, most):
    found = [
        line
        for line in context.fleet.log_lines
        if b'"caller-connection-cut"' in line
    ]
    assert len(found) <= most, len(found)


@given("callers that have not taken {unsent} bytes, in order of time")
def step_unsent(context, unsent):
    context.unsent_by_caller = {
        number: int(size) for number, size in enumerate(unsent.split(", "))
    }


@then("with a limit of {limit:d} bytes, {count:d} of them are disconnected")
def step_dropped(context, limit, count):
    dropped = state.connections_to_drop(context.unsent_by_caller, limit)
    assert dropped == list(range(count)), dropped
