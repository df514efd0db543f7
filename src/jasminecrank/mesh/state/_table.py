"""The active table: routes, services, teams, API keys and limits."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh.state import _calls


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its traffic weight in a route."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Routing rule for the requests of a host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: _calls.RouteKind
    timeout_s: float | None
    target_s: float
    """Latency objective, measured from the caller's first attempt."""
    priority: int
    """0 is the highest priority."""
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    """Maximum number of backend servers that a request may be sent to."""
    open_to_all: bool
    home_regions: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Service:
    """Settings shared by all backend servers of a service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate_per_s: float
    """Requests per second that a server can take during its cold start."""


@dataclass(slots=True, frozen=True)
class Team:
    """A team with its priority and its rate over all hosts."""

    name: str
    priority: int | None
    rate_per_s: float
    """0 means unlimited."""
    burst: float
    home_regions: frozenset[str] = frozenset()


LAST_REQUEST_S = 1.0
"""Time for a request that was sent just within the idle limit to arrive."""


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0
    """Announced to callers."""
    is_known: bool = True
    """Whether a table has been read; it may allow more than the defaults."""

    @property
    def idle_close_s(self) -> float:
        """Return the idle time after which a connection is closed."""
        return self.idle_timeout_s + LAST_REQUEST_S


@dataclass(slots=True, frozen=True)
class Table:
    """An immutable version of the table."""

    version: int
    service_by_name: Mapping[str, Service]
    team_by_name: Mapping[str, Team]
    team_by_key: Mapping[str, Team]
    limits: CallerLimits
    routes_by_host: Mapping[str, Mapping[str, Route]] = field(
        default_factory=dict
    )

    @classmethod
    def from_rows(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        teams: Iterable[tuple[Team, tuple[str, ...]]],
        limits: CallerLimits,
    ) -> "Table":
        """Build a table; raise ValueError if its rows are inconsistent."""
        service_by_name = {service.name: service for service in services}
        team_by_name: dict[str, Team] = {}
        team_by_key: dict[str, Team] = {}
        for team, keys in teams:
            team_by_name[team.name] = team
            for key in keys:
                if team_by_key.setdefault(key, team) is not team:
                    raise ValueError(f"team {team.name!r} shares a key")
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            for weighted in route.weighted_services:
                if weighted.service not in service_by_name:
                    raise ValueError(
                        f"route {route.name!r} names service "
                        f"{weighted.service!r}, which is not in the table"
                    )
            by_prefix = routes_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route
        return cls(
            version,
            service_by_name,
            team_by_name,
            team_by_key,
            limits,
            routes_by_host,
        )

    @property
    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(
            route.name
            for by_prefix in self.routes_by_host.values()
            for route in by_prefix.values()
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        by_prefix = self.routes_by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
