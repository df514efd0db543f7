"""Callers that send while they read, with requests of unusual form."""

import asyncio
import math
import random
import typing

from jasminecrank.standins.soak import _demanding
from jasminecrank.standins.soak import observed

MEAN_PAUSE_S = 0.15
"""Mean pause of a caller between two requests."""
MAX_UNANSWERED = 4
MAX_UPLOAD_S = 0.3
"""Longest time from the first to the last byte of a request."""
MAX_READING_S = 0.1
"""Short, so that a caller notices the end of a connection soon."""
MAX_BODY_BYTES = 400_000
MAX_ANSWER_BYTES = 500_000

_Sent = asyncio.Queue[tuple[_demanding.Load, observed.Attempt] | None]


def make_rng(seed: int, host: int) -> random.Random:
    """Return the generator of the draws of a host's caller."""
    return random.Random(f"overlapping {seed}/{host}")


def draw_load(rng: random.Random) -> _demanding.Load:
    """Return a request with or without a body, of any form."""
    form = rng.choice(tuple(_demanding.Form))
    answer_bytes = rng.choice((9, rng.randint(1000, MAX_ANSWER_BYTES)))
    body_bytes = rng.choice((5, rng.randint(1, MAX_BODY_BYTES)))
    upload_s = rng.choice((0.0, rng.uniform(0.0, MAX_UPLOAD_S)))
    reading_s = rng.uniform(0.0, MAX_READING_S)
    if form.has_body or rng.random() < 0.3:
        target = f"/upload/{answer_bytes}"
        return _demanding.Load(
            "POST", target, 1, body_bytes, upload_s, reading_s, form=form
        )
    target = rng.choice(("/open/1", f"/files/{answer_bytes}"))
    return _demanding.Load("GET", target, 1, 0, upload_s, reading_s, form=form)


class OverlappingCaller(_demanding.DemandingCaller):
    """Sends further requests while it reads the answers to earlier ones."""

    # A small buffer would make it a slow reader.
    _receive_buffers: typing.ClassVar[tuple[int | None, ...]] = (None,)

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        try:
            while True:
                if self._streams is None:
                    await self._connect()
                else:
                    await self._use(*self._streams)
        finally:
            self._close()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use a connection until it ends."""
        writer.transport.set_write_buffer_limits(0)
        sent: _Sent = asyncio.Queue()
        attempts: list[observed.Attempt] = []
        sender = asyncio.create_task(
            self._send_all(reader, writer, sent, attempts)
        )
        try:
            ended_s = math.inf
            while ended_s == math.inf and (item := await sent.get()):
                load, attempt = item
                ended_s = await self._receive(reader, load, attempt)
                attempt.ended_s = self._deployment.now_s()
            sender.cancel()
            self._end(attempts)
        except asyncio.CancelledError:
            sender.cancel()
            for attempt in attempts:
                attempt.abandoned = attempt.status == 0
            raise
        self._close()

    def _end(self, attempts: list[observed.Attempt]) -> None:
        """Record the end of a connection with requests in their order."""
        last = next(
            (item for item in reversed(attempts) if item.ended_s < math.inf),
            None,
        )
        if last is None:
            return
        read_s = max(
            (item.ended_s for item in attempts if item.status), default=0.0
        )
        for attempt in attempts:
            if not attempt.status:
                # Answers come in order.
                whole_s = attempt.sent_s + attempt.upload_s
                attempt.reading_s += max(0.0, read_s - whole_s)
        for attempt in attempts[attempts.index(last) + 1 :]:
            attempt.ended_s = last.ended_s
            attempt.abandoned = last.abandoned
            attempt.behind_close = last.status != 0
            attempt.end = f"behind {last.request_id}: {last.end}"

    async def _send_all(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sent: _Sent,
        attempts: list[observed.Attempt],
    ) -> None:
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(1.0 / MEAN_PAUSE_S))
                if reader.at_eof() or self._closing:
                    return
                if sum(not item.status for item in attempts) < MAX_UNANSWERED:
                    load = draw_load(self._rng)
                    attempt = self._begin(load)
                    attempts.append(attempt)
                    sent.put_nowait((load, attempt))
                    await self._send(writer, load, attempt)
        except OSError:
            pass  # The node closed the connection; its answers are read.
        finally:
            sent.put_nowait(None)
