"""Decoder for entries of the platform's store."""

import msgspec

from jasminecrank.mesh import state
from jasminecrank.platform import _schema

CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"

_DEFAULT_TARGET_MS = 1_000.0

_server_decoder = msgspec.json.Decoder(_schema.Server)
_table_decoder = msgspec.json.Decoder(_schema.Table)
_route_decoder = msgspec.json.Decoder(_schema.Route)
_service_decoder = msgspec.json.Decoder(_schema.Service)
_team_decoder = msgspec.json.Decoder(_schema.Team)
_limits_decoder = msgspec.json.Decoder(_schema.Limits)


class EntryDecoder:
    """Decodes entries, and caches the routes of the last table.

    Most versions change only a few of a thousand or more routes.
    """

    def __init__(self) -> None:
        self._decoded_by_name: dict[str, tuple[bytes, state.Route]] = {}

    def decode(self, key: str, value: bytes) -> state.PublishedEntry:
        """Return the decoded entry, or InvalidEntry if it can't be used."""
        try:
            if key.startswith(EVACUATE_PREFIX):
                return state.DataCentreOutEntry(
                    key.removeprefix(EVACUATE_PREFIX)
                )
            if key == CONFIG_KEY:
                return state.TableEntry(self._decode_table(value))
            if key.startswith(SERVERS_PREFIX):
                return state.ServerEntry(
                    _decode_server(key.removeprefix(SERVERS_PREFIX), value)
                )
        # A decoder raises RecursionError for values that are nested too deep.
        except (ValueError, RecursionError) as error:
            return state.InvalidEntry(f"{type(error).__name__}: {error}")
        return state.InvalidEntry("unknown key")

    def _decode_table(self, value: bytes) -> state.Table:
        _check_size(value, _schema.MAX_TABLE_BYTES)
        table = _table_decoder.decode(value)
        by_type: dict[str, list[_schema.Resource]] = {}
        for resource in table.resources:
            by_type.setdefault(resource.type_url, []).append(resource)
        limits = by_type.get("limits", [])
        return state.Table.from_rows(
            table.version,
            self._decode_routes(by_type.get("routes", [])),
            [
                _decode_service(resource)
                for resource in by_type.get("services", [])
            ],
            [
                _decode_team(resource)
                for resource in by_type.get("tenants", [])
            ],
            _decode_limits(limits[0]) if limits else state.CallerLimits(),
        )

    def _decode_routes(
        self, resources: list[_schema.Resource]
    ) -> list[state.Route]:
        decoded_by_name: dict[str, tuple[bytes, state.Route]] = {}
        routes = []
        for resource in resources:
            spec = bytes(resource.spec)
            name = resource.metadata.name
            decoded = self._decoded_by_name.get(name)
            if decoded is None or decoded[0] != spec:
                decoded = (spec, _decode_route(resource))
            if name:
                decoded_by_name[name] = decoded
            routes.append(decoded[1])
        self._decoded_by_name = decoded_by_name
        return routes


def _check_size(value: bytes, limit_bytes: int) -> None:
    if len(value) > limit_bytes:
        raise ValueError(
            f"the entry has {len(value)} bytes, over the limit of "
            f"{limit_bytes}"
        )


def _decode_server(server_id: str, value: bytes) -> state.BackendServer:
    _check_size(value, _schema.MAX_SERVER_ENTRY_BYTES)
    msgspec.convert(server_id, _schema.ServerId)
    entry = _server_decoder.decode(value)
    host, _, port = entry.address.rpartition(":")
    return state.BackendServer(
        server_id=server_id,
        service=entry.info.service,
        host=host,
        port=msgspec.convert(int(port), _schema.Port),
        data_centre=entry.info.data_centre,
        slots=entry.info.slots,
        state=entry.status.state,
        cold_left_s=max(0, entry.status.cold_left_ms) / 1000,
        created_at_ms=entry.created_at_ms,
        sequence=entry.status.sequence,
    )


def _name(own: str | None, resource: _schema.Resource) -> str:
    """Return the name among a resource's fields, or else its metadata's."""
    name = resource.metadata.name if own is None else own
    return msgspec.convert(name, _schema.Name)


def _decode_route(resource: _schema.Resource) -> state.Route:
    spec = _route_decoder.decode(resource.spec)
    parts = [
        state.WeightedService(part.service, part.weight)
        for part in spec.split or ()
        if part.weight > 0
    ]
    if not spec.split and spec.service is not None:
        parts = [state.WeightedService(spec.service, 1.0)]
    name = _name(spec.name, resource)
    if not parts:
        raise ValueError(f"route {name!r} names no service with a weight")
    # "safe" is the only kind that guarantees that calls can be repeated.
    kind = state.RouteKind.AT_MOST_ONCE
    if spec.kind == "safe":
        kind = state.RouteKind.IDEMPOTENT
    return state.Route(
        name=name,
        host=spec.host.lower(),
        prefix=spec.prefix,
        kind=kind,
        timeout_s=spec.timeout_ms / 1000 if spec.timeout_ms else None,
        target_s=(spec.target_latency_ms or _DEFAULT_TARGET_MS) / 1000,
        priority=spec.priority or 0,
        weighted_services=tuple(parts),
        max_attempts=max(1, spec.max_attempts or 1),
        open_to_all=spec.open_to_all,
        home_regions=spec.home_regions or frozenset(),
    )


def _decode_service(resource: _schema.Resource) -> state.Service:
    spec = _service_decoder.decode(resource.spec)
    return state.Service(
        name=_name(spec.name, resource),
        health_path=spec.health_path,
        max_connections=spec.max_connections or 0,
        cold_start_s=spec.cold_start_s or 0.0,
        cold_rate_per_s=spec.cold_rate_per_s or 0.0,
    )


def _decode_team(
    resource: _schema.Resource,
) -> tuple[state.Team, tuple[str, ...]]:
    spec = _team_decoder.decode(resource.spec)
    team = state.Team(
        name=_name(spec.name, resource),
        priority=spec.priority,
        rate_per_s=spec.rate_per_s or 0.0,
        burst=spec.burst or 0.0,
        home_regions=spec.home_regions or frozenset(),
    )
    return team, spec.api_keys or ()


def _decode_limits(resource: _schema.Resource) -> state.CallerLimits:
    spec = _limits_decoder.decode(resource.spec)
    default = state.CallerLimits()
    return state.CallerLimits(
        spec.max_header_bytes or default.max_header_bytes,
        spec.max_body_bytes or default.max_body_bytes,
        (spec.header_timeout_ms or 1000 * default.header_timeout_s) / 1000,
        (spec.idle_timeout_ms or 1000 * default.idle_timeout_s) / 1000,
    )
