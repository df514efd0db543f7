"""Requests that show which table a node uses."""

import asyncio

from jasminecrank.standins.soak import _callers
from jasminecrank.standins.soak import _connections
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import observed


class Prober:
    """Requests an open route and the newest one, and shows a withdrawn key."""

    def __init__(
        self,
        deployment: _deployment.SoakDeployment,
        pool: _callers.CallerPool,
        host: int,
        interval_s: float,
    ) -> None:
        self._deployment = deployment
        self._pool = pool
        self._host = host
        self._interval_s = interval_s
        self._caller = _connections.RecordedCaller(deployment, host)

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        records = self._deployment.records
        try:
            while True:
                for route in sorted({0, self._deployment.added_routes}):
                    await self._probe(route)
                for key in list(records.withdrawn_s_by_key)[-1:]:
                    await self._pool.send_request(
                        self._caller, self._host, "GET", "/lots/1", key
                    )
                await asyncio.sleep(self._interval_s)
        finally:
            self._caller.close()

    async def _probe(self, route: int) -> None:
        deployment = self._deployment
        incarnation = deployment.nodes[self._host].incarnation
        sent_s = deployment.now_s()
        status = await self._pool.send_request(
            self._caller,
            self._host,
            "GET",
            f"/added-{route}/1" if route else "/open/1",
            None,
        )
        deployment.records.probes.append(
            observed.Probe(
                self._host,
                incarnation,
                route,
                sent_s,
                deployment.now_s(),
                status,
            )
        )
