"""Body of a caller's request, received as memory allows."""

from collections.abc import Callable
from collections.abc import Iterable
import enum

from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_buffer

GROWTH_FACTOR = 2
"""Growth of the claim of a body whose length is not announced."""


def body_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the announced length of a request's body, or None if unknown.

    The parser has checked that the length is a number.
    """
    length = 0
    for name, value in headers:
        match name.lower():
            case b"transfer-encoding":
                return None
            case b"content-length":
                length = int(value)
            case _:
                pass
    return length


class IntakeStep(enum.Enum):
    """What to do after the head or a part of a request."""

    BEGIN = "begin"
    """Read the body, or ask for it."""
    READ = "read"
    WAIT = "wait"
    """Read no more until the claim is granted."""
    REFUSE_MEMORY = "refuse-memory"
    REFUSE_SIZE = "refuse-size"


class BodyIntake:
    """Keeps a body once, in memory that was claimed for it."""

    def __init__(
        self, budget: state.MemoryBudget, max_body_bytes: int
    ) -> None:
        self.is_waiting = False
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._claim_id: int | None = None
        """Set until a buffer or the request's connection takes it over."""
        self.size_bytes = 0
        """Bytes announced, or received so far if the length is unknown."""
        self._claimed_bytes = 0
        self._received_bytes = 0
        self._early_bytes = 0
        """Bytes received while the claim waits."""
        self._unbuffered = bytearray()
        """The body until it has a buffer, or all of a small one."""
        self._buffer: _body_buffer.BodyBuffer | None = None
        self._buffer_claim_id = 0

    def begin(
        self, length: int | None, on_granted: Callable[[], None]
    ) -> IntakeStep:
        """Claim memory for a body of this length, or of an unknown one."""
        if length is not None and length > self._max_body_bytes:
            return IntakeStep.REFUSE_SIZE
        self.size_bytes = length or 0
        self._claimed_bytes = (
            state.SMALL_BODY_BYTES if length is None else length
        )
        decision = self._budget.claim(
            state.BodyUse.CALLER, self._claimed_bytes, on_granted
        )
        match decision:
            case state.Granted(claim_id):
                self._claim_id = claim_id
                self._allocate()
                return IntakeStep.BEGIN
            case state.Waiting(claim_id):
                self._claim_id = claim_id
                self.is_waiting = True
                return IntakeStep.WAIT
            case state.Denied():
                return IntakeStep.REFUSE_SIZE

    def resume(self) -> None:
        """Continue after the claim was granted."""
        self._end_wait()
        self._allocate()

    def add(self, data: bytes) -> IntakeStep:
        """Keep a part of the body.

        While the claim waits, this is the rest of one read; it is refused if
        too much has come before its claim at all connections.
        """
        self._received_bytes += len(data)
        self.size_bytes = max(self.size_bytes, self._received_bytes)
        if self._received_bytes > self._max_body_bytes:
            return IntakeStep.REFUSE_SIZE
        if self._received_bytes > self._claimed_bytes and not self._grow():
            return IntakeStep.REFUSE_MEMORY
        if self.is_waiting:
            if not self._budget.keep_early(len(data)):
                return IntakeStep.REFUSE_MEMORY
            self._early_bytes += len(data)
        if self._buffer is None:
            self._unbuffered += data
        else:
            self._buffer.append(data)
        return IntakeStep.READ

    def finish(self) -> state.Body:
        """Return the whole body."""
        if self._buffer is None:
            body = bytes(self._unbuffered)
            self._unbuffered.clear()
            return body
        return self._buffer.view()

    def take_claim(self) -> int | None:
        """Return the claim of a small body, to be released with its reply.

        That of a large one is released with its memory.
        """
        claim_id, self._claim_id = self._claim_id, None
        return claim_id

    def drop(self) -> None:
        """Give up the body and its claim."""
        self._end_wait()
        claim_id = self.take_claim()
        if claim_id is not None:
            self._budget.release(claim_id)
        self._unbuffered.clear()
        self._buffer = None

    def _end_wait(self) -> None:
        self.is_waiting = False
        self._budget.drop_early(self._early_bytes)
        self._early_bytes = 0

    def _grow(self) -> bool:
        """Claim more memory for a body of unknown length."""
        size_bytes = min(
            self._max_body_bytes,
            max(self._received_bytes, GROWTH_FACTOR * self._claimed_bytes),
        )
        claim_id = self._claim_id
        if claim_id is None:
            claim_id = self._buffer_claim_id
        if self.is_waiting or not self._budget.grow(
            claim_id, state.BodyUse.CALLER, size_bytes
        ):
            return False
        self._claimed_bytes = size_bytes
        if self._buffer is None:
            self._allocate()
        else:
            self._buffer.enlarge(size_bytes)
        return True

    def _allocate(self) -> None:
        """Move a large body to a buffer, which takes over the claim."""
        if self._claimed_bytes <= state.SMALL_BODY_BYTES:
            return
        claim_id = self.take_claim()
        assert claim_id is not None
        self._buffer_claim_id = claim_id
        self._buffer = _body_buffer.BodyBuffer.from_claim(
            self._claimed_bytes, self._budget, claim_id
        )
        self._buffer.append(self._unbuffered)
        self._unbuffered.clear()
