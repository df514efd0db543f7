"""Published documents, their digests and the deltas between them."""

from collections.abc import Mapping
from dataclasses import dataclass
import hashlib

from jasminecrank.state import _versions


@dataclass(slots=True, frozen=True)
class Document:
    """A published document, with its rows as canonical JSON by row key."""

    name: _versions.DocumentName
    version: _versions.Version
    by_key: Mapping[str, str]


@dataclass(slots=True, frozen=True)
class Delta:
    """The row changes between two versions of a document."""

    name: _versions.DocumentName
    base: _versions.Version
    target: _versions.Version
    upserts: Mapping[str, str]
    removed: tuple[str, ...]


def serialize_rows(by_key: Mapping[str, str]) -> bytes:
    """Return the input of the digest of a document."""
    return "".join(
        [f"{key}\0{by_key[key]}\n" for key in sorted(by_key)]
    ).encode()


def digest_rows(by_key: Mapping[str, str]) -> str:
    """Return the SHA-256 digest of the sorted rows."""
    return hashlib.sha256(serialize_rows(by_key)).hexdigest()


def build_document(
    name: _versions.DocumentName, number: int, by_key: Mapping[str, str]
) -> Document:
    """Build a document with the digest of its rows in the version."""
    version = _versions.Version(number, digest_rows(by_key))
    return Document(name, version, dict(by_key))


def make_delta(base: Document, target: Document) -> Delta:
    """Return the changes from one document to a newer one."""
    upserts = {
        key: row
        for key, row in target.by_key.items()
        if base.by_key.get(key) != row
    }
    removed = tuple(sorted(base.by_key.keys() - target.by_key.keys()))
    return Delta(target.name, base.version, target.version, upserts, removed)


def apply_delta(base: Document, delta: Delta) -> Document | None:
    """Return the resulting document, or None if the base does not match.

    Does not verify the digest. ConfigState.offer verifies it for every
    document, however the document was received.
    """
    if base.version != delta.base:
        return None
    by_key = dict(base.by_key)
    for key in delta.removed:
        by_key.pop(key, None)
    by_key.update(delta.upserts)
    return Document(delta.name, delta.target, by_key)
