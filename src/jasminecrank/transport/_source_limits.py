"""Limits on the responses of the configuration service."""

import http.client
import io
import socket
import time
import typing

import prometheus_client

from jasminecrank import const

MAX_RESPONSE_BYTES = 4 * const.MAX_DOCUMENT_BYTES
"""Largest response, its head and framing included."""
MIN_BYTES_PER_S = 16_384
"""Slowest rate at which a response is received to its end."""

_responses_cut = prometheus_client.Counter(
    "jasminecrank_source_responses_cut",
    "Responses of the configuration service that exceeded a limit.",
    ("limit",),
)
_cut_by_size = _responses_cut.labels("size")
_cut_by_time = _responses_cut.labels("time")


class _LimitedStream(io.RawIOBase):
    """Stream of a socket that fails beyond a size or a time limit.

    The timeout of the socket applies to each read separately, and neither
    http.client nor urllib3 limits trailers and interim responses.
    """

    def __init__(self, raw: io.RawIOBase, timeout_s: float | None) -> None:
        super().__init__()
        self._raw = raw
        self._received_bytes = 0
        self._started_s = time.monotonic()
        self._timeout_s = timeout_s

    def readable(self) -> bool:
        """Return whether the stream can be read."""
        return True

    def readinto(self, buffer: typing.Any, /) -> int | None:
        """Read from the socket; raise OSError beyond a limit."""
        count: int | None = self._raw.readinto(buffer)
        self._received_bytes += count or 0
        if self._received_bytes > MAX_RESPONSE_BYTES:
            _cut_by_size.inc()
            raise OSError(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
        if self._timeout_s is not None:
            transfer_s = self._received_bytes / MIN_BYTES_PER_S
            elapsed_s = time.monotonic() - self._started_s
            if elapsed_s > self._timeout_s + transfer_s:
                _cut_by_time.inc()
                raise TimeoutError("response takes too long")
        return count

    def close(self) -> None:
        """Close the socket's stream."""
        self._raw.close()
        super().close()


class LimitedResponse(http.client.HTTPResponse):
    """HTTP response that is limited in size and time."""

    def __init__(
        self, sock: socket.socket, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        limited = _LimitedStream(self.fp.detach(), sock.gettimeout())
        self.fp = io.BufferedReader(limited)
