"""JSON codec of the documents published by the platform."""

import json

from jasminecrank import exceptions
from jasminecrank import state


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
        values = json.loads(payload)
        number, digest = values["number"], values["digest"]
        rows = values["rows"]
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.DocumentError(
            f"document {name.value!r} has an invalid format: {error!r}"
        ) from None
    if isinstance(number, bool) or not isinstance(number, int) or number < 1:
        raise exceptions.DocumentError(
            f"document {name.value!r}, field 'number': {number!r} is not a "
            "whole number above 0"
        )
    if not isinstance(rows, dict):
        raise exceptions.DocumentError(
            f"document {name.value!r}, field 'rows' is not an object"
        )
    by_key = {str(key): str(text) for key, text in rows.items()}
    version = state.Version(number, str(digest))
    return state.Document(name, version, by_key)
