"""Delivery of last answers before their connections are closed."""

from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import os
import queue
import select
import socket
import threading
import time
import typing

from jasminecrank.transport import _sockets

_CHECK_INTERVAL_S = 0.05
"""Interval of the checks for acknowledgements, which wake no poll."""
_DISCARD_BYTES = 65_536


@dataclass(slots=True, frozen=True)
class _Lingering:
    deadline_socket: _sockets.DeadlineSocket
    deadline_at_s: float
    on_delivered: Callable[[], None]


@dataclass(slots=True)
class LingeringConnections:
    """Thread that reads connections until their callers have all answers.

    Closing a socket with unread bytes, or receiving bytes after the close,
    resets the connection and discards what has not been delivered.
    """

    epoll: select.epoll
    wake_fd: int
    added: queue.SimpleQueue[_Lingering]
    by_fd: dict[int, _Lingering]
    thread: threading.Thread | None = None
    stopping: bool = False

    @classmethod
    def start(cls) -> typing.Self:
        """Start the thread."""
        lingering = cls(
            select.epoll(),
            os.eventfd(0, os.EFD_NONBLOCK),
            queue.SimpleQueue(),
            {},
        )
        lingering.epoll.register(lingering.wake_fd, select.EPOLLIN)
        lingering.thread = threading.Thread(
            target=lingering._run, name="lingering", daemon=True
        )
        lingering.thread.start()
        return lingering

    def add(
        self,
        deadline_socket: _sockets.DeadlineSocket,
        deadline_at_s: float,
        on_delivered: Callable[[], None],
    ) -> None:
        """End the sending side; call back once all bytes are delivered.

        A caller that does not receive them by the deadline loses the rest.
        """
        with contextlib.suppress(OSError):
            deadline_socket.shutdown(socket.SHUT_WR)
        self.added.put(
            _Lingering(deadline_socket, deadline_at_s, on_delivered)
        )
        os.eventfd_write(self.wake_fd, 1)

    def stop(self) -> None:
        """Wait until the remaining connections have been closed."""
        self.stopping = True
        os.eventfd_write(self.wake_fd, 1)
        if self.thread is not None:
            self.thread.join()

    def _run(self) -> None:
        while True:
            timeout_s = _CHECK_INTERVAL_S if self.by_fd else None
            read_fds = {fd for fd, _ in self.epoll.poll(timeout_s)}
            if self.wake_fd in read_fds:
                os.eventfd_read(self.wake_fd)
            self._take_added()
            now_s = time.monotonic()
            for fd, lingering in tuple(self.by_fd.items()):
                open_side = fd not in read_fds or _discard(lingering)
                if not open_side or _is_due(lingering, now_s):
                    self.epoll.unregister(fd)
                    del self.by_fd[fd]
                    lingering.on_delivered()
            if self.stopping and not self.by_fd and self.added.empty():
                return

    def _take_added(self) -> None:
        while not self.added.empty():
            lingering = self.added.get()
            fd = lingering.deadline_socket.fileno()
            self.by_fd[fd] = lingering
            self.epoll.register(fd, select.EPOLLIN)


def _is_due(lingering: _Lingering, now_s: float) -> bool:
    deadline_socket = lingering.deadline_socket
    if now_s >= lingering.deadline_at_s:
        return True
    return not deadline_socket.unacknowledged_bytes() and (
        deadline_socket.is_idle()
    )


def _discard(lingering: _Lingering) -> bool:
    """Discard received bytes; return whether more may come."""
    lingering.deadline_socket.deadline_at_s = None
    try:
        received = lingering.deadline_socket.recv(_DISCARD_BYTES)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return bool(received)
