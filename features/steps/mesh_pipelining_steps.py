"""Steps for requests that a caller pipelines on one connection."""

import asyncio
import contextlib
import socket

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import state
from jasminecrank.standins import fleet

RECEIVE_S = 8.0
LEARNED_RUNS = 8
TARGET_BY_METHOD = {"GET": "/lots/1", "POST": "/book/1"}
KIND_BY_ROUTE = {
    "a repeatable route": state.RouteKind.IDEMPOTENT,
    "a booking's route": state.RouteKind.AT_MOST_ONCE,
    "no route": None,
}
RESULT_BY_ANSWER = {True: "starts", False: "waits"}


@given("{running:d} requests in progress on a connection, {earlier}")
def step_in_progress(context, running, earlier):
    context.running = running
    context.all_repeatable = earlier == "all repeatable"


@when("{answers:d} answers and {refusals:d} refusals have come on it before")
def step_window(context, answers, refusals):
    context.window = state.AheadWindow()
    for _ in range(answers):
        context.window.record_answer()
    for _ in range(refusals):
        context.window.record_refusal()


@then("a request of {route} {result:w}")
def step_starts(context, route, result):
    may_run = state.may_run_ahead(
        KIND_BY_ROUTE[route],
        context.running,
        context.all_repeatable,
        context.window.size,
    )
    assert RESULT_BY_ANSWER[may_run] == result


@given("a node that may hold {limit:d} bytes of answers before their turn")
def step_budget(context, limit):
    context.ahead = state.AheadBudget(limit)


@when(
    "{running:d} requests run ahead, {held:d} bytes are held, and answers "
    "have {size:d} bytes"
)
def step_use(context, running, held, size):
    context.ahead.running = running
    context.ahead.held_bytes = held
    for _ in range(100 if size else 0):
        context.ahead.record_answer(size)


@then("another one {result:w}")
def step_room(context, result):
    assert RESULT_BY_ANSWER[context.ahead.has_room()] == result


@given(
    "a connection with {running:d} in progress, {waiting:d} waiting, "
    "{condition}"
)
def step_connection(context, running, waiting, condition):
    context.debts = state.ConnectionDebts(
        waiting=waiting,
        in_progress=running,
        write_blocked=condition == "the caller takes nothing",
        half_closed=condition == "the caller may have left",
    )
    context.phase = state.StopPhase.SERVING
    if condition == "the node stops":
        context.phase = state.StopPhase.CLOSING
    if condition == "the stop's window is over":
        context.phase = state.StopPhase.WINDOW_CLOSED
    context.runs_ahead = condition != "the next may not"


@then("the connection's next step is {step}")
def step_next(context, step):
    found = context.debts.next_step(context.phase, context.runs_ahead)
    assert found.value == step, found


@given("a node whose server has {slots:d} slots, with runs of {run_s:g} s")
def step_node(context, slots, run_s):
    context.exit_stack = contextlib.ExitStack()
    context.runner = context.exit_stack.enter_context(asyncio.Runner())
    context.fleet = fleet.Deployment(1, slots)
    context.fleet.timeout_ms = 10_000
    context.exit_stack.callback(context.fleet.close)
    context.runner.run(context.fleet.start())
    context.server = context.fleet.servers[0]
    context.runner.run(_answer_first(context.fleet))
    context.server.run_s = run_s
    context.server.requests.clear()
    context.server.run_times_s.clear()
    context.server.peak_concurrency = 0


async def _learn_run_time(context):
    """Let the node see some runs, so that it expects further ones."""
    caller = context.fleet.caller(0)
    for _ in range(LEARNED_RUNS):
        assert (await caller.request()).status == 200
    caller.close()
    context.server.requests.clear()
    context.server.peak_concurrency = 0


async def _answer_first(deployment):
    """Let the node pass on an answer, before which it runs none ahead."""
    caller = deployment.caller(0)
    assert (await caller.request()).status == 200
    caller.close()


def _methods(requests):
    method, times, count = requests.partition(" x ")
    return [method] * int(count) if times else requests.split()


async def _pipeline(context, methods):
    caller = context.fleet.pipelining_caller(0)
    await caller.connect()
    for method in methods:
        await caller.send(method, TARGET_BY_METHOD[method])
    return caller


async def _receive(caller):
    """Return the answers; a last request ends the connection."""
    await caller.send("GET", "/lots/1", {"Connection": "close"})
    return await caller.receive_all(RECEIVE_S)


@when("a caller pipelines the requests {requests}")
def step_pipeline(context, requests):
    async def act():
        context.caller = await _pipeline(context, _methods(requests))
        await context.fleet.wait_until(
            lambda: len(context.server.run_times_s) == len(_methods(requests))
        )
        context.peak = context.server.peak_concurrency
        context.responses = await _receive(context.caller)

    context.runner.run(act())


def _statuses_in_order(context):
    ids = [
        response.headers.get("request-id") for response in context.responses
    ]
    assert ids == context.caller.request_ids, ids
    return [response.status for response in context.responses]


@then("the answers are whole and in the order of the requests")
def step_in_order(context):
    statuses = _statuses_in_order(context)
    assert set(statuses) == {200}, statuses


@then("each is answered or refused as not run, in the order of the requests")
def step_each_in_order(context):
    statuses = _statuses_in_order(context)
    assert set(statuses) <= {200, 503} and statuses[0] == 200, statuses
    assert statuses.count(200) == len(context.server.requests), statuses


@then(
    "at most {peak:d} of them have run at the same time, and at least "
    "{least:d}"
)
def step_peak(context, peak, least):
    assert least <= context.peak <= peak, context.peak


@then("the last of them has started after the end of {count:d} others at most")
def step_last_start(context, count):
    # The one after them only ends the connection.
    starts_s = context.server.run_times_s[:-1]
    ended = sum(
        start_s + context.server.run_s <= starts_s[-1] for start_s in starts_s
    )
    assert ended <= count, starts_s


@when("a caller pipelines a long request and {count:d} short ones")
def step_long(context, count):
    async def act():
        caller = await _pipeline(context, ["GET"])
        server = context.server
        await context.fleet.wait_until(lambda: server.peak_concurrency == 1)
        server.run_s = 0.02
        for _ in range(count):
            await caller.send()
        context.responses = await _receive(caller)
        context.caller = caller

    context.runner.run(act())


@then("the short runs end before the long one")
def step_short_first(context):
    run_times_s = context.server.run_times_s
    assert max(run_times_s) == run_times_s[-1], run_times_s


@when("a caller that leaves once they run pipelines {requests}")
def step_leave(context, requests):
    methods = _methods(requests)

    async def act():
        # Answers widen the window of a new connection.
        run_s, context.server.run_s = context.server.run_s, 0.01
        caller = await _pipeline(context, methods)
        starts_s = context.server.run_times_s
        await context.fleet.wait_until(lambda: len(starts_s) == len(methods))
        await asyncio.sleep(0.2)
        context.server.run_s = run_s
        context.server.peak_concurrency = 0
        for method in methods:
            await caller.send(method, TARGET_BY_METHOD[method])
        await context.fleet.wait_until(
            lambda: context.server.peak_concurrency == len(methods)
        )
        caller.close()

    context.runner.run(act())


@then("the server stops {count:d} runs, and no request is open at the node")
def step_cancelled(context, count):
    node = context.fleet.nodes[0]
    context.runner.run(
        context.fleet.wait_until(
            lambda: (
                context.server.cancelled_runs == count
                and not node.entry.open_calls
            )
        )
    )


@when(
    "a caller pipelines a booking and one with a deadline of {limit_ms:d} ms"
)
def step_expired(context, limit_ms):
    async def act():
        caller = await _pipeline(context, ["POST"])
        headers = {"Deadline-Ms": str(limit_ms), "Connection": "close"}
        await caller.send("POST", "/book/2", headers)
        context.responses = await caller.receive_all(RECEIVE_S)

    context.runner.run(act())


@then("the second one is refused as not run, and has not run")
def step_refused(context):
    statuses = [response.status for response in context.responses]
    assert statuses == [200, 503], statuses
    assert len(context.server.requests) == 1


@when("a node that is stopped once one runs gets {requests} pipelined")
def step_stop(context, requests):
    async def act():
        caller = await _pipeline(context, _methods(requests))
        await context.fleet.wait_until(
            lambda: context.server.peak_concurrency > 0
        )
        stopping = asyncio.create_task(context.fleet.nodes[0].stop())
        context.responses = await caller.receive_all(RECEIVE_S)
        await stopping
        context.caller = caller

    context.runner.run(act())


@then("only the last one closes the connection")
def step_last_closes(context):
    closing = [
        response.headers.get("connection") == "close"
        for response in context.responses
    ]
    assert closing == [False] * (len(closing) - 1) + [True], closing


@when("a caller pipelines {requests} and ends its sending side once one runs")
def step_half_close(context, requests):
    async def act():
        await _learn_run_time(context)
        caller = await _pipeline(context, _methods(requests))
        entry = context.fleet.nodes[0].entry
        # The second one has been refused ahead of its turn.
        await context.fleet.wait_until(
            lambda: context.server.peak_concurrency and entry.open_calls == 1
        )
        caller._socket.shutdown(socket.SHUT_WR)
        context.responses = await caller.receive_all(RECEIVE_S)

    context.runner.run(act())


@then("it gets the statuses {statuses}, and the server has begun 1 run")
def step_begun_once(context, statuses):
    found = [str(response.status) for response in context.responses]
    assert found == statuses.split(), found
    assert len(context.server.requests) == 1, context.server.requests
