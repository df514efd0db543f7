"""Steps on the distribution between simulated nodes."""

from behave import given
from behave import then
from behave import when
import exchange_machine
import world

from jasminecrank import state

TABLE = state.DocumentName.TABLE


@given(
    "{hosts:d} simulated nodes in {centres:d} data centres that all have "
    "become ready"
)
def step_world(context, hosts, centres):
    context.world = world.make_world(hosts, centres)
    context.world.run(12.0)
    unready = [
        (host, node.status())
        for host, node in context.world.nodes.items()
        if not node.ready
    ]
    assert not unready, unready
    context.host = None


def pick(context, place):
    """Return the host at a place such as dc-0/5 of the watch rank."""
    centre, position = place.split("/")
    return (
        topology(context).watch_rank_by_data_centre[centre][int(position)].host
    )


def topology(context):
    """Return the topology that all nodes have."""
    node = next(one for one in context.world.nodes.values() if one.alive)
    return node.membership._topology


@then("every planned pair has exactly one link")
def step_one_link(context):
    for host, node in context.world.nodes.items():
        planned = {row.host for row in topology(context).links(host)}
        assert node.peers() == planned, (host, node.peers() ^ planned)


@then("no pair was dialled more than once")
def step_dials(context):
    links = [topology(context).links(host) for host in context.world.nodes]
    pairs = sum(map(len, links)) // 2
    assert context.world.dials == pairs, (context.world.dials, pairs)


@when("no node fails")
def step_nothing(context):
    context.world.run(1.0)


@when("the watchers of {centre} are {fault}")
def step_watchers(context, centre, fault):
    for row in topology(context).watchers(centre):
        if fault == "killed":
            context.world.kill(row.host)
        else:
            context.world.nodes[row.host].paused = True


@when("all nodes of {centre} are killed")
def step_kill_centre(context, centre):
    for host, node in context.world.nodes.items():
        if node.row.data_centre == centre:
            context.world.kill(host)


@when("the data centre {centre} is cut off")
def step_cut(context, centre):
    context.world.cut_off.add(centre)


@when("the data centre {centre} returns")
def step_return(context, centre):
    context.world.cut_off.discard(centre)


@when("table version {number:d} is published")
def step_publish(context, number):
    document = exchange_machine.make_document(TABLE, number)
    context.world.publish(document)


@when("{seconds:d} s pass")
def step_seconds(context, seconds):
    context.world.run(seconds)


def behind(context):
    """Return the running, reachable hosts without the newest table."""
    newest = context.world.documents[TABLE].version
    return [
        host
        for host, node in context.world.nodes.items()
        if node.alive
        and not node.paused
        and node.row.data_centre not in context.world.cut_off
        and node.status().versions.table != newest
    ]


@then("every running node that can be reached has it within {limit:d} s")
def step_converged(context, limit):
    context.world.run(limit)
    assert not behind(context), behind(context)


@then("the running node {place} watches the source without an error")
def step_watches(context, place):
    node = context.world.nodes[pick(context, place)]
    assert node.alive
    assert not node.paused
    status = node.status()
    assert status.watching, status
    assert status.source_error == "", status
    assert status.confirmed_age_s < 60, status


@when("the source is down for {seconds:d} s")
def step_source_down(context, seconds):
    context.world.source_up = False
    watches, context.world.watches = context.world.watches, []
    for node, call in watches:
        context.world.answer(node, call)
    context.world.run(seconds)


@then("every node is ready with table version {number:d}")
def step_all_ready(context, number):
    for host, node in context.world.nodes.items():
        assert node.ready, host
        assert node.status().versions.table.number == number, host


@then("every node has recorded {name}")
def step_recorded(context, name):
    for host, node in context.world.nodes.items():
        names = [event.name for event in node.events]
        assert names.count(name) == 1, (host, names)


@when("the source comes back with table version {number:d}")
def step_source_back(context, number):
    context.world.source_up = True
    step_publish(context, number)


@when("the node {place} is paused for {seconds:d} s")
def step_pause(context, place, seconds):
    context.host = pick(context, place)
    context.world.nodes[context.host].paused = True
    context.world.run(seconds)


@when(
    "the node {place} is paused for {seconds:d} s, and all others are "
    "killed and the source is down"
)
def step_pause_alone(context, place, seconds):
    step_pause(context, place, seconds)
    step_source_down(context, 0)
    for host in context.world.nodes:
        if host != context.host:
            context.world.kill(host)
    context.world.resume(context.host)


@when("it handles its first message")
def step_first_message(context):
    context.world.resume(context.host)
    context.world.run(0.0)


@then("it is ready within {limit:d} s")
def step_ready_within(context, limit):
    context.world.run(limit)
    node = context.world.nodes[context.host]
    assert node.ready, node.status()


@then("it is {expected}")
def step_it_is(context, expected):
    node = context.world.nodes[context.host]
    assert node.ready == (expected == "ready"), node.status()
