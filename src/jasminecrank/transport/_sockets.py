"""Sockets whose reads and writes share one deadline."""

import ctypes
import errno
import fcntl
import io
import select
import socket
import struct
import termios
import time
import typing

_INT = struct.Struct("=i")
_BYTES_ACKED = struct.Struct("=Q")
_BYTES_ACKED_OFFSET = 120  # tcpi_bytes_acked in struct tcp_info of Linux
_TCP_INFO_BYTES = 192
_SO_ATTACH_FILTER = 26
_INSTRUCTION = struct.Struct("=HBBI")
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte with the TCP flags
    (0x45, 0, 1, 0x02),  # skip an instruction unless SYN is set
    (0x06, 0, 0, 0),  # drop the segment
    (0x06, 0, 0, 0xFFFFFFFF),  # keep the segment
)
"""Classic BPF program for a listening socket."""


def ignore_new_connections(listener: socket.socket) -> None:
    """Drop the first segments of new connections to a listening socket.

    Connections that are being opened still reach the accept queue. Callers
    whose segments are dropped send them again, and are refused once the
    socket is closed.
    """
    instructions = ctypes.create_string_buffer(
        b"".join(_INSTRUCTION.pack(*parts) for parts in _DROP_SYN)
    )
    program = struct.pack(
        "@HL", len(_DROP_SYN), ctypes.addressof(instructions)
    )
    listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


class DeadlineSocket(socket.socket):
    """Socket whose reads and writes share one deadline.

    A timeout of the socket module applies to each read separately, so a
    peer that sends one byte a second could hold the connection for ever.
    The underlying socket is non-blocking, because a socket with a timeout
    polls before each system call.
    """

    __slots__ = ("deadline_at_s",)

    deadline_at_s: float | None

    @classmethod
    def from_socket(cls, accepted: socket.socket) -> typing.Self:
        """Take ownership of an open socket."""
        wrapped = cls(fileno=accepted.detach())
        wrapped.deadline_at_s = None
        wrapped.setblocking(False)
        return wrapped

    @classmethod
    def open_connection(
        cls, address: str, port: int, deadline_at_s: float
    ) -> typing.Self:
        """Return a socket connected before the deadline."""
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        connection = cls(family, socket.SOCK_STREAM)
        connection.deadline_at_s = deadline_at_s
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(max(0.001, deadline_at_s - time.monotonic()))
            connection.connect((address, port))
            connection.setblocking(False)
        except BaseException:
            connection.close()
            raise
        return connection

    def recv_into(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        """Read into a buffer, waiting until the deadline at most."""
        while True:
            try:
                return super().recv_into(*args, **kwargs)
            except BlockingIOError:
                self._wait_until_ready(select.POLLIN)

    def send(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        """Write data, waiting until the deadline at most."""
        while True:
            try:
                return super().send(*args, **kwargs)
            except BlockingIOError:
                self._wait_until_ready(select.POLLOUT)

    def is_readable(self, timeout_s: float) -> bool:
        """Return whether data or end of file arrives within a timeout."""
        poll = select.poll()
        poll.register(self.fileno(), select.POLLIN)
        return bool(poll.poll(timeout_s * 1000))

    def is_idle(self) -> bool:
        """Return whether the peer has neither sent data nor closed."""
        poll = select.poll()
        poll.register(self.fileno(), select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    def unacknowledged_bytes(self) -> int:
        """Return the number of bytes the peer has not acknowledged."""
        # On a socket, TIOCOUTQ is SIOCOUTQ.
        found = fcntl.ioctl(self.fileno(), termios.TIOCOUTQ, _INT.pack(0))
        unacknowledged: int = _INT.unpack(found)[0]
        return unacknowledged

    def bytes_acked(self) -> int | None:
        """Return the number of bytes acknowledged by the peer, if known."""
        info = self.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
        if len(info) < _BYTES_ACKED_OFFSET + _BYTES_ACKED.size:
            return None
        acked: int = _BYTES_ACKED.unpack_from(info, _BYTES_ACKED_OFFSET)[0]
        return acked

    def _wait_until_ready(self, event: int) -> None:
        if self.deadline_at_s is None:
            raise BlockingIOError(errno.EAGAIN, "no data available")
        # Polls once after the deadline too: a thread that was paused since
        # its last read may have missed data that arrived in time.
        remaining_s = max(0.0, self.deadline_at_s - time.monotonic())
        poll = select.poll()
        poll.register(self.fileno(), event)
        if not poll.poll(remaining_s * 1000):
            raise TimeoutError("timed out")


class DeadlineReader(io.BufferedReader):
    """Buffered reader that reports whether data is available."""

    def __init__(self, deadline_socket: DeadlineSocket, size: int) -> None:
        super().__init__(socket.SocketIO(deadline_socket, "r"), size)
        self._deadline_socket = deadline_socket
        self.bytes_read = 0

    def has_data(self) -> bool:
        """Return whether more data can be read without blocking."""
        self._deadline_socket.deadline_at_s = None
        return bool(self.peek(1))
