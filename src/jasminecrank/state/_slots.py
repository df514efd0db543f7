"""Slots of the backend server beside this node."""

from dataclasses import dataclass

from jasminecrank import exceptions
from jasminecrank.state import _invariants
from jasminecrank.state import _rows


@dataclass(slots=True)
class SlotPool:
    """Counts the calls that run on the backend server."""

    capacity: int
    in_use: int = 0

    def acquire(self, priority: _rows.Priority) -> bool:
        """Take a slot; the last one is kept for internal checks."""
        reserve = 0 if priority is _rows.Priority.INTERNAL else 1
        limit = max(1, self.capacity - reserve)
        if self.in_use >= min(limit, self.capacity):
            return False
        self.in_use += 1
        _invariants.check(
            exceptions.ResultCode.INVARIANT_COLD_START_OVERLOAD,
            self.in_use <= self.capacity,
            "%d slots in use of %d",
            self.in_use,
            self.capacity,
        )
        return True

    def release(self) -> None:
        """Give a slot back."""
        self.in_use -= 1
