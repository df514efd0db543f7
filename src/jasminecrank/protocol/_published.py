"""JSON codec of what the platform and backend servers publish."""

import json
import typing

import msgspec

from jasminecrank import exceptions
from jasminecrank import state

MAX_NUMBER = 2**53 - 1
"""Largest number of a version, which JSON holds without rounding."""
MAX_UNIX_TIME_MS = 4_102_444_800_000
"""The start of the year 2100, in milliseconds."""
MAX_LOAD = 1e6
UNREACHABLE_REPORT = state.HealthReport(False, 0, False, 0.0)


class _Published(msgspec.Struct, frozen=True):
    number: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
    digest: str
    rows: dict[str, str]


class _Changed(msgspec.Struct, frozen=True):
    changed: list[state.DocumentName]


class _Health(msgspec.Struct, frozen=True):
    started_at_ms: typing.Annotated[
        int, msgspec.Meta(ge=0, le=MAX_UNIX_TIME_MS)
    ]
    draining: bool = False
    load: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_LOAD)] = 0.0


_published_decoder = msgspec.json.Decoder(_Published)
_changed_decoder = msgspec.json.Decoder(_Changed)
_health_decoder = msgspec.json.Decoder(_Health)
# A decoder raises RecursionError for values that are nested too deep.
_DECODE_ERRORS = (ValueError, RecursionError)


def encode_published(document: state.Document) -> bytes:
    """Encode a document in the published JSON format."""
    values = {
        "name": document.name.value,
        "number": document.version.number,
        "digest": document.version.digest,
        "rows": dict(document.by_key),
    }
    return json.dumps(values, sort_keys=True, indent=1).encode() + b"\n"


def decode_published(
    name: state.DocumentName, payload: bytes
) -> state.Document:
    """Decode a published document; raise DocumentError if invalid."""
    try:
        published = _published_decoder.decode(payload)
    except _DECODE_ERRORS as error:
        raise exceptions.DocumentError(
            f"document {name.value!r} has an invalid format: {error}"
        ) from None
    version = state.Version(published.number, published.digest)
    return state.Document(name, version, published.rows)


def decode_changed_names(payload: bytes) -> tuple[state.DocumentName, ...]:
    """Decode the response to a watch; raise SourceError if invalid."""
    try:
        return tuple(_changed_decoder.decode(payload).changed)
    except _DECODE_ERRORS as error:
        raise exceptions.SourceError(
            f"malformed watch response: {error}"
        ) from None


def decode_health(body: bytes) -> state.HealthReport:
    """Decode a health report; one that is invalid counts as unreachable."""
    try:
        health = _health_decoder.decode(body)
    except _DECODE_ERRORS:
        return UNREACHABLE_REPORT
    return state.HealthReport(
        True, health.started_at_ms, health.draining, health.load
    )
