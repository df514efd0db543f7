"""Shares the work of reading requests among the connections of callers.

Reading costs processor time for each event of the parser, such as a header or
a chunk, whatever it carries. A body in chunks of one byte costs a hundred
times what one with a length does.
"""

from dataclasses import dataclass
from dataclasses import field
import heapq
import typing

FIRST_SLICE_BYTES = 1_024
"""Bytes parsed at once; ordinary requests fit, and 170 chunks of one byte."""
MAX_SLICE_BYTES = 16_384
"""Bytes parsed without a check of their cost; 2,730 chunks of one byte."""
SLICE_GROWTH = 4
"""Growth of the slices of a connection whose bytes are cheap to parse."""
CHEAP_EVENT_BYTES = 64
"""Bytes for each event from which on parsing counts as cheap."""
READ_EVENTS = 256
"""Events in which the bytes of one read are parsed at once."""
TURN_EVENTS = 512
"""Events in one turn of the event loop, about a millisecond."""
COSTLY_EVENTS = 4_096
"""Events of a request from which on it may be refused."""
COSTLY_EVENT_BYTES = 16
"""Bytes for each event below which a request costs more than it carries."""
MAX_WAITING = 8
"""Connections that may wait for their turns before costly ones are refused."""
COST_REASON = "read-cost"
"""Reason for refusing a request that costs more than it carries."""
COST_RETRY_S = 1.0
"""Retry delay after such a refusal."""


@dataclass(slots=True)
class ReadPace:
    """What reading the current request of a connection has cost so far."""

    events: int = 0
    read_bytes: int = 0
    slice_bytes: int = FIRST_SLICE_BYTES
    """Bytes to parse next."""

    def record(self, size_bytes: int, events: int) -> None:
        """Record the events in a slice, and set the size of the next one."""
        self.events += events
        self.read_bytes += size_bytes
        if events * CHEAP_EVENT_BYTES <= size_bytes:
            self.slice_bytes = min(
                MAX_SLICE_BYTES, SLICE_GROWTH * self.slice_bytes
            )
        else:
            self.slice_bytes = FIRST_SLICE_BYTES

    def start_request(self) -> None:
        """Count from zero for the next request."""
        self.events = 0
        self.read_bytes = 0

    @property
    def is_costly(self) -> bool:
        """Return whether the request costs more than it carries."""
        return (
            self.events >= COSTLY_EVENTS
            and self.read_bytes < COSTLY_EVENT_BYTES * self.events
        )


Reader = typing.TypeVar("Reader")


@dataclass(slots=True)
class ReadScheduler(typing.Generic[Reader]):
    """Connections whose bytes wait to be parsed, least work first."""

    turn_events: int = 0
    """Events in the current turn of the event loop."""
    _pace_by_reader: dict[Reader, ReadPace] = field(default_factory=dict)
    _heap: list[tuple[int, int, Reader]] = field(default_factory=list)
    _sequence: int = 0

    @property
    def waiting(self) -> int:
        """Return the number of connections that wait."""
        return len(self._pace_by_reader)

    @property
    def has_turn_left(self) -> bool:
        """Return whether more may be parsed in this turn of the loop."""
        return self.turn_events < TURN_EVENTS

    def add(self, reader: Reader, pace: ReadPace) -> None:
        """Let a connection wait for its turn."""
        self._pace_by_reader[reader] = pace
        self._sequence += 1
        heapq.heappush(self._heap, (pace.events, self._sequence, reader))

    def discard(self, reader: Reader) -> None:
        """Remove a connection that has ended, or that waits no more."""
        self._pace_by_reader.pop(reader, None)

    def take_next(self) -> Reader | None:
        """Remove and return the connection whose request has cost least."""
        while self._heap:
            _, _, reader = heapq.heappop(self._heap)
            if self._pace_by_reader.pop(reader, None) is not None:
                return reader
        return None

    def refuses(self, pace: ReadPace) -> bool:
        """Return whether a request is refused for the sake of others."""
        return pace.is_costly and self.waiting >= MAX_WAITING
