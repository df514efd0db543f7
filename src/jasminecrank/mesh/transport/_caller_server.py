"""HTTP/1.1 server for callers."""

import asyncio
from collections.abc import Callable
import contextlib
import socket

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _caller_connection
from jasminecrank.mesh.transport import _idle_connections
from jasminecrank.mesh.transport import _paced_reading
from jasminecrank.mesh.transport import _sockets

LISTEN_BACKLOG = 1_024
"""Connections waiting to be accepted, for bursts of new callers."""


class CallerServer:
    """Accepts connections from callers and takes them through a stop."""

    def __init__(
        self,
        codec: protocol.CallerCodec,
        tell: Callable[[coordination.EntryMessage], None],
        clock: coordination.Clock,
        log: coordination.Log,
        budget: state.MemoryBudget,
        idle: _idle_connections.IdleConnections,
        turns: _paced_reading.ReadTurns,
    ) -> None:
        self._context = _caller_connection.ConnectionContext(
            codec,
            tell,
            clock,
            log,
            budget,
            idle,
            state.AheadBudget.from_unsent_limit(budget.unsent_limit_bytes),
            turns,
        )
        self._servers: list[asyncio.Server] = []
        self._sockets: list[socket.socket] = []

    async def serve(self, sock: socket.socket) -> asyncio.Server:
        """Accept connections on a listening socket."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._create_connection,
            sock=sock,
            backlog=LISTEN_BACKLOG,
        )
        sock.setblocking(False)
        self._servers.append(server)
        self._sockets.append(sock)
        return server

    def _create_connection(self) -> _caller_connection.CallerConnection:
        return _caller_connection.CallerConnection(self._context)

    def set_table(self, table: state.Table) -> None:
        """Use the limits of a table, and the kinds of its routes."""
        self._context.table = table
        self.set_limits(table.limits)

    def set_limits(self, limits: state.CallerLimits) -> None:
        """Set the limits of requests and connections."""
        self._context.limits = limits

    def start_closing(self) -> None:
        """Close each connection after its last answer."""
        self._context.phase = state.StopPhase.CLOSING

    def close_idle(self) -> None:
        """Close idle connections, from now on also those that open."""
        self._context.phase = state.StopPhase.CALLERS_LEFT
        for connection in list(self._context.connections):
            connection.close_if_idle()

    def refuse_unstarted(self) -> None:
        """Refuse the requests that have not started, from now on as well."""
        self._context.phase = state.StopPhase.WINDOW_CLOSED
        for connection in list(self._context.connections):
            connection.refuse_unstarted()

    @property
    def owes(self) -> bool:
        """Return whether an answer is due or has not been delivered."""
        return any(connection.owes for connection in self._context.connections)

    @property
    def awaits_first_requests(self) -> bool:
        """Return whether a new connection may still carry a request."""
        return any(
            connection.awaits_first_request
            for connection in self._context.connections
        )

    @property
    def unanswered(self) -> int:
        """Return the number of complete requests without a response."""
        return sum(
            connection.unanswered for connection in self._context.connections
        )

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that have not left the process."""
        return sum(
            connection.unsent_bytes for connection in self._context.connections
        )

    @property
    def paced_reads(self) -> int:
        """Return the connections whose bytes wait to be parsed."""
        return self._context.turns.scheduler.waiting

    @property
    def held_bytes(self) -> int:
        """Return the bytes of answers that wait for those before them."""
        return self._context.ahead.held_bytes

    @property
    def unaccepted(self) -> int:
        """Return the number of connections that wait to be accepted."""
        return sum(map(_sockets.unaccepted_connections, self._sockets))

    async def accept_last(self) -> None:
        """Accept the connections that the kernel has opened, and no others.

        A loop that is late would only see them after its next timers.
        """
        accepted = []
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                while True:
                    accepted.append(sock.accept()[0])
        self.stop_listening()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(
                self._create_connection, connection
            )

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self.unaccepted:
            self._context.log.decision(
                "connections-dropped", unaccepted=self.unaccepted
            )
        for server in self._servers:
            server.close()

    def abort(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self.stop_listening()
        for connection in list(self._context.connections):
            connection.abort()
