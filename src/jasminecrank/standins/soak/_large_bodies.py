"""Callers that send a node very large bodies in bursts."""

import asyncio
from dataclasses import dataclass
import random

from jasminecrank.standins.soak import _demanding
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _server

MEAN_BURST_INTERVAL_S = 5.0
MIN_BODY_BYTES = 8 * 1024 * 1024
MAX_BODIES = 4
"""Largest number of bodies of a burst."""
MAX_UPLOAD_S = 1.0
ANSWER_BYTES = 1_000


@dataclass(slots=True, frozen=True)
class Burst:
    """Requests with large bodies that a node gets at the same time."""

    delay_s: float
    """Time since the previous burst."""
    host: int
    loads: tuple[_demanding.Load, ...]


def make_rng(seed: int) -> random.Random:
    """Return the generator of a run's bursts.

    Other draws of the seed do not change with the bursts.
    """
    return random.Random(f"large bodies {seed}")


def draw_burst(rng: random.Random, hosts: int) -> Burst:
    """Return a burst to one of the hosts."""
    return Burst(
        rng.expovariate(1.0 / MEAN_BURST_INTERVAL_S),
        rng.randrange(hosts),
        tuple(_draw_load(rng) for _ in range(rng.randint(2, MAX_BODIES))),
    )


def _draw_load(rng: random.Random) -> _demanding.Load:
    body_bytes = rng.choice(
        (
            _server.MAX_BODY_BYTES,
            rng.randint(MIN_BODY_BYTES, _server.MAX_BODY_BYTES),
        )
    )
    return _demanding.Load(
        "POST",
        f"/upload/{ANSWER_BYTES}",
        1,
        body_bytes,
        rng.uniform(0.0, MAX_UPLOAD_S),
    )


class LargeBodyCallers:
    """Sends bursts to random hosts, each body on its own connection."""

    def __init__(
        self, deployment: _deployment.SoakDeployment, seed: int
    ) -> None:
        self._deployment = deployment
        self._rng = make_rng(seed)

    async def run(self) -> None:
        """Send bursts until the task is cancelled."""
        hosts = len(self._deployment.hosts)
        async with asyncio.TaskGroup() as group:
            while True:
                burst = draw_burst(self._rng, hosts)
                await asyncio.sleep(burst.delay_s)
                for load in burst.loads:
                    caller = _demanding.DemandingCaller(
                        self._deployment, burst.host, self._rng
                    )
                    group.create_task(caller.send_once(load))
