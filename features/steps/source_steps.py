"""Steps for the calls of nodes to the configuration service."""

import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
import topology_steps

from jasminecrank import coordination
from jasminecrank import state
from jasminecrank.coordination import _source_client

TABLE = state.DocumentName.TABLE


def vector(number, **others):
    """Return a version vector with one number, except for some documents."""
    return state.VersionVector(
        **{
            name.value: state.Version(others.get(name.value, number), "00")
            for name in state.DocumentName
        }
    )


class SimulatedFleet:
    """Source clients that call a simulated source in virtual time."""

    def __init__(self, rows, source, links):
        self.source = source
        self.links = links
        self.topology = topology_steps.build_topology(rows)
        self.rng = random.Random(7)
        self.call_times_s = []
        self.queue = []
        self.sequence = itertools.count()
        self.versions_by_host = {row.host: vector(0) for row in rows}
        self.client_by_host = {}
        for row in rows:
            self.client_by_host[row.host] = (
                _source_client.SourceClient.from_start(
                    row.host, row.data_centre, 0.0, self.rng, False
                )
            )
            self.schedule(self.rng.uniform(0, 0.5), row.host, None)

    def schedule(self, due_s, host, answer):
        """Schedule a tick (answer is None) or an answer for one node."""
        heapq.heappush(self.queue, (due_s, next(self.sequence), host, answer))

    def run(self, until_s):
        """Run all nodes until a point in time."""
        while self.queue and self.queue[0][0] < until_s:
            now_s, _, host, answer = heapq.heappop(self.queue)
            client = self.client_by_host[host]
            if answer is None:
                self.schedule(now_s + 0.5, host, None)
            else:
                self.deliver_answer(client, host, answer, now_s)
            linked_hosts = ()
            if self.links == "come up" and now_s > 4:
                linked_hosts = self.topology.by_host.keys()
                if self.source == "answers":
                    self.versions_by_host[host] = vector(2)
            known = self.versions_by_host[host]
            call = client.next_call(known, linked_hosts, 0, now_s)
            if call is not None:
                self.call_times_s.append(now_s)
                self.schedule_answer(host, call, now_s)

    def deliver_answer(self, client, host, answer, now_s):
        """Pass an answer to a client, as ConfigActor does."""
        if not isinstance(answer, state.Document):
            client.handle_answer(answer, now_s)
            return
        known = self.versions_by_host[host].get(answer.name)
        if answer.name is not state.DocumentName.HOSTS:
            result_by_fault = {
                "is invalid": state.Invalid("bad row"),
                "is stale": state.Stale(state.Version(9, "00")),
            }
            if self.source in result_by_fault:
                client.handle_document(
                    answer, result_by_fault[self.source], now_s
                )
                return
        result = state.Stale(known)
        if answer.version.number > known.number:
            self.versions_by_host[host] = self.versions_by_host[host].replace(
                answer.name, answer.version
            )
            client.topology = self.topology
            result = state.Accepted(None, None)
        client.handle_document(answer, result, now_s)

    def schedule_answer(self, host, call, now_s):
        """Schedule the answer of the source to a call."""
        if self.source == "fails":
            failed = coordination.SourceFailed("refused")
            self.schedule(now_s + 0.01, host, failed)
            return
        if isinstance(call, coordination.ReadSource):
            version = state.Version(2, "00")
            document = state.Document(call.name, version, {})
            self.schedule(now_s + 0.01, host, document)
            return
        names = tuple(
            name
            for name in state.DocumentName
            if call.have.get(name).number < 2
        )
        wait_s = 0.01 if names else call.wait_s
        self.schedule(now_s + wait_s, host, coordination.WatchCompleted(names))


@when("all hosts start and the source {source} and links {links}")
def step_mass_start(context, source, links):
    context.fleet = SimulatedFleet(context.rows, source, links)
    context.fleet.run(40.0)


@then("the source gets at most {most:d} calls in any second of {end:d} s")
def step_budget(context, most, end):
    call_times_s = context.fleet.call_times_s
    assert call_times_s and call_times_s[-1] < end
    window_start = 0
    for index, now_s in enumerate(call_times_s):
        while call_times_s[window_start] <= now_s - 1.0:
            window_start += 1
        assert index - window_start < most, (now_s, index - window_start)


@then("in the last {last_s:d} s it gets at most {most:d} calls")
def step_last(context, last_s, most):
    end_s = 40.0
    count = sum(
        call_time_s > end_s - last_s
        for call_time_s in context.fleet.call_times_s
    )
    assert count <= most, count


@given("a watching node with version {number:d} of every document")
def step_watching_node(context, number):
    rows = topology_steps.make_hosts(3, 1, 1)
    context.client = _source_client.SourceClient.from_start(
        rows[0].host, "dc-0", 0.0, random.Random(1), False
    )
    context.client.topology = topology_steps.build_topology(rows)
    context.versions = vector(number)
    context.linked_hosts = {row.host for row in rows}
    context.now_s = 10.0
    context.events = []
    context.call = next_call(context)
    assert isinstance(context.call, coordination.WatchSource)


def next_call(context):
    """Return the next call of the node under test."""
    return context.client.next_call(
        context.versions, context.linked_hosts, 0, context.now_s
    )


@when("the source answers: {answers}")
def step_answers(context, answers):
    for answer in answers.split(", "):
        if context.call is None:
            context.now_s += 30.0
            context.call = next_call(context)
        context.events += apply_answer(context, answer.split())
        context.call = next_call(context)


def apply_answer(context, answer):
    """Pass an answer of an example table to the node."""
    client, now_s = context.client, context.now_s
    match answer:
        case ["changed", *names]:
            names = tuple(state.DocumentName(name) for name in names)
            return client.handle_answer(
                coordination.WatchCompleted(names), now_s
            )
        case ["failed"]:
            return client.handle_answer(coordination.SourceFailed("no"), now_s)
        case ["unreadable"]:
            unreadable = coordination.DocumentUnreadable(TABLE, "not JSON")
            return client.handle_answer(unreadable, now_s)
        case [kind, number]:
            version = state.Version(int(number), "00")
            in_force = context.versions.get(TABLE)
            if kind == "accepted":
                context.versions = context.versions.replace(TABLE, version)
            result = {
                "accepted": state.Accepted(None, None),
                "invalid": state.Invalid("bad row"),
                "stale": state.Stale(in_force),
                "conflict": state.Conflict(in_force),
            }[kind]
            document = state.Document(TABLE, version, {})
            return client.handle_document(document, result, now_s)
    raise AssertionError(answer)


@then("the events are {events}")
def step_source_events(context, events):
    seen = ", ".join(event.name for event in context.events) or "none"
    assert seen == events, seen


@then("the next call is {call}")
def step_next_call(context, call):
    match context.call:
        case coordination.ReadSource():
            seen = f"read {context.call.name.value}"
        case coordination.WatchSource():
            seen = f"watch table {context.call.have.table.number}"
        case None:
            seen = "none"
    assert seen == call, seen
