"""Steps for planned stops."""

import asyncio
import random
import time

from behave import given
from behave import then
from behave import when
import mesh_gate_task_steps
import mesh_path_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state
from jasminecrank.standins import fleet

NO_RUN = "none"
FIRST_CALL = "a first call of its backend server"
"""One on a route of which its node has seen no call yet."""
WARM_UP_CALLS = 20
LONG_RUN_S = 1.0
TIMER_SLACK_S = 0.15
BUSY_AT_S = 0.5


@given("a deployment of {hosts:d} hosts with a time limit of {limit_s:g} s")
def step_deployment(context, hosts, limit_s):
    def limit(deployment):
        deployment.timeout_ms = round(1000 * limit_s)

    mesh_path_steps.start_deployment(context, hosts, limit)


def _slow_down(context, run_s):
    """Set the run time of all requests and return the deployment."""
    for server in context.fleet.servers:
        server.run_s = run_s
    return context.fleet


async def _warm_up(deployment):
    """Let host 0 see how long the calls of each route run."""
    caller = deployment.caller(0)
    for _ in range(WARM_UP_CALLS // 4):
        assert (await caller.request("POST", "/book/1")).status == 200
        open_call = await caller.request("GET", "/open/1", key=None)
        assert open_call.status == 200
    caller.close()


async def _send_upload(caller, completed):
    """Send a request whose body is complete once `completed` is set."""
    await caller.send(
        "POST", "/book/1", deadline_ms=20_000, headers={"Content-Length": "4"}
    )
    caller.write(b"ab")
    await completed.wait()
    caller.write(b"cd")


@when(
    "node 0 stops by a signal that it handles {late_s:g} s late, "
    "and after {at_s:g} s {what} comes that runs for {run_s:g} s"
)
def step_late_call(context, late_s, at_s, what, run_s):
    async def act():
        deployment = _slow_down(context, run_s)
        caller = deployment.caller(0)
        completed = asyncio.Event()
        uploads = []
        if run_s < LONG_RUN_S and what != FIRST_CALL:
            await _warm_up(deployment)
        if what == "the end of an upload":
            uploads.append(
                asyncio.create_task(_send_upload(caller, completed))
            )
        await asyncio.sleep(0.1)
        time.sleep(late_s)
        stopping = asyncio.create_task(deployment.nodes[0].stop())
        # A node without calls ends early, so another caller keeps it busy.
        await asyncio.sleep(BUSY_AT_S)
        busy = deployment.caller(0)
        uploads.append(
            asyncio.create_task(_send_upload(busy, asyncio.Event()))
        )
        await asyncio.sleep(at_s - BUSY_AT_S)
        started_s = time.monotonic()
        match what.replace(" first", ""):
            case "the start of an upload":
                uploads.append(
                    asyncio.create_task(_send_upload(caller, completed))
                )
                await asyncio.sleep(0.1)
            case "a request":
                await caller.send("POST", "/book/1", deadline_ms=20_000)
            case "a call of its backend server":
                await caller.send(
                    "GET", "/open/1", key=None, deadline_ms=20_000
                )
            case "the end of an upload":
                completed.set()
        context.response = await caller.receive()
        context.elapsed_s = time.monotonic() - started_s
        context.request_id = caller.last_request_id
        await stopping
        for upload in uploads:
            upload.cancel()

    context.runner.run(act())


@when(
    "node 0 stops after it was held up for {held_s:g} s, and after {at_s:g} s "
    "its server makes a call that takes {run_s:g} s instead of {usual_s:g} s, "
    "and is {late_s:g} s late at a deadline"
)
def step_longer_call(context, held_s, at_s, run_s, usual_s, late_s):
    async def act():
        deployment = _slow_down(context, usual_s)
        for server in deployment.servers:
            server.late_s = late_s
        await deployment.register(0, "draining")
        await _warm_up(deployment)
        time.sleep(held_s)
        await _call_in_stop(context, at_s, run_s)

    context.runner.run(act())


async def _call_in_stop(context, at_s, run_s):
    """Stop node 0, and let its server make a call that takes so long."""
    deployment = context.fleet
    await asyncio.sleep(0.2)
    busy = deployment.caller(0)
    upload = asyncio.create_task(_send_upload(busy, asyncio.Event()))
    stop_s = time.monotonic()
    stopping = asyncio.create_task(deployment.nodes[0].stop())
    await asyncio.sleep(at_s)
    _slow_down(context, run_s)
    started_s = time.monotonic()
    caller = deployment.caller(0)
    await caller.send("GET", "/open/1", key=None, deadline_ms=20_000)
    context.response = await caller.receive()
    context.elapsed_s = time.monotonic() - started_s
    context.request_id = caller.last_request_id
    await stopping
    context.stopped_s = time.monotonic() - stop_s
    upload.cancel()


@then("it got that within {limit_s:g} s")
def step_within(context, limit_s):
    assert context.elapsed_s <= limit_s, context.elapsed_s


@when(
    "a {method} that runs for {run_s:g} s is sent to host {host:d}, "
    "and node 0 stops"
)
def step_outlast(context, method, run_s, host):
    async def act():
        deployment = await _one_server(context, run_s)
        caller = deployment.caller(host)
        await caller.send(method, "/book/1", deadline_ms=30_000)
        await asyncio.sleep(0.2)
        started_s = time.monotonic()
        stopping = asyncio.create_task(deployment.nodes[0].stop())
        response = asyncio.create_task(caller.receive(9.0))
        await stopping
        context.stopped_s = time.monotonic() - started_s
        context.response = await response
        context.request_id = caller.last_request_id

    context.runner.run(act())


@when(
    "a {method} that runs for {run_s:g} s is sent to host {host:d}, "
    "and node 0 stops after it was held up for {duration_s:g} s"
)
def step_stop_after_hold_up(context, method, run_s, host, duration_s):
    async def act():
        deployment = await _one_server(context, 0.0)
        time.sleep(duration_s)
        await asyncio.sleep(0.2)
        _slow_down(context, run_s)
        await _stop_in_call(context, deployment.caller(host), method)

    context.runner.run(act())


@when(
    "a {method} that runs for {run_s:g} s is sent to host {host:d}, and node "
    "0 stops after it was held up for {first_s:g} s and again for {then_s:g} s"
)
def step_late_signal(context, method, run_s, host, first_s, then_s):
    async def act():
        deployment = await _one_server(context, 0.0)
        time.sleep(first_s)
        await asyncio.sleep(0.2)
        _slow_down(context, run_s)
        caller = deployment.caller(host)
        await _stop_in_call(context, caller, method, then_s)

    context.runner.run(act())


@when(
    "a {method} that runs for {run_s:g} s is sent to host {host:d}, "
    "and node 0 stops and is held up from {from_s:g} s to {to_s:g} s"
)
def step_hold_up_in_stop(context, method, run_s, host, from_s, to_s):
    async def act():
        deployment = await _one_server(context, run_s)
        asyncio.get_running_loop().call_later(
            from_s, time.sleep, to_s - from_s
        )
        await _stop_in_call(context, deployment.caller(host), method)

    context.runner.run(act())


def _answer_late(node, late_s):
    """Let a node pass on the answers of its server late."""
    loop = asyncio.get_running_loop()

    def delay(send):
        def send_late(message):
            served = isinstance(message, coordination.CallServed)
            loop.call_later(late_s if served else 0.0, send, message)

        return send_late

    for link in node._links:
        if not link.dialled:
            link.send = delay(link.send)


@when(
    "a {method} runs for {run_s:g} s at host 1, whose node answers "
    "{late_s:g} s late, and node 0 stops after it was held up for {held_s:g} s"
)
def step_late_peer(context, method, run_s, late_s, held_s):
    async def act():
        deployment = await _one_server(context, run_s, other=0)
        _answer_late(deployment.nodes[1], late_s)
        time.sleep(held_s)
        await asyncio.sleep(0.2)
        await _stop_in_call(context, deployment.caller(0), method)

    context.runner.run(act())


@when(
    "node 1 answers {late_s:g} s late, and node 0 stops, and after "
    "{at_s:g} s its server makes a call that takes {run_s:g} s instead of "
    "{usual_s:g} s"
)
def step_longer_call_at_late_peer(context, late_s, at_s, run_s, usual_s):
    async def act():
        deployment = await _one_server(context, usual_s, other=0)
        await _warm_up(deployment)
        node = deployment.nodes[1]
        _answer_late(node, late_s)
        asyncio.get_running_loop().call_later(
            at_s - 0.5,
            lambda: node.fleet._lateness.record(late_s, node._clock.now_s()),
        )
        await _call_in_stop(context, at_s, run_s)

    context.runner.run(act())


@when(
    "node 1 reads calls {late_s:g} s late, and node 0 stops, and after "
    "{at_s:g} s its server makes a call that takes {run_s:g} s instead of "
    "{usual_s:g} s"
)
def step_longer_call_read_late(context, late_s, at_s, run_s, usual_s):
    async def act():
        deployment = await _one_server(context, usual_s, other=0)
        await _warm_up(deployment)
        send_by_host = deployment.nodes[0].entry._send_by_host
        for host, send in send_by_host.items():
            send_by_host[host] = _hold_up_after_call(send, late_s)
        await _call_in_stop(context, at_s, run_s)

    context.runner.run(act())


def _hold_up_after_call(send, late_s):
    """Let nothing run for a while after a call is sent on a link."""

    def send_and_hold_up(message):
        send(message)
        if isinstance(message, coordination.CallSent):
            time.sleep(late_s)

    return send_and_hold_up


@when("a call of it would run on a host that is late by {late_s:g} s")
def step_at_late_peer(context, late_s):
    context.window = context.window.at_peer(late_s)


async def _one_server(context, run_s, other=1):
    """Let no call go to the other server, and return the deployment."""
    deployment = _slow_down(context, run_s)
    await deployment.register(other, "draining")
    await asyncio.sleep(0.5)
    return deployment


async def _stop_in_call(context, caller, method, held_up_s=0.0):
    """Send a request, stop node 0, and store the answer.

    The signal comes just before the end of the time that it is held up.
    """
    await caller.send(method, "/book/1", deadline_ms=30_000)
    response = asyncio.create_task(caller.receive(9.0))
    await asyncio.sleep(0.01)
    time.sleep(held_up_s)
    started_s = time.monotonic()
    await context.fleet.nodes[0].stop()
    context.stopped_s = time.monotonic() - started_s
    context.response = await response
    context.request_id = caller.last_request_id


@then("node 0 has stopped within {limit_s:g} s")
def step_stopped(context, limit_s):
    assert context.stopped_s <= limit_s, context.stopped_s


async def _end_calls(node):
    await node._end_calls(node._window_from_signal())


def _end_calls_after_exchange(node):
    """End the calls of a node once it has read what its server sent."""
    exchange = node.gate.port.exchange

    async def exchange_and_end(*args):
        result = await exchange(*args)
        node.ending = asyncio.create_task(_end_calls(node))
        return result

    node.gate.port.exchange = exchange_and_end


@when("the time of node 0 to stop is over just when {what}")
def step_end_calls(context, what):
    async def act():
        deployment = await _one_server(context, 0.0)
        node, server = deployment.nodes[0], deployment.servers[0]
        busy = 0
        match what:
            case "a server has answered a call":
                _end_calls_after_exchange(node)
            case "a server has refused a call":
                server.behaviours.append(fleet.Behaviour.SHED)
                _end_calls_after_exchange(node)
            case "a call waits for a slot":
                server.run_s = 9.0
                busy = server.slots
            case "a server is at work on a call":
                server.run_s = 9.0
            case _:
                raise ValueError(what)
        callers = [deployment.caller(0) for _ in range(busy + 1)]
        for caller in callers:
            await caller.send("POST", "/book/1", deadline_ms=20_000)
            await asyncio.sleep(0.05)
        if server.run_s:
            await _end_calls(node)
        context.response = await callers[-1].receive()
        context.request_id = callers[-1].last_request_id

    context.runner.run(act())


@given("calls have run for {seen} s there")
def step_seen(context, seen):
    context.port.run_s = 0.0 if seen == NO_RUN else float(seen)
    if seen == NO_RUN:
        context.port.run_s = 0.1
        return

    async def act():
        for number in range(WARM_UP_CALLS):
            call = mesh_gate_task_steps.make_call(-1 - number, True)
            context.gate.mailbox.tell(
                coordination.RunCall(1, call, lambda message: None)
            )
            await asyncio.sleep(context.port.run_s + 0.01)

    context.runner.run(act())
    context.port.received.clear()


def _stop(context, close_s):
    loop_s = asyncio.get_running_loop().time()
    window = state.StopWindow(
        loop_s, loop_s + close_s, loop_s + close_s + state.ANSWER_TRANSIT_S
    )
    context.gate.mailbox.tell(coordination.StopRequested(window))


def _offer(context, count, left_s, unread_s=0.0):
    """Send calls to the gate and collect its replies to them."""
    context.replies = []
    for number in range(count):
        call = mesh_gate_task_steps.make_call(number, True, left_s, left_s)
        context.gate.mailbox.tell(
            coordination.RunCall(1, call, context.replies.append, unread_s)
        )


@when(
    "a call with {left_s:g} s to its deadline arrives that may have waited "
    "{unread_s:g} s"
)
def step_offer_unread(context, left_s, unread_s):
    async def act():
        _offer(context, 1, left_s, unread_s)
        await asyncio.sleep(context.port.run_s + 0.1)

    context.runner.run(act())


@when(
    "it stops with {close_s:g} s left, and {calls:d} calls with {left_s:g} s "
    "to their deadline arrive after {at_s:g} s"
)
def step_stop_gate(context, close_s, calls, left_s, at_s):
    async def act():
        _stop(context, close_s)
        await asyncio.sleep(at_s)
        _offer(context, calls, left_s)
        await asyncio.sleep(0.001)
        context.refused = len(context.replies)
        context.offered = calls
        await asyncio.sleep(close_s - at_s)

    context.runner.run(act())


@then("{taken:d} of them are taken and the others are refused at once")
def step_taken(context, taken):
    for reply in context.replies[: context.refused]:
        assert isinstance(reply, coordination.CallNotRun), reply
    assert context.offered - context.refused == taken, context.replies
    served = [
        reply
        for reply in context.replies
        if isinstance(reply, coordination.CallServed)
    ]
    assert len(served) == taken, context.replies


@when(
    "{calls:d} calls with {left_s:g} s to their deadline wait, "
    "and it stops with {close_s:g} s left"
)
def step_stop_queue(context, calls, left_s, close_s):
    async def act():
        _offer(context, calls, left_s)
        await asyncio.sleep(0.001)
        assert not context.replies, context.replies
        _stop(context, close_s)
        await asyncio.sleep(0.001)

    context.runner.run(act())


@when(
    "it stops with {close_s:g} s left, and {calls:d} calls with {left_s:g} s "
    "to their deadline arrive before"
)
def step_stop_after_calls(context, close_s, calls, left_s):
    async def act():
        _offer(context, calls, left_s)
        await asyncio.sleep(0.001)
        _stop(context, close_s)
        await asyncio.sleep(calls * context.port.run_s + 0.1)

    context.runner.run(act())


@then("the server is given {given_s:g} s for the last one")
def step_given_time(context, given_s):
    found_s = context.port.remaining_s
    assert abs(found_s - given_s) < TIMER_SLACK_S, found_s


@then("{refused:d} of them are refused at once")
def step_queue_refused(context, refused):
    assert len(context.replies) == refused, context.replies
    for reply in context.replies:
        assert isinstance(reply, coordination.CallNotRun), reply


@given(
    "a busy server whose calls take {mean_s:g} s on average, with a long tail"
)
def step_busy(context, mean_s):
    context.rng = random.Random(7)
    context.mean_s = mean_s


def _draw_run_s(context):
    run_s = context.mean_s * context.rng.lognormvariate(-0.125, 0.5)
    return 5 * run_s if context.rng.random() < 0.01 else run_s


@when(
    "its node is stopped {times:d} times with {close_s:g} s left, "
    "and calls go on to arrive"
)
def step_stop_often(context, times, close_s):
    controller = state.AdmissionController(
        slots=4, health=state.ServerHealth.UP
    )
    for _ in range(500):
        controller.in_flight += 1
        controller.record_completion("r", _draw_run_s(context), False, 0.0)
    window = state.StopWindow(0.0, close_s, close_s)
    context.cut = context.taken = context.possible = context.possible_taken = 0
    for _ in range(times):
        for _ in range(50):
            now_s = close_s * context.rng.random()
            run_s = _draw_run_s(context)
            takes = window.accepts(
                now_s, now_s + 8.0, 0.0, controller.longest_run_time_s("r")
            )
            ends = now_s + run_s <= close_s
            context.taken += takes
            context.cut += takes and not ends
            context.possible += ends
            context.possible_taken += takes and ends


@then("under {one:d} in {many:d} of the calls taken after that are cut")
def step_cut(context, one, many):
    assert context.cut * many < one * context.taken, (
        context.cut,
        context.taken,
    )


@then("over {some:d} in {many:d} of those that could have ended are taken")
def step_not_refused(context, some, many):
    assert context.possible_taken * many > some * context.possible, (
        context.possible_taken,
        context.possible,
    )


@given(
    "a process that was late by {delay_s:g} s, {ago_s:g} s before it is told "
    "to stop"
)
def step_late_process(context, delay_s, ago_s):
    context.lateness = state.Lateness()
    context.now_s = 100.0
    context.lateness.record(delay_s, context.now_s)
    until_s = context.now_s + ago_s
    while context.now_s < until_s:
        context.now_s = min(until_s, context.now_s + 0.05)
        context.lateness.record(0.0, context.now_s)


@when(
    "it last ran {paused_s:g} s before it handles the signal, with "
    "{grace_s:g} s to stop"
)
def step_window_of_late(context, paused_s, grace_s):
    context.window = state.StopWindow.from_signal(
        context.now_s,
        context.now_s - paused_s,
        grace_s,
        context.lateness.recent_s,
    )


@when("it becomes late by {late_s:g} s")
def step_becomes_late(context, late_s):
    context.window = context.window.for_lateness(late_s)


@then("it takes only calls that are expected to end within {window_s:g} s")
def step_window_length(context, window_s):
    found = context.window.closes_at_s - context.now_s
    assert abs(found - window_s) < 1e-6, found


@then("it breaks off calls after {after_s:g} s")
def step_breaks_off(context, after_s):
    found = context.window.breaks_off_at_s - context.now_s
    assert abs(found - after_s) < 1e-6, found


@then("it takes callers as gone after {gone_s:g} s")
def step_callers_gone(context, gone_s):
    found = context.window.callers_leave_at_s - context.now_s
    assert abs(found - gone_s) < 1e-6, found


@given(
    "a process that gets {grace_s:g} s to stop, was late by {late_s:g} s, "
    "and has calls that run for {run_s:g} s at the longest"
)
def step_stop_of(context, grace_s, late_s, run_s):
    context.window = state.StopWindow.from_signal(0.0, 0.0, grace_s, late_s)
    context.longest_s = run_s


@then("a call after {at_s:g} s with {left_s:g} s to its deadline is {taken}")
def step_late_taken(context, at_s, left_s, taken):
    context.at_s, context.deadline_at_s = at_s, at_s + left_s
    found = context.window.accepts(
        at_s, context.deadline_at_s, 0.0, context.longest_s
    )
    assert found == (taken == "taken"), found


@then("its server would get {given_s:g} s")
def step_server_deadline(context, given_s):
    deadline_at_s = context.window.server_deadline_at_s(context.deadline_at_s)
    found = deadline_at_s - context.at_s
    assert abs(found - given_s) < 1e-3, found
