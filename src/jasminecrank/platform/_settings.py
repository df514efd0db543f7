"""Reader of the platform's settings file."""

from collections.abc import Mapping
import pathlib
import re
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
MAX_NUMBER = 1e9
"""Limit of numbers, so that timers and counters can hold their multiples."""
MAX_PORT = 65_535
_PORT = re.compile("[0-9]{1,5}")
_HOST = re.compile("[!-~]{1,253}")

DEFAULT_MEMORY_MB = 256
"""Memory limit of a node whose settings state none."""
BYTES_PER_MB = 1_000_000


def read_settings(path: str) -> settings.NodeSettings:
    """Return validated settings, or raise SettingError naming the field."""
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise exceptions.SettingError(f"{path}: {error}") from error
    bounds = _parse_bounds(fields)
    ip = _string(fields, "ip")
    if not _HOST.fullmatch(ip):
        raise exceptions.SettingError(f"ip: {ip!r} is not an IP address")
    ports = _read_inner_ports(fields)
    return settings.NodeSettings(
        host=ip,
        name=_string(fields, "node"),
        service=_string(fields, "service"),
        # The platform calls a data centre a zone; `zones` holds the region
        # of each.
        data_centre=_string(fields, "zone"),
        region_by_data_centre=_read_zones(fields),
        callers=_read_endpoint(fields, "listen", "outbound"),
        links=settings.Endpoint(ip, ports[0] + LINK_PORT_OFFSET, "innerPorts"),
        status=_read_endpoint(fields, "listen", "ready"),
        metrics=settings.Endpoint(
            ip, ports[0] + METRICS_PORT_OFFSET, "innerPorts"
        ),
        backend_server=_parse_endpoint("appAddr", _string(fields, "appAddr")),
        source=_read_endpoint(fields, "platform", "address"),
        link_mbit_per_s=_read_link_rate(fields),
        memory_limit_bytes=_read_memory_limit(fields),
        quota=state.QuotaBounds(
            _parse_number(bounds, "quotaWindowS", 5.0, is_positive=True),
            _parse_number(bounds, "quotaOvershoot", 0.25),
            _parse_number(bounds, "quotaSlack", 20.0),
        ),
        retry_budget=state.RetryBudgetBounds(
            _parse_number(bounds, "retryBudgetRatio", 0.2),
            _parse_number(bounds, "budgetWindowS", 10.0, is_positive=True),
            _parse_number(bounds, "budgetSlack", 20.0),
        ),
        heartbeat_s=_read_heartbeat_s(fields),
        stop_grace_s=_parse_number(bounds, "graceS", 6.0, is_positive=True),
        drain_s=_parse_number(bounds, "drainMs", 2000.0) / 1000,
        cold_overshoot=_parse_number(bounds, "coldOvershoot", 1.0),
    )


def _read_link_rate(fields: dict[str, typing.Any]) -> float:
    limits = fields.get("limits", {})
    if not isinstance(limits, dict):
        raise exceptions.SettingError(f"limits: {limits!r} is not a table")
    rate = _check_number(
        "limits.linkMbps", limits.get("linkMbps", DEFAULT_LINK_MBIT_PER_S)
    )
    return rate if rate > 0 else DEFAULT_LINK_MBIT_PER_S


def _read_memory_limit(fields: dict[str, typing.Any]) -> int:
    value = fields.get("limits", {}).get("memoryMb", DEFAULT_MEMORY_MB)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.SettingError(
            f"limits.memoryMb: {value!r} is not a number"
        )
    return int((value if value > 0 else DEFAULT_MEMORY_MB) * BYTES_PER_MB)


def _read_heartbeat_s(fields: dict[str, typing.Any]) -> float:
    value = fields.get("heartbeatMs", DEFAULT_HEARTBEAT_MS)
    return _check_number("heartbeatMs", value, is_positive=True) / 1000


def _check_number(
    name: str, value: object, is_positive: bool = False
) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.SettingError(f"{name}: {value!r} is not a number")
    return _check_range(f"{name}: {value!r}", value, is_positive)


def _check_range(shown: str, value: float, is_positive: bool) -> float:
    """Return a number in its range; NaN is in none."""
    is_high_enough = value > 0 if is_positive else value >= 0
    if not is_high_enough or value > MAX_NUMBER:
        lower = "above 0" if is_positive else "from 0"
        raise exceptions.SettingError(
            f"{shown} is not {lower} up to {MAX_NUMBER:.0f}"
        )
    return float(value)


def _read_inner_ports(fields: dict[str, typing.Any]) -> list[int]:
    ports: list[int] = _required_field(fields, "innerPorts", list)
    if (
        len(ports) != 2
        or not all(type(port) is int for port in ports)
        or not 0 < ports[0] <= ports[1] - METRICS_PORT_OFFSET
        or ports[1] > MAX_PORT
    ):
        raise exceptions.SettingError(
            f"innerPorts: {ports} is not a range of two ports or more,"
            f" from 1 to {MAX_PORT}"
        )
    return ports


def _read_zones(fields: dict[str, typing.Any]) -> Mapping[str, str]:
    zones: dict[str, str] = _required_field(fields, "zones", dict)
    for name, region in zones.items():
        if not isinstance(region, str):
            raise exceptions.SettingError(
                f"zones.{name}: {region!r} is not a str"
            )
    return zones


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
    if (
        not _HOST.fullmatch(host)
        or not _PORT.fullmatch(port)
        or not 0 < int(port) <= MAX_PORT
    ):
        raise exceptions.SettingError(f"{name}: {text!r} is not IP:PORT")
    return settings.Endpoint(host, int(port), name)


def _parse_bounds(fields: dict[str, typing.Any]) -> dict[str, str]:
    bounds = {}
    items = fields.get("bounds", [])
    if not isinstance(items, list):
        raise exceptions.SettingError(f"bounds: {items!r} is not a list")
    for text in items:
        name, _, value = str(text).partition("=")
        bounds[name] = value
    return bounds


def _parse_number(
    bounds: dict[str, str],
    name: str,
    default: float,
    is_positive: bool = False,
) -> float:
    text = bounds.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        raise exceptions.SettingError(
            f"bounds: {name}={text} is not a number"
        ) from None
    return _check_range(f"bounds: {name}={text}", value, is_positive)
