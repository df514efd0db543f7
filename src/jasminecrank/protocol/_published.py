"""JSON form of the documents that the platform publishes."""

import json

from jasminecrank import exceptions
from jasminecrank import state


def encode_published(document: state.Document) -> bytes:
    """Return a document in the published form."""
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
    """Return a published document, or raise DocumentError."""
    try:
        values = json.loads(payload)
        number, digest = values["number"], values["digest"]
        rows = values["rows"]
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.DocumentError(
            f"document {name.value!r} is not in the published form: {error!r}"
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
