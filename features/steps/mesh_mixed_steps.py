"""Steps for fleets whose nodes speak two versions of the protocol."""

import asyncio

from behave import given
from behave import then
from behave import when
import fleet_model

LINK_MBIT_PER_S = 20
LINK_DELAY_S = 0.001
TABLE_ROWS = 200
STEP_S = 2.5
"""Time between the replacements of two nodes."""
OBSERVED_S = 6.0


@given("{hosts:d} nodes, {old} of the previous version")
def step_nodes(context, hosts, old):
    loop = fleet_model.VirtualLoop()
    context.runner = asyncio.Runner(loop_factory=lambda: loop)
    context.add_cleanup(context.runner.close)

    async def start():
        model = fleet_model.ModelFleet(hosts, LINK_MBIT_PER_S, LINK_DELAY_S)
        context.model = model
        names = list(model.node_by_host)
        match old.split():
            case ["all"]:
                model.old_hosts |= set(names)
            case ["every", "second"]:
                model.old_hosts |= set(names[::2])
            case ["none"]:
                pass
            case _:
                raise AssertionError(old)
        await model.start(TABLE_ROWS)

    context.runner.run(start())


@when("{event}, and a table and a server's entry are written")
def step_event(context, event):
    model = context.model
    hosts = list(model.node_by_host)

    async def replace(names, is_old):
        for host in names:
            if is_old:
                model.old_hosts.add(host)
            else:
                model.old_hosts.discard(host)
            model.restart(host)
            await asyncio.sleep(STEP_S)

    async def act():
        match event:
            case "nothing else happens":
                pass
            case "all are replaced by new ones in turn":
                await replace(hosts, False)
            case "all are replaced by old ones in turn":
                await replace(hosts, True)
            case "two new ones start, cut from the source":
                model.source.unreachable_for |= set(hosts[-2:])
                await replace(hosts[-2:], False)
                await asyncio.sleep(STEP_S)
            case _:
                raise AssertionError(event)
        context.source_calls = model.source.calls
        context.source_listings = model.source.listings
        context.listing_requests = model.listing_requests
        context.entry_bytes = model.entry_bytes
        context.version = model.publish()
        await asyncio.sleep(0.5)
        model.register_servers(1, 1)
        await asyncio.sleep(OBSERVED_S)

    context.runner.run(act())


@then("the table is in force on all nodes within {limit_s:g} s")
def step_in_force(context, limit_s):
    delay_s = context.model.delay_s_by_version()[context.version]
    assert delay_s <= limit_s, delay_s


@then("all nodes have the same entries, by the digest of revisions")
def step_same(context):
    nodes = context.model.node_by_host.values()
    found = {node.directory.revision_digest for node in nodes}
    assert len(found) == 1, found


@then(
    "in 6 s the nodes request {requests:d} listings from each other and "
    "{listings:d} from the source"
)
def step_listings(context, requests, listings):
    model = context.model
    requested = model.listing_requests - context.listing_requests
    listed = model.source.listings - context.source_listings
    assert requested <= requests and listed <= listings, (requested, listed)


@then("nodes of the same version agree on eras")
def step_eras(context):
    model = context.model
    digests = {}
    for host, node in model.node_by_host.items():
        is_old = host in model.old_hosts
        digests.setdefault(is_old, set()).add(node.directory.digest)
    assert all(len(found) == 1 for found in digests.values()), digests
