"""Node process that is restarted whenever it exits."""

import asyncio
import os
import pathlib
import signal
import sys

RESTART_DELAY_S = 0.3
"""Delay until the platform restarts a process."""


class NodeProcess:
    """Owns and supervises the process of one node."""

    def __init__(
        self, name: str, settings_path: pathlib.Path, log_path: pathlib.Path
    ) -> None:
        self.name = name
        self.incarnation = 0
        self._settings_path = settings_path
        self._log_path = log_path
        self._process: asyncio.subprocess.Process | None = None
        self._closed = False
        self._task: asyncio.Task[None] | None = None

    @property
    def process_id(self) -> int:
        """Return the id of the running process."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start the process and restart it whenever it exits."""
        self._task = asyncio.create_task(self._supervise())

    def send_signal(self, signal_number: int) -> None:
        """Send a signal unless the process has exited."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    async def close(self) -> None:
        """Kill the process without a restart."""
        self._closed = True
        self.send_signal(signal.SIGKILL)
        if self._task is not None:
            await self._task

    async def _supervise(self) -> None:
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(sys.path),
            "JASMINECRANK_CONFIG": str(self._settings_path),
        }
        while not self._closed:
            self.incarnation += 1
            with self._log_path.open("ab") as output:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "jasminecrank.mesh.daemon",
                    env=environment,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                )
            if self._closed:
                self.send_signal(signal.SIGKILL)
            await self._process.wait()
            await asyncio.sleep(0.0 if self._closed else RESTART_DELAY_S)
