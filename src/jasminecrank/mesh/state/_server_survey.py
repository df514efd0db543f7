"""Counts the servers of a service by why they are excluded from calls."""

from collections import Counter
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

from jasminecrank.mesh.state import _entries
from jasminecrank.mesh.state import _fleet_snapshot
from jasminecrank.mesh.state import _placement

MAX_DATA_CENTRES_NAMED = 5


@dataclass(slots=True, frozen=True)
class ServerCounts:
    """Listed servers of a service: the usable ones and the others."""

    usable: int
    excluded: Mapping[_placement.Exclusion, int]
    data_centres_out: tuple[str, ...]
    """Some of the data centres whose servers are excluded for being there."""


@dataclass(slots=True, frozen=True)
class ServerSurvey:
    """What a node knows of all servers at one moment."""

    fleet: _fleet_snapshot.FleetSnapshot
    placement: _placement.Placement
    linked_hosts: Collection[str]
    """Other hosts that calls can be sent to."""
    region_by_data_centre: Mapping[str, str]
    now_s: float

    def counts(
        self,
        service: str,
        regions: frozenset[str] | None = None,
        tried: Collection[str] = (),
    ) -> ServerCounts:
        """Return the counts for a call; None allows all regions."""
        excluded: Counter[_placement.Exclusion] = Counter()
        data_centres_out = set()
        usable = 0
        for server in self.fleet.server_by_id.values():
            if server.service != service:
                continue
            exclusion = self._exclusion(server, regions, tried)
            if exclusion is None:
                usable += 1
                continue
            excluded[exclusion] += 1
            if exclusion is _placement.Exclusion.DATA_CENTRE_OUT:
                data_centres_out.add(server.data_centre)
        displaced = sum(
            server.service == service
            for server in self.fleet.displaced_by_id.values()
        )
        if displaced:
            excluded[_placement.Exclusion.DISPLACED] = displaced
        return ServerCounts(
            usable,
            excluded,
            tuple(sorted(data_centres_out)[:MAX_DATA_CENTRES_NAMED]),
        )

    def usable_by_service(self) -> dict[str, int]:
        """Return the number of usable servers of each service."""
        if self.fleet.table is None:
            return {}
        usable = dict.fromkeys(self.fleet.table.service_by_name, 0)
        for server in self.fleet.server_by_id.values():
            if server.service in usable:
                usable[server.service] += (
                    self._exclusion(server, None, ()) is None
                )
        return usable

    def _exclusion(
        self,
        server: _entries.BackendServer,
        regions: frozenset[str] | None,
        tried: Collection[str],
    ) -> _placement.Exclusion | None:
        """Return the reason that has to end first, or None if usable."""
        region = self.region_by_data_centre.get(server.data_centre, "")
        if server.state is not _entries.ServerState.READY:
            return _placement.Exclusion.DRAINING
        if regions is not None and region not in regions:
            return _placement.Exclusion.REGION
        if server.data_centre in self.fleet.data_centres_out:
            return _placement.Exclusion.DATA_CENTRE_OUT
        if (
            server.host != self.placement.own_host
            and server.host not in self.linked_hosts
        ):
            return _placement.Exclusion.UNREACHABLE
        return self.placement.exclusion(server, tried, self.now_s)
