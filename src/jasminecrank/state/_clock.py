"""Clocks, passed in so that a run can be repeated."""

import time
import typing


class Clock(typing.Protocol):
    """Source of monotonic and wall time."""

    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""


class SystemClock:
    """The clocks of the host."""

    __slots__ = ()

    def monotonic_s(self) -> float:
        """Return seconds on the host's monotonic clock."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return milliseconds on the host's wall clock."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that only moves when told to."""

    __slots__ = ("now_s",)

    def __init__(self, now_s: float = 0.0) -> None:
        self.now_s = now_s

    def monotonic_s(self) -> float:
        """Return the set time in seconds."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return the set time in milliseconds."""
        return int(self.now_s * 1000)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now_s += seconds
