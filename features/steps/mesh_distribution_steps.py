"""Steps for the distribution of tables across a modelled fleet."""

import asyncio

from behave import given
from behave import then
from behave import when
import fleet_model


@given(
    "{hosts:d} nodes with links of {mbit:d} Mbit/s and {delay:d} ms, "
    "and {rows:d} rows"
)
def step_fleet(context, hosts, mbit, delay, rows):
    loop = fleet_model.VirtualLoop()
    context.runner = asyncio.Runner(loop_factory=lambda: loop)
    context.add_cleanup(context.runner.close)

    async def start():
        context.model = fleet_model.ModelFleet(hosts, mbit, delay / 1000)
        await context.model.start(rows)

    context.runner.run(start())


@given("{count:d} of them have links of {mbit:d} Mbit/s")
def step_fast_links(context, count, mbit):
    context.model.set_link_rate(count, mbit)


@given("one of the readers has a link of {mbit:d} Mbit/s")
def step_fast_reader(context, mbit):
    model = context.model
    model.node_by_host[model.readers()[0]].set_link_rate(mbit)


@when("the table changes {count:d} times, every {interval:g} s")
def step_table_changes(context, count, interval):
    context.runner.run(context.model.publish_series(count, interval))


@then("the last {count:d} were in force on every node within {limit:g} s")
def step_last_changes_in_force(context, count, limit):
    context.runner.run(asyncio.sleep(5.0))
    delays = list(context.model.delay_s_by_version().values())
    assert max(delays[-count:]) <= limit, delays


@when(
    "all readers {fault} after {before:d} changes and before {after:d} others"
)
def step_readers_lost(context, fault, before, after):
    async def act():
        model = context.model
        await model.publish_series(before)
        readers = model.readers()
        match fault:
            case "lose power":
                model.lose(readers)
            case "lose the source":
                model.source.unreachable_for |= set(readers)
        model.source.sent_bytes_by_host.clear()
        await asyncio.sleep(0.1)
        await model.publish_series(after)

    context.runner.run(act())


@then("each change was in force on every running node within {limit:g} s")
def step_in_force(context, limit):
    context.runner.run(asyncio.sleep(4 * limit))
    delays = context.model.delay_s_by_version()
    assert max(delays.values()) <= limit, delays


@then("no node has read from the source since")
def step_nothing_read(context):
    context.runner.run(asyncio.sleep(5.0))
    sent_bytes_by_host = context.model.source.sent_bytes_by_host
    assert sent_bytes_by_host, "no node has taken over"
    assert not any(sent_bytes_by_host.values()), sent_bytes_by_host


@when("all nodes lose the source for {seconds:g} s")
def step_source_lost(context, seconds):
    model = context.model
    model.source.unreachable_for |= set(model.node_by_host)
    context.runner.run(asyncio.sleep(seconds))


@then("each of them knows it for at least {seconds:g} s")
def step_age_known(context, seconds):
    ages = context.model.confirmed_ages_s()
    assert min(ages) >= seconds, sorted(ages)[:5]


@when("no node reaches the source during {count:d} changes")
def step_source_unreachable(context, count):
    async def act():
        source = context.model.source
        source.unreachable_for |= set(context.model.node_by_host)
        await context.model.publish_series(count)
        source.sent_bytes_by_host.clear()
        source.unreachable_for.clear()
        context.returned_s = context.model.loop.time()

    context.runner.run(act())


@then("the last change is in force everywhere {limit:g} s after it returns")
def step_last_in_force(context, limit):
    context.runner.run(asyncio.sleep(4 * limit))
    model = context.model
    since_s = max(
        node.in_force_since_s(max(model.published_s_by_version))
        for node in model.node_by_host.values()
    )
    assert since_s - context.returned_s <= limit, since_s - context.returned_s


@then("no node has read more than {ratio:g} times all entries since")
def step_read_bytes(context, ratio):
    source = context.model.source
    most = ratio * fleet_model.wire_bytes(source.item_by_key.values())
    read = max(source.sent_bytes_by_host.values())
    assert read <= most, (read, most)


@when("the table and {entries:d} servers change {count:d} times")
def step_servers_change(context, entries, count):
    async def act():
        context.started_s = context.model.loop.time()
        for round_number in range(count):
            context.model.register_servers(entries, round_number)
            await context.model.publish_series(1)

    context.runner.run(act())


@then("at most {count:d} other nodes have taken over reading the source")
def step_few_readers(context, count):
    takers = context.model.taken_over_since(context.started_s)
    assert len(takers) <= count, takers


@when("{count:d} rows of the table change at once")
def step_rows_change(context, count):
    async def act():
        context.model.longest_wait_s = 0.0
        context.model.publish(count)

    context.runner.run(act())


@then("no message has waited more than {limit:g} s for its sender's link")
def step_wait(context, limit):
    waited_s = context.model.longest_wait_s
    assert waited_s <= limit, waited_s


@when("its event loop is blocked for {seconds:g} s")
def step_blocked(context, seconds):
    (context.node,) = context.model.node_by_host.values()
    context.node.log.lines.clear()
    context.model.loop.block(seconds)
    context.runner.run(asyncio.sleep(0.2))


@then("it has logged {events}")
def step_logged(context, events):
    logged = {event for _, event, _ in context.node.log.lines}
    logged &= {"late-tick", "woke-up"}
    assert logged == set(events.split(", ")) - {"nothing"}, logged
