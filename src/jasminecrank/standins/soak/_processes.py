"""A node as a process that is started again when it ends."""

import asyncio
import os
import pathlib
import signal
import sys

RESTART_S = 0.3
"""Time until the platform starts a process again."""


class NodeProcess:
    """Owns one node's process, by its id."""

    def __init__(
        self, name: str, settings: pathlib.Path, log: pathlib.Path
    ) -> None:
        self.name = name
        self.incarnation = 0
        self._settings = settings
        self._log = log
        self._process: asyncio.subprocess.Process | None = None
        self._ended = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the process, and again whenever it ends."""
        self._task = asyncio.create_task(self._keep_running())

    def send(self, signal_number: int) -> None:
        """Send a signal, unless the process has ended."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    async def close(self) -> None:
        """End the process for good."""
        self._ended = True
        self.send(signal.SIGKILL)
        if self._task is not None:
            await self._task

    async def _keep_running(self) -> None:
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(sys.path),
            "JASMINECRANK_CONFIG": str(self._settings),
        }
        while not self._ended:
            self.incarnation += 1
            with self._log.open("ab") as output:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "jasminecrank.mesh.daemon",
                    env=environment,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                )
            if self._ended:
                self.send(signal.SIGKILL)
            await self._process.wait()
            await asyncio.sleep(0.0 if self._ended else RESTART_S)
