"""Steps for the distribution of versions between simulated nodes."""

from behave import given
from behave import then
from behave import when
import exchange_machine
import world

from jasminecrank import state

TABLE = state.DocumentName.TABLE


@given(
    "{hosts:d} simulated nodes in {data_centres:d} data centres that all have "
    "become ready"
)
def step_world(context, hosts, data_centres):
    context.simulation = world.make_simulation(hosts, data_centres)
    context.simulation.run(12.0)
    unready = [
        (host, node.status())
        for host, node in context.simulation.nodes.items()
        if not node.ready
    ]
    assert not unready, unready
    context.host = None


def host_at(context, position):
    """Return the host at a data centre and watch rank such as dc-0/5."""
    data_centre, rank = position.split("/")
    return (
        topology(context)
        .watch_rank_by_data_centre[data_centre][int(rank)]
        .host
    )


def topology(context):
    """Return the topology, which is the same on all nodes."""
    node = next(
        node for node in context.simulation.nodes.values() if node.alive
    )
    return node.membership._topology


@then("every planned pair has exactly one link")
def step_one_link(context):
    for host, node in context.simulation.nodes.items():
        planned = {row.host for row in topology(context).links(host)}
        assert node.peers() == planned, (host, node.peers() ^ planned)


@then("no pair was dialled more than once")
def step_dials(context):
    links = [
        topology(context).links(host) for host in context.simulation.nodes
    ]
    pairs = sum(map(len, links)) // 2
    assert context.simulation.dial_count == pairs, (
        context.simulation.dial_count,
        pairs,
    )


@when("no node fails")
def step_nothing(context):
    context.simulation.run(1.0)


@when("the watchers of {data_centre} are {fault}")
def step_watchers(context, data_centre, fault):
    for row in topology(context).watchers(data_centre):
        if fault == "killed":
            context.simulation.kill(row.host)
        else:
            context.simulation.nodes[row.host].paused = True


@when("all nodes of {data_centre} are killed")
def step_kill_centre(context, data_centre):
    for host, node in context.simulation.nodes.items():
        if node.row.data_centre == data_centre:
            context.simulation.kill(host)


@when("the data centre {data_centre} is cut off")
def step_cut(context, data_centre):
    context.simulation.cut_off.add(data_centre)


@when("the data centre {data_centre} is reconnected")
def step_return(context, data_centre):
    context.simulation.cut_off.discard(data_centre)


@when("table version {number:d} is published")
def step_publish(context, number):
    document = exchange_machine.make_document(TABLE, number)
    context.simulation.publish(document)


@when("{seconds:d} s pass")
def step_seconds(context, seconds):
    context.simulation.run(seconds)


def lagging_hosts(context):
    """Return the running, reachable hosts that lack the newest table."""
    newest = context.simulation.documents[TABLE].version
    return [
        host
        for host, node in context.simulation.nodes.items()
        if node.alive
        and not node.paused
        and node.row.data_centre not in context.simulation.cut_off
        and node.status().versions.table != newest
    ]


@then("every running, reachable node has the newest table within {limit:d} s")
def step_converged(context, limit):
    context.simulation.run(limit)
    assert not lagging_hosts(context), lagging_hosts(context)


@then("the running node {position} watches the source without an error")
def step_watches(context, position):
    node = context.simulation.nodes[host_at(context, position)]
    assert node.alive
    assert not node.paused
    status = node.status()
    assert status.watching, status
    assert status.source_error == "", status
    assert status.confirmed_age_s < 60, status


@when("the source is down for {seconds:d} s")
def step_source_down(context, seconds):
    context.simulation.source_up = False
    watches, context.simulation.watches = context.simulation.watches, []
    for node, call in watches:
        context.simulation.answer_source_call(node, call)
    context.simulation.run(seconds)


@then("every node is ready with table version {number:d}")
def step_all_ready(context, number):
    for host, node in context.simulation.nodes.items():
        assert node.ready, host
        assert node.status().versions.table.number == number, host


@then("every node has recorded {name}")
def step_recorded(context, name):
    for host, node in context.simulation.nodes.items():
        names = [event.name for event in node.events]
        assert names.count(name) == 1, (host, names)


@when("the source recovers with table version {number:d}")
def step_source_back(context, number):
    context.simulation.source_up = True
    step_publish(context, number)


@when("the node {position} is paused for {seconds:d} s")
def step_pause(context, position, seconds):
    context.host = host_at(context, position)
    context.simulation.nodes[context.host].paused = True
    context.simulation.run(seconds)


@when(
    "the node {position} is paused for {seconds:d} s, and all others are "
    "killed and the source is down"
)
def step_pause_alone(context, position, seconds):
    step_pause(context, position, seconds)
    step_source_down(context, 0)
    for host in context.simulation.nodes:
        if host != context.host:
            context.simulation.kill(host)
    context.simulation.resume(context.host)


@when("it handles its first message")
def step_first_message(context):
    context.simulation.resume(context.host)
    context.simulation.run(0.0)


@then("it is ready within {limit:d} s")
def step_ready_within(context, limit):
    context.simulation.run(limit)
    node = context.simulation.nodes[context.host]
    assert node.ready, node.status()


@then("it is {expected}")
def step_it_is(context, expected):
    node = context.simulation.nodes[context.host]
    assert node.ready == (expected == "ready"), node.status()
