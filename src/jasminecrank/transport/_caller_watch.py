"""Detects callers that disconnect while their call is queued."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
import os
import select
import threading
import typing

from jasminecrank.transport import _sockets


@dataclass(slots=True)
class CallerWatch:
    """Thread that waits for watched connections to be closed.

    A half-closed connection counts as disconnected, because it can't be
    distinguished from a closed one until data is written to it.
    """

    epoll: select.epoll
    wake_fd: int
    on_close_by_fd: dict[int, Callable[[], None]]

    @classmethod
    def start(cls) -> typing.Self:
        """Start the thread and return its watch."""
        watch = cls(select.epoll(), os.eventfd(0), {})
        watch.epoll.register(watch.wake_fd, select.EPOLLIN)
        threading.Thread(
            target=watch._run, name="caller-watch", daemon=True
        ).start()
        return watch

    def stop(self) -> None:
        """Wake the thread so that it exits."""
        os.eventfd_write(self.wake_fd, 1)

    @contextlib.contextmanager
    def watching(
        self,
        deadline_socket: _sockets.DeadlineSocket,
        on_close: Callable[[], None],
    ) -> Iterator[None]:
        """Call `on_close` once if the peer closes within the context."""
        fd = deadline_socket.fileno()
        self.on_close_by_fd[fd] = on_close
        self.epoll.register(fd, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            self.epoll.unregister(fd)
            self.on_close_by_fd.pop(fd, None)

    def _run(self) -> None:
        while True:
            for fd, _ in self.epoll.poll():
                if fd == self.wake_fd:
                    return
                on_close = self.on_close_by_fd.pop(fd, None)
                if on_close is not None:
                    on_close()


@dataclass(slots=True, frozen=True)
class Caller:
    """Connection over which a call was received."""

    deadline_socket: _sockets.DeadlineSocket
    watch: CallerWatch

    def watching(
        self, on_close: Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Call `on_close` once if the caller closes within the context."""
        return self.watch.watching(self.deadline_socket, on_close)
