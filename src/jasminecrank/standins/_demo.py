"""Demonstration of the main functions, with a check of each result."""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from dataclasses import dataclass
import json
import signal
import threading
import time
import typing

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.standins import _callers
from jasminecrank.standins import _deployment
from jasminecrank.standins import _run
from jasminecrank.standins import _traffic

_LOAD = _traffic.Load(rate_fraction=0.15, repeat_part=0.2)
_TRAFFIC_S = 60.0
_IN_FORCE_TIMEOUT_S = 14.0
_PROPAGATION_WAIT_S = 4.0
_OUTAGE_OBSERVATION_S = 4.0
_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 35.0


@dataclass(slots=True, frozen=True)
class Check:
    """Name, result and details of one check of the run."""

    name: str
    held: bool
    detail: str


@dataclass(slots=True, frozen=True)
class _Withdrawal:
    team: str
    at_s: float


class Demo:
    """Runs the steps and checks on a running deployment."""

    def __init__(
        self,
        deployment: _deployment.Deployment,
        show: Callable[[Check], None],
    ) -> None:
        self._deployment = deployment
        self._show = show
        self._withdrawn: _Withdrawal | None = None
        self.checks: list[Check] = []

    def run(self) -> bool:
        """Run all steps and return whether every check passed."""
        deployment = self._deployment
        document = deployment.publish_hosts(deployment.hosts())
        self._check_in_force("all nodes are ready", document, _READY_TIMEOUT_S)
        traffic = _traffic.Traffic.start(deployment, _LOAD, _TRAFFIC_S, None)
        try:
            self._wait(3.0)
            self._change_table()
            self._refuse_bad_version()
            self._withdraw_key()
            self._take_out_data_centre()
            self._kill_node()
            samples = traffic.finish()
        finally:
            traffic.stop()
        self._check_traffic(samples)
        self._check_servers(samples)
        self._check_versions()
        self._check_stop()
        return all(check.held for check in self.checks)

    def _change_table(self) -> None:
        name = state.DocumentName.TABLE
        rows = _run.change_weight(self._deployment.rows_by_name[name], 3)
        document = self._deployment.publish(name, rows)
        self._check_in_force(
            "a changed table is in force on every node",
            document,
            _IN_FORCE_TIMEOUT_S,
        )

    def _refuse_bad_version(self) -> None:
        deployment = self._deployment
        number = deployment.publish_invalid_table()
        self._wait(3.0)
        shown = {
            _number(status["versions"]["table"]) for status in self._statuses()
        }
        refusals = sum(
            line.get("event") == "version-invalid"
            and _number(line["version"]) == number
            for host in deployment.node_by_host
            for line in self._log(host)
        )
        self._check(
            "a bad version is refused and the last good one stays",
            shown == {number - 1} and refusals > 0,
            f"bad version {number}, in force {sorted(shown)}, "
            f"{refusals} refusals logged",
        )
        name = state.DocumentName.TABLE
        rows = _run.change_weight(deployment.rows_by_name[name], 4)
        document = deployment.publish(name, rows)
        self._check_in_force(
            "the next good version is in force", document, _IN_FORCE_TIMEOUT_S
        )

    def _withdraw_key(self) -> None:
        name = state.DocumentName.KEYS
        *kept, withdrawn_row = self._deployment.rows_by_name[name]
        document = self._deployment.publish(name, tuple(kept))
        team = (
            withdrawn_row.team
            if isinstance(withdrawn_row, state.KeyRow)
            else ""
        )
        self._withdrawn = _Withdrawal(team, time.monotonic())
        self._check_in_force(
            f"the key of {team} is withdrawn on every node",
            document,
            _IN_FORCE_TIMEOUT_S,
        )
        self._wait(_PROPAGATION_WAIT_S)

    def _take_out_data_centre(self) -> None:
        data_centre = self._deployment.hosts()[0].data_centre
        self._set_outage(data_centre, state.OutageState.OUT_OF_SERVICE)
        self._wait(_PROPAGATION_WAIT_S)
        before = self._runs_in(data_centre)
        self._wait(_OUTAGE_OBSERVATION_S)
        after = self._runs_in(data_centre)
        self._check(
            f"{data_centre} gets no new work while it is out",
            before == after,
            f"{after - before} calls run in {_OUTAGE_OBSERVATION_S:.0f} s, "
            f"from {_PROPAGATION_WAIT_S:.0f} s after it went out",
        )
        self._set_outage(data_centre, state.OutageState.IN_SERVICE)
        self._wait(_PROPAGATION_WAIT_S)
        returned = self._runs_in(data_centre)
        self._check(
            f"{data_centre} works again after its return",
            returned > after,
            f"{returned - after} calls run in {_PROPAGATION_WAIT_S:.0f} s",
        )

    def _set_outage(self, data_centre: str, outage: state.OutageState) -> None:
        name = state.DocumentName.OUTAGES
        rows = tuple(
            dataclasses.replace(row, state=outage)
            if isinstance(row, state.OutageRow)
            and row.data_centre == data_centre
            else row
            for row in self._deployment.rows_by_name[name]
        )
        document = self._deployment.publish(name, rows)
        self._check_in_force(
            f"{data_centre} is {outage.value} on every node",
            document,
            _IN_FORCE_TIMEOUT_S,
        )

    def _kill_node(self) -> None:
        deployment = self._deployment
        host = deployment.hosts()[-1].host
        deployment.node_by_host[host].process.kill()
        self._wait(2.0)
        deployment.restart_node(host)
        name = state.DocumentName.TABLE
        rows = _run.change_weight(deployment.rows_by_name[name], 5)
        document = deployment.publish(name, rows)
        self._check_in_force(
            f"{host} was killed, is back and has the newest version",
            document,
            _IN_FORCE_TIMEOUT_S,
        )

    def _check_traffic(self, samples: tuple[_callers.Sample, ...]) -> None:
        withdrawn = self._withdrawn or _Withdrawal("", 0.0)
        late = [
            sample
            for sample in samples
            if sample.team == withdrawn.team
            and sample.at_s > withdrawn.at_s + _PROPAGATION_WAIT_S
        ]
        self._check(
            f"no request with the key of {withdrawn.team} is answered after "
            f"{_PROPAGATION_WAIT_S:.0f} s",
            bool(late) and not any(one.answered for one in late),
            f"{sum(one.answered for one in late)} of {len(late)} answered",
        )
        by_team: defaultdict[str, list[bool]] = defaultdict(list)
        for sample in samples:
            if sample.team != withdrawn.team or sample.at_s < withdrawn.at_s:
                by_team[sample.team or "open route"].append(sample.answered)
        share_by_team = {
            team: sum(seen) / len(seen) for team, seen in by_team.items()
        }
        worst = min(share_by_team, key=lambda team: share_by_team[team])
        self._check(
            "calls of every team and of the open route are answered",
            all(share > 0 for share in share_by_team.values()),
            f"{len(samples)} calls, worst-served {worst} with "
            f"{100 * share_by_team[worst]:.2f} %",
        )

    def _check_servers(self, samples: tuple[_callers.Sample, ...]) -> None:
        runs = _run.runs_by_request(self._deployment)
        bookings = {one.request_id for one in samples if one.booking}
        found = _run.audit(self._deployment, bookings)
        repeats = sum(one.label.endswith(" repeat") for one in samples)
        self._check(
            "no booking is run twice",
            found.booked_twice == 0,
            f"{found.booked_twice} of {len(bookings)} bookings, "
            f"{repeats} of them repeated by their callers",
        )
        self._check(
            "no backend server sees a key",
            found.keys_seen == 0,
            f"{found.keys_seen} keys seen",
        )
        self._check(
            "no cold backend server is overloaded",
            found.overloads == 0,
            f"{found.overloads} calls above capacity",
        )
        states: defaultdict[str, set[str]] = defaultdict(set)
        for sample in samples:
            states[sample.request_id].add(sample.run_state)
        false_refusals = sum(
            seen == {exceptions.RunState.NOT_RUN.value} and runs[one] > 0
            for one, seen in states.items()
        )
        self._check(
            "every refusal that says not-run is true",
            false_refusals == 0,
            f"{false_refusals} refused requests ran",
        )

    def _check_versions(self) -> None:
        newest_by_name = {
            name: max(
                _number(status["versions"][name.value])
                for status in self._statuses()
            )
            for name in state.DocumentName
        }
        behind = [
            status["host"]
            for status in self._statuses()
            for name, number in newest_by_name.items()
            if _number(status["versions"][name.value]) < number
        ]
        decreases = sum(
            self._decreases(host) for host in self._deployment.node_by_host
        )
        self._check(
            "no node is at, or returned to, an older version",
            not behind and decreases == 0,
            f"{len(behind)} behind, {decreases} returns to older versions",
        )
        broken = [
            line.get("message", "")
            for host in self._deployment.node_by_host
            for line in self._log(host)
            if "invariant" in line.get("message", "").lower()
        ]
        self._check(
            "no invariant is violated",
            not broken,
            broken[0] if broken else "0 in the logs of all nodes",
        )

    def _decreases(self, host: str) -> int:
        highest: dict[str, int] = {}
        decreases = 0
        for line in self._log(host):
            if line.get("event") == "listening":
                highest.clear()
            if line.get("event") != "version-accepted":
                continue
            number = _number(line["version"])
            decreases += number <= highest.get(line["document"], 0)
            highest[line["document"]] = number
        return decreases

    def _check_stop(self) -> None:
        nodes = self._deployment.node_by_host
        for node in nodes.values():
            node.process.send_signal(signal.SIGTERM)
        statuses = [
            node.process.wait(_STOP_TIMEOUT_S) for node in nodes.values()
        ]
        self._check(
            "all nodes stop with status 0",
            set(statuses) == {0},
            f"{statuses.count(0)} of {len(statuses)}",
        )

    def _check_in_force(
        self, name: str, document: state.Document, timeout_s: float
    ) -> None:
        by_host = self._deployment.await_versions(document, timeout_s)
        nodes = len(self._deployment.node_by_host)
        slowest_s = max(by_host.values(), default=timeout_s)
        self._check(
            name,
            len(by_host) == nodes,
            f"{len(by_host)} of {nodes} nodes after {slowest_s:.2f} s",
        )

    def _check(self, name: str, held: bool, detail: str) -> None:
        check = Check(name, held, detail)
        self.checks.append(check)
        self._show(check)

    def _runs_in(self, data_centre: str) -> int:
        return sum(
            self._deployment.audit(row.host)["runs"]
            for row in self._deployment.hosts()
            if row.data_centre == data_centre
        )

    def _statuses(self) -> Iterator[typing.Mapping[str, typing.Any]]:
        for host in self._deployment.node_by_host:
            status = self._deployment.status(host)
            if status is not None:
                yield status

    def _log(self, host: str) -> Iterator[dict[str, typing.Any]]:
        path = self._deployment.node_by_host[host].log_path
        for line in path.read_text().splitlines():
            try:
                values = json.loads(line)
            except ValueError:
                # A traceback on standard error is not in JSON.
                values = {"message": line}
            yield values

    def _wait(self, delay_s: float) -> None:
        threading.Event().wait(delay_s)


def _number(version: str) -> int:
    return int(version.partition("-")[0])
