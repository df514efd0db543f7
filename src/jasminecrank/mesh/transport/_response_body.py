"""Body of a response, received as memory allows."""

from collections.abc import Callable

from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_buffer


def _ignore_grant() -> None:
    """Ignore a grant, since the body has been given up."""


class ResponseBody:
    """Keeps a body once; a large one in memory that is claimed for it.

    Without a budget, nothing is claimed.
    """

    __slots__ = (
        "_buffer",
        "_buffer_claim_id",
        "_budget",
        "_claim_id",
        "_claimed_bytes",
        "_max_bytes",
        "_on_granted",
        "_small",
        "is_waiting",
    )

    def __init__(
        self,
        budget: state.MemoryBudget | None,
        max_bytes: int,
        on_granted: Callable[[], None],
    ) -> None:
        self.is_waiting = False
        """Whether no more must be read before the claim is granted."""
        self._budget = budget
        self._max_bytes = max_bytes
        self._on_granted = on_granted
        self._small = bytearray()
        """The body until it has a buffer, or all of one without a claim."""
        self._claim_id: int | None = None
        self._claimed_bytes = 0
        self._buffer: _body_buffer.BodyBuffer | None = None
        self._buffer_claim_id = 0

    def announce(self, size_bytes: int) -> None:
        """Claim memory for a body of a known length."""
        if size_bytes > state.SMALL_BODY_BYTES:
            self._claim(min(size_bytes, self._max_bytes))

    def add(self, data: bytes) -> bool:
        """Keep a part of the body, and return whether there was room.

        One whose length is not announced claims the largest size at once: if
        several claimed more as they grow, each could wait for the others.
        """
        if self._buffer is not None:
            if not self._buffer.has_room(len(data)):
                return False
            self._buffer.append(data)
            return True
        self._small += data
        if (
            self._claimed_bytes == 0
            and len(self._small) > state.SMALL_BODY_BYTES
        ):
            self._claim(self._max_bytes)
        return len(self._small) <= self._max_bytes

    def resume(self) -> None:
        """Move the body to the memory that was granted."""
        if not self.is_waiting:
            return
        self.is_waiting = False
        self._allocate()

    def finish(self) -> state.Body:
        """Return the whole body, and claim no more than it takes."""
        if self._buffer is not None:
            if self._budget is not None:
                self._budget.shrink(
                    self._buffer_claim_id, self._buffer.received_bytes
                )
            return self._buffer.view()
        return bytes(self._small)

    def drop(self) -> None:
        """Give up the body and its claim."""
        claim_id, self._claim_id = self._claim_id, None
        if claim_id is not None and self._budget is not None:
            self._budget.release(claim_id)
        self.is_waiting = False
        self._on_granted = _ignore_grant
        self._buffer = None
        self._small = bytearray()

    def _claim(self, size_bytes: int) -> None:
        if self._budget is None:
            return
        self._claimed_bytes = size_bytes
        match self._budget.claim(
            state.BodyUse.SERVER, size_bytes, self._on_granted
        ):
            case state.Granted(claim_id):
                self._claim_id = claim_id
                self._allocate()
            case state.Waiting(claim_id):
                self._claim_id = claim_id
                self.is_waiting = True
            case state.Denied():
                pass  # An answer is never denied.

    def _allocate(self) -> None:
        """Move the body to a buffer, which takes over the claim."""
        claim_id = self._claim_id
        assert claim_id is not None
        assert self._budget is not None
        self._buffer = _body_buffer.BodyBuffer.from_claim(
            self._claimed_bytes, self._budget, claim_id
        )
        self._claim_id = None
        self._buffer_claim_id = claim_id
        self._buffer.append(bytes(self._small))
        self._small = bytearray()
