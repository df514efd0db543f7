"""HTTP/1.1 connection of a caller."""

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import itertools
import typing

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_buffer
from jasminecrank.mesh.transport import _idle_connections
from jasminecrank.mesh.transport import _paced_reading
from jasminecrank.mesh.transport import _request_reader
from jasminecrank.mesh.transport import _sockets
from jasminecrank.mesh.transport import _unsent_bodies

LINGER_S = 1.0
"""Time for a caller to close its side after the last answer.

Closing with unread bytes makes the kernel send a reset, which can discard
the answer.
"""
HALF_CLOSED_LINGER_S = 0.05
"""Time between checks whether a half-closed caller has taken the answers."""
UNREAD_WAIT_S = 0.05
"""Time after a limit in which bytes that the kernel holds are read."""
LINGER_MAX_BYTES = 4 * 1024 * 1024
"""Bytes read and dropped on a connection whose last request is known."""


@dataclass(slots=True)
class _Waiting:
    """Complete request that has not started."""

    read: protocol.RawRequest | _request_reader.RefusedRequest
    read_at_s: float
    claim_id: int | None
    """Claim of a small body."""
    call: state.CallRequest | state.Refusal | None = None
    """The decoded request, once it is needed."""


@dataclass(slots=True)
class _Exchange:
    """Request that has started and whose answer has not been written."""

    number: int
    method: bytes
    claim_id: int | None
    is_repeatable: bool
    is_ahead: bool
    """Whether an earlier request of the connection has no answer yet."""
    read_at_s: float
    request: state.CallRequest | None = None
    """Set while the request may be admitted again."""
    refusal: state.Refusal | None = None
    """Set if there was no room for it ahead of its turn."""
    answer: protocol.RawResponse | None = None

    @property
    def is_admitted(self) -> bool:
        """Return whether the entry task has it, and its answer is to come."""
        return self.answer is None and (
            self.refusal is None or self.request is None
        )

    @property
    def answer_bytes(self) -> int:
        """Return the memory that its answer takes."""
        if self.answer is None:
            return 0
        return _ANSWER_HEAD_BYTES + len(self.answer.body)


_NO_ROOM_KINDS = (state.RefusalKind.OVERLOADED, state.RefusalKind.NO_SERVER)
"""Refusals of requests that have not run and may be admitted later."""
_ANSWER_HEAD_BYTES = 1_024
"""Approximate size of the head of an answer that is held."""


@dataclass(slots=True)
class ConnectionContext:
    """State that the connections of a server share."""

    codec: protocol.CallerCodec
    tell: Callable[[coordination.EntryMessage], None]
    clock: coordination.Clock
    log: coordination.Log
    budget: state.MemoryBudget
    idle: _idle_connections.IdleConnections
    ahead: state.AheadBudget
    turns: _paced_reading.ReadTurns
    table: state.Table | None = None
    limits: state.CallerLimits = state.CallerLimits(is_known=False)
    phase: state.StopPhase = state.StopPhase.SERVING
    request_numbers: Iterator[int] = field(
        default_factory=lambda: itertools.count(1)
    )
    connections: set["CallerConnection"] = field(default_factory=set)
    blocked: dict["CallerConnection", None] = field(default_factory=dict)
    """Connections whose callers do not take answers, longest first."""
    heads: state.ReceivedHeads["CallerConnection"] = field(init=False)

    def __post_init__(self) -> None:
        self.heads = state.ReceivedHeads(self.budget.head_limit_bytes)

    def limit_heads(self) -> None:
        """Refuse unfinished requests while their heads are too large."""
        for connection in self.heads.take_excess():
            self.log.count("memory_refusals", "head")
            connection.refuse_received()

    def limit_unsent(self) -> None:
        """Abort the longest blocked connections while too much is unsent.

        What their callers have taken is freed first.
        """
        for connection in self.blocked:
            connection.free_sent()
        unsent_by_connection = {
            connection: connection.unsent_bytes for connection in self.blocked
        }
        for connection in state.connections_to_drop(
            unsent_by_connection, self.budget.unsent_limit_bytes
        ):
            self.log.count("caller_connections", "unread")
            connection.abort()


class CallerConnection(asyncio.Protocol):
    """Connection of a caller, whose requests are answered in order."""

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._transport: asyncio.Transport | None = None
        self._reader = _request_reader.RequestReader(self, context.budget)
        self._paced = _paced_reading.PacedReader(self, context.turns, self)
        self._is_end_held = False
        """Whether the caller has ended its side behind bytes that wait."""
        self._debts = state.ConnectionDebts()
        self._waiting: deque[_Waiting] = deque()
        self._exchanges: deque[_Exchange] = deque()
        """In the order in which their answers are due."""
        self._window = state.AheadWindow()
        self._active_at_s = 0.0
        """When the latest bytes came or were written."""
        self._ended = False
        """Whether the last answer has been written."""
        self._timer: asyncio.TimerHandle | None = None
        self._closed_by_node = False
        self._unsent_at_end_bytes = 0
        self._unread_at_end_bytes = 0
        """Bytes that the kernel held when this node closed the connection."""
        self._dropped_bytes = 0
        self._unsent_bodies = _unsent_bodies.UnsentBodies()
        """Those written since the caller takes no more."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        transport = typing.cast(asyncio.Transport, transport)
        self._transport = transport
        _sockets.set_socket_options(
            transport, _sockets.SLOW_TCP_USER_TIMEOUT_MS
        )
        self._context.connections.add(self)
        self._active_at_s = self._context.clock.now_s()
        self._debts.opened_at_s = self._active_at_s
        self._start_timer(self._context.limits.idle_close_s)
        self._context.idle.add(self)
        self.close_if_idle()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, up to the last request that is read."""
        if self._ended or self._debts.last_request_read:
            self._drop(len(data))
            return
        self._debts.unused = False
        self._active_at_s = self._context.clock.now_s()
        if self._debts.idle:
            self._start_timer(self._context.limits.header_timeout_s)
        self._paced.receive(data)
        if self._paced.held_bytes:
            self._update_reading()
        elif self._debts.idle:
            self._start_timer(self._context.limits.idle_close_s)

    @property
    def takes_bytes(self) -> bool:
        """Return whether more may be parsed now."""
        return self._ended or self._debts.parses(self._reader.held_requests)

    def parse(self, data: memoryview, ends_read: bool) -> int:
        """Parse bytes and return the number of the parser's events.

        `ends_read`: they are the last of what was read with them.
        """
        if self._ended or self._debts.last_request_read:
            self._drop(len(data))
            return 0
        events = self._reader.events
        self._reader.feed(data, self._context.limits, ends_read)
        self._record_head()
        # One turn of the loop can read from a thousand connections.
        if self._context.heads.is_full:
            self._context.limit_heads()
        return self._reader.events - events

    def _record_head(self) -> None:
        """Count the heads of requests without their end or their memory."""
        self._context.heads.record(self, self._reader.received_head_bytes)

    def refuse_received(self) -> None:
        """Refuse what has been received of requests, for want of memory."""
        self._reader.refuse_received()

    def refuse_costly(self) -> None:
        """Refuse the request that is being read, and read nothing more.

        Between two requests the connection ends after the answers that are
        due; what is sent behind those counts as unread.
        """
        context = self._context
        head = self._reader.partial_head
        request = None if head is None else context.codec.read_request(head)
        request_id = None
        if isinstance(request, state.CallRequest):
            request_id = request.request_id
        context.log.count("costly_reads", "refused")
        context.log.decision(
            "read-refused",
            request_id=request_id,
            reason=state.COST_REASON,
            events=self._paced.pace.events,
            read_bytes=self._paced.pace.read_bytes,
        )
        if self._debts.receiving:
            self._reader.refuse(
                state.RefusalKind.OVERLOADED,
                state.COST_REASON,
                state.COST_RETRY_S,
            )
            return
        self._debts.last_request_read = True
        if self._debts.idle:
            self._close()

    def on_held_parsed(self) -> None:
        """Go on reading, since no bytes wait any more."""
        if self._transport is None:
            return
        if self._is_end_held:
            if not self._end_receiving():
                self._transport.close()
            return
        self._update_reading()
        if self._debts.idle:
            self._start_timer(self._context.limits.idle_close_s)

    def _drop(self, dropped_bytes: int) -> None:
        """Count bytes that nobody reads, and stop reading at a limit.

        Closing here would cut what the caller has not taken yet.
        """
        self._dropped_bytes += dropped_bytes
        if self._dropped_bytes > LINGER_MAX_BYTES:
            self._update_reading()

    def eof_received(self) -> bool:
        """Keep the connection until the answers that are due are written.

        Whether the caller has closed its socket or still reads shows only
        then.
        """
        if self._paced.held_bytes:
            self._is_end_held = True
            return True
        return self._end_receiving()

    def _end_receiving(self) -> bool:
        """Note the end of the caller's bytes; return whether to go on."""
        self._reader.refuse_held(_CALLER_STOPPED)
        if self._ended or not self._debts.end_receiving():
            return False
        self._reader.close()
        for exchange in self._exchanges:
            if exchange.answer is None:
                self._context.tell(coordination.CallerStopped(exchange.number))
        return True

    def pause_writing(self) -> None:
        """Start no further request until the caller takes the answers."""
        self._debts.write_blocked = True
        self._context.blocked[self] = None
        self._update_reading()
        asyncio.get_running_loop().call_soon(self._context.limit_unsent)

    def resume_writing(self) -> None:
        """Continue with the next request."""
        self._debts.write_blocked = False
        self._context.blocked.pop(self, None)
        self._unsent_bodies.clear()
        self._update_reading()
        self._write_due()
        self._continue()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is in progress, since the caller has disconnected."""
        self._context.connections.discard(self)
        self._context.idle.discard(self)
        self._context.blocked.pop(self, None)
        if (
            self.unanswered
            or self._unsent_at_end_bytes
            or self._unread_at_end_bytes
        ):
            self._context.log.count("caller_connections", "cut")
            # Callers that leave are many, and each call of theirs is logged.
            log = self._context.log
            write = log.decision if self._closed_by_node else log.sampled
            write(
                "caller-connection-cut",
                closed_by="node" if self._closed_by_node else "caller",
                error=None if exc is None else repr(exc),
                unanswered=self.unanswered,
                unsent_bytes=self._unsent_at_end_bytes,
                unread_bytes=self._unread_at_end_bytes,
            )
        self._cancel_timer()
        self._transport = None
        self._unsent_bodies.clear()
        self._paced.drop()
        for waiting in self._waiting:
            self._release_claim(waiting.claim_id)
        self._waiting.clear()
        self._reader.end()
        self._context.heads.record(self, 0)
        while self._exchanges:
            exchange = self._exchanges.popleft()
            self._end_turn(exchange)
            if exchange.answer is None:
                self._release_claim(exchange.claim_id)
                self._context.tell(
                    coordination.CallerDisconnected(exchange.number)
                )
        self._debts = state.ConnectionDebts(unused=False)

    def on_request_begin(self) -> None:
        """Note that a part of a request has been received."""
        self._paced.pace.start_request()
        self._debts.receiving = True
        self._debts.continue_due = False

    def on_expect_continue(self) -> None:
        """Send 100 Continue, after the answers to earlier requests."""
        self._debts.continue_due = True
        self._send_continue()

    def _send_continue(self) -> None:
        if self._transport is None or self._ended:
            return
        if self._debts.take_continue():
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_memory_wait(self) -> None:
        """Read no more of a body until there is memory for it."""
        self._context.log.count("memory_waits")
        self._update_reading()

    def on_memory_granted(self) -> None:
        """Read the body, in the time limit of a request from now on."""
        waits = self._reader.waits_for_memory
        if not self._debts.answers_due and not waits:
            self._start_timer(self._context.limits.header_timeout_s)
        self._update_reading()

    def on_memory_refused(
        self, head: protocol.RawRequest, body_bytes: int
    ) -> None:
        """Log a refusal for memory with the request's id."""
        context = self._context
        request = context.codec.read_request(head)
        request_id = None
        if isinstance(request, state.CallRequest):
            request_id = request.request_id
        context.log.count("memory_refusals", "caller")
        context.log.decision(
            "memory-refused",
            request_id=request_id,
            use=state.BodyUse.CALLER.value,
            body_bytes=body_bytes,
            held_bytes=context.budget.held_bytes,
            limit_bytes=context.budget.limit_bytes,
        )

    def on_request(
        self,
        request: protocol.RawRequest | _request_reader.RefusedRequest,
        keep_alive: bool,
        claim_id: int | None,
    ) -> None:
        """Queue a complete request; pause reading if too many wait."""
        self._debts.receiving = self._reader.is_receiving
        self._waiting.append(
            _Waiting(request, self._context.clock.now_s(), claim_id)
        )
        self._debts.waiting += 1
        self._debts.last_request_read |= not keep_alive
        self._update_reading()
        self._continue_soon()

    def on_invalid(self, refusal: state.Refusal) -> None:
        """Read nothing more, and refuse after the answers that are due."""
        if self._transport is None:
            return
        if refusal.detail == _request_reader.HEAD_TOO_LARGE:
            self._context.log.count("caller_heads", "too-large")
        self._context.log.connection(
            "request-refused",
            outcome=refusal.kind.value,
            reason=refusal.detail,
        )
        self._debts.last_request_read = True
        self._debts.receiving = False
        self._debts.refusal = refusal
        self._record_head()
        self._continue_soon()

    def on_read_error(self, error: BaseException) -> None:
        """Log the error, and go on with the requests that have been read."""
        self._context.log.failure("request-read-failed", error)
        self._continue_soon()

    def abort(self) -> None:
        """Abort the connection without flushing pending data."""
        if self._transport is not None:
            self._closed_by_node = True
            self._unsent_at_end_bytes = self.unsent_bytes
            self._unread_at_end_bytes = self._unread_bytes
            self._transport.abort()

    def free_sent(self) -> None:
        """Free the memory of what the blocked caller has taken."""
        if self._transport is not None:
            self._unsent_bodies.free_sent(
                self._transport.get_write_buffer_size()
            )

    @property
    def unanswered(self) -> int:
        """Return the number of complete requests without a response."""
        return self._debts.unanswered

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that have not left the process."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size() + sum(
            exchange.answer_bytes for exchange in self._exchanges
        )

    @property
    def owes(self) -> bool:
        """Return whether an answer is due or may not have been taken."""
        return (
            not self._debts.idle
            or self._undelivered_bytes > 0
            or self._unread_bytes > 0
            or self._is_lingering
        )

    @property
    def _is_lingering(self) -> bool:
        """Return whether the caller is to close first.

        A reset, as for bytes that it sends to a closed connection, discards
        what it has not read.
        """
        return (
            self._ended
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def awaits_first_request(self) -> bool:
        """Return whether the connection is new and may carry a request."""
        now_s = self._context.clock.now_s()
        return self._debts.first_request_wait_s(now_s) > 0.0

    @property
    def idleness(self) -> state.Idleness | None:
        """Return how it is idle, or None if something is owed."""
        if self.owes:
            return None
        return state.Idleness(not self._debts.unused, self._active_at_s)

    def give_way(self) -> None:
        """Close the connection, on which nothing is owed."""
        self._context.log.count("caller_connections", "gave-way")
        self._close()

    def refuse_unstarted(self) -> None:
        """Refuse the requests that wait or were received in part."""
        self._reader.refuse_held(_STOPPING)
        if self._debts.receiving:
            self._reader.refuse(
                state.RefusalKind.OVERLOADED, state.STOPPING_REASON
            )
        self._continue()

    def close_if_idle(self) -> None:
        """Close the connection if the phase of the stop allows it."""
        now_s = self._context.clock.now_s()
        phase = self._context.phase
        if self._is_lingering or phase in (
            state.StopPhase.SERVING,
            state.StopPhase.CLOSING,
        ):
            return
        step = self._debts.idle_step(
            phase, now_s, self._undelivered_bytes, self._unread_bytes
        )
        if step is state.ConnectionStep.CLOSE:
            self._close()
        elif self._debts.unused:
            self._start_timer(self._debts.first_request_wait_s(now_s))

    @property
    def _undelivered_bytes(self) -> int:
        if self._transport is None:
            return 0
        return _sockets.undelivered_bytes(self._transport)

    @property
    def _unread_bytes(self) -> int:
        """Return the bytes that may hold requests and are not read yet."""
        if self._ended or self._debts.last_request_read:
            return 0
        if self._transport is None:
            return 0
        return self._paced.held_bytes + _sockets.unread_bytes(self._transport)

    def _continue_soon(self) -> None:
        """Continue once all requests of a read are known."""
        asyncio.get_running_loop().call_soon(self._continue)

    def _continue(self) -> None:
        """Take the next step on the debts, in the order of the requests."""
        while not self._ended and self._transport is not None:
            step = self._debts.next_step(
                self._context.phase, self._next_runs_ahead()
            )
            self._take_step(step)
            if step is not state.ConnectionStep.START_REQUEST:
                return

    def _next_runs_ahead(self) -> bool:
        """Return whether the next request may run beside the current ones."""
        if not self._exchanges or not self._waiting:
            return False
        if not self._context.ahead.has_room():
            return False
        return state.may_run_ahead(
            self._kind(self._waiting[0]),
            len(self._exchanges),
            all(exchange.is_repeatable for exchange in self._exchanges),
            self._window.size,
        )

    def _kind(self, waiting: _Waiting) -> state.RouteKind | None:
        """Return the kind of a request's route, None if it has none."""
        call = self._decode(waiting)
        table = self._context.table
        if table is None or isinstance(call, state.Refusal):
            return None
        route = table.match(call.host, call.path)
        return None if route is None else route.kind

    def _decode(self, waiting: _Waiting) -> state.CallRequest | state.Refusal:
        if waiting.call is None:
            match waiting.read:
                case protocol.RawRequest() as raw:
                    waiting.call = self._context.codec.read_request(raw)
                case _request_reader.RefusedRequest(refusal=refusal):
                    waiting.call = refusal
        return waiting.call

    def _take_step(self, step: state.ConnectionStep) -> None:
        match step:
            case state.ConnectionStep.START_REQUEST:
                self._start_request()
            case state.ConnectionStep.REFUSE_REQUEST:
                exchange = self._take_request(self._waiting.popleft())
                is_left = self._debts.half_closed
                reason = _CALLER_STOPPED if is_left else _STOPPING
                self._reply(exchange, reason, None)
            case state.ConnectionStep.SEND_REFUSAL:
                refusal, self._debts.refusal = self._debts.refusal, None
                if refusal is not None:
                    raw = self._context.codec.write_reply(refusal, None)
                    self._write(raw, b"GET")
            case state.ConnectionStep.REFUSE_INCOMPLETE:
                self._reader.refuse(state.RefusalKind.INCOMPLETE, "too slow")
            case state.ConnectionStep.CLOSE:
                self._close()
            case state.ConnectionStep.WAIT:
                pass
            case _:
                typing.assert_never(step)

    def _take_request(self, waiting: _Waiting) -> _Exchange:
        """Move a request from those that wait to those in progress."""
        self._cancel_timer()
        method = b""
        match waiting.read:
            case _request_reader.RefusedRequest(head):
                method = head.method
            case protocol.RawRequest() as raw:
                method = raw.method
        is_ahead = bool(self._exchanges)
        exchange = _Exchange(
            next(self._context.request_numbers),
            method,
            waiting.claim_id,
            self._kind(waiting) is state.RouteKind.IDEMPOTENT,
            is_ahead,
            waiting.read_at_s,
        )
        if is_ahead:
            self._context.ahead.running += 1
            self._context.log.count("requests_ahead")
        self._exchanges.append(exchange)
        self._debts.waiting -= 1
        self._debts.in_progress += 1
        return exchange

    def _start_request(self) -> None:
        waiting = self._waiting.popleft()
        request = self._decode(waiting)
        exchange = self._take_request(waiting)
        match request:
            case state.Refusal():
                self._reply(exchange, request, None)
            case state.CallRequest():
                exchange.request = request
                self._admit(exchange, request)

    def _admit(
        self,
        exchange: _Exchange,
        request: state.CallRequest,
        readmission: state.Readmission | None = None,
    ) -> None:
        self._context.tell(
            coordination.CallArrived(
                exchange.number,
                request,
                exchange.read_at_s,
                lambda reply: self._reply(exchange, reply, request),
                readmission,
            )
        )

    def _reply(
        self,
        exchange: _Exchange,
        reply: state.Reply,
        request: state.CallRequest | None,
    ) -> None:
        """Keep an answer until those before it have been written."""
        if self._transport is None or exchange.answer is not None:
            return
        match reply:
            case state.Response(body=body):
                _body_buffer.count_for_caller(body)
                self._window.record_answer()
            case state.Refusal(kind=kind) if kind in _NO_ROOM_KINDS:
                if self._defer(exchange, reply):
                    return
            case state.Refusal():
                pass
            case _:
                typing.assert_never(reply)
        exchange.request = None
        self._release_claim(exchange.claim_id)
        exchange.answer = self._context.codec.write_reply(reply, request)
        if isinstance(reply, state.Response):
            self._context.ahead.record_answer(exchange.answer_bytes)
        if exchange.is_ahead:
            self._context.ahead.held_bytes += exchange.answer_bytes
        self._write_due()
        if self._debts.write_blocked:
            asyncio.get_running_loop().call_soon(self._context.limit_unsent)

    def _write_due(self) -> None:
        """Write the answers whose turn it is, as the caller takes them."""
        while self._exchanges and not self._ended:
            exchange = self._exchanges[0]
            if exchange.answer is None:
                self._end_turn(exchange)
                self._admit_again(exchange)
                return
            if exchange.is_ahead and self._debts.write_blocked:
                return
            self._exchanges.popleft()
            self._end_turn(exchange)
            self._debts.in_progress -= 1
            self._write(exchange.answer, exchange.method)

    def _defer(self, exchange: _Exchange, refusal: state.Refusal) -> bool:
        """Let a request be admitted again later; return whether it will be.

        One that is ahead of its turn could not be answered yet. Others may
        have found no room because of the connection's own requests. What a
        server has rejected has used up attempts, and is not admitted again.
        """
        if exchange.refusal is not None or not (
            exchange.is_ahead or self._others_run(exchange)
        ):
            return False
        self._window.record_refusal()
        if refusal.readmission is None:
            return False
        exchange.refusal = refusal
        if not self._others_run(exchange):
            self._write_due()
        return True

    def _others_run(self, exchange: _Exchange) -> bool:
        """Return whether other requests have been admitted and not ended."""
        return any(
            other.is_admitted
            for other in self._exchanges
            if other is not exchange
        )

    def _admit_again(self, exchange: _Exchange) -> None:
        """Admit the next request in turn that has found no room before."""
        refusal, request = exchange.refusal, exchange.request
        if refusal is None or request is None:
            return
        exchange.request = None
        if self._debts.half_closed:
            self._reply(exchange, _CALLER_STOPPED, request)
            return
        if self._context.phase is state.StopPhase.WINDOW_CLOSED:
            self._reply(exchange, refusal, request)
            return
        exchange.number = next(self._context.request_numbers)
        self._context.log.count("requests_readmitted")
        self._context.log.decision(
            "request-readmitted",
            request_id=request.request_id,
            reason=refusal.detail,
        )
        self._admit(exchange, request, refusal.readmission)

    def _end_turn(self, exchange: _Exchange) -> None:
        """Count a request no more as one that is ahead of its turn."""
        if exchange.is_ahead:
            exchange.is_ahead = False
            self._context.ahead.running -= 1
            self._context.ahead.held_bytes -= exchange.answer_bytes

    def _write(self, raw: protocol.RawResponse, method: bytes) -> None:
        """Write an answer, and end the connection with the last one."""
        if self._transport is None:
            return
        phase = self._context.phase
        is_serving = phase is state.StopPhase.SERVING
        last = self._debts.is_last_answer(
            phase, 0 if is_serving else self._unread_bytes
        )
        self._ended = last
        self._active_at_s = self._context.clock.now_s()
        limits = self._context.limits
        response = protocol.encode_response(
            raw, method, last, limits.idle_timeout_s
        )
        self._transport.writelines(response)
        if self._debts.write_blocked:
            self._unsent_bodies.add(response)
        if last:
            self._end()
            return
        self._send_continue()
        self._start_timer(
            limits.header_timeout_s
            if self._debts.receiving
            else limits.idle_close_s
        )
        self._update_reading()
        asyncio.get_running_loop().call_soon(self._continue)

    def _release_claim(self, claim_id: int | None) -> None:
        """Release the memory of a small body."""
        if claim_id is not None:
            self._context.budget.release(claim_id)

    def _end(self) -> None:
        """Shut down the sending side and read until the caller closes."""
        if self._transport is None:
            return
        self._closed_by_node = True
        self._paced.drop()
        self._transport.write_eof()
        self._update_reading()
        is_half_closed = self._debts.half_closed
        self._start_timer(HALF_CLOSED_LINGER_S if is_half_closed else LINGER_S)

    def _close(self) -> None:
        """Close the connection once the bytes written so far are sent."""
        if self._transport is not None:
            self._unread_at_end_bytes = self._unread_bytes
            self._closed_by_node = True
            if not self._ended and not self.unsent_bytes:
                # A request that comes later crosses the end of the connection.
                _sockets.shut_down_sending(self._transport)
            self._ended = True
            self._transport.close()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._record_head()
        self._paced.resume()
        if self._debts.half_closed:
            return
        reads = (
            self._debts.reads
            and not self._reader.waits_for_memory
            and not self._paced.held_bytes
        )
        if self._dropped_bytes <= LINGER_MAX_BYTES and (self._ended or reads):
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _start_timer(self, timeout_s: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            timeout_s, self._on_timeout, timeout_s
        )

    def _extend_timer(self, timeout_s: float) -> None:
        """Let the bytes be read that the kernel holds, but no later ones."""
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            UNREAD_WAIT_S, self._on_timeout, timeout_s, True
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self, timeout_s: float, is_extended: bool = False) -> None:
        if self._reader.waits_for_memory:
            self._reader.end_memory_waits()
            return
        undelivered_bytes = self._undelivered_bytes
        unread_bytes = 0 if is_extended else self._unread_bytes
        step = self._debts.timeout_step(undelivered_bytes, unread_bytes)
        if step is not state.ConnectionStep.WAIT:
            self._take_step(step)
        elif self._debts.answers_due or undelivered_bytes:
            self._start_timer(timeout_s)
        else:
            self._extend_timer(timeout_s)


_STOPPING = state.Refusal(state.RefusalKind.OVERLOADED, state.STOPPING_REASON)
_CALLER_STOPPED = state.Refusal(
    state.RefusalKind.OVERLOADED, state.CALLER_STOPPED_REASON
)
