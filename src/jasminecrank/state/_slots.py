"""Slots of the backend server beside this node."""

from dataclasses import dataclass

from jasminecrank import exceptions
from jasminecrank.state import _invariants
from jasminecrank.state import _rows


@dataclass(slots=True)
class SlotPool:
    """Counts the calls that run on the backend server."""

    ordinary_in_use: int = 0
    internal_in_use: int = 0
    peak: int = 0
    previous_peak: int = 0

    @property
    def in_use(self) -> int:
        """Return the number of running calls."""
        return self.ordinary_in_use + self.internal_in_use

    def has_room(
        self, priority: _rows.Priority, capacity: int, reserved_slots: int
    ) -> bool:
        """Return whether a call may start; reserved slots stay internal."""
        if self.in_use >= capacity:
            return False
        if priority is _rows.Priority.INTERNAL:
            return True
        return self.ordinary_in_use < capacity - reserved_slots

    def acquire(
        self, priority: _rows.Priority, capacity: int, cold_limit: int
    ) -> None:
        """Take a slot."""
        if priority is _rows.Priority.INTERNAL:
            self.internal_in_use += 1
        else:
            self.ordinary_in_use += 1
        self.peak = max(self.peak, self.in_use)
        _invariants.check(
            exceptions.ResultCode.INVARIANT_COLD_START_OVERLOAD,
            self.in_use <= capacity <= cold_limit,
            "%d slots in use, capacity %d, a cold server bears %d",
            self.in_use,
            capacity,
            cold_limit,
        )

    def release(self, priority: _rows.Priority) -> None:
        """Give a slot back."""
        if priority is _rows.Priority.INTERNAL:
            self.internal_in_use -= 1
        else:
            self.ordinary_in_use -= 1

    def take_peak(self) -> int:
        """Return the most slots in use over the last two calls.

        A load report lags, so it is compared with both periods.
        """
        peak = max(self.peak, self.previous_peak)
        self.previous_peak = self.peak
        self.peak = self.in_use
        return peak
