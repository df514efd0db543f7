"""Encodes rows as canonical JSON and decodes them with validation."""

import dataclasses
import enum
import functools
import ipaddress
import json
import re
import reprlib
import typing

from jasminecrank import exceptions
from jasminecrank.state import _rows
from jasminecrank.state import _versions

_PREFIXES_BY_DOCUMENT = {
    _versions.DocumentName.TABLE: frozenset({"service", "route", "limit"}),
    _versions.DocumentName.KEYS: frozenset({"key"}),
    _versions.DocumentName.HOSTS: frozenset({"host"}),
    _versions.DocumentName.OUTAGES: frozenset({"data_centre"}),
}
_MAX_PORT = 65_535
_MAX_COUNT = 2**31 - 1
_PORT_FIELDS = frozenset(
    {"call_port", "peer_port", "admin_port", "server_port"}
)
_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST_PATTERN = re.compile(rf"{_LABEL}(?:\.{_LABEL})*")
_MAX_HOST_CHARACTERS = 253
_POSITIVE_FIELDS = frozenset(
    {
        "slots",
        "cold_slots",
        "max_connections",
        "deadline_ms",
        "weight",
        "burst",
        "max_in_flight",
        "call_port",
        "peer_port",
        "admin_port",
        "server_port",
    }
)
_NON_NEGATIVE_FIELDS = frozenset({"rate", "ramp_s", "share_slot"})


def row_key(row: _rows.Row) -> str:
    """Return the key of a row in its published document."""
    match row:
        case _rows.ServiceRow():
            return f"service/{row.service}"
        case _rows.RouteRow():
            return f"route/{row.route}"
        case _rows.LimitRow():
            return f"limit/{row.service}/{row.team}"
        case _rows.KeyRow():
            return f"key/{row.digest}"
        case _rows.HostRow():
            return f"host/{row.host}"
        case _rows.OutageRow():
            return f"data_centre/{row.data_centre}"
        case _:
            typing.assert_never(row)


def encode_row(row: _rows.Row) -> str:
    """Encode a row as canonical JSON."""
    values = {
        field.name: _json_value(getattr(row, field.name))
        for field in dataclasses.fields(row)
    }
    return json.dumps(values, sort_keys=True, separators=(",", ":"))


def _json_value(value: object) -> object:
    return value.value if isinstance(value, enum.Enum) else value


@functools.lru_cache(maxsize=65_536)
def decode_row(name: _versions.DocumentName, key: str, text: str) -> _rows.Row:
    """Decode and validate a row.

    Raises DocumentError with the row, the field, its value and the expected
    value. Results are cached by text because most rows of a new version are
    unchanged.
    """
    prefix = key.partition("/")[0]
    if prefix not in _PREFIXES_BY_DOCUMENT[name]:
        raise exceptions.DocumentError(
            f"row {key!r} is not allowed in document {name.value!r}"
        )
    row_type = _rows.ROW_TYPE_BY_PREFIX[prefix]
    try:
        values = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise exceptions.DocumentError(
            f"row {key!r} is not valid JSON: {error}"
        ) from None
    if not isinstance(values, dict):
        raise exceptions.DocumentError(f"row {key!r} is not a JSON object")
    row = _build_row(row_type, key, values)
    if row_key(row) != key:
        raise exceptions.DocumentError(
            f"row {key!r} contains the fields of row {row_key(row)!r}"
        )
    return row


def parse_cell(column: str, column_type: type, text: str) -> object:
    """Parse a cell of a CSV table.

    Raises DocumentError with a description of the expected value.
    """
    value: object = text
    if column_type is bool:
        value = {"yes": True, "no": False}.get(text.lower(), text)
        if value is text:
            raise exceptions.DocumentError("yes or no")
    elif column_type is int or column_type is float:
        value = _parse_number(column_type, text)
    return _convert_value(column, column_type, value)


def _parse_number(column_type: type, text: str) -> object:
    try:
        return int(text) if column_type is int else float(text)
    except ValueError:
        expected = "a whole number" if column_type is int else "a number"
        raise exceptions.DocumentError(expected) from None


def _build_row(
    row_type: type, key: str, values: dict[str, typing.Any]
) -> _rows.Row:
    fields = _field_types(row_type)
    unknown = sorted(values.keys() - fields.keys())
    if unknown:
        raise exceptions.DocumentError(
            f"row {key!r} has an unknown field {unknown[0]!r}"
        )
    arguments = {}
    for field, field_type in fields.items():
        if field not in values:
            raise exceptions.DocumentError(
                f"row {key!r} is missing field {field!r}"
            )
        try:
            arguments[field] = _convert_value(field, field_type, values[field])
        except exceptions.DocumentError as error:
            raise exceptions.DocumentError(
                f"row {key!r}, field {field!r}: {_shorten(values[field])} is "
                f"not {error}"
            ) from None
    row: _rows.Row = row_type(**arguments)
    return row


@functools.cache
def _field_types(row_type: type) -> dict[str, type]:
    return typing.get_type_hints(row_type)


def _convert_value(field: str, field_type: type, value: typing.Any) -> object:
    if issubclass(field_type, enum.Enum):
        allowed = [member.value for member in field_type]
        if value not in allowed:
            raise exceptions.DocumentError(f"one of {', '.join(allowed)}")
        return field_type(value)
    if field_type is bool:
        if not isinstance(value, bool):
            raise exceptions.DocumentError("true or false")
        return value
    if field_type is str:
        if not isinstance(value, str) or not value:
            raise exceptions.DocumentError("a non-empty string")
        if field == "address" and not _is_host(value):
            raise exceptions.DocumentError("an IP address or a host name")
        return value
    return _convert_number(field, field_type, value)


def _is_host(text: str) -> bool:
    if ":" in text:
        try:
            ipaddress.IPv6Address(text)
        except ValueError:
            return False
        return True
    return (
        len(text) <= _MAX_HOST_CHARACTERS
        and _HOST_PATTERN.fullmatch(text) is not None
    )


def _shorten(value: object) -> str:
    """Return the representation of a value, cut if it is long."""
    try:
        return reprlib.repr(value)
    except ValueError:
        return "a number with thousands of digits"


def _convert_number(field: str, field_type: type, value: typing.Any) -> object:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.DocumentError("a number")
    if field_type is int and not isinstance(value, int):
        raise exceptions.DocumentError("a whole number")
    if field in _POSITIVE_FIELDS and value <= 0:
        raise exceptions.DocumentError("a number above 0")
    if field in _NON_NEGATIVE_FIELDS and not 0 <= value < float("inf"):
        raise exceptions.DocumentError("a number of at least 0")
    maximum = _MAX_PORT if field in _PORT_FIELDS else _MAX_COUNT
    if not value <= maximum:
        raise exceptions.DocumentError(f"a number of at most {maximum}")
    converted: object = field_type(value)
    return converted
