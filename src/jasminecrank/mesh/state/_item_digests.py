"""Digests by which two directories with the same entries are equal."""

import hashlib

from jasminecrank.mesh.state import _entries


def with_era(item: _entries.SourceItem | None) -> int:
    """Return an entry's contribution to the directory's digest.

    Removed entries contribute nothing, since a node that starts later never
    sees them.
    """
    if item is None or item.value is None:
        return 0
    position = item.position
    written_at = "" if not position.is_retained else position.written_at
    return _name_digest(
        f"{item.key}@{position.era}.{position.revision}{written_at}"
    )


def without_era(item: _entries.SourceItem | None) -> int:
    """Return the contribution to the digest of nodes that know no eras."""
    if item is None or item.value is None:
        return 0
    return _name_digest(f"{item.key}@{item.position.revision}")


def _name_digest(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=6).digest()
    return int.from_bytes(digest)
