"""Bodies of answers that a caller has taken in part."""

from collections import deque
from dataclasses import dataclass

from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_buffer

MIN_FREED_BYTES = 65_536
"""Bytes of a body that are freed at a time."""


@dataclass(slots=True)
class _Written:
    body: state.Body
    start: int
    """Bytes written on the connection before the body."""
    freed_bytes: int = 0

    def free(self, sent_bytes: int) -> None:
        """Free what is among the first bytes sent on the connection."""
        taken_bytes = min(len(self.body), sent_bytes - self.start)
        if taken_bytes - self.freed_bytes >= MIN_FREED_BYTES:
            _body_buffer.free_start(self.body, taken_bytes)
            self.freed_bytes = taken_bytes


class UnsentBodies:
    """Frees the memory of large bodies as their caller takes them.

    Otherwise, a body is held whole until its last byte has been taken, while
    the kernel holds most of it as well.
    """

    def __init__(self) -> None:
        self._written: deque[_Written] = deque()
        self._written_bytes = 0

    def add(self, parts: tuple[state.Body, ...]) -> None:
        """Add what has just been written on the blocked connection."""
        for part in parts:
            if len(part) > state.SMALL_BODY_BYTES:
                self._written.append(_Written(part, self._written_bytes))
            self._written_bytes += len(part)

    def free_sent(self, unsent_bytes: int) -> None:
        """Free the memory of all but the last bytes written."""
        sent_bytes = self._written_bytes - unsent_bytes
        for written in self._written:
            written.free(sent_bytes)

    def clear(self) -> None:
        """Hold no body any more."""
        self._written.clear()
        self._written_bytes = 0
