"""Limits the memory of requests whose end has not been received."""

from dataclasses import dataclass
from dataclasses import field
import typing

Connection = typing.TypeVar("Connection")


@dataclass(slots=True)
class ReceivedHeads(typing.Generic[Connection]):
    """Bytes that connections hold of the heads of unfinished requests."""

    limit_bytes: int
    held_bytes: int = 0
    _size_by_connection: dict[Connection, int] = field(default_factory=dict)
    """In the order since when they hold any."""

    @property
    def is_full(self) -> bool:
        """Return whether connections hold more than the limit."""
        return self.held_bytes > self.limit_bytes

    def record(self, connection: Connection, size_bytes: int) -> None:
        """Record what a connection holds now."""
        self.held_bytes -= self._size_by_connection.get(connection, 0)
        self.held_bytes += size_bytes
        if size_bytes:
            self._size_by_connection[connection] = size_bytes
        else:
            self._size_by_connection.pop(connection, None)

    def take_excess(self) -> list[Connection]:
        """Remove the connections to refuse, so that the rest is in the limit.

        Those that hold most come first, and among equals the longest. So the
        short heads of ordinary callers stay.
        """
        taken: list[Connection] = []
        if not self.is_full:
            return taken
        for connection in sorted(
            self._size_by_connection,
            key=self._size_by_connection.__getitem__,
            reverse=True,
        ):
            if not self.is_full:
                break
            self.record(connection, 0)
            taken.append(connection)
        return taken
