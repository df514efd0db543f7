"""Timers that send messages to actors."""

import heapq
import itertools
import threading
import typing

import pykka

from jasminecrank import state
from jasminecrank.coordination import _messages

_TimerEntry = tuple[float, int, _messages.Mailbox, object]


class Timers:
    """Send messages at their due times, from a thread of its own."""

    __slots__ = ("_clock", "_condition", "_heap", "_sequence", "_stopped")

    def __init__(self, clock: state.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._heap: list[_TimerEntry] = []
        self._sequence = itertools.count()
        self._stopped = False

    @classmethod
    def start(cls, clock: state.Clock) -> typing.Self:
        """Return an instance whose thread is running."""
        timers = cls(clock)
        threading.Thread(
            target=timers._run, name="timers", daemon=True
        ).start()
        return timers

    def call_later(
        self, delay_s: float, mailbox: _messages.Mailbox, message: object
    ) -> None:
        """Send a message once, after a delay."""
        due_s = self._clock.monotonic_s() + delay_s
        entry = (due_s, next(self._sequence), mailbox, message)
        with self._condition:
            heapq.heappush(self._heap, entry)
            self._condition.notify()

    def stop(self) -> None:
        """Stop the thread and drop the messages that are not yet due."""
        with self._condition:
            self._stopped = True
            self._condition.notify()

    def _run(self) -> None:
        while (entry := self._wait_for_due_entry()) is not None:
            _, _, mailbox, message = entry
            tell_if_alive(mailbox, message)

    def _wait_for_due_entry(self) -> _TimerEntry | None:
        with self._condition:
            while not self._stopped:
                if not self._heap:
                    self._condition.wait()
                    continue
                wait_s = self._heap[0][0] - self._clock.monotonic_s()
                if wait_s <= 0:
                    return heapq.heappop(self._heap)
                self._condition.wait(wait_s)
            return None


def tell_if_alive(mailbox: _messages.Mailbox, message: object) -> None:
    """Send a message to an actor; drop it if the actor has stopped."""
    try:
        mailbox.tell(message)
    except pykka.ActorDeadError:
        return
