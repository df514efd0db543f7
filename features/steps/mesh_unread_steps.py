"""Steps for requests that wait in the kernel while a node is held up."""

import asyncio
import socket
import time

from behave import given
from behave import then
from behave import when
import mesh_owed_steps

from jasminecrank.mesh import state


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
        caller.send_blocking()
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
    "node 0 stops while it receives an upload, and a request comes on a new "
    "connection while the node is held up, from {from_s:g} s to {to_s:g} s"
)
def step_held_up_at_window_end(context, from_s, to_s):
    async def act():
        # A node that owes nothing ends early, so an upload keeps it busy.
        busy = await mesh_owed_steps.open_caller(context)
        await busy.send("POST", "/book/1", {"Content-Length": "4"})
        await asyncio.sleep(0.1)
        caller = context.fleet.pipelining_caller(0)
        context.exit_stack.callback(caller.close)
        stopping = asyncio.create_task(context.fleet.nodes[0].stop())
        _hold_up(context, from_s, caller, to_s - from_s)
        await asyncio.sleep(to_s)
        await mesh_owed_steps.receive_answers(context, [caller])
        await stopping

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


@then(
    "its caller has seen the end before it sends, or gets {count:d} answers"
)
def step_ended_or_answered(context, count):
    (answers,) = context.answers
    assert context.has_ended or len(answers) == count, answers


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
