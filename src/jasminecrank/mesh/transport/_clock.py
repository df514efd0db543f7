"""Monotonic clock of a node."""

import time


class BootClock:
    """Monotonic clock that also counts time in suspend."""

    __slots__ = ()

    def now_s(self) -> float:
        """Return the seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
