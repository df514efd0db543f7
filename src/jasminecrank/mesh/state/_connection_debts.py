"""What a node owes on a connection of a caller, and when it may close it."""

from collections.abc import Mapping
from dataclasses import dataclass
import enum
import typing

from jasminecrank.mesh.state import _calls

MAX_WAITING_REQUESTS = 16
"""Waiting requests on a connection above which reading is paused."""
FIRST_REQUEST_S = 0.5
"""Time for the first request on a connection that opens during a stop."""


class StopPhase(enum.Enum):
    """How far the node has stopped, as far as connections are concerned."""

    SERVING = "serving"
    CLOSING = "closing"
    """A connection is closed after its last answer."""
    CALLERS_LEFT = "callers-left"
    """Idle connections are closed as well."""
    WINDOW_CLOSED = "window-closed"
    """Requests that have not started are refused."""


class ConnectionStep(enum.Enum):
    """What to do next on a connection."""

    START_REQUEST = "start-request"
    REFUSE_REQUEST = "refuse-request"
    """Refuse the first waiting request, which has not run."""
    SEND_REFUSAL = "send-refusal"
    """Send the refusal of the request that could not be read."""
    REFUSE_INCOMPLETE = "refuse-incomplete"
    """Refuse the request that has been received in part."""
    CLOSE = "close"
    WAIT = "wait"


@dataclass(slots=True)
class ConnectionDebts:
    """Requests that were read and answers that were not taken yet."""

    waiting: int = 0
    """Complete requests that have not started."""
    in_progress: int = 0
    """Requests that have started and whose answers are not written."""
    receiving: bool = False
    """Whether a part of a request has been read."""
    continue_due: bool = False
    """Whether the caller waits for 100 Continue to send the rest of it."""
    refusal: _calls.Refusal | None = None
    """Answer to a request that will not be read, due after all others."""
    last_request_read: bool = False
    """Whether nothing that follows will be read."""
    half_closed: bool = False
    """Whether the caller has ended its sending side."""
    write_blocked: bool = False
    """Whether the caller takes answers more slowly than they are written."""
    opened_at_s: float = 0.0
    unused: bool = True
    """Whether nothing has been read yet."""

    @property
    def unanswered(self) -> int:
        """Return the number of complete requests without an answer."""
        return self.waiting + self.in_progress

    @property
    def answers_due(self) -> bool:
        """Return whether an answer has to be written."""
        return self.unanswered > 0 or self.refusal is not None

    @property
    def idle(self) -> bool:
        """Return whether no part of a request is left to be answered."""
        return not self.answers_due and not self.receiving

    @property
    def reads(self) -> bool:
        """Return whether further requests are read."""
        return not self.write_blocked and self.waiting <= MAX_WAITING_REQUESTS

    def parses(self, held_requests: int) -> bool:
        """Return whether more of the bytes that were read is parsed.

        `held_requests` are complete and wait for the memory of a body.
        """
        if self.last_request_read:
            return True
        waiting = self.waiting + held_requests
        return not self.write_blocked and waiting <= MAX_WAITING_REQUESTS

    def end_receiving(self) -> bool:
        """Note the end of the caller's bytes; return whether to go on.

        What was received in part will never be whole. The caller may have
        left, so that no further request is started.
        """
        if not self.answers_due:
            return False
        self.half_closed = True
        self.last_request_read = True
        self.receiving = False
        self.continue_due = False
        return True

    def take_continue(self) -> bool:
        """Return whether to send 100 Continue now, which is due only once."""
        if not self.continue_due or self.answers_due:
            return False
        self.continue_due = False
        return self.receiving

    def is_last_answer(self, phase: StopPhase, unread_bytes: int) -> bool:
        """Return whether the answer about to be written ends the connection.

        Its request counts neither as waiting nor as in progress any more.
        """
        if not self.idle:
            return False
        if self.last_request_read:
            return True
        return phase is not StopPhase.SERVING and not unread_bytes

    def next_step(
        self, phase: StopPhase, runs_ahead: bool = False
    ) -> ConnectionStep:
        """Return what to do after a request or an answer has ended.

        `runs_ahead`: the first waiting request may run beside those that are
        in progress.
        """
        if self.write_blocked:
            return ConnectionStep.WAIT
        if self.in_progress:
            if (
                runs_ahead
                and self.waiting
                and not self.half_closed
                # In a stop, the slots are left to the first requests.
                and phase is StopPhase.SERVING
            ):
                return ConnectionStep.START_REQUEST
            return ConnectionStep.WAIT
        if self.waiting:
            if self.half_closed or phase is StopPhase.WINDOW_CLOSED:
                return ConnectionStep.REFUSE_REQUEST
            return ConnectionStep.START_REQUEST
        if self.refusal is not None:
            return ConnectionStep.SEND_REFUSAL
        return ConnectionStep.WAIT

    def idle_step(
        self,
        phase: StopPhase,
        now_s: float,
        undelivered_bytes: int,
        unread_bytes: int,
    ) -> ConnectionStep:
        """Return whether to close a connection that a stop finds idle."""
        if not self.idle or undelivered_bytes:
            return ConnectionStep.WAIT
        if unread_bytes and not self.last_request_read:
            return ConnectionStep.WAIT
        match phase:
            case StopPhase.SERVING | StopPhase.CLOSING:
                return ConnectionStep.WAIT
            case StopPhase.CALLERS_LEFT | StopPhase.WINDOW_CLOSED:
                if self.first_request_wait_s(now_s) > 0.0:
                    return ConnectionStep.WAIT
                return ConnectionStep.CLOSE
            case _:
                typing.assert_never(phase)

    def timeout_step(
        self, undelivered_bytes: int, unread_bytes: int
    ) -> ConnectionStep:
        """Return what to do after the idle or the header time limit.

        A caller whose bytes the kernel still holds has kept to the limit.
        """
        if self.answers_due or undelivered_bytes:
            return ConnectionStep.WAIT
        if unread_bytes and not self.last_request_read:
            return ConnectionStep.WAIT
        if self.receiving:
            return ConnectionStep.REFUSE_INCOMPLETE
        return ConnectionStep.CLOSE

    def first_request_wait_s(self, now_s: float) -> float:
        """Return the time left for the first request to arrive."""
        if not self.unused:
            return 0.0
        return max(0.0, self.opened_at_s + FIRST_REQUEST_S - now_s)


_Connection = typing.TypeVar("_Connection")


def connections_to_drop(
    unsent_by_connection: Mapping[_Connection, int], limit_bytes: int
) -> list[_Connection]:
    """Return the connections to abort so that less than a limit is unsent.

    They are in the order since when their callers have taken nothing.
    """
    excess_bytes = sum(unsent_by_connection.values()) - limit_bytes
    dropped = []
    for connection, unsent_bytes in unsent_by_connection.items():
        if excess_bytes <= 0:
            break
        dropped.append(connection)
        excess_bytes -= unsent_bytes
    return dropped
