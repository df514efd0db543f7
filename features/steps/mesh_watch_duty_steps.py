"""Steps for decisions on who reads the source and who sends large entries."""

import asyncio
from collections import Counter

from behave import given
from behave import then
from behave import when
import fleet_model

from jasminecrank.mesh import state

NOW_S = 100.0
LINK_MBIT_PER_S = 20
LINK_DELAY_S = 0.001
TABLE_ROWS = 700


@given("peers whose last replies began {begun} s and ended {ended} s ago")
def step_peers(context, begun, ended):
    context.contacts = [
        state.SourceContact(
            f"10.0.0.{number}", NOW_S - float(end), NOW_S - float(start)
        )
        for number, (start, end) in enumerate(
            zip(begun.split(","), ended.split(","), strict=True)
        )
    ]


@then("a standby watcher {standby} and any other node {other}")
def step_takes_over(context, standby, other):
    decided = [
        state.takes_over(context.contacts, is_standby, NOW_S)
        for is_standby in (True, False)
    ]
    assert decided == [standby == "takes over", other == "takes over"], decided


@given("a link of {rate:d} Mbit/s")
def step_link(context, rate):
    context.uploads = state.UploadLimiter.from_link_rate(rate)


@when("{count:d} nodes request an entry of {size:d} kB")
def step_requests(context, count, size):
    context.receivers = [f"10.0.0.{number}" for number in range(count)]
    context.entry_bytes = 1000 * size


def start_uploads(context, now_s):
    """Return the receivers to which uploads could be started."""
    return [
        receiver
        for receiver in context.receivers
        if context.uploads.start(receiver, context.entry_bytes, now_s)
    ]


@then("{count:d} of them get it at once")
def step_started(context, count):
    context.started = start_uploads(context, NOW_S)
    assert len(context.started) == count, context.started


@then("{count:d} others when those have confirmed it, or after {later:g} s")
def step_next(context, count, later):
    assert not start_uploads(context, NOW_S)
    for receiver in context.started:
        context.receivers.remove(receiver)
        context.uploads.finish(receiver)
    assert len(start_uploads(context, NOW_S)) == count
    assert len(start_uploads(context, NOW_S + later)) == count


@given("a fleet of {count:d} hosts")
def step_fleet(context, count):
    hosts = [f"10.0.1.{number}" for number in range(count)]
    servers = {
        host: state.BackendServer(
            host, "s", host, 1, "a", 6, state.ServerState.READY, 0.0, 1
        )
        for host in hosts
    }
    fleet = state.FleetSnapshot(None, servers, {}, frozenset())
    context.readers_by_host = {
        host: state.SourceReaders.from_fleet(host, fleet) for host in hosts
    }


def find_reader(readers_by_host, reader):
    """Return the readers of the fleet as seen by the named one."""
    view = next(iter(readers_by_host.values()))
    match reader.split():
        case ["the", rank, "watcher"]:
            hosts = view.watchers
        case ["the", rank, "standby", "watcher"]:
            hosts = view.standby_watchers
        case _:
            rank = "first"
            hosts = [
                host
                for host, seen in readers_by_host.items()
                if not seen.is_watcher and not seen.is_standby
            ]
    return readers_by_host[hosts[0 if rank == "first" else -1]]


@when("only {reader} has read an entry")
def step_read(context, reader):
    hosts = list(context.readers_by_host)
    context.first = find_reader(context.readers_by_host, reader)
    context.receivers = Counter(filter(context.first.pushes_read_to, hosts))
    for host in list(context.receivers):
        relay = context.readers_by_host[host]
        if relay.is_fellow(context.first.own_host):
            context.receivers.update(filter(relay.relays_to, hosts))


@then("{receivers} get it, each of them once")
def step_receivers(context, receivers):
    expected = set()
    if receivers == "all other hosts":
        expected = set(context.readers_by_host)
        # A watcher may be in its own part.
        expected.discard(context.first.own_host)
        context.receivers.pop(context.first.own_host, None)
    assert context.receivers == Counter(expected), context.receivers


@when(
    "{hosts:d} nodes start together, {before_s:g} s before the source has "
    "entries"
)
def step_start_together(context, hosts, before_s):
    loop = fleet_model.VirtualLoop()
    context.runner = asyncio.Runner(loop_factory=lambda: loop)
    context.add_cleanup(context.runner.close)

    async def start():
        context.model = fleet_model.ModelFleet(
            hosts, LINK_MBIT_PER_S, LINK_DELAY_S
        )
        await context.model.power_on(TABLE_ROWS, before_s)

    context.runner.run(start())


@then("each of them is linked and has the table within {limit_s:g} s")
def step_linked(context, limit_s):
    context.runner.run(asyncio.sleep(limit_s))
    assert context.model.all_linked()


@then("they have read the source at most {most:d} times by then")
def step_source_calls(context, most):
    calls = context.model.source.calls
    assert calls <= most, calls
