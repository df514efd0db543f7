"""Runs in which the store comes back from an older copy."""

import asyncio
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
import enum
import json
import math
import pathlib
import random
import signal
import time
import typing

from jasminecrank.standins.soak import _callers
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _probes
from jasminecrank.standins.soak import _processes
from jasminecrank.standins.soak import _proxy
from jasminecrank.standins.soak import checks
from jasminecrank.standins.soak import losses
from jasminecrank.standins.soak import observed

CALLERS_PER_HOST = 2
PROBE_INTERVAL_S = 0.1
CALM_S = 1.5
"""Time before a copy."""
JUDGED_S = 4.5
"""Time for which the effects of the last entries are observed."""
DRAIN_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
"""The platform's drainMs and evacuateMs."""
KNOWN_S = 0.5
"""Time after which running nodes know an entry."""
MIN_LOST_S = 1.0
MAX_LOST_S = 2.0
"""Time between a copy and the restore."""
MIN_SERVED_RATIO = 0.5
MIN_JUDGED_PROBES = 5
ADDED_SERVER_S = 3.0
"""Time from its last registration in which a server gets requests."""
RESTART_S = 1.5
"""Time in which a killed node serves again."""
MAX_COPY_AGE = 500
MIN_COPY_AGE = 10
RANDOM_RESTORES = 2
TEAM = "team-0"


class Meanwhile(enum.Enum):
    """What else happens while the store is restored."""

    NODE_RESTARTS = "a node restarts"
    STORE_CUT = "a third is cut from the store"
    DATA_CENTRES_CUT = "the data centres are cut from each other"


class LostChange(enum.Enum):
    """Change that is written after the copy."""

    NOTHING = "nothing else"
    KEY_WITHDRAWN = "a key is withdrawn"
    DATA_CENTRE_OUT = "a data centre is taken out"
    SERVER_REPLACED = "a server is replaced"
    SERVER_ADDED = "a server is added"
    SERVER_DRAINING = "a server drains"


@dataclass(slots=True, frozen=True)
class Restore:
    """A restore of the store, and what goes on beside it."""

    copy_age: int
    """Revisions that are lost."""
    away_s: float
    change: LostChange = LostChange.NOTHING
    meanwhile: frozenset[Meanwhile] = frozenset()
    again_after_s: float | None = None
    """Time until a second restore from the same copy, None for none."""
    change_before_s: float = 0.6
    """Time between the change and the restore."""

    @classmethod
    def draw(cls, rng: random.Random, changes: list[LostChange]) -> "Restore":
        """Return a restore with one of the changes."""
        return cls(
            rng.randint(MIN_COPY_AGE, MAX_COPY_AGE),
            rng.uniform(0.1, 5.0),
            rng.choice(changes),
            frozenset(item for item in Meanwhile if rng.random() < 0.4),
            rng.choice((None, None, rng.uniform(0.2, 0.8))),
            rng.uniform(0.0, MIN_LOST_S),
        )

    def __str__(self) -> str:
        """Return a short description."""
        again = "" if self.again_after_s is None else ", twice"
        beside = "".join(
            f", {item.value}" for item in Meanwhile if item in self.meanwhile
        )
        return (
            f"{self.copy_age} revisions, away {self.away_s:.1f} s{again}, "
            f"{self.change.value}{beside}"
        )


def draw_restores(seed: int) -> tuple[Restore, ...]:
    """Return the restores of a seed; a server is added at most once."""
    rng = random.Random(f"restore run {seed}")
    changes = list(LostChange)
    restores = []
    for _ in range(RANDOM_RESTORES):
        restores.append(Restore.draw(rng, changes))
        changes = [item for item in changes if item != restores[-1].change]
    return tuple(restores)


@dataclass(slots=True, frozen=True)
class Result:
    """What went wrong in a run, one line for each case."""

    requests: int
    configurations: int
    """Nodes times configurations written after a restore."""
    late_configurations: tuple[str, ...]
    late_runs: tuple[str, ...]
    """At servers that were draining or out of service."""
    returns: tuple[str, ...]
    """To an older table: routes, versions and withdrawn keys."""
    lost: tuple[str, ...]
    unserved: tuple[str, ...]

    @property
    def lines_by_name(self) -> dict[str, tuple[str, ...]]:
        """The cases by a name that tells what went wrong."""
        return {
            "configurations later than 2 s": self.late_configurations,
            "runs begun at a leaving server too late": self.late_runs,
            "returns to an older table": self.returns,
            "requests lost": self.lost,
            "times without service": self.unserved,
        }


@dataclass(slots=True)
class _Leaving:
    """A server that is leaving from the acknowledgement of an entry on."""

    host: int
    written_s: float
    limit_s: float
    until_s: float = math.inf


@dataclass(slots=True, frozen=True)
class _InForce:
    """A table that took effect, by a node's log."""

    host: int
    version: int
    at_s: float


@dataclass(slots=True)
class _Observations:
    """What a run has seen besides the records."""

    leaving: list[_Leaving] = field(default_factory=list)
    written_s_by_version: dict[int, float] = field(default_factory=dict)
    """When configurations written after a restore were acknowledged."""
    added_servers: list[tuple[int, float]] = field(default_factory=list)
    """Hosts with a new server, and when it had registered at last."""
    restarts: list[tuple[int, float]] = field(default_factory=list)


class RestoreRun:
    """Plays restores on a deployment of its own."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        restores: tuple[Restore, ...],
        folder: pathlib.Path,
        node_path: pathlib.Path | None = None,
    ) -> None:
        self._rng = random.Random(f"restores of {seed}")
        self._restores = restores
        self._folder = folder
        self._seed = seed
        self._deployment = _deployment.SoakDeployment(
            random.Random(seed), hosts, folder, node_path
        )
        self._seen = _Observations()
        self._boot_offset_s = 0.0
        """Boot time at the time 0 of the run."""
        self._added_host: int | None = None
        if any(item.change is LostChange.SERVER_ADDED for item in restores):
            self._added_host = hosts - 1
            self._deployment.unlisted_hosts.add(hosts - 1)

    def run(self) -> Result:
        """Play the restores and return what went wrong."""
        asyncio.run(self._play())
        return self._result()

    async def _play(self) -> None:
        _processes.stop_on_sigterm()
        deployment = self._deployment
        pool = _callers.CallerPool(deployment, self._seed)
        try:
            await deployment.start()
            self._boot_offset_s = (
                time.clock_gettime(time.CLOCK_BOOTTIME) - deployment.now_s()
            )
            pool.start_plain(CALLERS_PER_HOST)
            for number in deployment.hosts:
                prober = _probes.Prober(
                    deployment, pool, number, PROBE_INTERVAL_S
                )
                pool.start_task(prober.run())
            for restore in self._restores:
                await asyncio.sleep(CALM_S)
                await self._restore(restore)
        finally:
            await pool.stop()
            await deployment.close()

    async def _restore(self, restore: Restore) -> None:
        deployment = self._deployment
        copy = deployment.store.copy()
        begin_s = deployment.now_s()
        lost_s = self._rng.uniform(MIN_LOST_S, MAX_LOST_S)
        changed = asyncio.create_task(
            self._change(restore.change, lost_s - restore.change_before_s)
        )
        await self._lose(copy.revision + restore.copy_age, begin_s + lost_s)
        await changed
        async with contextlib.AsyncExitStack() as stack:
            for proxies in self._cut_proxies(restore.meanwhile):
                await stack.enter_async_context(self._cut(proxies))
            restarts = asyncio.create_task(self._restart_beside(restore))
            restored_s = deployment.now_s()
            await deployment.restore_store(
                copy, restore.away_s, restore.again_after_s, self._rng
            )
            await restarts
            self._renew_leaving(restored_s)
            await self._write_after()
            await asyncio.sleep(JUDGED_S)
        await self._end_changes(restore.change)

    async def _lose(self, revision: int, end_s: float) -> None:
        """Renew entries until the store has a revision and time has passed."""
        deployment = self._deployment
        number = 0
        while (left := revision - deployment.store.revision) > 0:
            left_s = end_s - deployment.now_s()
            await asyncio.sleep(max(0.0, left_s / left))
            await deployment.renew(number % len(deployment.hosts))
            number += 1
        await asyncio.sleep(max(0.0, end_s - deployment.now_s()))

    async def _change(self, change: LostChange, delay_s: float) -> None:
        """Add a route and make another change."""
        deployment = self._deployment
        await asyncio.sleep(delay_s)
        await deployment.add_route()
        match change:
            case LostChange.NOTHING:
                pass
            case LostChange.KEY_WITHDRAWN:
                deployment.issue_key(TEAM)
                key = deployment.keys_by_team[TEAM].pop(0)
                await deployment.publish()
                deployment.records.withdrawn_s_by_key[key] = deployment.now_s()
            case LostChange.DATA_CENTRE_OUT:
                await deployment.write(_OUT_KEY, {})
                for number in deployment.hosts[1::2]:
                    self._leave(number, EVACUATION_LIMIT_S)
            case LostChange.SERVER_REPLACED:
                await deployment.restart_server(2, 0.0)
                self._seen.added_servers.append((2, math.inf))
            case LostChange.SERVER_ADDED:
                assert self._added_host is not None
                await deployment.register(self._added_host, "ready")
                self._seen.added_servers.append((self._added_host, math.inf))
            case LostChange.SERVER_DRAINING:
                await deployment.register(2, "draining")
                self._leave(2, DRAIN_LIMIT_S)
            case _:
                typing.assert_never(change)

    def _leave(self, host: int, limit_s: float) -> None:
        self._seen.leaving.append(
            _Leaving(host, self._deployment.now_s(), limit_s)
        )

    def _renew_leaving(self, restored_s: float) -> None:
        """Take note of what is written again after a restore."""
        written_s = max(
            renewal.written_s for renewal in self._deployment.records.renewals
        )
        self._seen.added_servers = [
            (host, min(added_s, written_s))
            for host, added_s in self._seen.added_servers
        ]
        for leaving in self._seen.leaving:
            if restored_s - KNOWN_S < leaving.written_s < written_s:
                leaving.written_s = written_s

    async def _write_after(self) -> None:
        """Write a configuration and drain a server after a restore."""
        deployment = self._deployment
        await deployment.register(0, "draining")
        self._leave(0, DRAIN_LIMIT_S)
        await deployment.add_route()
        self._seen.written_s_by_version[deployment.version] = (
            deployment.now_s()
        )

    async def _end_changes(self, change: LostChange) -> None:
        deployment = self._deployment
        if change is LostChange.DATA_CENTRE_OUT:
            await deployment.remove(_OUT_KEY)
        drained = {
            leaving.host
            for leaving in self._seen.leaving
            if leaving.until_s == math.inf and leaving.limit_s == DRAIN_LIMIT_S
        }
        for leaving in self._seen.leaving:
            leaving.until_s = min(leaving.until_s, deployment.now_s())
        for host in drained:
            await deployment.restart_server(host, 0.0)

    async def _restart_beside(self, restore: Restore) -> None:
        """Kill a node while the store is away, if the restore has it."""
        deployment = self._deployment
        if Meanwhile.NODE_RESTARTS not in restore.meanwhile:
            return
        host = len(deployment.hosts) - 2
        await asyncio.sleep(self._rng.uniform(0.0, restore.away_s))
        self._seen.restarts.append((host, deployment.now_s()))
        with deployment.record_disturbance(
            (host,), excused=observed.Excused.OWN
        ):
            deployment.nodes[host].send_signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)

    def _cut_proxies(
        self, meanwhile: frozenset[Meanwhile]
    ) -> Iterator[list[_proxy.Proxy]]:
        deployment = self._deployment
        if Meanwhile.STORE_CUT in meanwhile:
            count = len(deployment.hosts) // 3
            yield deployment.store_proxies[:count]
        if Meanwhile.DATA_CENTRES_CUT in meanwhile:
            yield [
                proxy
                for pair, proxy in deployment.link_proxy_by_hosts.items()
                if sum(pair) % 2
            ]

    @contextlib.asynccontextmanager
    async def _cut(
        self, proxies: list[_proxy.Proxy]
    ) -> typing.AsyncIterator[None]:
        between_nodes = proxies[0] not in self._deployment.store_proxies
        excused = (
            observed.Excused.ALL if between_nodes else observed.Excused.NONE
        )
        hosts = self._deployment.hosts if between_nodes else ()
        condition = self._rng.choice(
            (_proxy.LinkCondition.SILENT, _proxy.LinkCondition.RESET)
        )
        with self._deployment.record_disturbance(hosts, excused=excused):
            for proxy in proxies:
                proxy.set_condition(condition)
            yield
            for proxy in proxies:
                proxy.set_condition(_proxy.LinkCondition.NORMAL)

    # What went wrong.

    def _result(self) -> Result:
        records = self._deployment.records
        tables = list(self._tables_in_force())
        return Result(
            len(records.attempts),
            len(self._seen.written_s_by_version) * len(self._deployment.hosts),
            tuple(self._late_configurations(tables)),
            tuple(self._late_runs()),
            (
                *self._version_returns(tables),
                *self._route_returns(),
                *checks.withdrawn_keys(records),
            ),
            tuple(losses.cuts(records)),
            tuple(self._unserved()),
        )

    def _tables_in_force(self) -> Iterator[_InForce]:
        for number in self._deployment.hosts:
            path = self._folder / f"host-{number}.log"
            for text in path.read_text().splitlines():
                if '"table-in-force"' in text:
                    line = json.loads(text)
                    at_s = line["up_s"] - self._boot_offset_s
                    yield _InForce(number, line["version"], at_s)

    def _late_configurations(self, tables: list[_InForce]) -> Iterator[str]:
        for version, written_s in self._seen.written_s_by_version.items():
            for host in self._deployment.hosts:
                late_s = min(
                    (
                        table.at_s - written_s
                        for table in tables
                        if table.host == host and table.version >= version
                    ),
                    default=math.inf,
                )
                if late_s > checks.CONFIG_APPLY_S:
                    yield (
                        f"version {version}, written at {written_s:.2f} s, "
                        f"took effect at host {host} after {late_s:.2f} s"
                    )

    def _late_runs(self) -> Iterator[str]:
        records = self._deployment.records
        for leaving in self._seen.leaving:
            for arrival in records.arrivals:
                late_s = arrival.at_s - leaving.written_s
                if (
                    arrival.host == leaving.host
                    and late_s > leaving.limit_s
                    and arrival.at_s < leaving.until_s
                ):
                    yield (
                        f"{arrival.request_id} reached the leaving server of "
                        f"host {arrival.host} at {arrival.at_s:.2f} s, "
                        f"{late_s:.2f} s after its entry"
                    )

    def _version_returns(self, tables: list[_InForce]) -> Iterator[str]:
        newest_by_host: dict[int, int] = {}
        for table in tables:
            newest = newest_by_host.get(table.host, 0)
            newest_by_host[table.host] = max(newest, table.version)
            if table.version < newest:
                yield (
                    f"host {table.host} went back from version {newest} to "
                    f"{table.version} at {table.at_s:.2f} s"
                )

    def _route_returns(self) -> Iterator[str]:
        """Yield requests to a route that is gone at a node that served it.

        A node that starts learns of the route from its peers.
        """
        served_s: dict[tuple[int, int, int], float] = {}
        first_served_s: dict[int, float] = {}
        for probe in sorted(
            self._deployment.records.probes, key=lambda item: item.ended_s
        ):
            if not probe.added_route:
                continue
            key = (probe.host, probe.incarnation, probe.added_route)
            if probe.status == 200:
                served_s.setdefault(key, probe.ended_s)
                first_served_s.setdefault(probe.added_route, probe.ended_s)
            elif probe.status == 404:
                known_s = served_s.get(key, math.inf)
                if probe.incarnation > 1:
                    settled_s = checks.CONFIG_APPLY_S + first_served_s.get(
                        probe.added_route, math.inf
                    )
                    known_s = min(known_s, settled_s)
                if probe.sent_s > known_s:
                    yield (
                        f"route {probe.added_route} was gone at host "
                        f"{probe.host} at {probe.sent_s:.2f} s"
                    )

    def _unserved(self) -> Iterator[str]:
        yield from self._unused_servers()
        probes_by_second: dict[tuple[int, int], list[observed.Probe]] = {}
        for probe in self._deployment.records.probes:
            if not probe.added_route and not self._is_excused(probe):
                key = (probe.host, int(probe.sent_s))
                probes_by_second.setdefault(key, []).append(probe)
        for (host, second), probes in probes_by_second.items():
            served = sum(probe.status == 200 for probe in probes)
            if len(
                probes
            ) >= MIN_JUDGED_PROBES and served < MIN_SERVED_RATIO * len(probes):
                yield (
                    f"{served} of {len(probes)} requests to host {host} "
                    f"served from {second} to {second + 1} s"
                )

    def _unused_servers(self) -> Iterator[str]:
        arrivals = self._deployment.records.arrivals
        for host, added_s in self._seen.added_servers:
            if not any(
                arrival.host == host
                and added_s < arrival.at_s < added_s + ADDED_SERVER_S
                for arrival in arrivals
            ):
                yield f"the new server of host {host} got no request"

    def _is_excused(self, probe: observed.Probe) -> bool:
        """Return whether a node was killed or links cut just before."""
        return any(
            host == probe.host
            and killed_s - 1.0 < probe.sent_s < killed_s + RESTART_S
            for host, killed_s in self._seen.restarts
        ) or any(
            disturbance.excused is observed.Excused.ALL
            and disturbance.overlaps(probe.sent_s, probe.ended_s)
            for disturbance in self._deployment.records.disturbances
        )


_OUT_KEY = f"op/evacuate/{_deployment.DATA_CENTRES[1]}"
