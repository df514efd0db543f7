"""Header parser shared by requests and responses."""

from collections.abc import Callable
import re

from jasminecrank import protocol

_HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_LINE_BYTES_MAX = 16_384
_HEADERS_BYTES_MAX = 65_536


def read_headers(readline: Callable[[int], bytes]) -> protocol.Headers:
    """Return the headers up to the empty line, with lower-case names.

    Raises ValueError for lines that HTTP implementations parse differently:
    folded lines, whitespace before the colon and bare line feeds.
    """
    headers: list[tuple[str, str]] = []
    remaining_bytes = _HEADERS_BYTES_MAX
    while (line := readline(_LINE_BYTES_MAX)) != b"\r\n":
        name, colon, value = line.partition(b":")
        remaining_bytes -= len(line)
        if (
            remaining_bytes < 0
            or not colon
            or not line.endswith(b"\r\n")
            or not _HEADER_NAME.fullmatch(name)
        ):
            raise ValueError(f"malformed header line {name[:40]!r}")
        headers.append(
            (name.decode("ascii").lower(), value.strip().decode("latin-1"))
        )
    return tuple(headers)
