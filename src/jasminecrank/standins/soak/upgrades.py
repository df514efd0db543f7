"""Runs in which nodes of two versions take each other's places in turn."""

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import json
import math
import pathlib
import random
import signal
import time
import typing

from jasminecrank.standins.soak import _callers
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _faults
from jasminecrank.standins.soak import _plan
from jasminecrank.standins.soak import _processes
from jasminecrank.standins.soak import _series_injector
from jasminecrank.standins.soak import checks
from jasminecrank.standins.soak import losses

CALLERS_PER_HOST = 2
STEP_S = 2.5
"""Time from the stop of a node to that of the next one."""
COMPARED_S = 6.0
"""Time without stops in which the traffic of a fleet is measured."""
CHANGE_INTERVAL_S = 1.5
RESTART_S = 2.0
"""Time in which a stopped node has a successor that serves."""
AWAY_S = 0.5
SETTLED_S = 4.5
LISTING_REQUEST = bytes.fromhex("00000002810e")
"""Frame by which a node requests a listing from a peer."""


@dataclass(slots=True)
class Phase:
    """Traffic of the fleet in a part of a run."""

    name: str
    seconds: float = 0.0
    link_bytes: int = 0
    listing_requests: int = 0
    store_requests: int = 0

    def __str__(self) -> str:
        """Return the traffic of a second."""
        return (
            f"{self.name}: {self.link_bytes / self.seconds / 1000:.1f} kB/s "
            f"on links, {self.listing_requests} listing requests in "
            f"{self.seconds:.1f} s, {self.store_requests / self.seconds:.1f} "
            "store requests/s"
        )


@dataclass(slots=True, frozen=True)
class Result:
    """What was measured in a run, and what went wrong."""

    requests: int
    served: int
    configurations: int
    """Nodes times configurations."""
    slowest_s: float
    """Longest time until a configuration was in force on a node."""
    phases: tuple[Phase, ...]
    violations: tuple[str, ...]


@dataclass(slots=True)
class _Observations:
    phases: list[Phase] = field(default_factory=list)
    written_s_by_version: dict[int, float] = field(default_factory=dict)
    stops: list[tuple[int, float]] = field(default_factory=list)
    """Hosts whose nodes were replaced, and when."""


class UpgradeRun:
    """Replaces old nodes by new ones, back, and again, then restores."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        folder: pathlib.Path,
        old_path: pathlib.Path,
        new_path: pathlib.Path | None,
        store_era: int | None,
    ) -> None:
        self._rng = random.Random(f"upgrade {seed}")
        self._seed = seed
        self._folder = folder
        self._old_path = old_path
        self._new_path = new_path
        self._deployment = _deployment.SoakDeployment(
            random.Random(seed), hosts, folder, old_path
        )
        self._injector = _faults.FaultInjector(self._deployment)
        self._seen = _Observations()
        self._boot_offset_s = 0.0
        """Boot time at the time 0 of the run."""
        store = self._deployment.store
        if store_era is None:
            store.encode_era = lambda _: None
        else:
            store.era = store_era
        self._names_era = store_era is not None
        self._ended_s = 0.0

    def run(self) -> Result:
        """Play the upgrades and return what was found."""
        asyncio.run(self._play())
        return self._result()

    async def _play(self) -> None:
        _processes.stop_on_sigterm()
        deployment = self._deployment
        pool = _callers.CallerPool(deployment, self._seed)
        changes: asyncio.Task[None] | None = None
        try:
            await deployment.start()
            self._boot_offset_s = (
                time.clock_gettime(time.CLOCK_BOOTTIME) - deployment.now_s()
            )
            for proxy in deployment.link_proxy_by_hosts.values():
                proxy.observe = self._observe
            pool.start_plain(CALLERS_PER_HOST)
            changes = asyncio.create_task(self._change())
            await self._measure("all old")
            await self._replace_all("upgrade", self._new_path)
            await self._measure("all new")
            await self._replace_all("downgrade", self._old_path)
            await self._measure("all old again")
            await self._replace_all("second upgrade", self._new_path)
            if self._names_era:
                await self._restore()
            await self._measure("all new at the end")
        finally:
            if changes is not None:
                changes.cancel()
                await asyncio.gather(changes, return_exceptions=True)
            self._ended_s = deployment.now_s()
            await pool.stop()
            await deployment.close()

    def _observe(self, data: bytes) -> None:
        if self._seen.phases:
            phase = self._seen.phases[-1]
            phase.link_bytes += len(data)
            phase.listing_requests += data.count(LISTING_REQUEST)

    def _begin(self, name: str) -> float:
        """Begin a phase and return when it begins."""
        self._seen.phases.append(Phase(name))
        self._seen.phases[
            -1
        ].store_requests = -self._deployment.store.request_count
        return self._deployment.now_s()

    def _end(self, begin_s: float) -> None:
        phase = self._seen.phases[-1]
        phase.seconds = self._deployment.now_s() - begin_s
        phase.store_requests += self._deployment.store.request_count

    async def _measure(self, name: str) -> None:
        begin_s = self._begin(name)
        await asyncio.sleep(COMPARED_S)
        self._end(begin_s)

    async def _replace_all(
        self, name: str, node_path: pathlib.Path | None
    ) -> None:
        """Replace all nodes in turn, with a pause after half of them."""
        hosts = list(self._deployment.hosts)
        self._rng.shuffle(hosts)
        half = len(hosts) // 2
        for part, label in (
            (hosts[:half], "first half"),
            (hosts[half:], "second half"),
        ):
            begin_s = self._begin(f"{name}, {label}")
            for host in part:
                await self._replace(host, node_path)
            self._end(begin_s)
            if label == "first half":
                await self._measure(f"{name}, both versions")

    async def _replace(
        self, host: int, node_path: pathlib.Path | None
    ) -> None:
        deployment = self._deployment
        deployment.nodes[host].node_path = node_path
        with deployment.record_disturbance((host,), planned=True):
            self._seen.stops.append((host, deployment.now_s()))
            _series_injector.send_to_newest(deployment, host, signal.SIGTERM)
            await asyncio.sleep(STEP_S)

    async def _change(self) -> None:
        """Make changes of all kinds in turn until cancelled."""
        deployment = self._deployment
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(CHANGE_INTERVAL_S)
                fault: _plan.Fault
                match number % 3:
                    case 0:
                        fault = _plan.KeyWithdrawn(number % 2)
                    case 1:
                        host = self._rng.randrange(len(deployment.hosts))
                        fault = _plan.ServerReplaced(host)
                    case _:
                        fault = _plan.DataCentreOut(number % 2, 2.0)
                group.create_task(
                    self._injector.inject(_plan.PlannedFault(0.0, fault))
                )
                await self._publish()
                number += 1

    async def _publish(self) -> None:
        deployment = self._deployment
        version = deployment.version + 1
        await deployment.publish()
        self._seen.written_s_by_version[version] = deployment.now_s()

    async def _restore(self) -> None:
        deployment = self._deployment
        begin_s = self._begin("restore")
        copy = deployment.store.copy()
        await asyncio.sleep(1.0)
        await deployment.restore_store(copy, AWAY_S, None, self._rng)
        await asyncio.sleep(SETTLED_S)
        self._end(begin_s)

    # What went wrong.

    def _result(self) -> Result:
        records = self._deployment.records
        all_checks: Sequence[checks.Check] = (
            checks.at_most_once,
            checks.true_refusals,
            checks.whole_answers,
            checks.withdrawn_keys,
            checks.no_new_work,
            losses.cuts,
            losses.planned_stops,
            losses.replaced_answers,
            checks.process_ends,
            checks.tracebacks,
        )
        found = [line for check in all_checks for line in check(records)]
        late_s_by_host_version = dict(self._late_s())
        found.extend(
            f"version {version} took effect at host {host} {late_s:.2f} s "
            "after it was written or the node was replaced"
            for (host, version), late_s in late_s_by_host_version.items()
            if late_s > checks.CONFIG_APPLY_S
        )
        for line in self._log_lines("link-garbled"):
            found.append(f"a link was garbled: {line}")
        return Result(
            len(records.attempts),
            sum(attempt.status == 200 for attempt in records.attempts),
            len(late_s_by_host_version),
            max(late_s_by_host_version.values(), default=0.0),
            tuple(self._seen.phases),
            tuple(found),
        )

    def _log_lines(
        self, event: str
    ) -> Iterator[tuple[int, dict[str, typing.Any]]]:
        for number in self._deployment.hosts:
            path = self._folder / f"host-{number}.log"
            for text in path.read_text().splitlines():
                if f'"{event}"' in text:
                    yield number, json.loads(text)

    def _late_s(self) -> Iterator[tuple[tuple[int, int], float]]:
        """Yield how late each table was at each host.

        A node that is replaced meanwhile gets time to start.
        """
        tables = [
            (host, line["version"], line["up_s"] - self._boot_offset_s)
            for host, line in self._log_lines("table-in-force")
        ]
        last_s = self._ended_s
        for version, written_s in self._seen.written_s_by_version.items():
            if written_s > last_s - checks.CONFIG_APPLY_S:
                continue
            for host in self._deployment.hosts:
                in_force_s = min(
                    (
                        at_s
                        for table_host, table_version, at_s in tables
                        if table_host == host and table_version >= version
                    ),
                    default=math.inf,
                )
                begins_s = [
                    stop_s + RESTART_S
                    for stopped, stop_s in self._seen.stops
                    if stopped == host
                    and written_s - RESTART_S < stop_s
                    and stop_s < written_s + checks.CONFIG_APPLY_S
                ]
                from_s = max([written_s, *begins_s])
                yield (host, version), max(0.0, in_force_s - from_s)
