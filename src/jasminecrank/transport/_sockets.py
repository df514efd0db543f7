"""Sockets whose reads and writes end at one deadline."""

import io
import select
import socket
import struct
import time
import typing

_BYTES_ACKED = struct.Struct("=Q")
_BYTES_ACKED_OFFSET = 120  # tcpi_bytes_acked in struct tcp_info of Linux
_TCP_INFO_BYTES = 192

PEEK = socket.MSG_PEEK
"""Flag of recv that leaves the data to be read."""


class DeadlineSocket(socket.socket):
    """A socket whose reads and writes share one deadline.

    A timeout of the socket module limits each read alone, so that a peer
    sending one byte a second could go on for ever.
    """

    __slots__ = ("deadline_at_s",)

    deadline_at_s: float | None

    @classmethod
    def from_socket(cls, accepted: socket.socket) -> typing.Self:
        """Take over an open socket."""
        taken = cls(fileno=accepted.detach())
        taken.deadline_at_s = None
        return taken

    @classmethod
    def connected(
        cls, address: str, port: int, deadline_at_s: float
    ) -> typing.Self:
        """Return a socket connected before a deadline."""
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        opened = cls(family, socket.SOCK_STREAM)
        opened.deadline_at_s = deadline_at_s
        try:
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            opened._apply_deadline()
            opened.connect((address, port))
        except BaseException:
            opened.close()
            raise
        return opened

    def recv_into(self, *arguments: typing.Any, **keywords: typing.Any) -> int:
        """Read into a buffer before the deadline."""
        self._apply_deadline()
        return super().recv_into(*arguments, **keywords)

    def recv(self, *arguments: typing.Any, **keywords: typing.Any) -> bytes:
        """Read before the deadline."""
        self._apply_deadline()
        return super().recv(*arguments, **keywords)

    def send(self, *arguments: typing.Any, **keywords: typing.Any) -> int:
        """Write before the deadline."""
        self._apply_deadline()
        return super().send(*arguments, **keywords)

    def is_quiet(self) -> bool:
        """Return whether the peer has neither sent nor closed."""
        poll = select.poll()
        poll.register(self.fileno(), select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    def bytes_acked(self) -> int | None:
        """Return how many bytes the peer has acknowledged, if known."""
        info = self.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
        if len(info) < _BYTES_ACKED_OFFSET + _BYTES_ACKED.size:
            return None
        acked: int = _BYTES_ACKED.unpack_from(info, _BYTES_ACKED_OFFSET)[0]
        return acked

    def _apply_deadline(self) -> None:
        if self.deadline_at_s is None:
            self.settimeout(0.0)
            return
        remaining_s = self.deadline_at_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        self.settimeout(remaining_s)


class DeadlineReader(io.BufferedReader):
    """Buffered reader that can tell whether data is at hand."""

    def __init__(self, source: DeadlineSocket, size: int) -> None:
        super().__init__(socket.SocketIO(source, "r"), size)
        self._source = source
        self.bytes_read = 0

    def has_data(self) -> bool:
        """Return whether more data can be read without waiting."""
        self._source.deadline_at_s = None
        return bool(self.peek(1))
