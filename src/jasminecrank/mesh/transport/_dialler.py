"""Dials the hosts that a node keeps links to."""

import asyncio
import random

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _links

CONNECT_TIMEOUT_S = 0.5
"""Timeout for connecting; the most distant host is 35 ms away."""
REDIAL_MIN_S = 0.05
REDIAL_MAX_S = 0.6
"""Maximum backoff, shorter than the restart of a killed node takes."""
STALE_DIAL_S = 0.1
"""Age of a dial that is given up for a new one; a live host answers sooner."""


class Dialler:
    """Keeps a link open to each host of a set."""

    def __init__(
        self,
        owner: _links.LinkOwner,
        hello: coordination.Hello,
        port: int,
        rng: random.Random,
        log: coordination.Log,
        budget: state.MemoryBudget | None = None,
    ) -> None:
        self._owner = owner
        self._hello = hello
        self._budget = budget
        self._port = port
        self._rng = rng
        self._log = log
        self._task_by_host: dict[str, asyncio.Task[None]] = {}
        self._link_by_host: dict[str, _links.Link] = {}
        """Dialled links that are open, also those to removed hosts."""
        self._dialled_at_s_by_host: dict[str, float] = {}
        """Hosts whose dials are in progress."""
        self._live_hosts: set[str] = set()
        """Hosts that have dialled this one during its dial to them."""

    def set_hosts(self, hosts: set[str]) -> None:
        """Set the hosts to keep links to.

        A link to a removed host stays open for its calls, and for the host's
        return to the list.
        """
        for host in self._task_by_host.keys() - hosts:
            self._task_by_host.pop(host).cancel()
        for host in hosts - self._task_by_host.keys():
            self._task_by_host[host] = asyncio.create_task(
                self._maintain_link(host)
            )

    def redial_now(self, host: str) -> None:
        """Dial a host without backoff, since it has just dialled this one.

        A recent dial goes on: two hosts that give up their dials for each
        other's would never be linked.
        """
        task = self._task_by_host.get(host)
        if task is None or host in self._link_by_host:
            return
        now_s = asyncio.get_running_loop().time()
        dialled_at_s = self._dialled_at_s_by_host.get(host)
        if dialled_at_s is not None and now_s - dialled_at_s < STALE_DIAL_S:
            self._live_hosts.add(host)
            return
        task.cancel()
        self._task_by_host[host] = asyncio.create_task(
            self._maintain_link(host)
        )

    async def _maintain_link(self, host: str) -> None:
        delay_s = REDIAL_MIN_S
        while True:
            link = self._link_by_host.get(host) or await self._dial(host)
            if link is not None:
                delay_s = REDIAL_MIN_S
                self._keep(host, link)
                await asyncio.shield(link.replaceable)
            elif host in self._live_hosts:
                continue
            await asyncio.sleep(delay_s * (0.5 + self._rng.random()))
            delay_s = min(REDIAL_MAX_S, 2 * delay_s)

    def _keep(self, host: str, link: _links.Link) -> None:
        """Note the link to a host until it may be replaced."""
        if self._link_by_host.get(host) is link:
            return
        self._link_by_host[host] = link
        link.replaceable.add_done_callback(
            lambda replaceable: self._link_by_host.pop(host, None)
        )

    async def _dial(self, host: str) -> _links.Link | None:
        """Dial once, and record that this is in progress."""
        self._live_hosts.discard(host)
        self._dialled_at_s_by_host[host] = asyncio.get_running_loop().time()
        try:
            return await self._connect(host)
        finally:
            self._dialled_at_s_by_host.pop(host, None)

    async def _connect(self, host: str) -> _links.Link | None:
        loop = asyncio.get_running_loop()
        link = _links.Link(
            self._owner, self._hello, True, self._log, self._budget
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: link, host, self._port)
        except asyncio.CancelledError:
            self._log.count("dials", "cancelled")
            link.abandon()
            raise
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            self._log.count("dials", "failed")
            link.abandon()
            if not isinstance(error, OSError | TimeoutError):
                self._log.failure("dial-failed", error, peer=host)
            return None
        self._log.count("dials", "connected")
        return link
