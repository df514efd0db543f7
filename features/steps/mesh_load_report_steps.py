"""Steps for reports of a server's load to other nodes."""

import dataclasses
from dataclasses import dataclass
from dataclasses import field

from behave import given
from behave import then
from behave import when
import mesh_directory_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

TICK_S = coordination.FLEET_TICK_S
SECONDS = 3.0


@dataclass
class Peer:
    """A peer that keeps what it gets."""

    host: str
    clock: list
    reports: list = field(default_factory=list)
    protocol_version: int = coordination.PROTOCOL_VERSION
    report_basis: coordination.ReportBasis | None = None

    def send(self, report):
        """Keep a report with its time."""
        self.reports.append((self.clock[0], report))


def _tick_until(context, end_s, load_at):
    while context.clock[0] < end_s - TICK_S / 2:
        context.clock[0] += TICK_S
        now_s = context.clock[0]
        context.reporter.report_changes(load_at(now_s), context.peers, now_s)


@given("a node with a near peer and a far peer that have a first report")
def step_peers(context):
    context.clock = [100.0]
    context.peers = [Peer("near", context.clock), Peer("far", context.clock)]
    context.load = state.ServerLoad("i-1", 0, 0, 5, 0.1, 0.0, True)
    context.directory = state.Directory(mesh_directory_steps.decode)
    context.reporter = coordination.LoadReporter(
        context.directory,
        state.SourceContact("10.0.0.1"),
        lambda host: host == "near",
    )
    context.reporter.report_changes(context.load, context.peers, 100.0)
    for peer in context.peers:
        assert len(peer.reports) == 1
        peer.reports.clear()


@when("its load changes every {interval_s:g} s for 3 s")
def step_changes(context, interval_s):
    def load_at(now_s):
        changes = int((now_s - 100.0) / interval_s + 1e-6)
        return dataclasses.replace(context.load, in_flight=3 * (changes % 2))

    _tick_until(context, 100.0 + SECONDS, load_at)


@then("the near peer gets {near} reports and the far peer {far}")
def step_counts(context, near, far):
    for peer, bounds in zip(context.peers, (near, far), strict=True):
        least, most = map(int, bounds.split(" to "))
        assert least <= len(peer.reports) <= most, len(peer.reports)


@then("no peer waits for more than {limit_s:g} s")
def step_gaps(context, limit_s):
    for peer in context.peers:
        times_s = [100.0, *(at_s for at_s, _ in peer.reports), 103.0]
        gaps_s = [
            later_s - earlier_s
            for earlier_s, later_s in zip(times_s, times_s[1:], strict=False)
        ]
        assert max(gaps_s) <= limit_s + 1e-6, gaps_s


@when("its server stops accepting calls")
def step_closed(context):
    closed = dataclasses.replace(context.load, accepting=False)
    _tick_until(context, 100.0 + TICK_S, lambda now_s: closed)


@then("each peer gets that within {limit_s:g} s")
def step_learned(context, limit_s):
    for peer in context.peers:
        [(at_s, report)] = peer.reports
        assert at_s <= 100.0 + limit_s + 1e-6 and not report.accepting, report


@given("the near peer speaks version {version:d} of the protocol")
def step_version(context, version):
    context.peers[0].protocol_version = version


@when("{event}, and a report is sent")
def step_event(context, event):
    load = context.load
    match event:
        case "only its load changes":
            load = dataclasses.replace(load, in_flight=4)
        case "its entries change":
            context.directory.apply_items(
                [state.SourceItem("servers/i-9", state.Position(1, 9), b"x")],
                101.0,
            )
        case "its limit changes":
            load = dataclasses.replace(load, limit=3)
        case "the near peer reconnects":
            context.peers[0].report_basis = None
        case _:
            raise AssertionError(event)
    context.reporter.report_changes(load, context.peers, 101.0)


@then("the near peer gets a report that is {kind}")
def step_kind(context, kind):
    [(_, report)] = context.peers[0].reports
    is_changed = isinstance(report, coordination.LoadChanged)
    assert is_changed == (kind == "changed"), report


@given("a server that {condition}, with its turn in {turn_s:g} s")
def step_turn(context, condition, turn_s):
    gate = state.AdmissionController(slots=1, cold_rate_per_s=5.0)
    gate.mark_server_up("i-1", 3.0 if "cold" in condition else 0.0, 100.0)
    if "full" in condition:
        gate.in_flight = 1
    gate._next_cold_admission_at_s = 100.0 + turn_s
    context.gate = gate


@then("its queue is looked at again after {delay_s:g} s")
def step_delay(context, delay_s):
    assert abs(context.gate.release_delay_s(100.0) - delay_s) < 1e-9
