"""Clocks, injected to make tests and simulations reproducible."""

import time
import typing


class Clock(typing.Protocol):
    """Provides monotonic time and wall clock time."""

    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes backwards."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Reads the clocks of the operating system."""

    __slots__ = ()

    def monotonic_s(self) -> float:
        """Return the monotonic time of the host in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the wall clock time of the host in milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that is advanced explicitly, for tests and simulations."""

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
        """Advance the clock."""
        self.now_s += seconds
