"""Reads header lines, the same way for requests and answers."""

from collections.abc import Callable
import re

from jasminecrank import protocol

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_LINE_BYTES_MAX = 16_384
_HEADERS_BYTES_MAX = 65_536


def read_headers(readline: Callable[[int], bytes]) -> protocol.Headers:
    """Return the headers up to the empty line, with lower-case names.

    Raises ValueError for lines that servers read in different ways: folded
    lines, blanks before the colon, and line ends without a carriage return.
    """
    pairs: list[tuple[str, str]] = []
    left = _HEADERS_BYTES_MAX
    while (line := readline(_LINE_BYTES_MAX)) != b"\r\n":
        name, colon, value = line.partition(b":")
        left -= len(line)
        if (
            left < 0
            or not colon
            or not line.endswith(b"\r\n")
            or not _TOKEN.fullmatch(name)
        ):
            raise ValueError(f"illegal header line {name[:40]!r}")
        pairs.append(
            (name.decode("ascii").lower(), value.strip().decode("latin-1"))
        )
    return tuple(pairs)
