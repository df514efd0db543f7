"""Steps on quotas and the retry budget, as models of several nodes."""

import random

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import state

BOUNDS = state.QuotaBounds(5.0, 0.25, 20.0)
FAULT_AT_S = 8.0
"""When nodes die or the fleet is cut, in scenarios with a fault."""
WARM_UP_S = 10.0
"""Time for which nodes run before callers come, as on the platform."""


@given("{hosts:d} nodes and a team with rate {rate:g} and burst {burst:g}")
def step_nodes(context, hosts, rate, burst):
    context.team = state.Team("team", None, rate, burst)
    context.arbiters = [
        state.QuotaArbiter(str(number), BOUNDS, host_count=hosts)
        for number in range(hosts)
    ]


def pick_node(rng, hosts, spread, now_s):
    """Return the node that the next request goes to."""
    match spread:
        case "from one node":
            return 0
        case "half moving every 5 s":
            if rng.random() < 0.5:
                return int(now_s / 5.0) % hosts
    return rng.randrange(hosts)


def sides(hosts, spread, now_s):
    """Return the sets of nodes that reach each other."""
    everyone = list(range(hosts))
    if now_s <= FAULT_AT_S:
        return [everyone]
    if "dying" in spread:
        return [everyone[2:]]
    if "halves" in spread:
        return [everyone[: hosts // 2], everyone[hosts // 2 :]]
    if "alone" in spread:
        return [[number] for number in everyone]
    return [everyone]


def show_presence(context, spread, now_s):
    """Let the nodes that reach each other tell which arbiters they reach."""
    hosts = len(context.arbiters)
    chosen = [str(number) for number in range(min(hosts, state.ARBITER_COUNT))]
    context.reachable = {}
    for side in sides(hosts, spread, now_s):
        reachable = tuple(sorted(set(chosen) & set(map(str, side))))
        for number in side:
            context.reachable[number] = reachable
            for other in side:
                arbiter = context.arbiters[other]
                arbiter.record_presence(str(number), reachable, now_s)
    for arbiter in context.arbiters:
        arbiter.refill_buckets([context.team], now_s)


@when("callers send {load:g} times the rate for 20 s, {spread}")
def step_send(context, load, spread):
    rng = random.Random(7)
    team = context.team
    hosts = len(context.arbiters)
    context.admitted_at_s = []
    shown_s = -WARM_UP_S
    now_s = 0.0
    while now_s < 20.0:
        now_s += rng.expovariate(team.rate_per_s * load)
        while shown_s + state.PRESENCE_INTERVAL_S <= now_s:
            shown_s += state.PRESENCE_INTERVAL_S
            show_presence(context, spread, shown_s)
        node = pick_node(rng, hosts, spread, now_s)
        if node not in context.reachable:
            node = 2 + rng.randrange(hosts - 2)
        asked = state.choose_arbiter(
            team.name, context.reachable[node], str(node)
        )
        if context.arbiters[int(asked)].acquire(team, 1, now_s).granted:
            context.admitted_at_s.append(now_s)
    offered = team.rate_per_s * load * 20.0
    context.ideal = min(offered, team.rate_per_s * 20.0 + team.burst)


@then("no 5 s admit more than the platform's bound")
def step_bound(context):
    team = context.team
    bound = (team.rate_per_s * 5.0 + team.burst) * 1.25 + 20.0
    times = context.admitted_at_s
    first = 0
    for last, at_s in enumerate(times):
        while times[first] <= at_s - 5.0:
            first += 1
        assert last - first + 1 <= bound, (at_s, last - first + 1, bound)


@then("at least {part:g} of what an ideal bucket admits is admitted")
def step_answered(context, part):
    admitted = len(context.admitted_at_s)
    assert admitted >= part * context.ideal, (admitted, context.ideal)


@given(
    "{hosts:d} nodes with a retry budget of {ratio:g} and {slack:g} in 10 s"
)
def step_budget(context, hosts, ratio, slack):
    bounds = state.RetryBudgetBounds(ratio, 10.0, slack)
    context.bounds = bounds
    context.budgets = [
        state.RetryBudget(bounds, host_count=hosts) for _ in range(hosts)
    ]


@when(
    "each node sends {calls:d} calls a second and repeats all it may for 30 s"
)
def step_repeat(context, calls):
    context.repeats = []
    context.firsts = []
    for step in range(300):
        now_s = step / 10
        for budget in context.budgets:
            if calls and step % 10 == 0:
                for _ in range(calls):
                    budget.record_first_attempt("s", now_s)
                    context.firsts.append(now_s)
            while budget.try_retry("s", state.UNANSWERED_RETRY_SHARE, now_s):
                context.repeats.append(now_s)


@then("no 10 s have more repeats than the platform's bound")
def step_repeat_bound(context):
    for step in range(201):
        begin_s = step / 10
        inside = [
            sum(begin_s <= at_s < begin_s + 10.0 for at_s in times)
            for times in (context.repeats, context.firsts)
        ]
        bound = context.bounds.ratio * inside[1] + context.bounds.slack
        assert inside[0] <= bound, (begin_s, inside, bound)
