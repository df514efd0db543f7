"""Connection pool for the backend server on the local host."""

import asyncio
import weakref

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _http_client
from jasminecrank.mesh.transport import _paced_reading

CONNECT_TIMEOUT_S = 0.5
"""Timeout for connecting on the local host, which usually takes 1 ms."""
HEALTH_TIMEOUT_S = 1.0
"""Timeout for a health check, which waits for a slot of the server."""
IDLE_MARGIN_S = 1.5
"""Time before the server's idle timeout when a connection is closed."""
DEFAULT_MAX_IDLE_S = 4.0
"""Maximum idle time of a connection if the server states no timeout."""
MAX_SENDING = 4
"""Connections on which the server may read a body after its answer."""
MAX_REJECTED_IDS = 256
"""Rejections after which a connection is closed, to bound its memory."""


class ServerConnectionPool:
    """Pool of connections that each carry one call at a time."""

    def __init__(
        self,
        address: tuple[str, int],
        codec: protocol.ServerCodec,
        clock: coordination.Clock,
        log: coordination.Log,
        turns: _paced_reading.ReadTurns,
    ) -> None:
        self._address = address
        self._codec = codec
        self._clock = clock
        self._log = log
        self._turns = turns
        self._idle: list[_http_client.ClientConnection] = []
        self._sending: list[_http_client.ClientConnection] = []
        """Connections whose server has answered before it took the body."""
        self._in_memory: weakref.WeakSet[_http_client.ClientConnection] = (
            weakref.WeakSet()
        )
        """Connections that have not been freed, open or not."""

    async def exchange(
        self, call: coordination.CallSent, remaining_s: float
    ) -> state.AttemptResult:
        """Send a call and return its outcome, as far as it is known."""
        started_s = self._clock.now_s()
        try:
            connection = await self._acquire(call.request_id)
        except (OSError, TimeoutError) as error:
            return state.NotRun(f"connect: {type(error).__name__}")
        sent_s = self._clock.now_s()
        request = self._codec.write_request(
            call, remaining_s - (sent_s - started_s)
        )
        try:
            raw = await connection.exchange(
                request,
                lambda response: self._codec.find_owner(call, response),
            )
        except _http_client.Broken as broken:
            self._log.decision(
                "server-answer-failed",
                request_id=call.request_id,
                server=call.server_id,
                reason=str(broken),
                status=connection.response_status,
                received_bytes=connection.received_bytes,
                waited_ms=round(1000 * (self._clock.now_s() - sent_s)),
            )
            return state.MayHaveRun(str(broken))
        if self._codec.is_rejection(raw):
            connection.rejected_ids.add(call.request_id)
        self._release(connection)
        return self._codec.read_response(raw, self._clock.now_s() - sent_s)

    async def check_health(self, path: str) -> coordination.Health | None:
        """Return the result of a health check, or None if it fails."""
        self._log.count("health_checks")
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                connection = await self._acquire()
                raw = await connection.exchange(
                    self._codec.write_health_check(path)
                )
        except (OSError, TimeoutError, _http_client.Broken) as error:
            self._log.decision("health-check-failed", error=repr(error))
            return None
        self._release(connection)
        return self._codec.read_health_response(raw)

    @property
    def owes(self) -> bool:
        """Return whether a part of a body is still being sent."""
        self._close_sent()
        return bool(self._sending)

    @property
    def receiving_bytes(self) -> int:
        """Return the bytes of answers that are being received."""
        return sum(
            connection.received_bytes
            for connection in self._in_memory
            if connection.is_exchanging
        )

    @property
    def ended_in_memory(self) -> int:
        """Return the connections that have ended and are not freed yet."""
        return sum(connection.is_lost for connection in self._in_memory)

    def close(self) -> None:
        """Abort the connections that carry no call."""
        for connection in (*self._idle, *self._sending):
            connection.abort()
        self._idle.clear()
        self._sending.clear()

    async def _acquire(
        self, request_id: str = ""
    ) -> _http_client.ClientConnection:
        """Return a connection on which this id has not been rejected.

        Otherwise a repetition of that rejection would carry a matching id.
        """
        now_s = self._clock.now_s()
        self._close_sent()
        while self._idle:
            connection = self._idle.pop()
            timeout_s = connection.idle_timeout_s
            if timeout_s is None:
                timeout_s = DEFAULT_MAX_IDLE_S + IDLE_MARGIN_S
            idle_s = now_s - connection.idle_since_s
            if (
                idle_s < timeout_s - IDLE_MARGIN_S
                and request_id not in connection.rejected_ids
                and connection.is_open
            ):
                return connection
            connection.abort()
        self._log.count("server_connections")
        connection = await _http_client.connect(
            *self._address, CONNECT_TIMEOUT_S, turns=self._turns
        )
        self._in_memory.add(connection)
        if not connection.is_open:
            # Nothing was sent, which the end of an exchange would not show.
            connection.abort()
            raise ConnectionResetError
        return connection

    def _release(self, connection: _http_client.ClientConnection) -> None:
        if connection.is_sending:
            self._close_sent()
            self._sending.append(connection)
            if len(self._sending) > MAX_SENDING:
                self._sending.pop(0).reset()
            return
        if (
            not connection.usable
            or len(connection.rejected_ids) >= MAX_REJECTED_IDS
        ):
            connection.abort()
            return
        connection.idle_since_s = self._clock.now_s()
        self._idle.append(connection)

    def _close_sent(self) -> None:
        """Close the connections whose server has taken the whole body.

        A further call could wait behind what the server has not read.
        """
        sending, self._sending = self._sending, []
        for connection in sending:
            if connection.is_sending:
                self._sending.append(connection)
            else:
                connection.close()
