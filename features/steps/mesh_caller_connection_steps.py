"""Steps for a caller's connection whose transport has no socket."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when
import fleet_model

from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _caller_connection
from jasminecrank.mesh.transport import _paced_reading

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1\r\nx\r\n"
READ_BYTES = 262_144


class KeepingTransport:
    """Transport without a socket, whose caller may take no answers."""

    def __init__(self):
        self.unsent_bytes = 0
        self.is_taken = True
        self.is_reading = True
        self.aborted = False
        self.closed = False

    def writelines(self, parts):
        """Count the bytes that the caller does not take."""
        if not self.is_taken:
            self.unsent_bytes += sum(map(len, parts))

    def get_extra_info(self, name):
        """Return nothing, since there is no socket."""

    def get_write_buffer_size(self):
        """Return the bytes that the caller has not taken."""
        return self.unsent_bytes

    def is_closing(self):
        """Return whether the connection ends."""
        return self.aborted or self.closed

    def pause_reading(self):
        """Note that nothing is read."""
        self.is_reading = False

    def resume_reading(self):
        """Note that bytes are read."""
        self.is_reading = True

    def write_eof(self):
        """Ignore the end of the answers."""

    def close(self):
        """Note the end of the connection."""
        self.closed = True

    def abort(self):
        """Note that the connection is aborted."""
        self.aborted = True


def _read_request(raw):
    return state.CallRequest(
        "", raw.method, raw.target, "", "/", (), raw.body, None, None
    )


@given("a caller's connection at a node with {memory:d} bytes of memory")
def step_caller_connection(context, memory):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    log = mock.Mock()
    context.budget = state.MemoryBudget.from_memory_limit(memory)
    context.arrived = []
    context.refusals = []

    def write_reply(reply, _request):
        if isinstance(reply, state.Refusal):
            context.refusals.append(reply.kind)
            return protocol.RawResponse(408, b"", (), b"")
        return protocol.RawResponse(200, b"OK", (), reply.body)

    table = mock.Mock()
    table.match.return_value.kind = state.RouteKind.IDEMPOTENT
    context.shared = _caller_connection.ConnectionContext(
        mock.Mock(read_request=_read_request, write_reply=write_reply),
        context.arrived.append,
        fleet_model.LoopClock(),
        log,
        context.budget,
        mock.Mock(),
        state.AheadBudget.from_unsent_limit(context.budget.unsent_limit_bytes),
        _paced_reading.ReadTurns(context.budget, log),
        table,
    )
    context.shared.ahead.has_answered = True
    context.connection = _caller_connection.CallerConnection(context.shared)
    # As after some answers; a new connection runs fewer requests ahead.
    context.connection._window = state.AheadWindow(8)
    context.transport = KeepingTransport()

    async def connect():
        context.connection.connection_made(context.transport)

    context.runner.run(connect())


async def _settle():
    for _ in range(20):
        await asyncio.sleep(0)


def _replies(context, body):
    """Answer the requests that have arrived; return their number."""
    calls = context.arrived[:]
    context.arrived.clear()
    for call in calls:
        call.reply(state.Response(200, b"OK", (), body))
    return len(calls)


@when("it brings {count:d} short requests in one read")
def step_short(context, count):
    async def act():
        context.connection.data_received(REQUEST * count)
        for _ in range(200):
            await _settle()

    context.runner.run(act())


@then("at most {limit:d} of them are kept as requests")
def step_kept(context, limit):
    assert context.connection.unanswered <= limit, (
        context.connection.unanswered
    )


@then("all {count:d} are answered, and no bytes are kept or unread")
def step_all(context, count):
    async def act():
        answered = 0
        while found := _replies(context, b""):
            answered += found
            await _settle()
        return answered

    assert context.runner.run(act()) == count
    assert context.budget.held_bytes == 0
    assert context.transport.is_reading


@when("{count:d} requests run, and the caller takes no more answers")
def step_blocked(context, count):
    async def act():
        context.connection.data_received(REQUEST * count)
        await _settle()
        context.transport.is_taken = False
        context.connection.pause_writing()
        await _settle()

    context.runner.run(act())


@when("the answers of {size:d} bytes come")
def step_answers(context, size):
    async def act():
        context.answered = _replies(context, bytes(size))
        await _settle()

    context.runner.run(act())


@then("the node then has {result} the connection")
def step_result(context, result):
    aborted = result == "aborted"
    assert context.transport.aborted == aborted, context.connection


@then("after its end nothing is counted as ahead or held")
def step_released(context):
    async def act():
        context.connection.connection_lost(None)

    context.runner.run(act())
    ahead = context.shared.ahead
    assert (ahead.running, ahead.held_bytes) == (0, 0), ahead
    assert context.budget.held_bytes == 0


@when("it brings a chunk of {size:d} bytes, and then chunks of one byte")
def step_chunks(context, size):
    async def act():
        data = CHUNKED + b"%x\r\n%b\r\n" % (size, bytes(size))
        for start in range(0, len(data), READ_BYTES):
            context.connection.data_received(data[start : start + READ_BYTES])
            await _settle()
        context.shared.turns.scheduler.turn_events = 0
        context.connection.data_received(CHUNK * (READ_BYTES // len(CHUNK)))
        context.events = context.shared.turns.scheduler.turn_events

    context.runner.run(act())


@then("at most {limit:d} events are parsed in that turn of the event loop")
def step_events(context, limit):
    assert context.events <= limit, context.events


@given("header and idle time limits of {header_s:g} s and {idle_s:g} s")
def step_limits(context, header_s, idle_s):
    context.shared.limits = state.CallerLimits(
        header_timeout_s=header_s, idle_timeout_s=idle_s
    )


@when("it brings {count:d} short requests and a part of one in one read")
def step_part(context, count):
    async def act():
        context.connection.data_received(REQUEST * count + REQUEST[:-2])
        await _settle()

    context.runner.run(act())


@then(
    "the part is refused within {limit_s:g} s of the other {count:d} answers"
)
def step_part_refused(context, limit_s, count):
    async def act():
        answered = 0
        while found := _replies(context, b""):
            answered += found
            await _settle()
        await asyncio.sleep(limit_s)
        return answered

    assert context.runner.run(act()) == count
    assert context.refusals == [state.RefusalKind.INCOMPLETE]


@given("a connection on which {waiting:d} requests wait, and {condition}")
def step_waiting_requests(context, waiting, condition):
    context.debts = state.ConnectionDebts(
        waiting=waiting,
        write_blocked=condition == "the caller takes nothing",
        last_request_read=condition == "no more is read",
    )


@then("with {held:d} others that wait for memory more is parsed: {parsed}")
def step_parses(context, held, parsed):
    assert context.debts.parses(held) == (parsed == "yes")
