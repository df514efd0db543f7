"""Slots of this node's backend server."""

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
        """Return whether a slot is free; reserved ones are for checks."""
        if self.in_use >= capacity:
            return False
        if priority is _rows.Priority.INTERNAL:
            return True
        return self.ordinary_in_use < capacity - reserved_slots

    def acquire(
        self, priority: _rows.Priority, capacity: int, cold_limit: int
    ) -> None:
        """Take a slot; assert that the capacity allows it."""
        if priority is _rows.Priority.INTERNAL:
            self.internal_in_use += 1
        else:
            self.ordinary_in_use += 1
        self.peak = max(self.peak, self.in_use)
        _invariants.check(
            exceptions.ResultCode.INVARIANT_COLD_START_OVERLOAD,
            self.in_use <= capacity <= cold_limit,
            "%d slots in use, capacity %d, cold-start limit %d",
            self.in_use,
            capacity,
            cold_limit,
        )

    def release(self, priority: _rows.Priority) -> None:
        """Release the slot of a call that has ended."""
        if priority is _rows.Priority.INTERNAL:
            self.internal_in_use -= 1
        else:
            self.ordinary_in_use -= 1

    def take_peak(self) -> int:
        """Return the peak number of slots in use in the last two periods.

        Reading the peak ends a period. A load report lags, so it is compared
        with the peak of both periods.
        """
        peak = max(self.peak, self.previous_peak)
        self.previous_peak = self.peak
        self.peak = self.in_use
        return peak
