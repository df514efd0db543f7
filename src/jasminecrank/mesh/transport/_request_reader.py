"""Reads HTTP/1.1 requests from the bytes of a connection."""

import asyncio
from collections import deque
import dataclasses
from dataclasses import dataclass
import functools
import typing
import weakref

import httptools

from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_intake
from jasminecrank.mesh.transport import _received_head

HEAD_TOO_LARGE = "headers"
"""Detail of a refusal because of the size of the head."""
HEAD_MARGIN_BYTES = 1_024
"""Bytes of a head besides its target and headers, such as the method."""
_ENDED_PARSER = httptools.HttpRequestParser(object())
"""Parser of a reader that is closed, and which its own would refer to."""


@dataclass(slots=True, frozen=True)
class RefusedRequest:
    """Complete request that is answered without being run."""

    head: protocol.RawRequest
    refusal: state.Refusal


@dataclass(slots=True)
class _ReadRequest:
    """Complete request that is handed over once its body has memory."""

    head: _received_head.ReceivedHead
    keep_alive: bool
    intake: _body_intake.BodyIntake | None
    refusal: state.Refusal | None = None
    """Set if the wait has ended without memory."""

    @property
    def is_waiting(self) -> bool:
        return self.intake is not None and self.intake.is_waiting

    def refuse(self, refusal: state.Refusal) -> None:
        """Give up the body."""
        self.refusal = refusal
        if self.intake is not None:
            self.intake.drop()


class RequestOwner(typing.Protocol):
    """Callbacks for what has been read."""

    def on_request_begin(self) -> None:
        """Handle the first bytes of a request."""

    def on_expect_continue(self) -> None:
        """Handle a request whose body waits for 100 Continue."""

    def on_memory_wait(self) -> None:
        """Handle a request whose body waits for memory."""

    def on_memory_granted(self) -> None:
        """Handle the end of that wait."""

    def on_memory_refused(
        self, head: protocol.RawRequest, body_bytes: int
    ) -> None:
        """Handle a request that is about to be refused for its memory."""

    def on_request(
        self,
        request: protocol.RawRequest | RefusedRequest,
        keep_alive: bool,
        claim_id: int | None,
    ) -> None:
        """Handle a complete request; release its claim with its answer."""

    def on_invalid(self, refusal: state.Refusal) -> None:
        """Handle a request that is not read to its end."""

    def on_read_error(self, error: BaseException) -> None:
        """Handle an error of the program; the request is refused after it."""


class RequestReader:
    """Reads requests up to the last one, or to one that is refused."""

    def __init__(
        self, owner: RequestOwner, budget: state.MemoryBudget
    ) -> None:
        self._owner: RequestOwner = weakref.proxy(owner)
        """A strong reference would keep both until garbage is collected."""
        self._budget = budget
        self._intake: _body_intake.BodyIntake | None = None
        """The body that is being received, if the request has one."""
        self._held: deque[_ReadRequest | state.Refusal] = deque()
        """Requests of one read, from the first whose body has no memory yet.

        A refusal is that of the request after which nothing is read.
        """
        self.events = 0
        """Events of the parser so far, by which reading costs time."""
        self._is_in_request = False
        self._is_discarding = False
        """Whether the request is refused, and the rest of its body unread."""
        self._parser = httptools.HttpRequestParser(self)
        self._limits = state.CallerLimits()
        self._ended = False
        """Whether the last request has been read or refused."""
        self._reset()

    def feed(
        self,
        data: bytes | memoryview,
        limits: state.CallerLimits,
        ends_read: bool = True,
    ) -> None:
        """Read further bytes.

        A body without memory is refused at the end of a read, which may still
        bring its end, so that the connection can go on.
        """
        if self._ended:
            return
        self._limits = limits
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(state.RefusalKind.REQUEST_INVALID, "upgrade")
        except httptools.HttpParserCallbackError as error:
            # The parser sets the context to the error of the callback.
            self._owner.on_read_error(error.__context__ or error)
            self.refuse(state.RefusalKind.INTERNAL_ERROR, "read error")
        except httptools.HttpParserError as error:
            self.refuse(state.RefusalKind.REQUEST_INVALID, str(error))
        if self._is_body_refused and ends_read:
            self._refuse_partial()
        if self._unparsed_bytes > limits.max_header_bytes + HEAD_MARGIN_BYTES:
            self._refuse_head()
        if self._is_in_request:
            self._head.pack()

    @property
    def waits_for_memory(self) -> bool:
        """Return whether no more must be read yet."""
        return bool(self._held) or (
            self._intake is not None and self._intake.is_waiting
        )

    @property
    def held_requests(self) -> int:
        """Return the complete requests that wait for memory, or behind it."""
        return len(self._held)

    @property
    def is_receiving(self) -> bool:
        """Return whether a request is read in part or waits for memory."""
        return self._is_in_request or bool(self._held)

    @property
    def received_head_bytes(self) -> int:
        """Return the memory of the heads of requests not handed over."""
        size_bytes = sum(
            held.head.packed_bytes
            for held in self._held
            if isinstance(held, _ReadRequest)
        )
        if self._is_in_request:
            # The parser holds the line that has no end yet.
            size_bytes += max(self._head.packed_bytes, self._unparsed_bytes)
        return size_bytes

    @property
    def partial_head(self) -> protocol.RawRequest | None:
        """Return the head of the request that is being read, once whole."""
        if not self._is_in_request or not self._headers_done:
            return None
        return self._head.request()

    @property
    def takes_interim_responses(self) -> bool:
        """Return whether the caller knows them, unlike one of HTTP/1.0."""
        return bool(self._parser.get_http_version() != "1.0")

    def refuse(
        self,
        kind: state.RefusalKind,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> None:
        """Refuse the request that is being read, and read nothing more."""
        if self._ended:
            return
        self._ended = True
        self._is_in_request = False
        self._drop_body()
        self._reset()
        refusal = state.Refusal(kind, detail, retry_after_s)
        if self._held:
            self._held.append(refusal)
        else:
            self._owner.on_invalid(refusal)

    def end_memory_waits(self) -> None:
        """Refuse the requests that have waited too long; they are not run."""
        for held in self._held:
            if isinstance(held, _ReadRequest) and held.is_waiting:
                self._refuse_read(held)
        if self._intake is not None and self._intake.is_waiting:
            self._refuse_for_memory()
        self._hand_over_held()

    def refuse_held(self, refusal: state.Refusal) -> None:
        """Refuse the complete requests that wait for memory."""
        for held in self._held:
            if isinstance(held, _ReadRequest):
                held.refuse(refusal)
        self._hand_over_held()

    def refuse_received(self) -> None:
        """Refuse what has been received and not handed over; not run."""
        self.refuse_held(_NO_MEMORY)
        if self._is_in_request:
            self.refuse(
                _NO_MEMORY.kind, _NO_MEMORY.detail, _NO_MEMORY.retry_after_s
            )
            # The old one may hold a line without its end.
            self._parser = httptools.HttpRequestParser(self)

    def close(self) -> None:
        """Give up all bodies, with their memory."""
        self._drop_body()
        for held in self._held:
            if isinstance(held, _ReadRequest) and held.intake is not None:
                held.intake.drop()
        self._held.clear()

    def end(self) -> None:
        """Read nothing more, and free everything that is kept."""
        self._ended = True
        self.close()
        self._reset()
        self._parser = _ENDED_PARSER

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.events += 1
        self._reset()
        if not self._ended:
            self._is_in_request = True
            self._owner.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which can arrive in parts."""
        self.events += 1
        self._head.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, and count its bytes, 4 of them delimiters.

        A trailer is only counted.
        """
        self.events += 1
        if not self._headers_done:
            self._head.add(name, value)
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Refuse an upgrade, and claim memory for the body."""
        self._unparsed_bytes = 0
        self._headers_done = True
        if self._ended:
            return
        if self._parser.should_upgrade():
            self.refuse(state.RefusalKind.REQUEST_INVALID, "upgrade")
            return
        self._head.method = self._parser.get_method()
        # Only an answer that says so would keep a connection of HTTP/1.0.
        self._keep_alive = (
            self._parser.should_keep_alive()
            and self._parser.get_http_version() != "1.0"
        )
        self._begin_body()

    def on_body(self, body: bytes) -> None:
        """Append to the body and refuse a request that is too large."""
        self.events += 1
        self._unparsed_bytes = 0
        if self._ended or self._is_body_refused:
            return
        if self._intake is not None:
            self._follow_intake(self._intake.add(body))

    def on_message_complete(self) -> None:
        """Hand over a complete request, after those that wait for memory."""
        if self._ended:
            return
        if self._is_discarding:
            self._reset()
            return
        request = self._end_request()
        self._reset()
        self._hand_over_in_order(request)

    def _end_request(self) -> _ReadRequest:
        """Return the request that is being read, as a complete one."""
        # After a trailer that says so, the parser reads nothing more.
        self._keep_alive &= self._parser.should_keep_alive()
        request = _ReadRequest(self._head, self._keep_alive, self._intake)
        if self._is_body_refused:
            self._refuse_read(request)
        self._ended = not self._keep_alive
        self._is_in_request = False
        return request

    def _refuse_partial(self) -> None:
        """Refuse a request of whose body a part has been read.

        The rest of a small body is discarded, so that the connection can go
        on.
        """
        if self._is_discarding:
            return
        length = _body_intake.body_length(self._head.headers)
        if length is None or length > state.SMALL_BODY_BYTES:
            self._refuse_for_memory()
            return
        self._is_discarding = True
        self._hand_over_in_order(self._end_request())

    def _hand_over_in_order(self, request: _ReadRequest) -> None:
        if self._held or request.is_waiting:
            request.head.pack()
            self._held.append(request)
        else:
            self._hand_over(request)

    def _hand_over(self, request: _ReadRequest) -> None:
        if request.refusal is not None:
            self._owner.on_request(
                RefusedRequest(request.head.request(), request.refusal),
                request.keep_alive,
                None,
            )
            return
        raw = request.head.request()
        claim_id = None
        if request.intake is not None:
            raw = dataclasses.replace(raw, body=request.intake.finish())
            claim_id = request.intake.take_claim()
        self._owner.on_request(raw, request.keep_alive, claim_id)

    def _hand_over_held(self) -> None:
        """Hand over requests up to the next one that waits for memory."""
        while self._held:
            match self._held[0]:
                case state.Refusal() as refusal:
                    self._held.popleft()
                    self._owner.on_invalid(refusal)
                case _ReadRequest() as request:
                    if request.is_waiting:
                        return
                    self._held.popleft()
                    self._hand_over(request)

    def _refuse_read(self, request: _ReadRequest) -> None:
        """Refuse a complete request for its memory; not run."""
        assert request.intake is not None
        self._owner.on_memory_refused(
            request.head.request(), request.intake.size_bytes
        )
        request.refuse(_NO_MEMORY)

    def _drop_body(self) -> None:
        """Give up the body that is being received, with its memory."""
        if self._intake is not None:
            self._intake.drop()
            self._intake = None

    def _refuse_for_memory(self) -> None:
        """Refuse a request whose body is not read to its end; not run."""
        if self._intake is None:
            return
        self._owner.on_memory_refused(
            self._head.request(), self._intake.size_bytes
        )
        self.refuse(
            _NO_MEMORY.kind, _NO_MEMORY.detail, _NO_MEMORY.retry_after_s
        )

    def _begin_body(self) -> None:
        length = _body_intake.body_length(self._head.headers)
        if length == 0:
            self._ask_for_body()
            return
        intake = _body_intake.BodyIntake(
            self._budget, self._limits.max_body_bytes
        )
        self._intake = intake
        step = intake.begin(
            length, functools.partial(self._schedule_body, intake)
        )
        self._follow_intake(step)

    def _follow_intake(self, step: _body_intake.IntakeStep) -> None:
        match step:
            case _body_intake.IntakeStep.BEGIN:
                self._ask_for_body()
            case _body_intake.IntakeStep.READ:
                pass
            case _body_intake.IntakeStep.WAIT:
                self._owner.on_memory_wait()
            case _body_intake.IntakeStep.REFUSE_MEMORY:
                self._is_body_refused = True
                if self._intake is not None:
                    self._intake.drop()
            case _body_intake.IntakeStep.REFUSE_SIZE:
                self._refuse_size("body")
            case _:
                typing.assert_never(step)

    def _schedule_body(self, intake: _body_intake.BodyIntake) -> None:
        """Read the body soon; its claim can be granted at any point."""
        asyncio.get_running_loop().call_soon(self._resume_body, intake)

    def _resume_body(self, intake: _body_intake.BodyIntake) -> None:
        if not intake.is_waiting:
            return
        intake.resume()
        if self._intake is intake:
            self._ask_for_body()
        self._hand_over_held()
        self._owner.on_memory_granted()

    def _ask_for_body(self) -> None:
        if not self.takes_interim_responses:
            return
        if protocol.find_header(self._head.headers, b"expect") is not None:
            self._owner.on_expect_continue()

    def _count_head(self, added_bytes: int) -> None:
        self._head_bytes += added_bytes
        if self._head_bytes > self._limits.max_header_bytes:
            self._refuse_head()

    def _refuse_head(self) -> None:
        self._refuse_size(HEAD_TOO_LARGE)

    def _refuse_size(self, detail: str) -> None:
        """Refuse a request beyond a limit; not run."""
        if self._limits.is_known:
            self.refuse(state.RefusalKind.TOO_LARGE, detail)
        else:
            self.refuse(
                state.RefusalKind.NO_TABLE, detail, state.NO_TABLE_RETRY_S
            )

    def _reset(self) -> None:
        self._head = _received_head.ReceivedHead()
        self._intake = None
        self._headers_done = False
        self._head_bytes = 0
        self._unparsed_bytes = 0
        """Bytes since the latest start, head, body part or end of a message.

        They are those of a line without end, which only the parser holds.
        """
        self._keep_alive = True
        self._is_body_refused = False
        """Whether no more is kept of the body."""
        self._is_discarding = False


_NO_MEMORY = state.Refusal(
    state.RefusalKind.OVERLOADED, state.MEMORY_REASON, state.MEMORY_RETRY_S
)
