"""Steps for quotas and the retry budget, as models of several nodes."""

import random

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import state

BOUNDS = state.QuotaBounds(5.0, 0.25, 20.0)
FAULT_AT_S = 8.0
"""When nodes fail or the network is partitioned, if the scenario says so."""
WARM_UP_S = 10.0
"""How long nodes run before the first call, as on the platform."""


@given("{hosts:d} nodes and a team with rate {rate:g} and burst {burst:g}")
def step_nodes(context, hosts, rate, burst):
    context.team = state.Team("team", None, rate, burst)
    context.arbiters = [
        state.QuotaArbiter(str(number), BOUNDS, host_count=hosts)
        for number in range(hosts)
    ]


def pick_node(rng, hosts, spread, now_s):
    """Return the number of the node that the next request is sent to."""
    match spread:
        case "from one node":
            return 0
        case "half moving every 5 s":
            if rng.random() < 0.5:
                return int(now_s / 5.0) % hosts
    return rng.randrange(hosts)


def partitions(hosts, spread, now_s):
    """Return the groups of nodes that can reach each other."""
    all_nodes = list(range(hosts))
    if now_s <= FAULT_AT_S:
        return [all_nodes]
    if "dying" in spread:
        return [all_nodes[2:]]
    if "halves" in spread:
        return [all_nodes[: hosts // 2], all_nodes[hosts // 2 :]]
    if "alone" in spread:
        return [[number] for number in all_nodes]
    return [all_nodes]


def report_presence(context, spread, now_s):
    """Report each node's reachable arbiters to the nodes of its partition."""
    hosts = len(context.arbiters)
    arbiter_hosts = [
        str(number) for number in range(min(hosts, state.ARBITER_COUNT))
    ]
    context.reachable = {}
    for members in partitions(hosts, spread, now_s):
        reachable = tuple(sorted(set(arbiter_hosts) & set(map(str, members))))
        for number in members:
            context.reachable[number] = reachable
            for other in members:
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
    reported_at_s = -WARM_UP_S
    now_s = 0.0
    while now_s < 20.0:
        now_s += rng.expovariate(team.rate_per_s * load)
        while reported_at_s + state.PRESENCE_INTERVAL_S <= now_s:
            reported_at_s += state.PRESENCE_INTERVAL_S
            report_presence(context, spread, reported_at_s)
        node = pick_node(rng, hosts, spread, now_s)
        if node not in context.reachable:
            node = 2 + rng.randrange(hosts - 2)
        arbiter = state.choose_arbiter(
            team.name, context.reachable[node], str(node)
        )
        if context.arbiters[int(arbiter)].acquire(team, 1, now_s).granted:
            context.admitted_at_s.append(now_s)
    offered = team.rate_per_s * load * 20.0
    context.ideal = min(offered, team.rate_per_s * 20.0 + team.burst)


@then("admissions in any 5 s stay within the platform's bound")
def step_quota_bound(context):
    team = context.team
    bound = (team.rate_per_s * 5.0 + team.burst) * 1.25 + 20.0
    times = context.admitted_at_s
    first = 0
    for last, at_s in enumerate(times):
        while times[first] <= at_s - 5.0:
            first += 1
        assert last - first + 1 <= bound, (at_s, last - first + 1, bound)


@then("at least {fraction:g} of the admissions of an ideal bucket are made")
def step_admitted(context, fraction):
    admitted = len(context.admitted_at_s)
    assert admitted >= fraction * context.ideal, (admitted, context.ideal)


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
    "each node sends {calls:d} calls a second and all allowed retries for 30 s"
)
def step_retry(context, calls):
    context.retries = []
    context.first_attempts = []
    for tick in range(300):
        now_s = tick / 10
        for budget in context.budgets:
            if calls and tick % 10 == 0:
                for _ in range(calls):
                    budget.record_first_attempt("s", now_s)
                    context.first_attempts.append(now_s)
            while budget.try_retry("s", state.UNANSWERED_RETRY_SHARE, now_s):
                context.retries.append(now_s)


@then("retries in any 10 s stay within the platform's bound")
def step_retry_bound(context):
    for tick in range(201):
        start_s = tick / 10
        counts = [
            sum(start_s <= at_s < start_s + 10.0 for at_s in times)
            for times in (context.retries, context.first_attempts)
        ]
        bound = context.bounds.ratio * counts[1] + context.bounds.slack
        assert counts[0] <= bound, (start_s, counts, bound)
