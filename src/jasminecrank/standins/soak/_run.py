"""Run of the fault soak with one seed."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import pathlib
import random

from jasminecrank.standins.soak import _callers
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _faults
from jasminecrank.standins.soak import _plan
from jasminecrank.standins.soak import checks


@dataclass(slots=True, frozen=True)
class SoakResult:
    """Counts of a run and the violations found."""

    seed: int
    requests: int
    served: int
    faults: int
    violations: tuple[str, ...]
    """One line for each violation of a guarantee."""


class Soak:
    """Runs the fault plan of a seed on its own deployment."""

    def __init__(
        self, seed: int, hosts: int, duration_s: float, folder: pathlib.Path
    ) -> None:
        self._seed = seed
        self._duration_s = duration_s
        self._plan = _plan.make_plan(seed, hosts, duration_s)
        self._deployment = _deployment.SoakDeployment(
            random.Random(seed), hosts, folder
        )

    async def run(self) -> SoakResult:
        """Start the deployment, inject the faults and check the guarantees."""
        deployment = self._deployment
        callers = _callers.CallerPool(deployment)
        injector = _faults.FaultInjector(deployment)
        try:
            await deployment.start()
            callers.start()
            faults = [
                asyncio.create_task(injector.inject(planned_fault))
                for planned_fault in self._plan
            ]
            await asyncio.sleep(self._duration_s)
            await callers.stop()
            await asyncio.gather(*faults)
        finally:
            await deployment.close()
        return self._result()

    def _result(self) -> SoakResult:
        records = self._deployment.records
        all_checks: Sequence[checks.Check] = (
            checks.at_most_once,
            checks.true_refusals,
            checks.whole_answers,
            checks.known_callers,
            checks.withdrawn_keys,
            checks.no_new_work,
            checks.cold_servers,
            checks.quotas(_deployment.TEAM_RATE_PER_S),
            checks.planned_stops,
            checks.recovery(self._duration_s),
        )
        violations = tuple(
            line for check in all_checks for line in check(records)
        )
        served = sum(attempt.status == 200 for attempt in records.attempts)
        return SoakResult(
            self._seed,
            len(records.attempts),
            served,
            len(self._plan),
            violations,
        )
