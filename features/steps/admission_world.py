"""Admission state of one node, driven by actions in short texts."""

import collections
import dataclasses
import uuid

from jasminecrank import state

ORDINARY = state.Priority.ORDINARY
LOOKUP = state.RouteKind.LOOKUP
BOOKING = state.RouteKind.BOOKING
KINDS = {
    "lookup": ("GET", "/lots/1"),
    "booking": ("POST", "/lots"),
    "check": ("GET", "/check"),
    "board": ("GET", "/board"),
}
ROUTES = (
    state.RouteRow(
        "lookup", "ledger", "GET", "/lots", LOOKUP, ORDINARY, False, 2000
    ),
    state.RouteRow(
        "booking", "ledger", "POST", "/lots", BOOKING, ORDINARY, False, 2000
    ),
    state.RouteRow(
        "check",
        "ledger",
        "GET",
        "/check",
        LOOKUP,
        state.Priority.INTERNAL,
        False,
        2000,
    ),
    state.RouteRow(
        "board", "ledger", "GET", "/board", LOOKUP, ORDINARY, True, 2000
    ),
)
SERVICE = state.ServiceRow("ledger", 12, 3, 10.0, 110)
LIMITS = (
    state.LimitRow("ledger", "large", 3, 1e6, 10**6, 30),
    state.LimitRow("ledger", "small", 1, 1e6, 10**6, 30),
)
DIGESTS = {"large": "aa" * 32, "small": "bb" * 32}
WARM_SERVICE = dataclasses.replace(SERVICE, ramp_s=0.0)
WAYS = {
    "from a caller": {},
    "from another node": {"forwarded_by": "silo-9"},
    "without a key": {"digest": None},
    "after trying all hosts": {
        "tried_hosts": ("ledger-1", "ledger-2", "ledger-3")
    },
}
WALL_MS = 1_800_000_000_000


def host(name, data_centre, slot, service="ledger"):
    """Return a live host."""
    return state.HostRow(
        name,
        service,
        data_centre,
        "savo",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        slot,
        state.HostState.LIVE,
    )


HOSTS = (
    host("ledger-1", "north", 0),
    host("ledger-2", "south", 1),
    host("ledger-3", "north", 2),
    host("silo-1", "north", 0, "silo"),
)


def way_fields(way):
    """Return the fields of a call that arrives in a given way."""
    if way.startswith("after trying ledger"):
        return {"tried_hosts": (way.removeprefix("after trying "),)}
    return WAYS[way]


def uuid7(wall_ms, tail=0):
    """Return a UUIDv7 key with a given timestamp."""
    value = wall_ms << 80 | 7 << 76 | 2 << 62 | tail
    return str(uuid.UUID(int=value))


def describe(decision):
    """Return a short text of a decision."""
    match decision:
        case state.Refused():
            return f"{decision.code.name} {decision.run_state.value}"
        case state.ForwardTo():
            return f"ForwardTo {decision.host.host}"
        case _:
            return type(decision).__name__


class QuotaStub:
    """Counts tokens; returns the waits that a test has set for a team."""

    def __init__(self):
        self.spent_by_team = collections.Counter()
        self.waits_by_team = collections.defaultdict(list)

    def apply_snapshot(self, snapshot, now_s):
        """Ignore a snapshot."""

    def take(self, service, team, now_s, repeated=False):
        """Take a token, or return the next wait set for the team."""
        if self.waits_by_team[team]:
            return self.waits_by_team[team].pop(0)
        self.spent_by_team[team] += 1
        return None

    def refund(self, service, team, now_s):
        """Return a token."""
        self.spent_by_team[team] -= 1


class World:
    """One node, its snapshot and every call submitted to it."""

    def __init__(
        self, name="ledger-1", service=SERVICE, limits=LIMITS, threads=48
    ):
        self.now_s = 100.0
        self.started_s = self.now_s
        self.service = service
        self.limits = limits
        self.hosts = {row.host: row for row in HOSTS}
        self.out = set()
        self.withdrawn = set()
        self.version_number = 0
        self.call_count = 0
        self.started_at_ms = 1
        self.draining = False
        self.call_by_ticket = {}
        self.results = []
        self.permits = []
        self.admission = state.AdmissionState.from_host(
            name, self.now_s, WALL_MS, threads
        )
        self.quota = QuotaStub()
        self.admission.dispatcher.quota = self.quota
        self.publish()
        self.admission.set_ready(True, self.now_s)
        self.now_s += 10.0

    @property
    def server(self):
        """Return the state of the backend server."""
        return self.admission.dispatcher.server

    def capacity(self):
        """Return the number of slots that may be in use."""
        return self.server.ramp.capacity(self.now_s)

    def wall_ms(self):
        """Return the wall-clock time."""
        return WALL_MS + int((self.now_s - self.started_s) * 1000)

    def publish(self):
        """Apply a snapshot of the current rows."""
        self.version_number += 1
        version = state.Version(self.version_number, str(self.version_number))
        rows = [
            self.service,
            state.ServiceRow("silo", 4, 2, 10.0, 110),
            *ROUTES,
            *self.limits,
            *self.hosts.values(),
        ]
        rows += [
            state.KeyRow(digest, team)
            for team, digest in DIGESTS.items()
            if team not in self.withdrawn
        ]
        rows += [
            state.OutageRow(name, state.OutageState.OUT_OF_SERVICE)
            for name in self.out
        ]
        self.admission.apply_snapshot(
            state.Snapshot.from_rows(
                state.VersionVector(version, version, version, version), rows
            ),
            self.now_s,
        )
        self.collect()

    def start_calls(self, team, calls):
        """Start ordinary calls and one check."""
        for _ in range(calls):
            self.call(team=team)
        self.call("check", team)
        assert len(self.permits) == calls + 1, self.results

    def call(self, kind="lookup", team="large", **fields):
        """Submit a call; return it with the immediate result."""
        self.call_count += 1
        method, path = KINDS[kind]
        request = state.CallRequest(
            fields.pop("request_id", f"r{self.call_count}"),
            method,
            path,
            fields.pop("digest", DIGESTS.get(team)),
            fields.pop("deadline_at_s", None),
            fields.pop("key", None),
            fields.pop("forwarded_by", None),
            **fields,
        )
        result = self.admission.admit(request, self.now_s)
        if isinstance(result, state.Queued):
            assert result.ticket not in self.call_by_ticket
            self.call_by_ticket[result.ticket] = request
        else:
            self.record_decision(request, result)
        self.collect()
        return request, result

    def collect(self):
        """Collect the decisions on waiting calls."""
        for deferred in self.admission.take_deferred():
            call = self.call_by_ticket.pop(deferred.ticket)
            self.record_decision(call, deferred.decision)

    def record_decision(self, call, decision):
        """Record the decision on a call."""
        self.results.append((call, decision))
        if isinstance(decision, state.Admitted):
            self.permits.append(decision.permit)

    def decisions_on(self, call):
        """Return the decisions on a call, as texts."""
        return [
            describe(result) for known, result in self.results if known is call
        ]

    def finish(self, kind="answered", index=0, duration_s=0.01, not_run=False):
        """End a running call."""
        answer = state.Answer(200, (), b"ok") if kind == "answered" else None
        outcome = state.Outcome(
            state.OutcomeKind(kind), duration_s, answer, not_run
        )
        permit = self.permits.pop(index)
        self.admission.finish(permit, outcome, self.now_s)
        self.collect()
        return permit

    def report_health(self, reachable=True, load=0.0):
        """Submit a report of the health and load endpoint."""
        report = state.HealthReport(
            reachable, self.started_at_ms, self.draining, load
        )
        self.admission.observe_health(report, self.now_s)
        self.collect()

    def advance(self, seconds, on_tick=None):
        """Advance the clock and handle the timers that are due."""
        end_s = self.now_s + seconds
        while (due_s := self.admission.next_due_s()) is not None:
            if due_s > end_s:
                break
            self.now_s = max(self.now_s, due_s)
            self.admission.tick(self.now_s)
            self.collect()
            if on_tick is not None:
                on_tick()
        self.now_s = end_s

    def run_calls(self, end, count=1, duration_s=0.01, **fields):
        """Run calls in sequence, all with the same outcome."""
        for _ in range(count):
            _, result = self.call(**fields)
            assert isinstance(result, state.Admitted), result
            self.finish(end, duration_s=duration_s)

    def run_actions(self, text):
        """Perform actions separated by commas."""
        for action in text.split(", "):
            self._run_action(action.split())

    def _run_action(self, words):
        match words:
            case ["nothing"]:
                return
            case ["wait", seconds]:
                self.advance(float(seconds))
            case ["out" | "in" | "leaving" | "live" | "withdraw", name]:
                self._publish_change(words[0], name)
            case ["stop"]:
                self.admission.stop(self.now_s)
                self.collect()
            case ["load" | "health" | "server", event]:
                self._report(words[0], event)
            case _:
                self._run_call_action(words)

    def _run_call_action(self, words):
        match words:
            case ["answers", seconds]:
                for _ in range(int(seconds) * 2):
                    self.run_calls("answered")
                    self.advance(0.5)
            case ["slow", "answers", seconds]:
                for _ in range(int(seconds) * 2):
                    self.run_calls("answered", duration_s=1.5)
                    self.advance(0.5)
            case ["hasty", "time-outs", count]:
                for _ in range(int(count)):
                    soon_s = self.now_s + 0.1
                    self.run_calls("timed-out", deadline_at_s=soon_s)
            case ["time-outs", count]:
                self.run_calls("timed-out", int(count))
            case ["sheds", count]:
                self.run_calls("shed", int(count))
            case ["refused"]:
                self.run_calls("not-sent")
            case _:
                raise AssertionError(words)

    def _report(self, subject, event):
        match subject, event:
            case "health", "lost":
                self.report_health(reachable=False)
                return
            case "health", "restarted":
                self.started_at_ms += 1
            case "server", _:
                self.draining = event == "drains"
        self.report_health(load=float(event) if subject == "load" else 0.0)

    def _publish_change(self, change, name):
        match change:
            case "out":
                self.out.add(name)
            case "in":
                self.out.discard(name)
            case "withdraw":
                self.withdrawn.add(name)
            case "leaving" | "live":
                self.hosts[name] = dataclasses.replace(
                    self.hosts[name], state=state.HostState(change)
                )
        self.publish()
