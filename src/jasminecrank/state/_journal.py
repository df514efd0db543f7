"""Hybrid logical clock and the bounded ring of events."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank import const


@dataclass(slots=True, frozen=True, order=True)
class Stamp:
    """A hybrid logical timestamp; comparing two gives a causal order."""

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
    """Owns the logical clock and the last events of one process."""

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
        """Return a stamp later than every stamp given or observed."""
        if wall_ms > self.last_stamp.wall_ms:
            self.last_stamp = Stamp(wall_ms, 0, self.host)
        else:
            self.last_stamp = Stamp(
                self.last_stamp.wall_ms, self.last_stamp.counter + 1, self.host
            )
        return self.last_stamp

    def observe(self, stamp: Stamp, wall_ms: int) -> None:
        """Move past a stamp that came with a peer message."""
        if (stamp.wall_ms, stamp.counter) > (
            self.last_stamp.wall_ms,
            self.last_stamp.counter,
        ):
            self.last_stamp = Stamp(stamp.wall_ms, stamp.counter, self.host)
        self.stamp(wall_ms)

    def record(
        self, name: str, fields: Mapping[str, str], wall_ms: int
    ) -> Event:
        """Append an event to the ring and return it."""
        event = Event(self.stamp(wall_ms), name, dict(fields))
        self.events.append(event)
        return event
