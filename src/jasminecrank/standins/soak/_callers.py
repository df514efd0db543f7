"""Callers that put load on a deployment and record the responses."""

import asyncio
from collections.abc import Sequence
import contextlib
import functools
import random
import typing

from jasminecrank.standins.soak import _connections
from jasminecrank.standins.soak import _demanding
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _large_bodies
from jasminecrank.standins.soak import _overlapping
from jasminecrank.standins.soak import _server
from jasminecrank.standins.soak import observed

CALLERS_PER_HOST = 4
DEMANDING_CALLERS_PER_HOST = 3
CALLER_MEAN_PAUSE_S = 0.12
"""Mean pause of a caller between two requests."""
ABANDON_RATIO = 0.02
"""Fraction of requests whose callers disconnect right after sending."""
OLD_KEY_RATIO = 0.1
"""Fraction of requests with a key drawn from all keys ever issued."""

PATIENCE_S = 4.0
"""Time beyond the limit after which a caller gives up."""

_TARGETS = (("GET", "/lots/1"), ("POST", "/book/1"), ("GET", "/open/1"))
_MORE_TARGETS = (("GET", "/calls/9"), ("POST", "/shift/9"))
"""Of further callers, each with one target.

Long runs at each host would take most of the servers' slots.
"""
_PUBLIC = ("/open/1", "/calls/9", "/shift/9")
_LOADS = ("/calls/9", "/called/9", "/shift/9", "/added-")
_DEADLINE_MS_BY_TARGET = {"/called/9": 250, "/shift/9": 8_000}


class CallerPool:
    """Owns the callers of all hosts and their connections."""

    def __init__(
        self, deployment: _deployment.SoakDeployment, seed: int
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._servers_callers: dict[int, list[_connections.RecordedCaller]] = {
            number: [] for number in deployment.hosts
        }
        """Idle connections by the number of the server's host."""
        self._calls: set[asyncio.Task[bool]] = set()

    def start_plain(self, callers_per_host: int) -> None:
        """Start sending requests of usual form and size only."""
        for number in self._deployment.hosts:
            for index in range(callers_per_host):
                rng = random.Random(f"{number}/{index}")
                self._tasks.append(
                    asyncio.create_task(
                        self._run_caller(number, rng, _TARGETS)
                    )
                )

    def start(self) -> None:
        """Start sending requests to the nodes of all hosts."""
        large = _large_bodies.LargeBodyCallers(self._deployment, self._seed)
        self._tasks.append(asyncio.create_task(large.run()))
        self.start_plain(CALLERS_PER_HOST)
        for number in self._deployment.hosts:
            for target in _MORE_TARGETS[: 2 if number % 3 == 0 else 1]:
                rng = random.Random(f"{self._seed}/{number}/{target}")
                self._tasks.append(
                    asyncio.create_task(
                        self._run_caller(number, rng, (target,))
                    )
                )
            self._deployment.servers[number].call = functools.partial(
                self._start_call, number
            )
            for index in range(DEMANDING_CALLERS_PER_HOST):
                rng = random.Random(f"{self._seed}/{number}/{index}")
                caller = _demanding.DemandingCaller(
                    self._deployment, number, rng
                )
                self._tasks.append(asyncio.create_task(caller.run()))
            overlapping = _overlapping.OverlappingCaller(
                self._deployment,
                number,
                _overlapping.make_rng(self._seed, number),
            )
            self._tasks.append(asyncio.create_task(overlapping.run()))

    def start_task(
        self, coroutine: "asyncio._CoroutineLike[typing.Any]"
    ) -> None:
        """Run a coroutine until the callers are stopped."""
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def stop(self) -> None:
        """Stop sending requests and wait until all callers have ended."""
        for server in self._deployment.servers:
            server.call = None
        self._tasks.extend(self._calls)
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for idle in self._servers_callers.values():
            for caller in idle:
                caller.close()

    def _start_call(self, number: int) -> "asyncio.Task[bool]":
        task = asyncio.create_task(self._call(number))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return task

    async def _call(self, number: int) -> bool:
        """Make a call of a server; return whether it succeeds."""
        idle = self._servers_callers[number]
        caller = (
            idle.pop()
            if idle
            else _connections.RecordedCaller(self._deployment, number)
        )
        try:
            status = await self.send_request(
                caller, number, "GET", "/called/9", None
            )
        except asyncio.CancelledError:
            caller.close()
            raise
        idle.append(caller)
        return status == 200

    async def _run_caller(
        self,
        number: int,
        rng: random.Random,
        targets: Sequence[tuple[str, str]],
    ) -> None:
        caller = _connections.RecordedCaller(self._deployment, number)
        try:
            while True:
                await asyncio.sleep(rng.expovariate(1.0 / CALLER_MEAN_PAUSE_S))
                method, target = rng.choice(targets)
                key = None if target in _PUBLIC else self._pick_key(rng)
                abandoned = rng.random() < ABANDON_RATIO
                await self.send_request(
                    caller, number, method, target, key, abandoned
                )
        finally:
            caller.close()

    def _pick_key(self, rng: random.Random) -> str:
        """Return a current key or, sometimes, any key that was ever issued."""
        if rng.random() < OLD_KEY_RATIO:
            return rng.choice(sorted(self._deployment.records.team_by_key))
        return rng.choice(list(self._deployment.keys_by_team.values()))[-1]

    async def send_request(
        self,
        caller: _connections.RecordedCaller,
        number: int,
        method: str,
        target: str,
        key: str | None,
        abandoned: bool = False,
    ) -> int:
        """Send a request and record it; return the status, 0 if none."""
        incarnation = self._deployment.nodes[number].incarnation
        try:
            deadline_ms = _DEADLINE_MS_BY_TARGET.get(target, 2_000)
            await caller.send(method, target, key, deadline_ms)
        except OSError:
            # The node is down; no request was sent.
            caller.close()
            return 0
        attempt = observed.Attempt(
            caller.last_request_id,
            number,
            incarnation,
            method,
            key,
            self._deployment.now_s(),
            connection=caller.connection,
            load=target if target.startswith(_LOADS) else "",
            limit_s=_server.timeout_ms(target) / 1000.0,
        )
        self._deployment.records.attempts.append(attempt)
        if abandoned:
            attempt.abandoned = True
            caller.close()
            return 0
        try:
            response = await caller.receive(attempt.limit_s + PATIENCE_S)
        except asyncio.CancelledError:
            attempt.abandoned = True
            raise
        attempt.ended_s = self._deployment.now_s()
        attempt.status = response.status
        attempt.stamped = "server-stamp" in response.headers
        attempt.response_intact = response.status != 200 or (
            response.body == f"body of {attempt.request_id}".encode()
            and response.headers.get("server-stamp")
            == f"stamp-{attempt.request_id}"
        )
        return attempt.status
