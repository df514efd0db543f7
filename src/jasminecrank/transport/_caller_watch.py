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
    wake_number: int
    gone_by_number: dict[int, Callable[[], None]]

    @classmethod
    def start(cls) -> typing.Self:
        """Return a watch with a running thread."""
        watch = cls(select.epoll(), os.eventfd(0), {})
        watch.epoll.register(watch.wake_number, select.EPOLLIN)
        threading.Thread(
            target=watch._run, name="caller-watch", daemon=True
        ).start()
        return watch

    def stop(self) -> None:
        """End the thread."""
        os.eventfd_write(self.wake_number, 1)

    @contextlib.contextmanager
    def watching(
        self, channel: _sockets.DeadlineSocket, gone: Callable[[], None]
    ) -> Iterator[None]:
        """Call `gone` once if the peer closes its side meanwhile."""
        number = channel.fileno()
        self.gone_by_number[number] = gone
        self.epoll.register(number, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            self.epoll.unregister(number)
            self.gone_by_number.pop(number, None)

    def _run(self) -> None:
        while True:
            for number, _ in self.epoll.poll():
                if number == self.wake_number:
                    return
                gone = self.gone_by_number.pop(number, None)
                if gone is not None:
                    gone()


@dataclass(slots=True, frozen=True)
class Caller:
    """The connection that a call came over."""

    channel: _sockets.DeadlineSocket
    watch: CallerWatch

    def watching(
        self, gone: Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Call `gone` once if the caller closes its side meanwhile."""
        return self.watch.watching(self.channel, gone)
