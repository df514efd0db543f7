"""Run a scenario against a running deployment."""

from collections import Counter
from collections.abc import Iterable
import contextlib
import dataclasses
from dataclasses import dataclass
import json
import signal
import threading
import time
import typing

import urllib3

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.standins import _callers
from jasminecrank.standins import _deployment
from jasminecrank.standins import _readings
from jasminecrank.standins import _scenarios
from jasminecrank.standins import _traffic

# A node generates no tokens for one loan duration after its start.
_WARM_UP_S = 3.0
_READY_S = 30.0
_SETTLE_S = 3.0
_ADMIN_TIMEOUT_S = 5.0


@dataclass(slots=True, frozen=True)
class Change:
    """A published version and the hosts that were reachable at that time."""

    document: state.DocumentName
    number: int
    published_ms: int
    hosts: frozenset[str]


@dataclass(slots=True, frozen=True)
class Audit:
    """Faults that the backend servers and the nodes have counted."""

    booked_twice: int
    overloads: int
    keys_seen: int
    violations: int


@dataclass(slots=True, frozen=True)
class RunResult:
    """Samples, resource usage, convergence and faults of a run."""

    samples: tuple[_callers.Sample, ...]
    usage: _readings.Usage
    convergence_ms: tuple[float, ...]
    not_converged: int
    audit: Audit


class ScenarioRun:
    """Runs the traffic and the actions of one scenario."""

    def __init__(
        self,
        deployment: _deployment.Deployment,
        scenario: _scenarios.Scenario,
        direct_port: int,
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._direct_port = direct_port
        self._changes: list[Change] = []
        self._unreachable: set[str] = set()
        self._weight = 0

    def run(self) -> RunResult:
        """Run the scenario once and collect its results."""
        deployment = self._deployment
        hosts = deployment.publish_hosts(deployment.hosts())
        ready = deployment.await_versions(hosts, _READY_S)
        if ready.keys() != deployment.node_by_host.keys():
            raise exceptions.JasminecrankError(
                f"only {sorted(ready)} are ready after {_READY_S} s"
            )
        early = [one for one in self._scenario.actions if one.at_s < 0]
        for action in early:
            self._apply(action)
        _wait_until(time.monotonic() + _WARM_UP_S)
        samples, usage = self._run_traffic(
            self._scenario.actions[len(early) :]
        )
        _wait_until(time.monotonic() + _SETTLE_S)
        delays, missing = self._convergence()
        bookings = {one.request_id for one in samples if one.booking}
        return RunResult(
            samples, usage, delays, missing, audit(deployment, bookings)
        )

    def _run_traffic(
        self, actions: Iterable[_scenarios.Action]
    ) -> tuple[tuple[_callers.Sample, ...], _readings.Usage]:
        scenario = self._scenario
        traffic = None
        start_s = time.monotonic()
        if scenario.load is not None:
            traffic = _traffic.Traffic.start(
                self._deployment,
                scenario.load,
                scenario.duration_s,
                self._direct_port,
            )
            start_s = traffic.start_s
        try:
            _wait_until(start_s)
            before = _readings.read_nodes(self._deployment)
            late = []
            for action in actions:
                if action.at_s > scenario.duration_s:
                    late.append(action)
                    continue
                _wait_until(start_s + action.at_s)
                self._apply(action)
            _wait_until(start_s + scenario.duration_s)
            after = _readings.read_nodes(self._deployment)
            samples = traffic.finish() if traffic else ()
            for action in late:
                _wait_until(start_s + action.at_s)
                self._apply(action)
        finally:
            if traffic is not None:
                traffic.stop()
        return samples, _readings.usage(before, after)

    def _apply(self, action: _scenarios.Action) -> None:
        deployment = self._deployment
        match action:
            case _scenarios.PublishChange():
                self._publish_change()
            case _scenarios.PublishInvalid():
                deployment.publish_invalid_table()
            case _scenarios.SetOutage():
                self._set_outage(action)
            case _scenarios.KillNode():
                self._unreachable.add(action.host)
                deployment.node_by_host[action.host].process.kill()
            case _scenarios.StartNode():
                deployment.restart_node(action.host)
                self._unreachable.discard(action.host)
            case _scenarios.PauseNodes():
                self._signal(action.data_centre, signal.SIGSTOP)
            case _scenarios.ResumeNodes():
                self._signal(action.data_centre, signal.SIGCONT)
            case _scenarios.SetSource():
                deployment.platform.set_available(action.available)
            case _:
                typing.assert_never(action)

    def _signal(self, data_centre: str, number: signal.Signals) -> None:
        for row in self._deployment.hosts():
            if row.data_centre != data_centre:
                continue
            node = self._deployment.node_by_host[row.host]
            node.process.send_signal(number)
            if number is signal.SIGSTOP:
                self._unreachable.add(row.host)
            else:
                self._unreachable.discard(row.host)

    def _set_outage(self, action: _scenarios.SetOutage) -> None:
        name = state.DocumentName.OUTAGES
        rows = tuple(
            dataclasses.replace(row, state=action.state)
            if isinstance(row, state.OutageRow)
            and row.data_centre == action.data_centre
            else row
            for row in self._deployment.rows_by_name[name]
        )
        self._publish(name, rows)

    def _publish_change(self) -> None:
        name = state.DocumentName.TABLE
        self._weight = self._weight % 9 + 1
        self._publish(
            name,
            change_weight(self._deployment.rows_by_name[name], self._weight),
        )

    def _publish(
        self, name: state.DocumentName, rows: tuple[state.Row, ...]
    ) -> None:
        published_ms = time.time_ns() // 1_000_000
        document = self._deployment.publish(name, rows)
        hosts = frozenset(self._deployment.node_by_host) - self._unreachable
        self._changes.append(
            Change(name, document.version.number, published_ms, hosts)
        )

    def _convergence(self) -> tuple[tuple[float, ...], int]:
        """Return the delays until nodes accepted, and the number missing."""
        delays: list[float] = []
        missing = 0
        accepted_by_host = {
            host: _accepted(node)
            for host, node in self._deployment.node_by_host.items()
        }
        for change in self._changes:
            for host in change.hosts - self._unreachable:
                times_ms = [
                    at_ms
                    for name, number, at_ms in accepted_by_host[host]
                    if name == change.document.value
                    and number >= change.number
                ]
                if times_ms:
                    delays.append(max(0, min(times_ms) - change.published_ms))
                else:
                    missing += 1
        return tuple(delays), missing


def change_weight(
    rows: tuple[state.Row, ...], weight: int
) -> tuple[state.Row, ...]:
    """Return the rows with the weight of the first limit replaced."""
    index, limit = next(
        (index, row)
        for index, row in enumerate(rows)
        if isinstance(row, state.LimitRow)
    )
    changed = dataclasses.replace(limit, weight=weight)
    return (*rows[:index], changed, *rows[index + 1 :])


def runs_by_request(deployment: _deployment.Deployment) -> Counter[str]:
    """Return the number of runs by request id over all backend servers."""
    runs: Counter[str] = Counter()
    for host in deployment.server_by_host:
        runs.update(deployment.runs(host))
    return runs


def audit(deployment: _deployment.Deployment, bookings: set[str]) -> Audit:
    """Collect the faults counted by the backend servers and the nodes."""
    audits = [deployment.audit(host) for host in deployment.server_by_host]
    runs = runs_by_request(deployment)
    statuses = [deployment.status(host) for host in deployment.node_by_host]
    return Audit(
        booked_twice=sum(runs[request_id] > 1 for request_id in bookings),
        overloads=sum(one.get("overloads", 0) for one in audits),
        keys_seen=sum(one.get("keys_seen", 0) for one in audits),
        violations=sum(
            sum(status["invariant_violations"].values())
            for status in statuses
            if status is not None
        ),
    )


def _accepted(
    node: _deployment.NodeProcess,
) -> tuple[tuple[str, int, int], ...]:
    """Return document, number and time of each accepted version."""
    events: list[dict[str, typing.Any]] = []
    with contextlib.suppress(urllib3.exceptions.HTTPError, ValueError):
        response = urllib3.request(
            "GET",
            f"http://127.0.0.1:{node.admin_port}/events",
            timeout=_ADMIN_TIMEOUT_S,
            retries=False,
        )
        events = json.loads(response.data)
    return tuple(
        (
            event["document"],
            int(event["version"].partition("-")[0]),
            event["stamp"][0],
        )
        for event in events
        if event["event"] == "version-accepted"
    )


def _wait_until(at_s: float) -> None:
    delay_s = at_s - time.monotonic()
    if delay_s > 0:
        threading.Event().wait(delay_s)
