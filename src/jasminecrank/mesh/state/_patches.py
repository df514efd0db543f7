"""Differences between two values of an entry, found by their records."""

from dataclasses import dataclass
import hashlib

RECORD_DELIMITER = b"}"
"""Byte after which a value is cut into records.

Entries are JSON, where an object is what changes as a whole.
"""
MIN_COPY_BYTES = 16
"""Shorter runs are sent as they are; a reference takes about as much."""


@dataclass(slots=True, frozen=True)
class Patch:
    """How to make a value from an older one.

    A piece is either bytes, or start and end of a run in the older value.
    """

    pieces: tuple[bytes | tuple[int, int], ...]
    digest: bytes

    @property
    def literal_bytes(self) -> int:
        """Return how many bytes don't stand in the older value."""
        return sum(
            len(piece) for piece in self.pieces if isinstance(piece, bytes)
        )


def digest(value: bytes) -> bytes:
    """Return the digest by which a patched value is checked."""
    return hashlib.blake2b(value, digest_size=8).digest()


def make_patch(base: bytes, target: bytes) -> Patch:
    """Return a patch that makes a value from an older one."""
    start_by_record: dict[bytes, int] = {}
    offset = 0
    for record in base.split(RECORD_DELIMITER):
        start_by_record.setdefault(record, offset)
        offset += len(record) + 1
    pieces: list[bytes | tuple[int, int]] = []
    copy: tuple[int, int] | None = None
    literal = bytearray()
    records = target.split(RECORD_DELIMITER)
    last = len(records) - 1
    for index, body in enumerate(records):
        record = body if index == last else body + RECORD_DELIMITER
        start = _find_record(base, record, body, copy, start_by_record)
        if start is None:
            if copy is not None:
                pieces.append(copy)
                copy = None
            literal += record
            continue
        end = start + len(record)
        if copy is not None and copy[1] == start:
            copy = (copy[0], end)
            continue
        if copy is not None:
            pieces.append(copy)
        if literal:
            pieces.append(bytes(literal))
            literal.clear()
        copy = (start, end)
    if copy is not None:
        pieces.append(copy)
    if literal:
        pieces.append(bytes(literal))
    return Patch(tuple(pieces), digest(target))


def apply_patch(base: bytes, patch: Patch) -> bytes | None:
    """Return the patched value; None if the base is not the right one."""
    value = b"".join(
        piece if isinstance(piece, bytes) else base[piece[0] : piece[1]]
        for piece in patch.pieces
    )
    return value if digest(value) == patch.digest else None


def _find_record(
    base: bytes,
    record: bytes,
    body: bytes,
    copy: tuple[int, int] | None,
    start_by_record: dict[bytes, int],
) -> int | None:
    """Return where a record stands in the older value."""
    if copy is not None and base.startswith(record, copy[1]):
        return copy[1]
    if len(record) < MIN_COPY_BYTES:
        return None
    start = start_by_record.get(body)
    if start is None or not base.startswith(record, start):
        return None
    return start
