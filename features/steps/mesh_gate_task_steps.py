"""Steps for the task that admits calls to a backend server."""

import asyncio
import dataclasses

from behave import given
from behave import then
from behave import when
import fleet_model
import mesh_directory_steps
import mesh_state_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

CALLS = 2
LINK_ID = 7
RUN_S = 0.2
LATE_REPLY_S = 0.5
"""Time after which a gate has given up a call whose deadline is over."""


class ServerPort:
    """A backend server that answers after a while."""

    def __init__(self):
        self.received = []
        self.remaining_s = 0.0
        """Time to the deadline of the call that came last."""
        self.run_s = RUN_S
        self.result = None
        """Result of the calls; None if they are served."""
        self.health_checks = 0

    async def exchange(self, call, remaining_s):
        """Answer a call."""
        self.remaining_s = remaining_s
        self.received.append(call)
        await asyncio.sleep(self.run_s)
        if self.result is not None:
            return self.result
        return state.Served(state.Response(200, b"OK", (), b""), self.run_s)

    async def check_health(self, path):
        """Report a warm server."""
        del path
        self.health_checks += 1
        return coordination.Health("i-1", 0.0)


def make_call(number, idempotent, remaining_s=2.0, target_s=1.0):
    """Return a call to the server."""
    return coordination.CallSent(
        call_id=number,
        request_id=f"r-{number}",
        server_id="i-1",
        route="lots",
        method=b"GET",
        target=b"/lots/1",
        headers=(),
        body=b"",
        rank=1,
        idempotent=idempotent,
        remaining_s=remaining_s,
        target_remaining_s=target_s,
        caller_service="intake",
        team="",
    )


@given("a gate task beside a server with {slots:d} slots")
def step_gate(context, slots):
    loop = fleet_model.VirtualLoop()
    context.runner = asyncio.Runner(loop_factory=lambda: loop)
    context.add_cleanup(context.runner.close)
    context.port = ServerPort()
    server = mesh_directory_steps.make_server("i-1", slots=slots)

    async def start():
        context.gate = coordination.GateTask(
            state.AdmissionController(),
            context.port,
            (server.host, server.port),
            server.service,
            fleet_model.LoopClock(),
            fleet_model.NullLog(),
        )
        context.task = asyncio.get_running_loop().create_task(
            context.gate.run()
        )
        table = mesh_state_steps.make_table(1)
        context.gate.mailbox.tell(
            coordination.FleetChanged(
                state.FleetSnapshot(table, {"i-1": server}, {}, frozenset())
            )
        )
        await asyncio.sleep(1.0)

    context.runner.run(start())


@when("{kind} calls arrive and {what}, {when}")
def step_calls(context, kind, what, when):
    tell = context.gate.mailbox.tell
    context.sent = []

    async def act():
        for number in range(CALLS):
            call = make_call(number, kind == "safe")
            tell(coordination.RunCall(LINK_ID, call, context.sent.append))
        if when == "while they run":
            await asyncio.sleep(RUN_S / 2)
        if "cancelled" in what:
            for number in range(CALLS):
                tell(coordination.CancelCall(LINK_ID, number))
        if "link" in what:
            tell(coordination.LinkClosed(LINK_ID))
        await asyncio.sleep(2 * RUN_S)

    context.runner.run(act())


@then("the server has received {count:d} of them")
def step_received(context, count):
    assert len(context.port.received) == count, context.port.received


@then("no call holds a slot")
def step_free(context):
    async def read_load():
        return context.gate.load()

    load = context.runner.run(read_load())
    assert context.gate.active_calls == 0, context.gate.active_calls
    assert (load.in_flight, load.queued) == (0, 0), load
    # A run that counts for ever would let its callers' calls go first.
    running = [n for n in range(CALLS) if context.gate.is_running(f"r-{n}")]
    assert not running, running


@when("the next health check raises an error and the server is doubtful")
def step_health_error(context):
    check_health = context.port.check_health
    pending = [ValueError("internal error")]

    async def fail_once(path):
        if pending:
            raise pending.pop()
        return await check_health(path)

    async def act():
        context.port.check_health = fail_once
        context.gate.log.failure = lambda event, error, **fields: None
        call = make_call(0, True)
        context.port.result = state.MayHaveRun("connection-reset")
        context.gate.mailbox.tell(
            coordination.RunCall(LINK_ID, call, lambda message: None)
        )
        await asyncio.sleep(2 * RUN_S)
        assert not pending

    context.runner.run(act())


@then("the server is up again within {limit_s:g} s")
def step_up_again(context, limit_s):
    async def act():
        await asyncio.sleep(limit_s)
        return context.gate.load()

    load = context.runner.run(act())
    assert load.accepting, load


@when("a snapshot with {changes} is published")
def step_published(context, changes):
    server = mesh_directory_steps.make_server("i-1", slots=2)
    stray = dataclasses.replace(server, server_id="i-2", service="depot")
    newer = dataclasses.replace(server, created_at_ms=1)
    table = mesh_state_steps.make_table(1)
    snapshot_by_change = {
        "its service gone": (
            mesh_state_steps.make_table(2, services=()),
            [server],
        ),
        "its service back": (table, [server]),
        "its entry gone": (table, []),
        "its entry back": (table, [server]),
        "a new incarnation": (table, [newer]),
        "an entry of an unknown service": (table, [server, stray]),
    }

    async def act():
        for change in changes.split(", "):
            table, servers = snapshot_by_change[change]
            server_by_id = {server.server_id: server for server in servers}
            snapshot = state.FleetSnapshot(
                table, server_by_id, {}, frozenset()
            )
            context.gate.mailbox.tell(coordination.FleetChanged(snapshot))
            await asyncio.sleep(1.0)

    context.runner.run(act())


@then("the health of the server has been checked {count:d} times")
def step_checked(context, count):
    assert context.port.health_checks == count, context.port.health_checks


STOP_S_BY_EVENT = {
    "a stop is requested": 4.0,
    "a short stop is requested": 1.0,
}
"""Time that a stopping node has left; calls have 2 s to their deadline."""


def _arriving_event(context, event):
    """Return the message of an event in the life of an arriving call."""
    call = make_call(0, False)
    match event:
        case "it is cancelled":
            return coordination.CancelCall(LINK_ID, call.call_id)
        case "its link ends":
            return coordination.LinkClosed(LINK_ID)
        case "another link ends":
            return coordination.LinkClosed(LINK_ID + 1)
        case "it has arrived":
            return coordination.RunCall(LINK_ID, call, context.sent.append)
        case "a stop is requested" | "a short stop is requested":
            now_s = asyncio.get_running_loop().time()
            end_s = now_s + STOP_S_BY_EVENT[event]
            return coordination.StopRequested(
                state.StopWindow(now_s, end_s, end_s)
            )
        case "the stop window closes":
            return coordination.CloseGate(lambda: None)
        case "another arrives":
            other = make_call(1, False)
            return coordination.CallArriving(
                LINK_ID, other, context.sent.append
            )
        case _:
            raise ValueError(event)


@when("a call is arriving, and then {events}")
def step_arriving(context, events):
    context.sent = []

    async def act():
        tell = context.gate.mailbox.tell
        call = make_call(0, False)
        tell(coordination.CallArriving(LINK_ID, call, context.sent.append))
        for event in events.split(", "):
            if event != "nothing":
                tell(_arriving_event(context, event))
        await asyncio.sleep(2 * RUN_S)

    context.runner.run(act())


def _answers(context):
    """Return descriptions of the gate's replies, in their order."""
    seen = []
    for message in context.sent:
        match message:
            case coordination.CallServed():
                seen.append("served")
            case coordination.CallNotRun(reason=reason, reached_server=False):
                seen.append(f"not run: {reason}")
            case coordination.CallMayHaveRun(reason=reason):
                seen.append(f"may have run: {reason}")
            case _:
                seen.append(str(message))
    return seen


@then("each has been answered {answer}")
def step_answered_each(context, answer):
    assert _answers(context) == [answer] * CALLS, _answers(context)


@then("it has answered {answers}")
def step_answered(context, answers):
    assert ", ".join(_answers(context)) == answers, _answers(context)


@then("it has been answered {answers}, and {count:d} calls are active")
def step_answers(context, answers, count):
    seen = _answers(context)
    assert (", ".join(seen) or "nothing") == answers, seen
    assert context.gate.active_calls == count, context.gate.active_calls
    begun = [answer for answer in seen if not answer.startswith("not run")]
    assert len(context.port.received) == len(begun), context.port.received


@when(
    "a call with {left_s:g} s to its deadline is answered after {run_s:g} s, "
    "and the gate does not run for {held_s:g} s from {at_s:g} s on"
)
def step_late_gate(context, left_s, run_s, held_s, at_s):
    context.sent = []
    context.port.run_s = run_s

    async def act():
        loop = asyncio.get_running_loop()
        call = make_call(0, False, remaining_s=left_s)
        loop.call_later(at_s, loop.block, held_s)
        context.gate.mailbox.tell(
            coordination.RunCall(LINK_ID, call, context.sent.append)
        )
        await asyncio.sleep(at_s + held_s + LATE_REPLY_S)

    context.runner.run(act())
