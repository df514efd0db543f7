"""Steps for quotas while parts of the fleet are cut off."""

import random

from behave import given
from behave import then
from behave import when
import mesh_budget_steps
import mesh_directory_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

CALLS_PER_NODE = 160
STEP_S = 0.05
CUT_S = 20.0
DRAWN_CUTS = 3
WINDOW_S = 5.0


class CutFleet:
    """Cuts nodes off and expires their entries, as each side sees them."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.group_by_name = dict.fromkeys(nodes.names, 0)
        self.number = 0
        nodes.is_cut = self.is_cut

    def is_cut(self, sender, receiver):
        """Return whether messages between two nodes are lost."""
        return self.group_by_name[sender] != self.group_by_name[receiver]

    def _tell_pairs(self, link_changed):
        nodes = self.nodes
        for name in nodes.names:
            for other in nodes.names:
                if self.is_cut(name, other):
                    link_changed(name, other)

    def cut(self, names, together):
        """Cut nodes off, alone or together, from the others."""
        for index, name in enumerate(names):
            self.group_by_name[name] = 1 if together else 1 + index

        def disconnect(name, other):
            self.nodes.tell(name, coordination.PeerDown(other))
            self.nodes.tell(name, coordination.RequesterDisconnected(other))

        self._tell_pairs(disconnect)

    def expire(self, names, seen_by):
        """Remove the entries of nodes from the view of others."""
        server_by_id = {
            server_id: server
            for server_id, server in self.nodes.fleet.server_by_id.items()
            if server.host not in names
        }
        fleet = state.FleetSnapshot(
            self.nodes.fleet.table, server_by_id, {}, frozenset()
        )
        for name in seen_by:
            self.nodes.tell(name, coordination.FleetChanged(fleet))
        return fleet

    def restart(self, names, fleet):
        """Start new tasks for nodes that reach each other."""
        for name in names:
            self.nodes.task_by_name[name] = self.nodes.make_task(name)
        for name in names:
            for other in names:
                if other != name:
                    send = self.nodes.send(name, other)
                    self.nodes.tell(name, coordination.PeerUp(other, send))
            self.nodes.tell(name, coordination.FleetChanged(fleet))

    def restart_in_turn(
        self, names, fleet, interval_s, calls_per_s=CALLS_PER_NODE
    ):
        """Restart nodes one by one; the others get their calls meanwhile."""
        for name in names:
            others = [other for other in names if other != name]
            for other in others:
                self.nodes.tell(other, coordination.PeerDown(name))
                self.nodes.tell(
                    other, coordination.RequesterDisconnected(name)
                )
            self.nodes.task_by_name[name] = self.nodes.make_task(name)
            self.nodes.tell(name, coordination.FleetChanged(fleet))
            for other in others:
                for near, far in ((name, other), (other, name)):
                    send = self.nodes.send(near, far)
                    self.nodes.tell(near, coordination.PeerUp(far, send))
            self.call(self.nodes.names, interval_s, calls_per_s)

    def heal(self):
        """Connect all nodes again and list all their entries."""
        pairs = []
        self._tell_pairs(lambda name, other: pairs.append((name, other)))
        self.group_by_name = dict.fromkeys(self.nodes.names, 0)
        for name, other in pairs:
            send = self.nodes.send(name, other)
            self.nodes.tell(name, coordination.PeerUp(other, send))
        for name in self.nodes.names:
            fleet_changed = coordination.FleetChanged(self.nodes.fleet)
            self.nodes.tell(name, fleet_changed)

    def call(self, names, for_s, calls_per_s=CALLS_PER_NODE):
        """Let each of some nodes get calls for a time."""
        end_s = self.nodes.now + for_s
        due = 0.0
        while self.nodes.now < end_s:
            due += calls_per_s * STEP_S
            while due >= 1.0:
                due -= 1.0
                for name in names:
                    self.number += 1
                    self.nodes.request_token(name, self.number)
            self.nodes.run(STEP_S)


@when(
    "{cut:d} of them are cut off {how}, entries expire {where} "
    "after {expire_s:g} s, and each node gets 160 calls a second"
)
def step_cut(context, cut, how, where, expire_s):
    nodes = context.nodes
    fleet = CutFleet(nodes)
    away, rest = nodes.names[:cut], nodes.names[cut:]
    fleet.call(nodes.names, 2.0)
    fleet.cut(away, how == "together")
    fleet.call(nodes.names, expire_s)
    if where in ("at the others", "on both sides"):
        fleet.expire(away, rest)
    if where in ("at the cut ones", "on both sides"):
        fleet.expire(rest, away)
    fleet.call(nodes.names, CUT_S - expire_s)
    fleet.heal()
    fleet.call(nodes.names, 5.0)


@when(
    "{cut:d} of them are cut off, their entries expire, and the others restart"
)
def step_restart(context, cut):
    nodes = context.nodes
    fleet = CutFleet(nodes)
    away, rest = nodes.names[:cut], nodes.names[cut:]
    fleet.call(nodes.names, 2.0)
    fleet.cut(away, True)
    fleet.call(nodes.names, 4.5)
    seen = fleet.expire(away, rest)
    fleet.call(nodes.names, 1.0)
    fleet.restart(rest, seen)
    fleet.call(nodes.names, CUT_S)


@when(
    "{cut:d} of them are cut off, their entries expire, and the others "
    "restart one by one every {interval_s:g} s"
)
def step_restart_in_turn(context, cut, interval_s):
    nodes = context.nodes
    fleet = CutFleet(nodes)
    away, rest = nodes.names[:cut], nodes.names[cut:]
    fleet.call(nodes.names, 2.0)
    fleet.cut(away, True)
    fleet.call(nodes.names, 4.5)
    seen = fleet.expire(away, rest)
    fleet.call(nodes.names, 1.0)
    fleet.restart_in_turn(rest, seen, interval_s)
    fleet.call(nodes.names, CUT_S)


@when(
    "{cut:d} of them are cut off, their entries expire, and the others "
    "restart one by one, the arbiters last, in an order of seed {seed:d}"
)
def step_restart_arbiters_last(context, cut, seed):
    nodes = context.nodes
    fleet = CutFleet(nodes)
    names = random.Random(seed).sample(nodes.names, len(nodes.names))
    away, rest = names[:cut], names[cut:]
    calls_per_s = 10 * CALLS_PER_NODE / len(nodes.names)
    fleet.call(nodes.names, 2.0, calls_per_s)
    fleet.cut(away, True)
    fleet.call(nodes.names, 4.5, calls_per_s)
    seen = fleet.expire(away, rest)
    fleet.call(nodes.names, 1.0, calls_per_s)
    arbiters = state.arbiter_hosts(seen)
    order = [name for name in rest if name not in arbiters]
    fleet.restart_in_turn([*order, *arbiters], seen, 0.3, calls_per_s)
    fleet.call(nodes.names, 8.0, calls_per_s)


@when("cuts, expired entries and returns are drawn from seed {seed:d}")
def step_drawn(context, seed):
    rng = random.Random(seed)
    nodes = context.nodes
    fleet = CutFleet(nodes)
    for _ in range(DRAWN_CUTS):
        away = rng.sample(nodes.names, rng.randint(1, 9))
        rest = [name for name in nodes.names if name not in away]
        fleet.call(nodes.names, rng.uniform(0.5, 3.0))
        fleet.cut(away, rng.random() < 0.5)
        fleet.call(nodes.names, rng.uniform(3.0, 6.0))
        expired = rng.choice((away, rest))
        seen_by = rest if expired is away else away
        fleet.expire(expired, seen_by)
        fleet.call(nodes.names, rng.uniform(0.5, 8.0))
        fleet.heal()


@then("the tokens of any 5 s stay within the platform's bound")
def step_bound(context):
    team = context.nodes.team
    bounds = mesh_budget_steps.BOUNDS
    allowed = team.rate_per_s * WINDOW_S + team.burst
    bound = allowed * (1.0 + bounds.overshoot) + bounds.slack
    times = sorted(
        at_s
        for message, at_s in context.nodes.answers.values()
        if message.granted
    )
    first = most = 0
    for last, at_s in enumerate(times):
        while times[first] <= at_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    assert most <= bound, (most, bound)


@when(
    "{cut:d} of them are lost, their entries expire after {expire_s:g} s, "
    "and the others get {calls:d} calls a second"
)
def step_lost(context, cut, expire_s, calls):
    nodes = context.nodes
    fleet = CutFleet(nodes)
    away, rest = nodes.names[:cut], nodes.names[cut:]
    fleet.cut(away, False)
    fleet.call(rest, expire_s, calls / len(rest))
    fleet.expire(away, rest)
    fleet.call(rest, CUT_S, calls / len(rest))
    nodes.run(1.0)


@then("under 1 in 100 of the calls are refused")
def step_few_refused(context):
    answers = context.nodes.answers
    refused = sum(not message.granted for message, _ in answers.values())
    assert answers and 100 * refused < len(answers), (refused, len(answers))


@given("a census of 10 hosts, one of them {state_name}")
def step_census(context, state_name):
    context.listed = [
        mesh_directory_steps.make_server(
            f"i-{number}", host=f"10.0.0.{number}"
        )
        for number in range(9)
    ]
    last = mesh_directory_steps.make_server(
        "i-9", host="10.0.0.9", state=state.ServerState(state_name)
    )
    context.census = state.HostCensus()
    context.census.update([*context.listed, last], 0.0)


@when("its entry is removed")
def step_removed(context):
    context.census.update(context.listed, 10.0)


@then("{now:d} hosts count now and {later:d} after {wait_s:g} s")
def step_count(context, now, later, wait_s):
    found = [
        context.census.count("10.0.0.0", at_s)
        for at_s in (10.0, 10.0 + wait_s)
    ]
    assert found == [now, later], found


@when("a new census lists {listed} hosts and hears of it after {age_s:g} s")
def step_heard(context, listed, age_s):
    heard_at_s = 10.0 + age_s
    age_s_by_host = context.census.reported_age_s_by_host(heard_at_s)
    context.census = state.HostCensus()
    match listed:
        case "no":
            pass
        case "the other":
            context.census.update(context.listed, heard_at_s)
        case "all":
            last = mesh_directory_steps.make_server("i-9", host="10.0.0.9")
            context.census.update([*context.listed, last], heard_at_s)
    context.census.add_removed(age_s_by_host, heard_at_s)
    context.heard_at_s = heard_at_s


@given("a census of 10 hosts that {contact}")
def step_census_contact(context, contact):
    context.listed = [
        mesh_directory_steps.make_server(
            f"i-{number}", host=f"10.0.0.{number}"
        )
        for number in range(9)
    ]
    last = mesh_directory_steps.make_server("i-9", host="10.0.0.9")
    context.census = state.HostCensus()
    context.census.update([*context.listed, last], 0.0)
    match contact:
        case "the source confirms":
            confirmed = [(tenth / 10, tenth / 10) for tenth in range(101)]
        case "lost the source":
            confirmed = [(0.0, tenth / 10) for tenth in range(101)]
        case "has just found the source again":
            confirmed = [(0.0, tenth / 10) for tenth in range(96)]
            confirmed += [(tenth / 10, tenth / 10) for tenth in (98, 99, 100)]
        case "found the source again 3 s ago":
            confirmed = [(0.0, tenth / 10) for tenth in range(70)]
            confirmed += [(tenth / 10, tenth / 10) for tenth in range(70, 101)]
    for at_s, now_s in confirmed:
        context.census.confirm(at_s, now_s)


@then("it counts 10 hosts and tells others of {count:d} that was removed")
def step_tells(context, count):
    assert context.census.count("10.0.0.0", 10.0) == 10
    told = context.census.reported_age_s_by_host(10.0)
    assert len(told) == count, told


@when("others report that host after {ages} s")
def step_reports(context, ages):
    for age_s in map(float, ages.split(", ")):
        context.census.add_removed({"10.0.0.9": age_s}, 10.0)


@then("it counts {now:d} hosts now and {later:d} after {wait_s:g} s")
def step_heard_count(context, now, later, wait_s):
    found = [
        context.census.count("10.0.0.0", context.heard_at_s + after_s)
        for after_s in (0.0, wait_s)
    ]
    assert found == [now, later], found


@given("an arbiter of 10 hosts that grants for {covered:d} of them")
def step_arbiter(context, covered):
    context.arbiter = state.QuotaArbiter(
        "h0", mesh_budget_steps.BOUNDS, host_count=10
    )
    for number in range(covered):
        context.arbiter.record_presence(f"h{number}", ("h0",), 100.0)


@when("the source confirmed its entries {age_s:g} s ago")
def step_confirmed(context, age_s):
    context.arbiter.confirmed_at_s = 100.0 - age_s


@then("the arbiter {grants}")
def step_grants(context, grants):
    share = context.arbiter.rate_share("team", 100.0)
    assert (share > 0.0) == (grants == "grants"), share
