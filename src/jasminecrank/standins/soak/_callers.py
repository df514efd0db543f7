"""The callers of a run, and what they see."""

import asyncio
import random

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import observed

CALLERS_PER_HOST = 4
CALLER_PAUSE_S = 0.12
"""Mean pause of a caller between two requests."""
LEAVE_PART = 0.02
"""Part of the requests whose callers go away at once."""
OLD_KEY_PART = 0.1
"""Part of the requests that show any key there ever was."""


class Callers:
    """Owns the callers' connections."""

    def __init__(self, site: _deployment.SoakDeployment) -> None:
        self._site = site
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to send requests on every host."""
        for number in self._site.hosts:
            for index in range(CALLERS_PER_HOST):
                rng = random.Random(f"{number}/{index}")
                self._tasks.append(
                    asyncio.create_task(self._call(number, rng))
                )

    async def stop(self) -> None:
        """Send no more requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, number: int, rng: random.Random) -> None:
        caller = fleet.Caller(
            self._site.host(number), self._site.ports["callers"]
        )
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / CALLER_PAUSE_S))
            method, target = rng.choice(
                (("GET", "/lots/1"), ("POST", "/book/1"), ("GET", "/open/1"))
            )
            key = None if target == "/open/1" else self._some_key(rng)
            await self._ask(caller, number, method, target, key, rng)

    def _some_key(self, rng: random.Random) -> str:
        """Return a key in force, or now and then one that was withdrawn."""
        if rng.random() < OLD_KEY_PART:
            return rng.choice(sorted(self._site.records.team_by_key))
        return rng.choice(list(self._site.keys_by_team.values()))[-1]

    async def _ask(
        self,
        caller: fleet.Caller,
        number: int,
        method: str,
        target: str,
        key: str | None,
        rng: random.Random,
    ) -> None:
        incarnation = self._site.nodes[number].incarnation
        try:
            await caller.send(method, target, key)
        except OSError:
            # The node is not there; nothing was sent.
            caller.leave()
            return
        attempt = observed.Attempt(
            caller.last_id,
            number,
            incarnation,
            method,
            key,
            self._site.now_s(),
        )
        self._site.records.attempts.append(attempt)
        if rng.random() < LEAVE_PART:
            attempt.left = True
            caller.leave()
            return
        try:
            answer = await caller.receive()
        except asyncio.CancelledError:
            attempt.left = True
            raise
        attempt.ended_s = self._site.now_s()
        attempt.status = answer.status
        attempt.whole = answer.status != 200 or (
            answer.body == f"body of {attempt.request_id}".encode()
            and answer.headers.get("server-stamp")
            == f"stamp-{attempt.request_id}"
        )
