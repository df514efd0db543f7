"""Steps for the retry budget while hosts are cut off or restart."""

import dataclasses
import random

from behave import given
from behave import then
from behave import when
import mesh_quota_cut_steps
import mesh_quota_task_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

STEP_S = 0.1
WINDOW_S = 10.0
SERVICE = "s"


class RetryNodes(mesh_quota_task_steps.Nodes):
    """Quota and entry tasks whose nodes make all retries they are allowed.

    The tests read the budgets that the entry tasks keep.
    """

    def __init__(self, hosts, bounds):
        self.bounds = bounds
        self.budget_by_name = {}
        self.entry_by_name = {}
        self.retries = []
        self.first_attempts = []
        team = state.Team("team-a", None, 1.0, 1.0)
        super().__init__(hosts, team)

    def make_task(self, name):
        """Return a new quota task; a new entry task takes its messages."""
        rng = random.Random(1)
        budget = state.RetryBudget(self.bounds)
        entry = coordination.EntryTask(
            name,
            "service",
            {},
            state.Placement(name, "zone", rng),
            budget,
            None,
            None,
            self,
            rng,
            mesh_quota_task_steps.NullLog(),
        )
        self.budget_by_name[name] = budget
        self.entry_by_name[name] = entry
        arbiter = state.QuotaArbiter(name, state.QuotaBounds(5.0, 0.25, 20.0))
        return coordination.QuotaTask(
            name, arbiter, entry.handle, self, mesh_quota_task_steps.NullLog()
        )

    def tell(self, name, message):
        """Let the tasks of a node handle a message."""
        match message:
            case coordination.FleetChanged() | coordination.SourceConfirmed():
                self.entry_by_name[name].handle(message)
        super().tell(name, message)

    def call(self, names, for_s, calls_per_s):
        """Let nodes get calls for a time without a retry."""
        for _ in range(round(for_s)):
            self._count_calls(names, calls_per_s)
            self.run(1.0)

    def retry(self, names, for_s, calls_per_s=0):
        """Let nodes get calls and make all allowed retries for a time."""
        for step in range(round(for_s / STEP_S)):
            if step % 10 == 0:
                self._count_calls(names, calls_per_s)
            for name in names:
                while self.try_retry(name):
                    self.retries.append(self.now)
            self.run(STEP_S)

    def try_retry(self, name):
        """Return whether a node may make a retry now."""
        return self.budget_by_name[name].try_retry(
            SERVICE, state.UNANSWERED_RETRY_SHARE, self.now
        )

    def _count_calls(self, names, count):
        for name in names:
            for _ in range(count):
                self.count_call(name)

    def count_call(self, name):
        """Let a node get a call."""
        self.budget_by_name[name].record_first_attempt(SERVICE, self.now)
        self.first_attempts.append(self.now)


@given(
    "{hosts:d} nodes that make all retries allowed by a budget of {slack:d} "
    "in 10 s"
)
def step_nodes(context, hosts, slack):
    context.bounds = state.RetryBudgetBounds(0.2, WINDOW_S, float(slack))
    context.nodes = RetryNodes(hosts, context.bounds)
    context.nodes.run(70.0)


@when(
    "{cut:d} of them are cut off {how}, and the entries of {expired} "
    "are removed"
)
def step_cut(context, cut, how, expired):
    nodes = context.nodes
    fleet = mesh_quota_cut_steps.CutFleet(nodes)
    away, rest = nodes.names[:cut], nodes.names[cut:]
    nodes.retry(nodes.names, 2.0)
    fleet.cut(away, how == "together")
    nodes.retry(nodes.names, 4.5)
    if expired in ("these", "both"):
        fleet.expire(away, rest)
    if expired in ("the others", "both"):
        fleet.expire(rest, away)
    nodes.retry(nodes.names, 30.0)
    fleet.heal()
    nodes.retry(nodes.names, 12.0)


@when(
    "{cut:d} of them lose the source and the others for {for_s:g} s, "
    "and their entries are removed after {expire_s:g} s"
)
def step_long_cut(context, cut, for_s, expire_s):
    nodes = context.nodes
    fleet = mesh_quota_cut_steps.CutFleet(nodes)
    away, rest = nodes.names[:cut], nodes.names[cut:]
    cut_at_s = nodes.now
    for name in nodes.names:
        nodes.tell(name, coordination.SourceConfirmed(cut_at_s))
    fleet.cut(away, True)
    has_expired = False
    while nodes.now < cut_at_s + for_s:
        if not has_expired and nodes.now >= cut_at_s + expire_s:
            has_expired = True
            fleet.expire(away, rest)
        for name in away:
            nodes.tell(name, coordination.SourceConfirmed(cut_at_s))
        for name in rest:
            nodes.tell(name, coordination.SourceConfirmed(nodes.now))
        nodes.retry(nodes.names, STEP_S)


@when("8 of them {leave}, and their entries are removed")
def step_leave(context, leave):
    nodes = context.nodes
    fleet = mesh_quota_cut_steps.CutFleet(nodes)
    away, rest = nodes.names[:8], nodes.names[8:]
    context.rest = rest
    if leave == "leave after draining":
        server_by_id = {
            server_id: dataclasses.replace(
                server,
                state=state.ServerState.DRAINING
                if server.host in away
                else server.state,
            )
            for server_id, server in nodes.fleet.server_by_id.items()
        }
        nodes.fleet = state.FleetSnapshot(
            nodes.fleet.table, server_by_id, {}, frozenset()
        )
        for name in nodes.names:
            nodes.tell(name, coordination.FleetChanged(nodes.fleet))
    fleet.cut(away, False)
    fleet.expire(away, rest)


@then(
    "the others make {at_once:d} retries in the next 10 s and {later:d} "
    "a minute later"
)
def step_made(context, at_once, later):
    nodes = context.nodes
    nodes.retry(context.rest, WINDOW_S)
    found = [len(nodes.retries)]
    nodes.run(51.0)
    nodes.retries.clear()
    nodes.retry(context.rest, WINDOW_S)
    found.append(len(nodes.retries))
    assert found == [at_once, later], found


def restart(nodes, fleet, names, listed):
    """Start nodes anew; they know nothing of before."""
    for name in names:
        nodes.disconnect(name)
        nodes.disconnected.discard(name)
    fleet.restart(names, listed)


@when("{which} restart {times} while each gets {calls_per_s:d} calls a second")
def step_restart(context, which, times, calls_per_s):
    nodes = context.nodes
    fleet = mesh_quota_cut_steps.CutFleet(nodes)
    cut = 0 if which == "all" else int(which.split("with ")[1].split()[0])
    away, rest = nodes.names[:cut], nodes.names[cut:]
    listed = nodes.fleet
    if away:
        fleet.cut(away, True)
        listed = fleet.expire(away, rest)
    nodes.call(nodes.names, WINDOW_S, calls_per_s)
    nodes.retry(nodes.names, STEP_S)
    match times:
        case "once":
            pauses_s = [20.0]
        case "twice":
            pauses_s = [4.0, 20.0]
        case "every 2 s":
            pauses_s = [2.0] * 6
        case "in turn":
            for name in rest:
                restart(nodes, fleet, [name], listed)
                nodes.retry(nodes.names, 1.0, calls_per_s)
            pauses_s = []
    for pause_s in pauses_s:
        restart(nodes, fleet, rest, listed)
        nodes.retry(nodes.names, pause_s, calls_per_s)
    nodes.retry(nodes.names, WINDOW_S, calls_per_s)


@given(
    "{hosts:d} nodes with a budget of {slack:d} in 10 s, "
    "all of which have restarted"
)
def step_restarted(context, hosts, slack):
    step_nodes(context, hosts, slack)
    nodes = context.nodes
    fleet = mesh_quota_cut_steps.CutFleet(nodes)
    restart(nodes, fleet, nodes.names, nodes.fleet)


@when(
    "each gets {calls_per_s:d} calls a second for 60 s and 1 in {every:d} "
    "needs a repeat"
)
def step_need(context, calls_per_s, every):
    nodes = context.nodes
    rng = random.Random(7)
    started_at_s = nodes.now
    context.made = {True: [], False: []}
    for _ in range(60 * calls_per_s):
        is_first = nodes.now - started_at_s < WINDOW_S
        for name in nodes.names:
            nodes.count_call(name)
            if rng.random() < 1.0 / every:
                context.made[is_first].append(nodes.try_retry(name))
        nodes.run(1.0 / calls_per_s)


@then(
    "of the repeats {at_first:d} in 100 are made in the first 10 s, "
    "and {later:d} after that"
)
def step_repeats_made(context, at_first, later):
    for is_first, least in ((True, at_first), (False, later)):
        made = context.made[is_first]
        assert 100 * sum(made) >= least * len(made), (
            is_first,
            sum(made),
            len(made),
        )


@then("the retries of any 10 s stay within the platform's bound")
def step_bound(context):
    nodes = context.nodes
    assert nodes.retries
    worst = max(
        _count_in(nodes.retries, at_s)
        - nodes.bounds.ratio * _most_requests(nodes.first_attempts, at_s)
        for at_s in set(nodes.retries)
    )
    assert worst <= nodes.bounds.slack, (worst, nodes.bounds.slack)


def _count_in(times_s, from_s):
    return sum(from_s <= at_s < from_s + WINDOW_S for at_s in times_s)


def _most_requests(times_s, from_s):
    """Return the requests that the platform sets retries against."""
    return max(
        _count_in(times_s, from_s - before_s)
        for before_s in (0.0, WINDOW_S / 2, WINDOW_S)
    )
