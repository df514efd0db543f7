"""Steps for the distribution of documents between nodes."""

from behave import given
from behave import then
from behave import when
import exchange_machine
from hypothesis import settings
from hypothesis import stateful

from jasminecrank import state

TABLE = state.DocumentName.TABLE
NO_VERSIONS = state.VersionVector()


@when("{runs:d} random simulations of {nodes:d} nodes are run")
def step_runs(context, runs, nodes):
    assert nodes == exchange_machine.NODE_COUNT
    stateful.run_state_machine_as_test(
        exchange_machine.ExchangeMachine,
        settings=settings(max_examples=runs, stateful_step_count=40),
    )


@then("no run breaks an invariant and all nodes converge")
def step_no_break(context):
    assert not state.violations_by_code, state.violations_by_code


@given("a node that has accepted {count:d} table versions in order")
def step_versions(context, count):
    context.exchange = state.ExchangeState.from_host("self")
    context.documents = []
    for number in range(1, count + 1):
        accept_version(context, number)


def accept_version(context, number):
    """Offer the next table version and return the messages sent."""
    document = exchange_machine.make_document(TABLE, number)
    context.documents.append(document)
    offered = context.exchange.receive_document(None, document, 0.0)
    assert isinstance(offered.offer_result, state.Accepted), (
        offered.offer_result
    )
    return offered.sends


def reported_versions(context, number):
    """Return the versions of a peer with one table version."""
    if number == 0:
        return NO_VERSIONS
    return NO_VERSIONS.replace(TABLE, context.documents[number - 1].version)


@when(
    "a peer reports table version {number:d} and the next version is accepted"
)
def step_next(context, number):
    context.exchange.peer_up("peer", reported_versions(context, number), 0.0)
    context.sends = accept_version(context, len(context.documents) + 1)


@then("the node sends {sent}")
def step_sends(context, sent):
    names = [type(send).__name__ for send in context.sends]
    assert names == ([] if sent == "nothing" else [sent]), names
    for send in context.sends:
        if isinstance(send, state.SendDelta):
            base = context.documents[send.delta.base.number - 1]
            applied = state.apply_delta(base, send.delta)
            assert applied == context.documents[-1]


@then("nothing if the peer reports the newest version before it is accepted")
def step_nothing(context):
    newest = exchange_machine.make_document(TABLE, len(context.documents) + 1)
    versions = NO_VERSIONS.replace(TABLE, newest.version)
    context.exchange.receive_versions("peer", versions, 1.0)
    assert accept_version(context, newest.version.number) == ()


@when("a peer with table version {have:d} fetches the table")
def step_fetch(context, have):
    versions = reported_versions(context, have)
    context.exchange.peer_up("peer", versions, 0.0)
    context.sends = context.exchange.receive_fetch(
        "peer", TABLE, versions.get(TABLE)
    )


@given("a chain and a ring of {count:d} linked nodes each")
def step_chain(context, count):
    chain = [(one, one + 1) for one in range(count - 1)]
    ring = [(one, (one + 1) % count) for one in range(count)]
    context.networks = [
        exchange_machine.Network(count, chain),
        exchange_machine.Network(count, ring),
    ]


@when("the first node of each accepts a version of every document")
def step_first_accepts(context):
    for network in context.networks:
        network.deliver_all()
        network.pushed.clear()
        for name in state.DocumentName:
            network.offer(0, exchange_machine.make_document(name, 1))
        network.deliver_all()
        # Every node has a base version now, so this version is sent as deltas.
        for name in reversed(state.SEND_ORDER):
            network.offer(0, exchange_machine.make_document(name, 2))
        network.deliver_all()


@then("every node has it")
def step_every_node(context):
    for network in context.networks:
        for node in network.nodes:
            numbers = {
                node.config.versions().get(name).number
                for name in state.DocumentName
            }
            assert numbers == {2}, numbers


@then("no node pushed a version twice on a link")
def step_no_repeat(context):
    for network in context.networks:
        assert network.pushed, "nothing was pushed"
        assert not network.repeated_pushes, network.repeated_pushes


@then("keys are fetched before the other documents")
def step_keys_first(context):
    exchange = state.ExchangeState.from_host("late")
    full = context.networks[0].nodes[0].config.versions()
    sends = exchange.peer_up("n0", full, 0.0)
    assert [send.name for send in sends] == list(state.SEND_ORDER)
    assert sends[0].name is state.DocumentName.KEYS


@given("a node whose peers a, b and c report a newer table")
def step_three_peers(context):
    context.exchange = state.ExchangeState.from_host("self")
    context.documents = [exchange_machine.make_document(TABLE, 1)]
    context.asked = []
    for host in "abc":
        sends = context.exchange.peer_up(
            host, reported_versions(context, 1), 0.0
        )
        context.asked += [send.host for send in sends]
    assert len(context.asked) == 1, context.asked


@when("{seconds:d} s pass without a reply")
def step_pass(context, seconds):
    assert not context.exchange.fetch_due(seconds - 0.1)
    context.sends = context.exchange.fetch_due(float(seconds))


@then("the fetch is sent to another peer")
def step_other(context):
    (send,) = context.sends
    assert send.host not in context.asked
    context.asked.append(send.host)


@when("that peer goes down")
def step_down(context):
    context.sends = context.exchange.peer_down(context.asked[-1], 2.5)


@then("the fetch is sent to a peer that is still linked")
def step_still(context):
    (send,) = context.sends
    assert send.host != context.asked[-1]


@when(
    "a linked peer reports table version {number:d} every {period:d} s "
    "for {total:d} s"
)
def step_keeps_reporting(context, number, period, total):
    versions = reported_versions(context, number)
    context.exchange.peer_up("peer", versions, 0.0)
    for now_s in range(period, total + 1, period):
        context.exchange.receive_versions("peer", versions, float(now_s))
    context.lagging = context.exchange.lagging_peers(float(total))


@then("the peer is {expected}")
def step_lagging(context, expected):
    assert bool(context.lagging) == (expected == "lagging"), context.lagging
