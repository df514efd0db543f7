"""Reader of the platform's settings file."""

import pathlib
import tomllib
import typing

from jasminecrank import exceptions
from jasminecrank.mesh import settings
from jasminecrank.mesh import state

CONFIG_PATH_VARIABLE = "JASMINECRANK_CONFIG"
LINK_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
"""Offsets of the link and metrics ports in the range innerPorts."""
DEFAULT_HEARTBEAT_MS = 1_500
DEFAULT_LINK_MBIT_PER_S = 5.0
"""Link rate of a host whose settings state none: the lowest known."""


def read_settings(path: str) -> settings.NodeSettings:
    """Return validated settings, or raise SettingError naming the field."""
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise exceptions.SettingError(f"{path}: {error}") from error
    bounds = _parse_bounds(fields)
    ip = _string(fields, "ip")
    ports = _required_field(fields, "innerPorts", list)
    if len(ports) != 2 or ports[1] - ports[0] < METRICS_PORT_OFFSET:
        raise exceptions.SettingError(
            f"innerPorts: {ports} is not a range of two ports or more"
        )
    return settings.NodeSettings(
        host=ip,
        name=_string(fields, "node"),
        service=_string(fields, "service"),
        # The platform calls a data centre a zone; `zones` holds the region
        # of each.
        data_centre=_string(fields, "zone"),
        region_by_data_centre=_required_field(fields, "zones", dict),
        callers=_read_endpoint(fields, "listen", "outbound"),
        links=settings.Endpoint(ip, ports[0] + LINK_PORT_OFFSET, "innerPorts"),
        status=_read_endpoint(fields, "listen", "ready"),
        metrics=settings.Endpoint(
            ip, ports[0] + METRICS_PORT_OFFSET, "innerPorts"
        ),
        backend_server=_parse_endpoint("appAddr", _string(fields, "appAddr")),
        source=_read_endpoint(fields, "platform", "address"),
        link_mbit_per_s=_read_link_rate(fields),
        quota=state.QuotaBounds(
            _parse_number(bounds, "quotaWindowS", 5.0),
            _parse_number(bounds, "quotaOvershoot", 0.25),
            _parse_number(bounds, "quotaSlack", 20.0),
        ),
        retry_budget=state.RetryBudgetBounds(
            _parse_number(bounds, "retryBudgetRatio", 0.2),
            _parse_number(bounds, "budgetWindowS", 10.0),
            _parse_number(bounds, "budgetSlack", 20.0),
        ),
        heartbeat_s=_read_heartbeat_s(fields),
        stop_grace_s=_parse_number(bounds, "graceS", 6.0),
        drain_s=_parse_number(bounds, "drainMs", 2000.0) / 1000,
    )


def _read_link_rate(fields: dict[str, typing.Any]) -> float:
    limits = fields.get("limits", {})
    rate = limits.get("linkMbps", DEFAULT_LINK_MBIT_PER_S)
    if isinstance(rate, bool) or not isinstance(rate, int | float):
        raise exceptions.SettingError(
            f"limits.linkMbps: {rate!r} is not a number"
        )
    return float(rate) if rate > 0 else DEFAULT_LINK_MBIT_PER_S


def _read_heartbeat_s(fields: dict[str, typing.Any]) -> float:
    value = fields.get("heartbeatMs", DEFAULT_HEARTBEAT_MS)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.SettingError(
            f"heartbeatMs: {value!r} is not a number"
        )
    return float(value) / 1000


def _required_field(
    fields: dict[str, typing.Any], name: str, expected_type: type
) -> typing.Any:
    value = fields.get(name)
    if not isinstance(value, expected_type):
        raise exceptions.SettingError(
            f"{name}: {value!r} is not a {expected_type.__name__}"
        )
    return value


def _string(fields: dict[str, typing.Any], name: str) -> str:
    value: str = _required_field(fields, name, str)
    if not value:
        raise exceptions.SettingError(f"{name}: must not be empty")
    return value


def _read_endpoint(
    fields: dict[str, typing.Any], table: str, name: str
) -> settings.Endpoint:
    value = _required_field(_required_field(fields, table, dict), name, str)
    return _parse_endpoint(f"{table}.{name}", value)


def _parse_endpoint(name: str, text: str) -> settings.Endpoint:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise exceptions.SettingError(f"{name}: {text!r} is not IP:PORT")
    return settings.Endpoint(host, int(port), name)


def _parse_bounds(fields: dict[str, typing.Any]) -> dict[str, str]:
    bounds = {}
    for text in fields.get("bounds", []):
        name, _, value = str(text).partition("=")
        bounds[name] = value
    return bounds


def _parse_number(bounds: dict[str, str], name: str, default: float) -> float:
    text = bounds.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise exceptions.SettingError(
            f"bounds: {name}={text} is not a number"
        ) from None
