"""Notices callers that close their connection while their call waits."""

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
    """A thread that sleeps until a watched connection is closed.

    A caller that closes only its sending side counts as gone, because the
    two can't be told apart before something is written.
    """

    epoll: select.epoll
    wake_fd: int
    on_close_by_fd: dict[int, Callable[[], None]]

    @classmethod
    def start(cls) -> typing.Self:
        """Return a watch with a running thread."""
        watch = cls(select.epoll(), os.eventfd(0), {})
        watch.epoll.register(watch.wake_fd, select.EPOLLIN)
        threading.Thread(
            target=watch._run, name="caller-watch", daemon=True
        ).start()
        return watch

    def stop(self) -> None:
        """End the thread."""
        os.eventfd_write(self.wake_fd, 1)

    @contextlib.contextmanager
    def watching(
        self,
        deadline_socket: _sockets.DeadlineSocket,
        on_close: Callable[[], None],
    ) -> Iterator[None]:
        """Call `on_close` once if the peer closes its side meanwhile."""
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
    """The connection that a call came over."""

    deadline_socket: _sockets.DeadlineSocket
    watch: CallerWatch

    def watching(
        self, on_close: Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Call `on_close` once if the caller closes its side meanwhile."""
        return self.watch.watching(self.deadline_socket, on_close)
