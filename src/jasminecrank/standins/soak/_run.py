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
from jasminecrank.standins.soak import _probes
from jasminecrank.standins.soak import _processes
from jasminecrank.standins.soak import _tracebacks
from jasminecrank.standins.soak import checks
from jasminecrank.standins.soak import losses

PROBE_INTERVAL_S = 0.25


@dataclass(slots=True, frozen=True)
class SoakResult:
    """Counts of a run and the violations found."""

    seed: int
    requests: int
    served: int
    faults: int
    count_by_check: dict[str, int]
    """Number of violations by the name of the check."""
    violations: tuple[str, ...]
    """One line for each violation of a guarantee."""


class Soak:
    """Runs the fault plan of a seed on its own deployment."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        duration_s: float,
        folder: pathlib.Path,
        planned_only: bool = False,
        node_path: pathlib.Path | None = None,
    ) -> None:
        self._seed = seed
        self._duration_s = duration_s
        self._plan = _plan.make_plan(seed, hosts, duration_s, planned_only)
        self._errors: list[str] = []
        self._deployment = _deployment.SoakDeployment(
            random.Random(seed), hosts, folder, node_path
        )

    def run(self) -> SoakResult:
        """Start the deployment, inject the faults and check the guarantees."""
        with _tracebacks.collect_unraisable(self._errors):
            asyncio.run(self._play())
        return self._result()

    async def _play(self) -> None:
        _tracebacks.handle_loop_errors(self._errors)
        _processes.stop_on_sigterm()
        deployment = self._deployment
        callers = _callers.CallerPool(deployment, self._seed)
        injector = _faults.FaultInjector(deployment)
        try:
            await deployment.start()
            callers.start()
            for number in deployment.hosts:
                prober = _probes.Prober(
                    deployment, callers, number, PROBE_INTERVAL_S
                )
                callers.start_task(prober.run())
            faults = [
                asyncio.create_task(injector.inject(planned_fault))
                for planned_fault in self._plan
            ]
            await asyncio.sleep(self._duration_s)
            await callers.stop()
            await asyncio.gather(*faults)
        finally:
            await callers.stop()
            await deployment.close()

    def _result(self) -> SoakResult:
        records = self._deployment.records
        all_checks: Sequence[checks.Check] = (
            checks.at_most_once,
            checks.true_refusals,
            checks.whole_answers,
            checks.known_callers,
            checks.withdrawn_keys,
            checks.added_routes,
            checks.no_new_work,
            checks.cold_servers,
            checks.quotas(_deployment.TEAM_RATE_PER_S),
            checks.retries,
            losses.cuts,
            losses.planned_stops,
            losses.reloads,
            losses.replaced_answers,
            checks.foreign_entries,
            checks.process_ends,
            checks.memory,
            checks.tracebacks,
            checks.recovery(self._duration_s),
        )
        lines_by_check = {
            getattr(check, "__qualname__", "").partition(".")[0]: list(
                check(records)
            )
            for check in all_checks
        }
        lines_by_check["own_tracebacks"] = self._errors
        served = sum(attempt.status == 200 for attempt in records.attempts)
        return SoakResult(
            self._seed,
            len(records.attempts),
            served,
            len(self._plan),
            {name: len(lines) for name, lines in lines_by_check.items()},
            tuple(line for lines in lines_by_check.values() for line in lines),
        )
