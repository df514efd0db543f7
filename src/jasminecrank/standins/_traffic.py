"""Traffic of all teams, derived from the table, in caller processes."""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import subprocess
import sys
import time

from jasminecrank import state
from jasminecrank.standins import _callers
from jasminecrank.standins import _deployment

DIRECT_LABEL = "direct"
OPEN_LABEL = "open"
_PROCESSES = 4
MAX_STREAM_RATE = 40.0
_DIRECT_RATE = 10.0
_OPEN_RATE = 4.0
_MAX_CALLS = 4000
_START_DELAY_S = 1.0
_FINISH_TIMEOUT_S = 30.0
_LOOKUP_WEIGHT = 7
_BOOKING_WEIGHT = 2
_INTERNAL_WEIGHT = 1


@dataclass(slots=True, frozen=True)
class EvenSpread:
    """The calls of each team are split equally over the hosts of a service."""


@dataclass(slots=True, frozen=True)
class SingleHostSpread:
    """All calls go to the first host of a service."""


Spread = EvenSpread | SingleHostSpread


@dataclass(slots=True, frozen=True)
class Load:
    """Fraction of its rate that each team sends, and the choice of hosts."""

    rate_fraction: float
    spread: Spread = EvenSpread()
    excess_team: str = ""
    excess_factor: float = 1.0
    repeat_part: float = 0.0


class Traffic:
    """Starts and stops the caller processes of one run."""

    def __init__(
        self, processes: list[subprocess.Popen[str]], end_s: float
    ) -> None:
        self._processes = processes
        self._end_s = end_s
        self.start_s = 0.0

    @classmethod
    def start(
        cls,
        deployment: _deployment.Deployment,
        load: Load,
        duration_s: float,
        direct_port: int | None,
    ) -> "Traffic":
        """Start the caller processes, which send calls for duration_s."""
        streams = tuple(_streams(deployment, load))
        start_s = time.monotonic() + _START_DELAY_S
        traffic = cls([], start_s + duration_s)
        traffic.start_s = start_s
        for index in range(_PROCESSES):
            process_streams = streams[index::_PROCESSES]
            if direct_port is not None:
                process_streams += (
                    _direct_stream(deployment, direct_port, index),
                )
            plan = _callers.Plan(
                start_s,
                start_s + duration_s,
                _MAX_CALLS,
                load.repeat_part,
                process_streams,
            )
            traffic._processes.append(_start_process(plan))
        return traffic

    def finish(self) -> tuple[_callers.Sample, ...]:
        """Wait until the callers exit and return all samples by start time."""
        samples: list[_callers.Sample] = []
        for process in self._processes:
            remaining_s = max(0.0, self._end_s - time.monotonic())
            output, _ = process.communicate(
                timeout=remaining_s + _FINISH_TIMEOUT_S
            )
            samples.extend(_callers.decode_samples(output))
        return tuple(sorted(samples, key=lambda sample: sample.at_s))

    def stop(self) -> None:
        """Kill the caller processes that are still running."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.communicate()


def _start_process(plan: _callers.Plan) -> subprocess.Popen[str]:
    process = subprocess.Popen(
        [sys.executable, "-m", "jasminecrank.standins._callers"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    if process.stdin is not None:
        process.stdin.write(_callers.encode_plan(plan))
        process.stdin.close()
        process.stdin = None
    return process


def _streams(
    deployment: _deployment.Deployment, load: Load
) -> Iterator[_callers.Stream]:
    table = deployment.rows_by_name[state.DocumentName.TABLE]
    ports_by_service = call_ports(deployment)
    seed = 0
    for limit in table:
        if not isinstance(limit, state.LimitRow):
            continue
        rate = limit.rate * load.rate_fraction
        if limit.team == load.excess_team:
            rate = limit.rate * load.excess_factor
        kinds = tuple(_weighted_call_kinds(table, limit.service))
        ports = ports_by_service[limit.service]
        for first, stream_rate in split_rate(load.spread, len(ports), rate):
            seed += 1
            yield _callers.Stream(
                label=limit.service,
                team=limit.team,
                key=f"{deployment.name}-key-{limit.team}",
                kinds=kinds,
                ports=ports[first:] + ports[:first],
                rate=stream_rate,
                seed=seed,
            )
    yield from _open_streams(table, ports_by_service)


def _open_streams(
    table: tuple[state.Row, ...],
    ports_by_service: Mapping[str, tuple[int, ...]],
) -> Iterator[_callers.Stream]:
    for seed, route in enumerate(table):
        if isinstance(route, state.RouteRow) and route.open_to_all:
            yield _callers.Stream(
                label=OPEN_LABEL,
                team="",
                key="",
                kinds=(_call_kind(route),),
                ports=ports_by_service[route.service],
                rate=_OPEN_RATE,
                seed=10_000 + seed,
            )


def _direct_stream(
    deployment: _deployment.Deployment, port: int, index: int
) -> _callers.Stream:
    table = deployment.rows_by_name[state.DocumentName.TABLE]
    service = deployment.hosts()[0].service
    return _callers.Stream(
        label=DIRECT_LABEL,
        team="",
        key="",
        kinds=tuple(_weighted_call_kinds(table, service)),
        ports=(port,),
        rate=_DIRECT_RATE,
        seed=20_000 + index,
    )


def split_rate(
    spread: Spread, hosts: int, rate: float
) -> Iterator[tuple[int, float]]:
    """Yield the index of the first host and the rate of each stream."""
    match spread:
        case EvenSpread():
            first_hosts = tuple(range(hosts))
        case SingleHostSpread():
            first_hosts = (0,)
    host_rate = rate / len(first_hosts)
    streams = int(host_rate // MAX_STREAM_RATE) + 1
    for first in first_hosts:
        for _ in range(streams):
            yield first, host_rate / streams


def _weighted_call_kinds(
    table: tuple[state.Row, ...], service: str
) -> Iterator[_callers.CallKind]:
    for route in table:
        if not isinstance(route, state.RouteRow) or route.open_to_all:
            continue
        if route.service != service:
            continue
        if route.priority is state.Priority.INTERNAL:
            weight = _INTERNAL_WEIGHT
        elif route.kind is state.RouteKind.BOOKING:
            weight = _BOOKING_WEIGHT
        else:
            weight = _LOOKUP_WEIGHT
        yield from [_call_kind(route)] * weight


def _call_kind(route: state.RouteRow) -> _callers.CallKind:
    return _callers.CallKind(
        route.method,
        route.path_prefix,
        route.kind is state.RouteKind.BOOKING,
    )


def call_ports(
    deployment: _deployment.Deployment,
) -> dict[str, tuple[int, ...]]:
    """Return the call ports by service, in the order of the host list."""
    by_service: dict[str, tuple[int, ...]] = {}
    for row in deployment.hosts():
        port = deployment.node_by_host[row.host].call_port
        by_service[row.service] = (*by_service.get(row.service, ()), port)
    return by_service
