"""Steps for deployments of stand-ins and nodes in one process."""

import asyncio
import contextlib
import dataclasses
import pathlib
import re
import time

from behave import given
from behave import then
from behave import when

from jasminecrank.mesh import coordination
from jasminecrank.standins import fleet

NOT_EXECUTED_STATUSES = (429, 503)


@given("a deployment of {hosts:d} hosts")
def step_deployment(context, hosts):
    start_deployment(context, hosts)


def start_deployment(
    context, hosts, prepare=lambda deployment: None, loop_factory=None
):
    """Start a deployment, after changes to it that `prepare` makes."""
    context.exit_stack = contextlib.ExitStack()
    context.runner = context.exit_stack.enter_context(
        asyncio.Runner(loop_factory=loop_factory)
    )
    context.fleet = None

    async def start():
        context.fleet = fleet.Deployment(hosts)
        prepare(context.fleet)
        await context.fleet.start()

    async def close():
        context.fleet.close()
        await asyncio.sleep(0.05)

    context.exit_stack.callback(lambda: context.runner.run(close()))
    context.runner.run(start())
    context.responses = []


def count_runs(context, request_id):
    """Return how often a request has run on all servers."""
    servers = context.fleet.servers
    return sum(server.runs_by_request_id[request_id] for server in servers)


@when("a caller sends {method} {target} with key {key}")
def step_send(context, method, target, key):
    async def send():
        caller = context.fleet.caller(0)
        started_s = time.monotonic()
        shown = None if key == "none" else key
        context.response = await caller.request(method, target, shown)
        context.elapsed_s = time.monotonic() - started_s
        context.request_id = caller.last_request_id

    context.runner.run(send())


@then("it gets {status:d} and the request has run {runs:d} times")
def step_status_and_runs(context, status, runs):
    found = (context.response.status, count_runs(context, context.request_id))
    assert found == (status, runs), (found, context.fleet.log_lines[-5:])
    if status == 200:
        check_response(context.response, context.request_id)


def check_response(response, request_id):
    """Check that a response is complete and belongs to the request."""
    assert response.status == 200, response
    assert response.headers["server-stamp"] == f"stamp-{request_id}", response
    assert response.body == f"body of {request_id}".encode(), response


@when("every server will once {fault}")
def step_fault_once(context, fault):
    for server in context.fleet.servers:
        server.behaviours.append(fleet.Behaviour(fault))


@when("every server always will {fault}")
def step_fault_always(context, fault):
    for server in context.fleet.servers:
        server.default_behaviour = fleet.Behaviour(fault)


@when("server {number:d} always will {fault}")
def step_server_fault(context, number, fault):
    context.fleet.servers[number].default_behaviour = fleet.Behaviour(fault)


@when("{count:d} requests are sent in turn")
def step_send_in_turn(context, count):
    async def send():
        caller = context.fleet.caller(0)
        for _ in range(count):
            response = await caller.request("GET", "/lots/1", "k1")
            context.responses.append(response)

    context.runner.run(send())


@then("they get the statuses {statuses} and no other")
def step_statuses_in_turn(context, statuses):
    found = {str(response.status) for response in context.responses}
    assert found == set(statuses.split(", ")), found


@then("the node has accepted less than {limit:d} MB of it")
def step_accepted(context, limit):
    accepted_bytes = sum(
        server.endless_bytes for server in context.fleet.servers
    )
    assert accepted_bytes < limit * 1_000_000, accepted_bytes


@when("two requests with the same id are sent one after the other")
def step_send_twice(context):
    async def send():
        server = context.fleet.servers[0]
        caller = context.fleet.caller(0)
        context.connection_counts = []
        for _ in range(2):
            same_id = {"Request-Id": "same-id"}
            await caller.send("POST", "/book/1", headers=same_id)
            await caller.receive()
            context.connection_counts.append(server.connection_count)

    context.runner.run(send())


@then("the server has got them on different connections")
def step_different_connections(context):
    first, second = context.connection_counts
    assert second == first + 1, context.connection_counts


@when("{count:d} requests are sent one after the other")
def step_send_many(context, count):
    async def send():
        caller = context.fleet.caller(0)
        for _ in range(count):
            response = await caller.request()
            context.responses.append((caller.last_request_id, response))
            await asyncio.sleep(0.01)

    context.runner.run(send())


@then("each request gets its own complete response")
def step_all_complete(context):
    assert context.responses
    for request_id, response in context.responses:
        check_response(response, request_id)


def abandon_request(context, run_s, after_s, method, target):
    """Send a request and disconnect while it runs."""

    async def act():
        for server in context.fleet.servers:
            server.run_s = run_s
        caller = context.fleet.caller(0)
        await caller.send(method, target)
        await asyncio.sleep(after_s)
        caller.close()
        await asyncio.sleep(0.5)

    context.runner.run(act())


@when("requests take {run_s:g} s and a caller disconnects after {after_s:g} s")
def step_abandon(context, run_s, after_s):
    abandon_request(context, run_s, after_s, "GET", "/lots/1")


@when("bookings take {run_s:g} s and a caller disconnects after {after_s:g} s")
def step_abandon_booking(context, run_s, after_s):
    abandon_request(context, run_s, after_s, "POST", "/book/1")


@then("a server has cancelled the run within 0.5 s")
def step_cancelled(context):
    assert sum(server.cancelled_runs for server in context.fleet.servers) == 1


@then("no server has cancelled a run")
def step_none_cancelled(context):
    assert not any(server.cancelled_runs for server in context.fleet.servers)


@then("it gets {status:d} after {least:g} to {most:g} s")
def step_status_in_time(context, status, least, most):
    assert context.response.status == status, context.response
    assert least <= context.elapsed_s <= most, context.elapsed_s


@when("{count:d} callers send requests concurrently")
def step_send_concurrently(context, count):
    async def send():
        callers = [
            context.fleet.caller(number % len(context.fleet.servers))
            for number in range(count)
        ]
        found = await asyncio.gather(*(caller.request() for caller in callers))
        for caller, response in zip(callers, found, strict=True):
            context.responses.append((caller.last_request_id, response))

    context.runner.run(send())


@then("no server has run more than {most:d} requests concurrently")
def step_concurrency(context, most):
    for server in context.fleet.servers:
        assert server.peak_concurrency <= most, server.peak_concurrency


@then("no request that was rejected has run")
def step_true_rejections(context):
    for request_id, response in context.responses:
        if response.status in NOT_EXECUTED_STATUSES:
            assert count_runs(context, request_id) == 0, response


@then("all responses are complete or report that nothing has run")
def step_complete_or_not_run(context):
    for request_id, response in context.responses:
        if response.status in NOT_EXECUTED_STATUSES:
            assert count_runs(context, request_id) == 0, response
        else:
            check_response(response, request_id)


@when("the store fails for {seconds:g} s")
def step_store_fails(context, seconds):
    async def act():
        store = context.fleet.store
        store.outage = fleet.Outage.BUSY
        await asyncio.sleep(seconds)
        store.outage = fleet.Outage.NONE
        hosts = len(context.fleet.nodes)

        def has_returned():
            lines = b"".join(context.fleet.log_lines)
            return lines.count(b'"source-returned"') >= hosts

        await context.fleet.wait_until(has_returned)

    context.runner.run(act())


@when("server {number:d} {event}")
def step_out_of_service(context, number, event):
    async def act():
        deployment = context.fleet
        server = deployment.servers[number]
        match event:
            case "is draining":
                await deployment.register(number, "draining")
            case "is removed":
                await deployment.store.delete(f"servers/{server.server_id}")
            case "is in a data centre out of service":
                await deployment.store.put("op/evacuate/belt-a", {})
            case "crashes":
                server.close()
        context.leaving_server = server

    context.runner.run(act())


@when("servers 2 and 3 are of service spare and a split gives it {weight:d}")
def step_split_servers(context, weight):
    async def act():
        deployment = context.fleet
        deployment.version += 1
        table = fleet.table_entry(
            deployment.version, 1000, {"team-1": fleet.TeamRow(["k1"], 0)}
        )
        route = table["resources"][0]["spec"]
        del route["service"]
        route["split"] = [
            {"service": "ledger", "weight": 100 - weight},
            {"service": "spare", "weight": weight},
        ]
        spare = {
            "typeUrl": "services",
            "metadata": {"name": "spare"},
            "spec": {"healthPath": "/healthz"},
        }
        table["resources"].append(spare)
        await deployment.store.put("op/config", table)
        for number in (2, 3):
            entry = deployment.server_entry(number)
            entry["info"]["service"] = "spare"
            server_id = deployment.servers[number].server_id
            await deployment.store.put(f"servers/{server_id}", entry)
        await asyncio.sleep(1.0)

    context.runner.run(act())


@then(
    "{kept:d} of them have run at servers 0 and 1 and the others got "
    "{status:d}"
)
def step_kept(context, kept, status):
    runs = [
        sum(
            server.runs_by_request_id[request_id]
            for server in context.fleet.servers[:2]
        )
        for request_id, _ in context.responses
    ]
    assert sum(runs) == runs.count(1) == kept, runs
    for (request_id, response), ran in zip(
        context.responses, runs, strict=True
    ):
        wanted = 200 if ran else status
        assert response.status == wanted, (request_id, response)


def send_from_all_hosts(context, seconds):
    """Send requests to the nodes of all hosts and record the responses."""

    async def send(number, end_s):
        caller = context.fleet.caller(number)
        while time.monotonic() < end_s:
            response = await caller.request()
            context.responses.append((caller.last_request_id, response))
            await asyncio.sleep(0.02)

    async def act():
        end_s = time.monotonic() + seconds
        hosts = range(len(context.fleet.servers))
        await asyncio.gather(*(send(number, end_s) for number in hosts))

    context.runner.run(act())


@then("it gets no request after {after_s:g} s")
def step_no_request(context, after_s):
    send_from_all_hosts(context, after_s)
    before = len(context.leaving_server.requests)
    context.responses.clear()
    send_from_all_hosts(context, 0.5)
    assert len(context.leaving_server.requests) == before, (
        context.leaving_server.requests
    )


@then("callers on both hosts are served")
def step_served(context):
    assert len(context.responses) > 10
    for request_id, response in context.responses:
        check_response(response, request_id)


@when("the store is {fault} and key k1 is withdrawn")
def step_withdrawn(context, fault):
    async def act():
        deployment = context.fleet
        match fault:
            case "busy for hosts 0, 1 and 2":
                deployment.store.refused_hosts = {
                    deployment.host(number) for number in range(3)
                }
                await asyncio.sleep(0.5)
            case "compacted":
                await deployment.store.compact()
        deployment.keys = ["k2"]
        await deployment.publish()

    context.runner.run(act())


@then("every host rejects k1 within {limit:g} s")
def step_rejected(context, limit):
    async def check():
        started_s = time.monotonic()
        waiting = set(range(len(context.fleet.servers)))
        while waiting and time.monotonic() - started_s < limit:
            for number in list(waiting):
                response = await context.fleet.caller(number).request()
                if response.status == 401:
                    waiting.discard(number)
            await asyncio.sleep(0.02)
        assert not waiting, waiting

    context.runner.run(check())


@when("the store sends {rate:d} kB/s of a table of {routes:d} routes")
def step_slow_store(context, rate, routes):
    async def act():
        deployment = context.fleet
        deployment.store.bytes_per_s = 1000 * rate
        deployment.idle_routes = routes
        await deployment.publish()

    context.runner.run(act())


@then("every host has that table within {limit:g} s")
def step_has_table(context, limit):
    deployment = context.fleet

    def has_table():
        return all(
            node.fleet.table_version == deployment.version
            for node in deployment.nodes
        )

    context.runner.run(deployment.wait_until(has_table, limit))


@when("the store responds to no host")
def step_store_unresponsive(context):
    context.fleet.store.outage = fleet.Outage.SILENT


@when("the node of host {number:d} is killed and restarted")
def step_restart(context, number):
    async def act():
        context.fleet.nodes[number].abort()
        await asyncio.sleep(0.2)
        context.node = context.fleet.make_node(number)
        context.fleet.nodes[number] = context.node
        await context.node.start()

    context.runner.run(act())


@then("the restarted node is ready within {limit:g} s")
def step_ready(context, limit):
    context.runner.run(
        context.fleet.wait_until(lambda: context.node.ready, limit)
    )


@when("requests take {run_s:g} s and node 0 stops while they run")
def step_stop(context, run_s):
    async def act():
        for server in context.fleet.servers:
            server.run_s = run_s
        callers = [context.fleet.caller(number % 2) for number in range(6)]
        for caller in callers:
            await caller.send("POST", "/book/1")
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(context.fleet.nodes[0].stop())
        for caller in callers:
            response = await caller.receive()
            context.responses.append((caller.last_request_id, response))
        await stopping

    context.runner.run(act())


@when("requests take {run_s:g} s and node 0 stops while callers keep sending")
def step_stop_under_load(context, run_s):
    async def keep_sending(started_s):
        caller = context.fleet.caller(0)
        while time.monotonic() - started_s < 6.5:
            sent_s = time.monotonic() - started_s
            try:
                response = await caller.request()
            except OSError:
                # The node accepts no more connections.
                await asyncio.sleep(0.1)
                continue
            context.responses.append(
                (sent_s, caller.last_request_id, response)
            )
            caller.close()

    async def act():
        for server in context.fleet.servers:
            server.run_s = run_s
        started_s = time.monotonic()
        callers = [
            asyncio.create_task(keep_sending(started_s)) for _ in range(3)
        ]
        await context.fleet.nodes[0].stop()
        await asyncio.gather(*callers)

    context.runner.run(act())


@then("no request is run that was sent more than {limit:g} s after that")
def step_none_run(context, limit):
    late = [item for item in context.responses if item[0] > limit]
    assert not any(count_runs(context, item[1]) for item in late), late


@then("each request that is run gets a response")
def step_all_get_responses(context):
    for sent_s, request_id, response in context.responses:
        if count_runs(context, request_id):
            assert response.status, (sent_s, request_id)


@when("every server {event}")
def step_all_servers(context, event):
    async def act():
        for number, server in enumerate(context.fleet.servers):
            match event:
                case "is draining":
                    await context.fleet.register(number, "draining")
                case "is in a data centre out of service":
                    for name in ("op/evacuate/belt-a", "op/evacuate/belt-b"):
                        await context.fleet.store.put(name, {})
                case "crashes" | "crashes and misses a call":
                    server.close()
                case "has restarted unlisted":
                    server.server_id = f"new-{number}"
                case _:
                    raise ValueError(event)
        if event == "crashes and misses a call":
            await context.fleet.caller(0).request()
        await asyncio.sleep(0.5)

    if event == "has restarted unlisted":
        # A node that has just started trusts the id that its server reports.
        context.runner.run(asyncio.sleep(coordination.LISTING_GRACE_S))
    context.runner.run(act())


@when("the node raises an error on the next {count:d} calls")
def step_node_error(context, count):
    async def fail(call, left_s):
        raise ValueError("internal error")

    async def act():
        port = context.fleet.nodes[0].gate.port
        exchange = port.exchange
        port.exchange = fail
        caller = context.fleet.caller(0)
        for _ in range(count):
            response = await caller.request("POST", "/book/1")
            assert response.status == 502, response
        port.exchange = exchange

    context.runner.run(act())


@when("all hosts lose power and their servers restart {unlisted}")
def step_power_loss(context, unlisted):
    async def act():
        deployment = context.fleet
        if unlisted == "as servers of no service":
            deployment.service = "another"
        # The table sets a cold start of 3 s, of which 2.95 s are left.
        cold_s = {"a second later": 4.0, "and are warm": 0.0}
        for number, server in enumerate(deployment.servers):
            deployment.nodes[number].abort()
            server.server_id = f"new-{number}"
            server.cold_s = cold_s.get(unlisted, 2.95)
            deployment.nodes[number] = deployment.make_node(number)
        for node in deployment.nodes:
            await node.start()
        await deployment.wait_until(
            lambda: all(
                node.ready and node.linked_host_count
                for node in deployment.nodes
            )
        )
        await asyncio.sleep(0.3)

    context.runner.run(act())


@when("a caller sends a request with {deadline:d} ms left")
def step_send_with_deadline(context, deadline):
    async def send():
        caller = context.fleet.caller(0)
        context.response = await caller.request(deadline_ms=deadline)

    context.runner.run(send())


@then("it is rejected and may retry after {least:g} to {most:g} s")
def step_retry_after(context, least, most):
    assert context.response.status == 503, context.response
    after_s = float(context.response.headers["retry-after"])
    assert least <= after_s <= most, after_s


@when("host {number:d} is asked for its metrics")
def step_metrics(context, number):
    raw = context.fleet.nodes[number].read_metrics(b"/metrics")
    assert raw.status == 200, raw
    context.metrics = raw.body.decode()


@then("each of them is in {page}")
def step_in_page(context, page):
    listed = pathlib.Path(page).read_text()
    for line in context.metrics.splitlines():
        name = re.split(r"[ {]", line)[0]
        name = re.sub(r"_(bucket|sum|count)$", "", name)
        assert f"`{name}`" in listed, name


@then("it counts {usable:d} usable servers of each service")
def step_usable(context, usable):
    found = re.findall(
        r'^jasminecrank_usable_servers{service="(.*)"} (.*)$',
        context.metrics,
        re.MULTILINE,
    )
    assert found == [("ledger", str(usable))], found


@then("no key or body is in the log")
def step_no_secret(context):
    written = b"".join(context.fleet.log_lines)
    assert context.responses and written
    for _, response in context.responses:
        assert response.body not in written
    for key in context.fleet.keys:
        assert b'"' + key.encode() + b'"' not in written, key
        assert b"Token " + key.encode() not in written, key


@when("the node raises an error once while it reads its settings")
def step_settings_error(context):
    node = context.fleet.nodes[0]
    read_settings = node.read_settings
    pending = [TypeError("internal error")]

    def fail_once():
        if pending:
            raise pending.pop()
        return read_settings()

    node.read_settings = fail_once


@when("the settings get a retry ratio of {ratio:g}")
def step_change_settings(context, ratio):
    node = context.fleet.nodes[0]
    retry_budget = dataclasses.replace(node.config.retry_budget, ratio=ratio)
    context.fleet.changed_settings = dataclasses.replace(
        node.config, retry_budget=retry_budget
    )


@then("the node applies it within {limit:g} s")
def step_settings_applied(context, limit):
    node = context.fleet.nodes[0]
    wanted = context.fleet.changed_settings.retry_budget
    context.runner.run(
        context.fleet.wait_until(
            lambda: node.entry.retry_bounds == wanted, limit
        )
    )


@when("the deployment is idle for {seconds:g} s")
def step_idle(context, seconds):
    context.store_requests_before = context.fleet.store.request_count
    context.runner.run(asyncio.sleep(seconds))


@then("the store has received fewer than {most:d} requests")
def step_store_requests(context, most):
    calls = context.fleet.store.request_count - context.store_requests_before
    assert calls < most, calls
