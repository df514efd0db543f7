"""A loopback proxy that delays, resets, cuts one way or silences."""

import asyncio
import enum

CHUNK_BYTES = 65_536
DELAY_S = 0.15
"""Delay of a slow link, each way."""


class Condition(enum.Enum):
    """What happens to bytes on a link."""

    WELL = "well"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    """Only bytes from the listener's side back to the dialler pass."""


class Proxy:
    """Forwards the connections of one dialler to one listener."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._condition = Condition.WELL
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def set(self, condition: Condition) -> None:
        """Change what happens to bytes from now on.

        Bytes that a silent link swallowed are lost, so its connections end
        with the silence.
        """
        was, self._condition = self._condition, condition
        lossy = (Condition.SILENT, Condition.ONE_WAY)
        if condition is Condition.RESET or was in lossy:
            self._abort()

    def close(self) -> None:
        """Stop forwarding."""
        if self._server is not None:
            self._server.close()
        self._abort()

    def _abort(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._condition is Condition.RESET:
                return
            ahead_reader, ahead = await asyncio.open_connection(*self._target)
            self._writers.add(ahead)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._pump(reader, ahead, True))
                    group.create_task(self._pump(ahead_reader, writer, False))
            finally:
                self._writers.discard(ahead)
                ahead.transport.abort()
        except (OSError, ExceptionGroup):
            pass  # Either side has left; the other one is closed below.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            match self._condition:
                case Condition.SLOW:
                    await asyncio.sleep(DELAY_S)
                case Condition.SILENT:
                    continue
                case Condition.ONE_WAY if forward:
                    continue
                case _:
                    pass
            writer.write(data)
            await writer.drain()
        raise ConnectionError("one side has closed")
