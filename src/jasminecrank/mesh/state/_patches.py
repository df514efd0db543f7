"""Record-based patches between two values of an entry."""

from dataclasses import dataclass
import hashlib

RECORD_DELIMITER = b"}"
"""Byte after which a value is split into records.

Entries are JSON, in which objects usually change as a whole.
"""
MIN_COPY_BYTES = 16
"""Shorter records are sent literally; a reference is about as large."""


@dataclass(slots=True, frozen=True)
class Patch:
    """Instructions to build a value from an earlier one.

    A piece is either literal bytes or the start and end offsets of a range in
    the earlier value.
    """

    pieces: tuple[bytes | tuple[int, int], ...]
    digest: bytes

    @property
    def literals(self) -> bytes:
        """Return the bytes not copied from the earlier value."""
        return b"".join(
            piece for piece in self.pieces if isinstance(piece, bytes)
        )

    @property
    def literal_bytes(self) -> int:
        """Return the number of bytes not copied from the earlier value."""
        return sum(
            len(piece) for piece in self.pieces if isinstance(piece, bytes)
        )


def digest(value: bytes) -> bytes:
    """Return the digest used to verify a patched value."""
    return hashlib.blake2b(value, digest_size=8).digest()


def make_patch(base: bytes, target: bytes) -> Patch:
    """Return a patch that turns the base value into the target value."""
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
    """Return the patched value, or None if its digest does not match."""
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
    """Return the offset of a record in the earlier value, or None."""
    if copy is not None and base.startswith(record, copy[1]):
        return copy[1]
    if len(record) < MIN_COPY_BYTES:
        return None
    start = start_by_record.get(body)
    if start is None or not base.startswith(record, start):
        return None
    return start
