"""Loopback TCP proxy that delays, resets or discards traffic."""

import asyncio
from collections.abc import Callable
import enum

CHUNK_BYTES = 65_536
SLOW_LINK_DELAY_S = 0.15
"""Delay of each chunk on a slow link, per direction."""


class LinkCondition(enum.Enum):
    """How a link treats traffic."""

    NORMAL = "well"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    """Only traffic from the accepting to the connecting side passes."""


class Proxy:
    """Forwards connections of one host to one target."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.observe: Callable[[bytes], object] = len
        """Called with what each of the two sides sends."""
        self._target = target
        self._condition = LinkCondition.NORMAL
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def set_condition(self, condition: LinkCondition) -> None:
        """Change how traffic is treated from now on.

        Bytes that a link discarded are lost to its connections, so these are
        aborted when the condition ends.
        """
        previous, self._condition = self._condition, condition
        lossy = (LinkCondition.SILENT, LinkCondition.ONE_WAY)
        if condition is LinkCondition.RESET or previous in lossy:
            self._abort_connections()

    def close(self) -> None:
        """Stop accepting connections and abort the open ones."""
        if self._server is not None:
            self._server.close()
        self._abort_connections()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._condition is LinkCondition.RESET:
                return
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
            self._writers.add(upstream_writer)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._relay(reader, upstream_writer, True)
                    )
                    group.create_task(
                        self._relay(upstream_reader, writer, False)
                    )
            finally:
                self._writers.discard(upstream_writer)
                upstream_writer.transport.abort()
        except (OSError, ExceptionGroup):
            pass  # One side has disconnected; the other is closed below.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_client: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            self.observe(data)
            match self._condition:
                case LinkCondition.SLOW:
                    await asyncio.sleep(SLOW_LINK_DELAY_S)
                case LinkCondition.SILENT:
                    continue
                case LinkCondition.ONE_WAY if from_client:
                    continue
                case _:
                    pass
            writer.write(data)
            await writer.drain()
        raise ConnectionError("peer closed the connection")
