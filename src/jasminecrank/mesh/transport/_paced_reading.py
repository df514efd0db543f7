"""Parses received bytes in slices, between the turns of the event loop."""

import asyncio
from collections import deque
import typing
import weakref

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state


class SliceParser(typing.Protocol):
    """Connection whose bytes are parsed in slices."""

    @property
    def takes_bytes(self) -> bool:
        """Return whether more may be parsed now."""

    def parse(self, data: memoryview, ends_read: bool) -> int:
        """Parse bytes and return the number of the parser's events.

        `ends_read`: they are the last of what was read with them.
        """

    def on_held_parsed(self) -> None:
        """Go on reading, since no bytes wait any more."""


class CostlyRefuser(typing.Protocol):
    """Connection whose requests can be refused for their cost."""

    def refuse_costly(self) -> None:
        """Refuse the request that is being read, and read nothing more."""


class PacedReader:
    """Bytes of one connection that wait to be parsed.

    Without a refuser, they are held in any case, as those of servers: there
    are few such connections, and what is read on them has run.
    """

    def __init__(
        self,
        parser: SliceParser,
        turns: "ReadTurns",
        refuser: CostlyRefuser | None = None,
    ) -> None:
        self._parser: SliceParser = weakref.proxy(parser)
        """A strong reference would keep both until garbage is collected."""
        self._turns = turns
        self._refuser: CostlyRefuser | None = None
        if refuser is not None:
            self._refuser = weakref.proxy(refuser)
        self.pace = state.ReadPace()
        self._held: deque[memoryview] = deque()
        self.held_bytes = 0
        self._has_turn = False
        """Whether the scheduler has this reader."""

    def receive(self, data: bytes) -> None:
        """Parse received bytes, or hold a part of them for later turns."""
        view = memoryview(data)
        if not self._held:
            view = self._parse_at_once(view)
        if view:
            self._hold(view)

    def _parse_at_once(self, view: memoryview) -> memoryview:
        """Parse bytes as far as that is cheap; return the rest."""
        events_left = state.READ_EVENTS
        if self.pace.events and not self._turns.scheduler.has_turn_left:
            events_left = 0
        while view and events_left > 0 and self._parser.takes_bytes:
            size = self.pace.slice_bytes
            part, view = view[:size], view[size:]
            events_left -= self._parse(part, not view)
        return view

    def _parse(self, view: memoryview, ends_read: bool) -> int:
        events = self._parser.parse(view, ends_read)
        self.pace.record(len(view), events)
        self._turns.record(events)
        return events

    def _hold(self, view: memoryview) -> None:
        """Hold bytes, unless all connections hold too many already.

        A view keeps the memory of its whole read.
        """
        if self._refuser is None:
            self._turns.budget.unparsed_answer_bytes += _read_bytes(view)
        elif not self._turns.keep(_read_bytes(view)):
            self.drop()
            self._refuser.refuse_costly()
            return
        self._held.append(view)
        self.held_bytes += len(view)
        self.resume()

    def resume(self) -> None:
        """Wait for a turn, if bytes are held and the connection takes them.

        Requests that have been parsed take more memory than their bytes, and
        are not counted.
        """
        if self._held and not self._has_turn and self._parser.takes_bytes:
            self._has_turn = True
            self._turns.add(self)

    def parse_next(self) -> None:
        """Parse the next slice of what is held."""
        self._has_turn = False
        view = self._held[0]
        size = self.pace.slice_bytes
        part, rest = view[:size], view[size:]
        if rest:
            self._held[0] = rest
        else:
            self._held.popleft()
            self._release(_read_bytes(view))
        self.held_bytes -= len(part)
        self._parse(part, not rest)
        if self._refuser is not None and self._turns.scheduler.refuses(
            self.pace
        ):
            self.drop()
            self._refuser.refuse_costly()
        elif self._held:
            self.resume()
        else:
            self._parser.on_held_parsed()

    def parse_rest(self) -> None:
        """Parse all that is held, since the connection has ended."""
        while self._held:
            self.parse_next()
        self.drop()

    def drop(self) -> None:
        """Drop what is held, which nobody will read."""
        self._turns.scheduler.discard(self)
        self._has_turn = False
        self._release(sum(map(_read_bytes, self._held)))
        self._held.clear()
        self.held_bytes = 0

    def _release(self, size_bytes: int) -> None:
        if self._refuser is None:
            self._turns.budget.unparsed_answer_bytes -= size_bytes
        else:
            self._turns.release(size_bytes)


def _read_bytes(view: memoryview) -> int:
    """Return the size of the read of which a view shows a part."""
    return len(view.obj)  # type: ignore[arg-type]


class ReadTurns:
    """Turns of all connections of a node at parsing what they hold."""

    def __init__(
        self, budget: state.MemoryBudget, log: coordination.Log
    ) -> None:
        self.scheduler: state.ReadScheduler[PacedReader] = (
            state.ReadScheduler()
        )
        self.budget = budget
        self._log = log
        self._is_scheduled = False

    def record(self, events: int) -> None:
        """Count events in this turn of the event loop."""
        self.scheduler.turn_events += events
        self._schedule()

    def keep(self, size_bytes: int) -> bool:
        """Return whether there is memory for bytes that are not parsed."""
        return self.budget.keep_early(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Release the memory of bytes that have been parsed or dropped."""
        self.budget.drop_early(size_bytes)

    def record_memory_wait(self) -> None:
        """Count an answer that is not read further before it has memory."""
        self._log.count("answer_memory_waits")

    def add(self, reader: PacedReader) -> None:
        """Let a connection wait for its next turn."""
        self._log.count("reads_paced")
        self.scheduler.add(reader, reader.pace)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Parse as much as one turn of the event loop allows."""
        self._is_scheduled = False
        scheduler = self.scheduler
        scheduler.turn_events = 0
        while scheduler.has_turn_left:
            reader = scheduler.take_next()
            if reader is None:
                return
            reader.parse_next()
