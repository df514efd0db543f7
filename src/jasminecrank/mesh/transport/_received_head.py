"""Head of a request that is being received."""

import array

from jasminecrank.mesh import protocol


class ReceivedHead:
    """Method, target and headers, kept as bytes while the rest is awaited.

    An object for each name, value and header takes many times their bytes.
    """

    __slots__ = ("_headers", "_lengths", "_text", "method", "target")

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        """Headers since the latest call of `pack`."""
        self._text = bytearray()
        """Names and values of the earlier ones."""
        self._lengths = array.array("I")

    def add(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def pack(self) -> None:
        """Keep the headers so far as bytes, since the end is not here yet."""
        for name, value in self._headers:
            self._text += name
            self._text += value
            self._lengths.extend((len(name), len(value)))
        self._headers.clear()

    @property
    def packed_bytes(self) -> int:
        """Return the memory of the target and of what was packed."""
        lengths_bytes = len(self._lengths) * self._lengths.itemsize
        return len(self.target) + len(self._text) + lengths_bytes

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return all headers in order of arrival."""
        if not self._lengths:
            return tuple(self._headers)
        text = bytes(self._text)
        fields = []
        start = 0
        for length in self._lengths:
            fields.append(text[start : start + length])
            start += length
        packed = zip(fields[::2], fields[1::2], strict=True)
        return (*packed, *self._headers)

    def request(self) -> protocol.RawRequest:
        """Return the request without its body."""
        return protocol.RawRequest(self.method, self.target, self.headers, b"")
