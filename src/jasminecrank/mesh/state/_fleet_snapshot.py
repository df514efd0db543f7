"""A node's view of the fleet at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh.state import _entries
from jasminecrank.mesh.state import _table


@dataclass(slots=True, frozen=True)
class FleetSnapshot:
    """An immutable view of the fleet, replaced as a whole on each change."""

    table: _table.Table | None
    server_by_id: Mapping[str, _entries.BackendServer]
    cold_until_s_by_id: Mapping[str, float]
    data_centres_out: frozenset[str]
    displaced_by_id: Mapping[str, _entries.BackendServer] = field(
        default_factory=dict
    )
    """Listed servers that another one is preferred to on the same host."""

    def listed_at(self, host: str, port: int) -> list[_entries.BackendServer]:
        """Return all servers listed at an address, displaced ones too."""
        return [
            server
            for server in (
                *self.server_by_id.values(),
                *self.displaced_by_id.values(),
            )
            if (server.host, server.port) == (host, port)
        ]

    def has_service(self, server: _entries.BackendServer) -> bool:
        """Return whether the table has the service of a server."""
        return self.table is not None and (
            server.service in self.table.service_by_name
        )

    def usable_servers(self, service: str) -> list[_entries.BackendServer]:
        """Return the servers of a service that may receive new calls."""
        return [
            server
            for server in self.server_by_id.values()
            if server.service == service
            and server.state is _entries.ServerState.READY
            and server.data_centre not in self.data_centres_out
        ]
