"""Entries that the source publishes, and their values at one position."""

from dataclasses import dataclass
import enum

from jasminecrank.mesh.state import _positions
from jasminecrank.mesh.state import _table


class ServerState(enum.Enum):
    """Lifecycle state that a backend server publishes about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One incarnation of a backend server."""

    server_id: str
    service: str
    host: str
    """IP address of its host; the node of the host listens on it as well."""
    port: int
    data_centre: str
    slots: int
    state: ServerState
    cold_left_s: float
    """Remaining cold start time when the entry was written."""
    created_at_ms: int
    sequence: int = 0
    """Number of its reports since it was created; 0 if it counts none."""


@dataclass(slots=True, frozen=True)
class TableEntry:
    """An entry with a table that the operators accepted."""

    table: _table.Table


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """An entry in which a backend server registers itself."""

    server: BackendServer


@dataclass(slots=True, frozen=True)
class DataCentreOutEntry:
    """An entry by which operators take a data centre out of service."""

    data_centre: str


@dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry that can't be used, and why."""

    reason: str


PublishedEntry = TableEntry | ServerEntry | DataCentreOutEntry | InvalidEntry


@dataclass(slots=True, frozen=True)
class SourceItem:
    """A key of the source at one position; its value is None once removed."""

    key: str
    position: _positions.Position
    value: bytes | None

    def at(self, position: _positions.Position) -> "SourceItem":
        """Return the entry as if it were written at another position."""
        return SourceItem(self.key, position, self.value)


@dataclass(slots=True, frozen=True)
class RejectedEntry:
    """An entry that was not taken, and why."""

    key: str
    position: _positions.Position
    reason: str
