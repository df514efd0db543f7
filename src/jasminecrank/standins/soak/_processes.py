"""Node process that is restarted whenever it exits."""

import asyncio
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
from dataclasses import field
import math
import os
import pathlib
import signal
import sys

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import observed

RESTART_DELAY_S = 0.3
"""Delay until the platform restarts a process."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def stop_on_sigterm() -> None:
    """Cancel the current task at SIGTERM, between callbacks of the loop.

    An exception in the start of a process would leave it running.
    """
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


@dataclass(slots=True)
class ProcessRun:
    """One process and the signals that it got."""

    incarnation: int
    process: asyncio.subprocess.Process
    started_s: float
    pidfd: int
    signals: list[observed.SentSignal] = field(default_factory=list)
    pauses: int = 0
    """Number of faults that pause the process now."""

    @property
    def is_running(self) -> bool:
        """Whether the process has not been seen to exit."""
        return self.process.returncode is None

    def send_signal(self, signal_number: int) -> bool:
        """Send a signal; return False if the process has exited."""
        if not self.is_running:
            return False
        age_s = asyncio.get_running_loop().time() - self.started_s
        self.signals.append(
            observed.SentSignal(signal_number, age_s, self._cpu_s())
        )
        # Popen.send_signal would reap the process and lose its exit status.
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, signal_number)
        return True

    def pause(self) -> None:
        """Suspend the process until as many calls resume it."""
        self.pauses += 1
        self._send_unrecorded(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process unless another fault pauses it."""
        self.pauses -= 1
        if not self.pauses:
            self._send_unrecorded(signal.SIGCONT)

    def _send_unrecorded(self, signal_number: int) -> None:
        """Send a signal that explains no end of the process."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, signal_number)

    def _cpu_s(self) -> float:
        """Return the processor time of the main thread."""
        try:
            path = pathlib.Path(f"/proc/{self.process.pid}/schedstat")
            return int(path.read_text().split()[0]) / 1e9
        except OSError:
            return math.inf

    def resident_bytes(self) -> int:
        """Return the resident size, 0 if the process has exited."""
        try:
            statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        return int(statm.split()[1]) * PAGE_BYTES


class NodeProcess:
    """Owns and supervises the processes of one node."""

    def __init__(
        self,
        name: str,
        settings_path: pathlib.Path,
        log_path: pathlib.Path,
        node_path: pathlib.Path | None,
        report_end: Callable[[ProcessRun], None],
    ) -> None:
        self.name = name
        self.incarnation = 0
        self._settings_path = settings_path
        self._log_path = log_path
        self.node_path = node_path
        """Source folder from which the next processes are started."""
        self._report_end = report_end
        self._runs: list[ProcessRun] = []
        """Running processes; two while a stopping one has a successor."""
        self._started = asyncio.Condition()
        self._replaced = asyncio.Event()
        self._closed = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def runs(self) -> tuple[ProcessRun, ...]:
        """The running processes, the newest last."""
        return tuple(self._runs)

    @property
    def process_id(self) -> int:
        """Return the id of the newest running process."""
        return self._runs[-1].process.pid

    def start(self) -> None:
        """Start the process and restart it whenever it exits."""
        self._create_task(self._supervise())

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the newest process unless it has exited."""
        if self._runs:
            self._runs[-1].send_signal(signal_number)

    def replace(self, run: ProcessRun) -> None:
        """Start a successor beside a process unless it has one already."""
        if self._runs and self._runs[-1] is run:
            self._replaced.set()

    async def next_run(self, incarnation: int) -> ProcessRun:
        """Wait for a process that is newer than an incarnation."""
        async with self._started:
            await self._started.wait_for(
                lambda: self._runs and self._runs[-1].incarnation > incarnation
            )
        return self._runs[-1]

    async def close(self) -> None:
        """Kill all processes without a restart."""
        self._closed = True
        for run in self._runs:
            run.send_signal(signal.SIGKILL)
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _create_task(
        self, coroutine: "asyncio._CoroutineLike[None]"
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _supervise(self) -> None:
        while not self._closed:
            self._replaced.clear()
            run = await self._spawn()
            ended = self._create_task(self._watch(run))
            replaced = asyncio.create_task(self._replaced.wait())
            await asyncio.wait(
                {ended, replaced}, return_when=asyncio.FIRST_COMPLETED
            )
            replaced.cancel()
            if ended.done():
                await asyncio.sleep(0.0 if self._closed else RESTART_DELAY_S)

    async def _spawn(self) -> ProcessRun:
        paths = [str(self.node_path)] if self.node_path else []
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join([*paths, *sys.path]),
            "JASMINECRANK_CONFIG": str(self._settings_path),
        }
        self.incarnation += 1
        with self._log_path.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *fleet.node_command(self.node_path),
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        now_s = asyncio.get_running_loop().time()
        pidfd = os.pidfd_open(process.pid)
        run = ProcessRun(self.incarnation, process, now_s, pidfd)
        self._runs.append(run)
        async with self._started:
            self._started.notify_all()
        if self._closed:
            run.send_signal(signal.SIGKILL)
        return run

    async def _watch(self, run: ProcessRun) -> None:
        await run.process.wait()
        os.close(run.pidfd)
        self._runs.remove(run)
        self._report_end(run)
