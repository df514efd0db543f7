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
            case coordination.FleetChanged():
                self.entry_by_name[name].handle(message)
        super().tell(name, message)

    def retry(self, names, for_s, calls_per_s=0):
        """Let nodes get calls and make all allowed retries for a time."""
        steps = round(for_s / STEP_S)
        for step in range(steps):
            for name in names:
                budget = self.budget_by_name[name]
                if step % 10 == 0:
                    for _ in range(calls_per_s):
                        budget.record_first_attempt(SERVICE, self.now)
                        self.first_attempts.append(self.now)
                while budget.try_retry(
                    SERVICE, state.UNANSWERED_RETRY_SHARE, self.now
                ):
                    self.retries.append(self.now)
            self.run(STEP_S)


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
