"""Creates the tasks of a node and runs them until it is stopped."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import contextlib
import functools
import os
import random
import resource
import signal
import socket
import typing

from jasminecrank import exceptions
from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import settings
from jasminecrank.mesh import state
from jasminecrank.mesh import transport
from jasminecrank.mesh.daemon import _listening
from jasminecrank.mesh.daemon import _metrics
from jasminecrank.mesh.daemon import _signals

STOP_FLUSH_S = 0.15
"""Longest time after that for the last responses to be taken."""
STOP_LAST_TURNS = 5
"""Turns of the event loop in which a request is read and refused."""
STOP_CHECK_PERIOD_S = 0.05
"""Interval at which a stopping node checks what it owes."""
LINKS_END_S = 1.0
"""Longest time for peers that run late to read the last replies."""
LINKS_END_AFTER_S = 0.2
"""The same after the calls have been broken off."""
LINKS_CHECK_PERIOD_S = 0.005
SETTINGS_READ_PERIOD_S = 5.0
"""Interval at which the settings file is read again.

The file can change without a signal, and file notifications are not
available.
"""
TASK_RESTART_S = 0.1
"""Time after which a task that ended with an error runs again."""
READY_PATH = b"/-/readyz"


class Codec(protocol.CallerCodec, protocol.ServerCodec, typing.Protocol):
    """Codec for callers and for the backend server."""


class Node:
    """Owns the tasks of a node and passes messages between them."""

    def __init__(
        self,
        config: settings.NodeSettings,
        codec: Codec,
        source: coordination.SourcePort,
        decode: state.Decoder,
        log: transport.JsonLog,
        rng: random.Random,
        read_settings: Callable[[], settings.NodeSettings],
    ) -> None:
        self._config = config
        self.read_settings = read_settings
        self._log = log
        self._clock = transport.BootClock()
        self._stopping = False
        self._last_ran_at_s = self._clock.now_s()
        """When the event loop was last known to run."""
        self._lateness = state.Lateness()
        self._stop_window: state.StopWindow | None = None
        """Set by the signal to stop."""
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[asyncio.Server] = []
        self._links: set[transport.Link] = set()
        self._links_ended = False
        """Whether links are ended, those too that open from then on."""
        hello = coordination.Hello.from_settings(
            config.host, config.service, rng
        )
        self._hello = hello
        self.memory_budget = state.MemoryBudget.from_memory_limit(
            config.memory_limit_bytes
        )
        self._dialler = transport.Dialler(
            self, hello, config.links.port, rng, log, self.memory_budget
        )
        server_address = (
            config.backend_server.host,
            config.backend_server.port,
        )
        turns = transport.ReadTurns(self.memory_budget, log)
        self._server_connections = transport.ServerConnectionPool(
            server_address, codec, self._clock, log, turns
        )
        self.gate = coordination.GateTask(
            state.AdmissionController(),
            self._server_connections,
            server_address,
            config.service,
            self._clock,
            log,
            config.cold_overshoot,
        )
        self.quota = coordination.QuotaTask(
            config.host,
            state.QuotaArbiter(config.host, config.quota),
            self._tell_entry,
            self._clock,
            log,
        )
        self.entry = coordination.EntryTask(
            config.host,
            config.service,
            config.region_by_data_centre,
            state.Placement(config.host, config.data_centre, rng),
            state.RetryBudget(config.retry_budget),
            self.gate.mailbox,
            self.quota.mailbox,
            self._clock,
            rng,
            log,
            self.gate.is_running,
            self.gate.is_repeating,
        )
        self._idle_connections = transport.IdleConnections(self._clock, log)
        self._caller_server = transport.CallerServer(
            codec,
            self.entry.mailbox.tell,
            self._clock,
            log,
            self.memory_budget,
            self._idle_connections,
            turns,
        )
        self._source = coordination.SourceTask(
            source, self._tell_fleet, rng, log
        )
        self.fleet = coordination.FleetTask(
            config.host,
            config.data_centre,
            state.Directory(decode, heartbeat_s=config.heartbeat_s),
            state.UploadLimiter.from_link_rate(config.link_mbit_per_s),
            coordination.FleetPorts(
                self._tell_entry,
                self.gate.mailbox.tell,
                self.quota.mailbox.tell,
                self._dialler.set_hosts,
                self._source.set_watching,
                self._source.skip_to,
                self._source.list_again,
                self.gate.load,
            ),
            self._clock,
            rng,
            log,
        )

    @property
    def ready(self) -> bool:
        """Return whether the node accepts requests from callers."""
        return self.fleet.ready and not self._stopping

    @property
    def config(self) -> settings.NodeSettings:
        """Return the current settings."""
        return self._config

    @property
    def linked_host_count(self) -> int:
        """Return the number of hosts that this node can send calls to."""
        return self.entry.peer_count

    async def run(self, signals: _signals.Signals) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()

        def on_signal(received: signal.Signals) -> None:
            if stop.is_set() and received is not signal.SIGHUP:
                return
            self._log.decision("signal", signal=received.name)
            try:
                # The file can have changed without a signal.
                self._reload()
            finally:
                if received is not signal.SIGHUP:
                    self._stop_window = self._window_from_signal()
                    stop.set()

        loop.set_exception_handler(self._log_callback_error)
        self._log.decision("starting", process_id=os.getpid())
        signals.attach(loop, on_signal)
        try:
            is_started = await self._start_unless(stop)
        except exceptions.ListenError as error:
            self.abort()
            self._log.decision("start-failed", error=str(error))
            self._log.flush()
            raise
        if not is_started:
            self.abort()
            self._log.decision("stopped", reason="signal before the start")
            self._log.flush()
            return
        await stop.wait()
        try:
            await self.stop()
        except Exception as error:
            self._log.failure("stop-failed", error)
            await self._stop_after_failure()

    async def _stop_after_failure(self) -> None:
        """Let the open calls end, whichever part of the stop has failed."""
        window = self._stop_window or self._window_from_signal()
        while self._clock.now_s() < window.breaks_off_at_s and (
            self.entry.open_calls
            or self.gate.active_calls
            or self._caller_server.unanswered
            or self._caller_server.unsent_bytes
        ):
            await asyncio.sleep(STOP_CHECK_PERIOD_S)
        try:
            await self._end_calls(window)
            await self._await_peers(window)
        except Exception as error:
            self._log.failure("stop-failed", error)
        self._log.decision("stopped", reason="stop failed")
        self._log.flush()

    def _log_callback_error(
        self, loop: asyncio.AbstractEventLoop, fields: dict[str, typing.Any]
    ) -> None:
        """Log an error that no task handles; the loop goes on."""
        message = str(fields.get("message", ""))
        error = fields.get("exception")
        if isinstance(error, BaseException):
            self._log.failure("callback-failed", error, message=message)
        else:
            self._log.decision("callback-failed", error=message)

    async def _start_unless(self, stop: asyncio.Event) -> bool:
        """Start, and return whether it was not cancelled by a stop."""
        starting = asyncio.create_task(self.start())
        stopping = asyncio.create_task(stop.wait())
        try:
            await asyncio.wait(
                (starting, stopping), return_when=asyncio.FIRST_COMPLETED
            )
            if not starting.done():
                starting.cancel()
                await asyncio.wait((starting,))
            if starting.cancelled():
                return False
            starting.result()
            return True
        finally:
            stopping.cancel()

    async def start(self) -> None:
        """Open the ports, start the tasks and accept connections."""
        config = self._config
        opened = await _listening.open_ports(
            self._ports(config), self._clock, self._log
        )
        self._log.decision(
            "start",
            name=config.name,
            service=config.service,
            data_centre=config.data_centre,
            link_mbit_per_s=config.link_mbit_per_s,
        )
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._keep_running(run))
            for run in (
                self.entry.run,
                self.gate.run,
                self.quota.run,
                self.quota.run_ticks,
                self.fleet.run,
                self._source.run,
                self._run_ticks,
                self._watch_settings,
            )
        ]
        for item in opened:
            self._listeners.append(await item.port.serve(item.sock))

    def _ports(
        self, config: settings.NodeSettings
    ) -> tuple[_listening.Port, ...]:
        def serve_links(
            sock: socket.socket,
        ) -> Coroutine[None, None, asyncio.Server]:
            return transport.listen_for_links(
                self, self._hello, sock, self._log, self.memory_budget
            )

        def serve_status(
            respond: Callable[[bytes], protocol.RawResponse],
        ) -> Callable[[socket.socket], Coroutine[None, None, asyncio.Server]]:
            return functools.partial(
                transport.listen_for_status,
                respond,
                log=self._log,
                idle=self._idle_connections,
                clock=self._clock,
            )

        return (
            _listening.Port(config.links, serve_links),
            _listening.Port(config.status, serve_status(self._read_status)),
            _listening.Port(config.metrics, serve_status(self.read_metrics)),
            _listening.Port(config.callers, self._caller_server.serve),
        )

    async def stop(self) -> None:
        """Complete the open calls as far as the time before SIGKILL allows."""
        self._stopping = True
        window = self._stop_window or self._window_from_signal()
        now_s = self._clock.now_s()
        self._log.decision(
            "stopping",
            calls=self.entry.open_calls + self.gate.active_calls,
            closes_in_ms=round(1000 * (window.closes_at_s - now_s)),
            breaks_off_in_ms=round(1000 * (window.breaks_off_at_s - now_s)),
        )
        stop_requested = coordination.StopRequested(window)
        self.gate.mailbox.tell(stop_requested)
        self.entry.mailbox.tell(stop_requested)
        self._caller_server.start_closing()
        await asyncio.sleep(window.callers_leave_at_s - now_s)
        self._caller_server.close_idle()
        await self._wait_until_settled(lambda: window.listens_until_s)
        # A later connection is refused, so that its request is not lost.
        await self._caller_server.accept_last()
        while (
            self._clock.now_s() < self._window_now(window).breaks_off_at_s
            and self._caller_server.awaits_first_requests
        ):
            await asyncio.sleep(STOP_CHECK_PERIOD_S)
        await self._wait_until_settled(
            lambda: self._window_now(window).breaks_off_at_s
        )
        window = self._window_now(window)
        reads_until_s = window.reads_until_s(
            window.breaks_off_at_s, self._clock.now_s()
        )
        await self._wait_until_settled(lambda: reads_until_s)
        await self._end_calls(window)
        self._close_listeners()
        self._end_links(link for link in self._links if not link.dialled)
        await self._await_peers(window)
        await self._close_links(window)
        self._log.decision(
            "stopped",
            unanswered=self._caller_server.unanswered,
            unsent_bytes=self._caller_server.unsent_bytes,
            peak_memory_bytes=_peak_memory_bytes(),
        )
        self.abort()
        self._log.flush()

    def _window_from_signal(self) -> state.StopWindow:
        return state.StopWindow.from_signal(
            self._clock.now_s(),
            self._last_ran_at_s,
            self._config.stop_grace_s,
            self._lateness.recent_s,
        )

    def _window_now(self, window: state.StopWindow) -> state.StopWindow:
        """Return the window of the signal as the process runs now."""
        return window.for_lateness(self._lateness.recent_s)

    async def _wait_until_settled(self, until: Callable[[], float]) -> None:
        """Wait until no call is open and all answers are delivered."""
        owing_links = set(self._links)
        while (left_s := until() - self._clock.now_s()) > 0:
            if self.entry.open_calls or self.gate.active_calls:
                owing_links = set(self._links)
            else:
                # Reports go on, so a link need not be empty twice.
                owing_links = {
                    link for link in owing_links if link.unsent_bytes
                }
                owes = (
                    self._caller_server.owes or self._server_connections.owes
                )
                if not owing_links and not owes:
                    return
            await asyncio.sleep(min(STOP_CHECK_PERIOD_S, left_s))

    async def _end_calls(self, window: state.StopWindow) -> None:
        """Answer what is left, as far as the outcome is known."""
        calls = self.entry.open_calls + self.gate.active_calls
        self._log.decision(
            "stop",
            calls=calls,
            unanswered=self._caller_server.unanswered,
            unsent_bytes=self._caller_server.unsent_bytes,
            lateness_ms=round(1000 * self._lateness.recent_s),
        )
        self._caller_server.refuse_unstarted()
        self.entry.mailbox.tell(coordination.StopWindowClosed())
        await self._flush(window)
        # A late loop has handled its timers, and not yet what has arrived.
        for _ in range(STOP_LAST_TURNS):
            await asyncio.sleep(0)

    async def _flush(self, window: state.StopWindow) -> None:
        """Let callers and peers take what they have just been sent."""
        await asyncio.sleep(0)
        until_s = min(self._clock.now_s() + STOP_FLUSH_S, window.ends_at_s)
        await self._wait_until_settled(lambda: until_s)

    async def _await_peers(self, window: state.StopWindow) -> None:
        """Deliver the answers of other hosts that still come in time."""
        if not self.entry.open_calls:
            return
        self._log.decision("awaiting-peers", calls=self.entry.open_calls)
        due_at_s = window.awaits_peers_until_s
        await self._wait_for_entry(due_at_s)
        await self._wait_for_entry(
            window.reads_until_s(due_at_s, self._clock.now_s())
        )
        self.entry.mailbox.tell(coordination.PeersGivenUp())
        await self._flush(window)

    async def _wait_for_entry(self, until_s: float) -> None:
        """Wait until no call of a caller is open."""
        while self.entry.open_calls and self._clock.now_s() < until_s:
            await asyncio.sleep(LINKS_CHECK_PERIOD_S)

    def _close_listeners(self) -> None:
        """Accept no connection any more, and open none."""
        self._dialler.set_hosts(set())
        for listener in self._listeners:
            listener.close()
        self._links_ended = True

    def _end_links(self, links: Iterable[transport.Link]) -> None:
        for link in list(links):
            link.end(self.gate.is_closed)

    async def _close_links(self, window: state.StopWindow) -> None:
        """Wait until the peers have read all replies and closed the links."""
        for task in self._tasks:
            task.cancel()
        self._end_links(self._links)
        now_s = self._clock.now_s()
        until_s = min(
            now_s + LINKS_END_S,
            max(now_s, window.breaks_off_at_s) + LINKS_END_AFTER_S,
            window.ends_at_s,
        )
        while self._links and self._clock.now_s() < until_s:
            await asyncio.sleep(LINKS_CHECK_PERIOD_S)

    def abort(self) -> None:
        """Cancel all tasks and close all connections immediately."""
        for task in self._tasks:
            task.cancel()
        self._dialler.set_hosts(set())
        self._caller_server.abort()
        self._server_connections.close()
        for listener in self._listeners:
            listener.close()
        for link in list(self._links):
            link.abort()

    def on_link_opened(
        self, link: transport.Link, hello: coordination.Hello
    ) -> None:
        """Register a link whose peer has sent its Hello."""
        self._links.add(link)
        if self._links_ended:
            link.end(self.gate.is_closed)
            return
        if not link.dialled:
            self._dialler.redial_now(hello.host)
        self._tell_fleet(
            coordination.LinkOpened(
                link,
                hello.host,
                link.dialled,
                link.send,
                hello.protocol_version,
            )
        )

    def on_message(
        self, link: transport.Link, message: coordination.PeerMessage
    ) -> None:
        """Pass a peer's message to the task that handles it."""
        match message:
            case coordination.CallSent():
                self.gate.mailbox.tell(
                    coordination.RunCall(
                        link.link_id, message, link.send, self._unread_s()
                    )
                )
            case coordination.CallCancelled(call_id):
                self.gate.mailbox.tell(
                    coordination.CancelCall(link.link_id, call_id)
                )
            case (
                coordination.CallServed()
                | coordination.CallNotRun()
                | coordination.CallMayHaveRun()
            ):
                self.entry.handle_peer_reply(link.peer_host, message)
            case (
                coordination.Presence()
                | coordination.TokensRequested()
                | coordination.HostsRemoved()
            ):
                self.quota.mailbox.tell(
                    coordination.RequesterMessageReceived(
                        link.peer_host, message, link.send
                    )
                )
            case coordination.TokensGranted():
                self.quota.mailbox.tell(
                    coordination.ArbiterGranted(link.peer_host, message)
                )
            case (
                coordination.Hello()
                | coordination.BodyFollows()
                | coordination.BodyPart()
                | coordination.BodyAbandoned()
                | coordination.LinkEnding()
            ):
                pass
            case _:
                self._tell_fleet(
                    coordination.PeerMessageReceived(
                        link, link.peer_host, message, link.send
                    )
                )

    def on_call_arriving(
        self, link: transport.Link, call: coordination.CallSent
    ) -> None:
        """Notify the task that will run a call once its body has arrived."""
        self.gate.mailbox.tell(
            coordination.CallArriving(link.link_id, call, link.send)
        )

    def on_call_unsent(self, link: transport.Link, call_id: int) -> None:
        """Notify the task that has sent a call on a link that ends."""
        self.entry.mailbox.tell(
            coordination.CallUnsent(call_id, link.peer_host, link.send)
        )

    def on_link_ended(self, link: transport.Link) -> None:
        """Remove a link and notify the tasks that use it."""
        self._links.discard(link)
        if not link.dialled:
            self.gate.mailbox.tell(coordination.LinkClosed(link.link_id))
        self._tell_fleet(
            coordination.LinkEnded(link, link.peer_host, link.dialled)
        )

    def _tell_fleet(self, message: coordination.FleetMessage) -> None:
        self.fleet.mailbox.tell(message)

    def _tell_entry(self, message: coordination.EntryMessage) -> None:
        if isinstance(message, coordination.FleetChanged):
            table = message.fleet.table
            if table is not None:
                self._caller_server.set_table(table)
        self.entry.mailbox.tell(message)

    async def _keep_running(
        self, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Run a task again if it ends with an error, since others need it."""
        while True:
            try:
                await run()
            except Exception as error:
                self._log.failure("task-failed", error, task=run.__qualname__)
            await asyncio.sleep(TASK_RESTART_S)

    def _unread_s(self) -> float:
        """Return how long a message that is read now may have waited."""
        due_at_s = self._last_ran_at_s + coordination.FLEET_TICK_S
        return self._lateness.unread_s(self._clock.now_s() - due_at_s)

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        self._last_ran_at_s = self._clock.now_s()
        while True:
            now_s = self._clock.now_s()
            self._lateness.record(
                now_s - self._last_ran_at_s - coordination.FLEET_TICK_S, now_s
            )
            self._last_ran_at_s = now_s
            loop.call_soon(self._lateness.mark_read)
            self._tell_fleet(coordination.FleetTick())
            self._idle_connections.make_room()
            self._log.flush()
            await asyncio.sleep(coordination.FLEET_TICK_S)

    def _reload(self) -> None:
        """Apply changed bounds; other settings require a restart."""
        try:
            config = self.read_settings()
        except exceptions.SettingError as error:
            self._log.decision("settings-rejected", reason=str(error))
            return
        if config == self._config:
            return
        self._config = config
        self._log.decision("reload")
        changed = coordination.BoundsChanged(config.quota, config.retry_budget)
        self.entry.mailbox.tell(changed)
        self.quota.mailbox.tell(changed)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_READ_PERIOD_S)
            self._reload()

    def _read_status(self, target: bytes) -> protocol.RawResponse:
        if target.partition(b"?")[0] != READY_PATH:
            return protocol.RawResponse(404, b"", (), b"not found\n")
        status = 200 if self.ready else 503
        return protocol.RawResponse(status, b"", (), b"")

    def read_metrics(self, target: bytes) -> protocol.RawResponse:
        """Return the response to a request for metrics."""
        if target.partition(b"?")[0] != b"/metrics":
            return protocol.RawResponse(404, b"", (), b"not found\n")
        load = self.gate.load()
        gauges: dict[str, float] = {
            "table_version": self.fleet.table_version,
            "confirmed_age_seconds": self.fleet.confirmed_age_s(
                self._clock.now_s()
            ),
            "calls_open": self.entry.open_calls,
            "gate_in_flight": load.in_flight,
            "gate_queued": load.queued,
            "caller_unsent_bytes": self._caller_server.unsent_bytes,
            "answers_held_bytes": self._caller_server.held_bytes,
            "paced_reads": self._caller_server.paced_reads,
            "body_memory_bytes": self.memory_budget.held_bytes,
            "server_answer_bytes": self._server_connections.receiving_bytes,
            "server_connections_ended": (
                self._server_connections.ended_in_memory
            ),
            "resident_memory_bytes": _memory_bytes("VmRSS"),
            "peak_memory_bytes": _peak_memory_bytes(),
        }
        usable = self.entry.usable_servers()
        body = _metrics.render(self._log, gauges, usable)
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        return protocol.RawResponse(200, b"", headers, body)


def _peak_memory_bytes() -> int:
    """Return the largest resident size of the process so far.

    The figure of `getrusage` is at least that of the program that started
    this one.
    """
    return _memory_bytes("VmHWM") or (
        1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    )


def _memory_bytes(field: str) -> int:
    """Return a size from the process's status, 0 if it is not there."""
    with (
        contextlib.suppress(OSError),
        open("/proc/self/status", encoding="ascii") as status,
    ):
        for line in status:
            if line.startswith(f"{field}:"):
                return 1024 * int(line.split()[1])
    return 0
