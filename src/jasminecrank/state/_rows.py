"""Typed rows of the published documents."""

from dataclasses import dataclass
import enum


class RouteKind(enum.Enum):
    """Whether requests of a route can be repeated safely."""

    LOOKUP = "lookup"
    BOOKING = "booking"


class Priority(enum.Enum):
    """The admission priority of a route."""

    ORDINARY = "ordinary"
    INTERNAL = "internal"


class HostState(enum.Enum):
    """The state of a host in the published host list."""

    LIVE = "live"
    LEAVING = "leaving"


class OutageState(enum.Enum):
    """Whether a data centre is in service."""

    IN_SERVICE = "in"
    OUT_OF_SERVICE = "out"


@dataclass(slots=True, frozen=True)
class ServiceRow:
    """A service and the capacity of each of its backend servers."""

    service: str
    slots: int
    cold_slots: int
    ramp_s: float
    max_connections: int


@dataclass(slots=True, frozen=True)
class RouteRow:
    """A route from method and path prefix to a service."""

    route: str
    service: str
    method: str
    path_prefix: str
    kind: RouteKind
    priority: Priority
    open_to_all: bool
    deadline_ms: int


@dataclass(slots=True, frozen=True)
class LimitRow:
    """The fleet-wide limits of one team for one service."""

    service: str
    team: str
    weight: int
    rate: float
    burst: int
    max_in_flight: int


@dataclass(slots=True, frozen=True)
class KeyRow:
    """The digest of a tenant key and the team it was issued to."""

    digest: str
    team: str


@dataclass(slots=True, frozen=True)
class HostRow:
    """A host that runs a backend server and a node."""

    host: str
    service: str
    data_centre: str
    region: str
    address: str
    call_port: int
    peer_port: int
    admin_port: int
    server_port: int
    share_slot: int
    state: HostState


@dataclass(slots=True, frozen=True)
class OutageRow:
    """The outage state of a data centre."""

    data_centre: str
    state: OutageState


ROW_TYPE_BY_PREFIX: dict[str, type] = {
    "service": ServiceRow,
    "route": RouteRow,
    "limit": LimitRow,
    "key": KeyRow,
    "host": HostRow,
    "data_centre": OutageRow,
}

Row = ServiceRow | RouteRow | LimitRow | KeyRow | HostRow | OutageRow
