"""Steps for the planned links between hosts."""

import random

from behave import given
from behave import then
from behave import when

from jasminecrank import state


def make_hosts(hosts, services, data_centres):
    """Return host rows distributed over services and data centres."""
    return tuple(
        state.HostRow(
            f"host-{number:04d}",
            f"service-{number % services}",
            f"dc-{number // services % data_centres}"
            if services > 1
            else f"dc-{number % data_centres}",
            f"region-{number % data_centres % 3}",
            "127.0.0.1",
            1,
            2,
            3,
            4,
            number // services,
            state.HostState.LIVE,
        )
        for number in range(hosts)
    )


def build_topology(rows):
    """Build the topology of a host list."""
    snapshot = state.Snapshot.from_rows(state.VersionVector(), rows)
    return state.Topology.from_snapshot(snapshot)


def reachable(graph, start):
    """Return the hosts reachable from a start host."""
    seen = {start}
    pending = [start]
    while pending:
        for peer in graph[pending.pop()] - seen:
            seen.add(peer)
            pending.append(peer)
    return seen


def articulation_hosts(graph, start):
    """Return the articulation points of a graph (Tarjan)."""
    order, low, articulations, roots = {start: 0}, {start: 0}, set(), 0
    path = [(start, None, iter(sorted(graph[start])))]
    while path:
        host, parent, peers = path[-1]
        for peer in peers:
            if peer not in order:
                order[peer] = low[peer] = len(order)
                path.append((peer, host, iter(sorted(graph[peer]))))
                break
            if peer != parent:
                low[host] = min(low[host], order[peer])
        else:
            path.pop()
            if parent is None:
                continue
            low[parent] = min(low[parent], low[host])
            if parent == start:
                roots += 1
            elif low[host] >= order[parent]:
                articulations.add(parent)
    return articulations | ({start} if roots > 1 else set())


@given(
    "{hosts:d} hosts of {services:d} services in {data_centres:d} data centres"
)
def step_hosts(context, hosts, services, data_centres):
    context.rows = make_hosts(hosts, services, data_centres)


@when("every host plans its links")
def step_plan(context):
    topology = build_topology(context.rows)
    context.graph = {
        row.host: {peer.host for peer in topology.links(row.host)}
        for row in context.rows
    }


@then("both hosts of each pair plan the link")
def step_symmetric(context):
    one_sided = [
        (host, peer)
        for host, peers in context.graph.items()
        for peer in peers
        if host not in context.graph[peer]
    ]
    assert not one_sided, one_sided[:5]


@then("the links connect all hosts, also if any one host is down")
def step_connected(context):
    graph = context.graph
    start = min(graph)
    assert reachable(graph, start) == set(graph)
    assert not articulation_hosts(graph, start), articulation_hosts(
        graph, start
    )


@then("no host plans more than {most:d} links")
def step_bounded(context, most):
    counts = [len(peers) for peers in context.graph.values()]
    assert max(counts) <= most, max(counts)


@when(
    "up to {missing:d} random hosts are missing per host list, seed {seed:d}"
)
def step_missing_hosts(context, missing, seed):
    rng = random.Random(seed)
    graph = {row.host: set() for row in context.rows}
    for row in context.rows:
        others = [other for other in context.rows if other is not row]
        missing_rows = rng.sample(others, rng.randint(0, missing))
        own_list = [one for one in context.rows if one not in missing_rows]
        for peer in build_topology(own_list).links(row.host):
            graph[row.host].add(peer.host)
            graph[peer.host].add(row.host)
    context.graph = graph


@then("the links planned by either side connect all hosts")
def step_union_connected(context):
    start = next(iter(context.graph))
    assert reachable(context.graph, start) == set(context.graph)


@when("the watchers with the ranks {ranks} are down")
def step_watchers_down(context, ranks):
    context.topology = build_topology(context.rows)
    context.candidates = context.topology.watch_candidates("dc-0")
    down = [] if ranks == "none" else [int(one) for one in ranks.split(",")]
    context.watchers = context.topology.watchers(
        "dc-0", {context.candidates[rank].host for rank in down}
    )


@then("the watchers have the ranks {ranks}")
def step_watching(context, ranks):
    expected = [context.candidates[int(rank)] for rank in ranks.split(",")]
    assert list(context.watchers) == expected, context.watchers


@then("all candidates of a data centre plan links with each other")
def step_candidates_linked(context):
    for own in context.candidates:
        links = set(context.topology.links(own.host))
        missing = set(context.candidates) - links - {own}
        assert not missing, (own, missing)
