"""Decoder for entries of the platform's store."""

import json
import typing

from jasminecrank.mesh import state

CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"

_Fields = dict[str, typing.Any]


class EntryDecoder:
    """Decodes entries, and caches the routes of the last table.

    Most versions change only a few of a thousand or more routes.
    """

    def __init__(self) -> None:
        self._decoded_by_name: dict[str, tuple[_Fields, state.Route]] = {}

    def decode(self, key: str, value: bytes) -> state.PublishedEntry:
        """Return the decoded entry, or InvalidEntry if it can't be used."""
        try:
            if key.startswith(EVACUATE_PREFIX):
                return state.DataCentreOutEntry(
                    key.removeprefix(EVACUATE_PREFIX)
                )
            if key == CONFIG_KEY:
                return state.TableEntry(self._decode_table(json.loads(value)))
            if key.startswith(SERVERS_PREFIX):
                server_id = key.removeprefix(SERVERS_PREFIX)
                return state.ServerEntry(
                    _decode_server(server_id, json.loads(value))
                )
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            RecursionError,
        ) as error:
            return state.InvalidEntry(f"{type(error).__name__}: {error}")
        return state.InvalidEntry("unknown key")

    def _decode_table(self, config: _Fields) -> state.Table:
        specs_by_kind: dict[str, list[_Fields]] = {}
        for entry in config["resources"]:
            spec = entry["spec"]
            spec.setdefault("name", entry["metadata"].get("name", ""))
            specs_by_kind.setdefault(entry["typeUrl"], []).append(spec)
        limits = specs_by_kind.get("limits", [])
        return state.Table.from_rows(
            _integer(config, "version"),
            self._decode_routes(specs_by_kind.get("routes", [])),
            [
                _decode_service(spec)
                for spec in specs_by_kind.get("services", [])
            ],
            [_decode_team(spec) for spec in specs_by_kind.get("tenants", [])],
            _decode_limits(limits[0]) if limits else state.CallerLimits(),
        )

    def _decode_routes(self, specs: list[_Fields]) -> list[state.Route]:
        decoded_by_name: dict[str, tuple[_Fields, state.Route]] = {}
        routes = []
        for spec in specs:
            name = _string(spec, "name")
            decoded = self._decoded_by_name.get(name)
            if decoded is None or decoded[0] != spec:
                decoded = (spec, _decode_route(spec))
            decoded_by_name[name] = decoded
            routes.append(decoded[1])
        self._decoded_by_name = decoded_by_name
        return routes


def _decode_server(server_id: str, entry: _Fields) -> state.BackendServer:
    info = entry["info"]
    status = entry["status"]
    host, _, port = _string(entry, "address").rpartition(":")
    if not server_id or not host:
        raise ValueError("server id or host is empty")
    return state.BackendServer(
        server_id=server_id,
        service=_string(info, "service"),
        host=host,
        port=int(port),
        # The platform calls a data centre a zone.
        data_centre=_string(info, "zone"),
        slots=_integer(info, "slots", minimum=1),
        state=state.ServerState(_string(status, "state")),
        cold_left_s=max(0, _integer(status, "coldLeftMs")) / 1000,
        # A Unix time in milliseconds, which the name does not say.
        created_at_ms=_integer(entry, "born") if "born" in entry else 0,
    )


def _decode_route(spec: _Fields) -> state.Route:
    parts = [
        state.WeightedService(
            _string(part, "service"), _number(part, "weight")
        )
        for part in spec.get("split") or []
    ]
    if not parts:
        parts = [state.WeightedService(_string(spec, "service"), 1.0)]
    # "safe" is the only kind that guarantees that calls can be repeated.
    kind = state.RouteKind.AT_MOST_ONCE
    if spec.get("kind") == "safe":
        kind = state.RouteKind.IDEMPOTENT
    timeout_ms = spec.get("timeoutMs") or 0
    return state.Route(
        name=_string(spec, "name"),
        host=_string(spec, "host").lower(),
        prefix=_string(spec, "prefix"),
        kind=kind,
        timeout_s=float(timeout_ms) / 1000 if timeout_ms > 0 else None,
        target_s=float(spec.get("targetLatencyMs") or 1000) / 1000,
        priority=int(spec.get("priority") or 0),
        weighted_services=tuple(part for part in parts if part.weight > 0),
        max_attempts=max(1, int(spec.get("maxAttempts") or 1)),
        open_to_all=bool(spec.get("public", False)),
        home_regions=frozenset(spec.get("homeRegions") or ()),
    )


def _decode_service(spec: _Fields) -> state.Service:
    return state.Service(
        name=_string(spec, "name"),
        health_path=_string(spec, "healthPath"),
        max_connections=int(spec.get("maxConns") or 0),
        cold_start_s=float(spec.get("coldStartS") or 0),
        cold_rate_per_s=float(spec.get("coldPerS") or 0),
    )


def _decode_team(spec: _Fields) -> tuple[state.Team, tuple[str, ...]]:
    priority = spec.get("priority")
    team = state.Team(
        name=_string(spec, "name"),
        priority=None if priority is None else int(priority),
        rate_per_s=float(spec.get("ratePerS") or 0),
        burst=float(spec.get("burst") or 0),
        home_regions=frozenset(spec.get("homeRegions") or ()),
    )
    return team, tuple(spec.get("apiKeys") or ())


def _decode_limits(spec: _Fields) -> state.CallerLimits:
    default = state.CallerLimits()
    return state.CallerLimits(
        int(spec.get("maxHeaderBytes") or default.max_header_bytes),
        int(spec.get("maxBodyBytes") or default.max_body_bytes),
        float(spec.get("headerTimeoutMs") or 5000) / 1000,
        float(spec.get("idleTimeoutMs") or 15000) / 1000,
    )


def _string(fields: _Fields, name: str) -> str:
    value = fields[name]
    if not isinstance(value, str):
        raise TypeError(f"{name}: {value!r} is not a string")
    return value


def _integer(fields: _Fields, name: str, minimum: int | None = None) -> int:
    value = fields[name]
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{name}: {value!r} is not an integer")
    if minimum is not None and value < minimum:
        raise ValueError(f"{name}: {value} is below {minimum}")
    return value


def _number(fields: _Fields, name: str) -> float:
    value = fields[name]
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{name}: {value!r} is not a number")
    return float(value)
