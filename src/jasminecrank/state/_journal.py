"""Hybrid logical clock and a bounded event log."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank import const


@dataclass(slots=True, frozen=True, order=True)
class Stamp:
    """A hybrid logical timestamp; comparison follows causal order."""

    wall_ms: int
    counter: int
    host: str


@dataclass(slots=True, frozen=True)
class Event:
    """A decision that changes how calls are treated."""

    stamp: Stamp
    name: str
    fields: Mapping[str, str]


@dataclass(slots=True)
class Journal:
    """Owns the logical clock and the most recent events of one process."""

    host: str
    last_stamp: Stamp
    events: deque[Event] = field(
        default_factory=lambda: deque(maxlen=const.EVENT_RING_SIZE)
    )

    @classmethod
    def from_host(cls, host: str) -> "Journal":
        """Return an empty journal."""
        return cls(host, Stamp(0, 0, host))

    def stamp(self, wall_ms: int) -> Stamp:
        """Return a timestamp later than all issued or observed ones."""
        if wall_ms > self.last_stamp.wall_ms:
            self.last_stamp = Stamp(wall_ms, 0, self.host)
        else:
            self.last_stamp = Stamp(
                self.last_stamp.wall_ms, self.last_stamp.counter + 1, self.host
            )
        return self.last_stamp

    def observe(self, stamp: Stamp, wall_ms: int) -> None:
        """Advance the clock past the timestamp of a peer's message."""
        if (stamp.wall_ms, stamp.counter) > (
            self.last_stamp.wall_ms,
            self.last_stamp.counter,
        ):
            self.last_stamp = Stamp(stamp.wall_ms, stamp.counter, self.host)
        self.stamp(wall_ms)

    def record(
        self, name: str, fields: Mapping[str, str], wall_ms: int
    ) -> Event:
        """Append an event, discarding the oldest if the log is full."""
        event = Event(self.stamp(wall_ms), name, dict(fields))
        self.events.append(event)
        return event
