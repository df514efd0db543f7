"""Steps for requests that wait in the kernel while a node is held up."""

import asyncio
import socket
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import mesh_owed_steps

from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _sockets


@given("idle connections are closed after {limit_s:g} s")
def step_idle_limit(context, limit_s):
    limits = state.CallerLimits(idle_timeout_s=limit_s)
    context.fleet.nodes[0]._caller_server.set_limits(limits)


def _hold_up(context, after_s, caller, duration_s):
    """Let no callback run for a while, in which a request comes.

    The loop is held up where it handles input, since it handles what is due
    next and only then reads again.
    """
    loop = asyncio.get_running_loop()
    reader, writer = socket.socketpair()
    context.exit_stack.callback(reader.close)
    context.exit_stack.callback(writer.close)

    def handle_input():
        loop.remove_reader(reader)
        try:
            caller.send_blocking()
        except ConnectionRefusedError:
            context.refused.append(caller)
        time.sleep(duration_s)

    loop.add_reader(reader, handle_input)
    loop.call_later(after_s, writer.send, b"x")


@when(
    "node 0 stops, and a request comes on {connection} while the node is "
    "held up, from {from_s:g} s to {to_s:g} s"
)
def step_held_up_in_stop(context, connection, from_s, to_s):
    async def act():
        caller = context.fleet.pipelining_caller(0)
        context.exit_stack.callback(caller.close)
        if connection == "an idle connection":
            await caller.connect()
            await asyncio.sleep(0.1)
        stopping = asyncio.create_task(context.fleet.nodes[0].stop())
        _hold_up(context, from_s, caller, to_s - from_s)
        await asyncio.sleep(to_s)
        await mesh_owed_steps.receive_answers(context, [caller])
        await stopping

    context.runner.run(act())


@when(
    "node 0 stops in a call, and a request comes on a new connection while "
    "the node is held up, from {from_s:g} s to {to_s:g} s"
)
def step_held_up_late(context, from_s, to_s):
    _stop_late(context, [from_s], to_s - from_s)


@when(
    "node 0 stops in a call, and a request comes on a new connection every "
    "{interval_s:g} s from {from_s:g} s to {to_s:g} s, with the node held up "
    "for {duration_s:g} s each time"
)
def step_held_up_often(context, interval_s, from_s, to_s, duration_s):
    count = round((to_s - from_s) / interval_s)
    times = [from_s + index * interval_s for index in range(count)]
    _stop_late(context, times, duration_s)


def _stop_late(context, times, duration_s):
    """Stop node 0 in a call, and hold it up each time a request comes."""

    async def act():
        first = await mesh_owed_steps.open_caller(context)
        await first.send("POST", "/book/1")
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(context.fleet.nodes[0].stop())
        for at_s in times:
            caller = context.fleet.pipelining_caller(0)
            context.exit_stack.callback(caller.close)
            context.late_callers.append(caller)
            _hold_up(context, at_s, caller, duration_s)
        await asyncio.sleep(times[-1] + duration_s)
        connected = [
            caller
            for caller in context.late_callers
            if caller not in context.refused
        ]
        await mesh_owed_steps.receive_answers(context, connected)
        await stopping

    context.late_callers = []
    context.refused = []
    context.runner.run(act())


@then("it gets an answer 503")
@then("each gets an answer 503 or no connection at all")
def step_late_answer(context):
    assert context.answers
    for answers in context.answers:
        assert [answer.status for answer in answers] == [503], context.answers


@then("it gets no connection at all")
@then("the last gets no connection at all")
def step_late_refused(context):
    assert context.late_callers[-1] in context.refused, context.answers


@when(
    "a request comes on a connection that was idle for {idle_s:g} s, "
    "and the node is held up for {duration_s:g} s"
)
def step_held_up_idle(context, idle_s, duration_s):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        _hold_up(context, idle_s, caller, duration_s)
        await mesh_owed_steps.receive_answers(context, [caller])

    context.runner.run(act())


@when(
    "node 0 stops, and is held up for {duration_s:g} s once it has decided to "
    "close an idle connection"
)
def step_held_up_after_decision(context, duration_s):
    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        await asyncio.sleep(0.1)
        server = context.fleet.nodes[0]._caller_server
        close_idle = server.close_idle

        def close_idle_and_pause():
            close_idle()
            context.has_ended = _has_ended(caller)
            if not context.has_ended:
                caller.send_blocking()
            time.sleep(duration_s)

        server.close_idle = close_idle_and_pause
        stopping = asyncio.create_task(context.fleet.nodes[0].stop())
        await mesh_owed_steps.receive_answers(context, [caller])
        await stopping

    context.runner.run(act())


def _has_ended(caller):
    """Return whether the node has ended its side of a connection."""
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return caller._socket.recv(1, flags) == b""
    except BlockingIOError:
        return False


@then("its caller has seen the end before it sends, or gets {count:d} answers")
def step_ended_or_answered(context, count):
    (answers,) = context.answers
    assert context.has_ended or len(answers) == count, answers


@when("a caller sends half a head, and bytes are unread at each look")
def step_always_unread(context):
    context.exit_stack.enter_context(
        mock.patch.object(_sockets, "unread_bytes", lambda transport: 1)
    )

    async def act():
        caller = await mesh_owed_steps.open_caller(context)
        await caller.write(b"GET /lots/1 HTTP/1.1\r\nHost: a.example\r\n")
        started_s = time.monotonic()
        await mesh_owed_steps.receive_answers(context, [caller])
        context.elapsed_s = time.monotonic() - started_s

    context.runner.run(act())


@then("its answer has come within {limit_s:g} s")
def step_answered_within(context, limit_s):
    assert context.elapsed_s < limit_s, context.elapsed_s


@when("it is found idle with {unread:d} bytes that are not read")
def step_found_unread(context, unread):
    debts = context.debts
    phase = state.StopPhase.CALLERS_LEFT
    context.stop_step = debts.idle_step(phase, 9.0, 0, unread)
    context.limit_step = debts.timeout_step(0, unread)
    context.is_last = debts.is_last_answer(phase, unread)


@then(
    "a stop says {stop}, a time limit says {limit}, and the answer being "
    "written in a stop is {answer}"
)
def step_says_unread(context, stop, limit, answer):
    assert context.stop_step.value == stop, context.stop_step
    assert context.limit_step.value == limit, context.limit_step
    assert context.is_last == (answer == "last"), context.is_last
