"""Steps for admission and placement by objectives."""

import asyncio
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
import fleet_model
import mesh_directory_steps
import mesh_state_steps

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

PARENT_ID = "p-1"
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4")
DEADLINE_S = 2.0
LATE_DEADLINE_S = 0.5
DRAWS = 200


class Owner:
    """Mailbox that keeps its messages."""

    def __init__(self):
        self.messages = []

    def tell(self, message):
        """Keep a message."""
        self.messages.append(message)


def _make_entry(has_teams, seed=1, max_attempts=2):
    """Return an entry task, and the calls that it has sent."""
    sent = []
    rng = random.Random(seed)
    entry = coordination.EntryTask(
        "10.0.0.9",
        "intake",
        {},
        state.Placement("10.0.0.9", "a", rng),
        state.RetryBudget(state.RetryBudgetBounds(0.2, 10.0, 50.0)),
        Owner(),
        Owner(),
        fleet_model.LoopClock(),
        rng,
        fleet_model.NullLog(),
        lambda request_id: request_id == PARENT_ID,
    )
    routes = [
        mesh_state_steps.make_route(
            f"r-{priority}",
            prefix=f"/{priority}/",
            priority=priority,
            max_attempts=max_attempts,
        )
        for priority in range(3)
    ]
    teams = [(state.Team("a", None, 0.0, 0.0), ("k1",))] if has_teams else []
    table = mesh_state_steps.make_table(1, routes, teams)
    servers = {
        f"i-{number}": mesh_directory_steps.make_server(
            f"i-{number}", host=host, service="ledger"
        )
        for number, host in enumerate(HOSTS)
    }
    entry.handle(
        coordination.FleetChanged(
            state.FleetSnapshot(table, servers, {}, frozenset())
        )
    )
    for number, host in enumerate(HOSTS):
        entry.handle(coordination.PeerUp(host, sent.append))
        load = state.ServerLoad(f"i-{number}", 0, 0, 4, 0.1, 0.0, True)
        entry.handle(coordination.LoadUpdated(host, load))
    return entry, sent


class _Replies:
    """Holds the replies to a request."""


def _request(priority, parent_id="", deadline_s=DEADLINE_S):
    return state.CallRequest(
        request_id="c-1",
        method=b"GET",
        target=b"/",
        host="a.example",
        path=f"/{priority}/1",
        headers=(),
        body=b"",
        key="k1",
        caller_timeout_s=deadline_s,
        parent_id=parent_id,
    )


def _arrive(context, entry, number, request):
    now_s = asyncio.get_running_loop().time()
    context.replies = []
    entry.handle(
        coordination.CallArrived(
            number, request, now_s, context.replies.append
        )
    )


@given("a node in whose table {teams}")
def step_node(context, teams):
    loop = fleet_model.VirtualLoop()
    context.runner = asyncio.Runner(loop_factory=lambda: loop)
    context.add_cleanup(context.runner.close)
    context.has_teams = teams == "there are teams"


@when("a request of priority {priority:d} arrives {origin}, {age}")
def step_arrives(context, priority, origin, age):
    parent_id = {
        "of a caller": "",
        "of a run of the own server": PARENT_ID,
        "of a run of another server": "p-2",
    }[origin]
    deadline_s = LATE_DEADLINE_S if age == "as a late retry" else DEADLINE_S

    async def act():
        entry, sent = _make_entry(context.has_teams)
        _arrive(context, entry, 1, _request(priority))
        sent.clear()
        request = _request(priority, parent_id, deadline_s)
        _arrive(context, entry, 2, request)
        [context.sent] = sent

    context.runner.run(act())


@then("it is sent with rank {rank:d} and an objective in {objective_s:g} s")
def step_rank(context, rank, objective_s):
    found = (context.sent.rank, round(context.sent.target_remaining_s, 3))
    assert found == (rank, objective_s), found


@when("nodes refuse a request of priority 1: {refusals}")
def step_refused(context, refusals):
    async def act():
        entry, sent = _make_entry(context.has_teams)
        _arrive(context, entry, 1, _request(1))
        for reason in refusals.split(", "):
            host = HOSTS[int(sent[-1].server_id[2:])]
            entry.handle_peer_reply(
                host, coordination.CallNotRun(1, reason, 0.5, False)
            )
            entry.handle(await entry.mailbox.receive())
        context.sent_calls = sent

    context.runner.run(act())


@then("it is sent {attempts:d} times, the last time {how}")
def step_attempts(context, attempts, how):
    assert len(context.sent_calls) == attempts, context.sent_calls
    last = context.sent_calls[-1]
    is_patient = last.target_remaining_s == last.remaining_s
    assert is_patient == (how == "patiently"), last


def _answer(name):
    """Return the reply of a node to call 1."""
    match name:
        case "failed":
            return coordination.CallServed(1, 500, b"", (), b"", 0.1, 0)
        case "lost":
            return coordination.CallMayHaveRun(1, "connection-reset")
        case "reached":
            return coordination.CallNotRun(1, "status-503", 0.1, True)
        case _:
            return coordination.CallNotRun(1, name, 0.1, False)


async def _play_answers(entry, sent, age, answers):
    """Let a request get answers, and return the servers that it is sent to."""
    if age == "as a late retry":
        _arrive(_Replies(), entry, 2, _request(1))
        sent.clear()
    deadline_s = LATE_DEADLINE_S if age == "as a late retry" else DEADLINE_S
    _arrive(_Replies(), entry, 1, _request(1, deadline_s=deadline_s))
    for name in answers:
        host = HOSTS[int(sent[-1].server_id[2:])]
        entry.handle_peer_reply(host, _answer(name))
        entry.handle(await entry.mailbox.receive())
    return [call.server_id for call in sent]


@when(
    "a request {age} gets these answers, in each of {plays:d} plays: {answers}"
)
def step_answers(context, age, plays, answers):
    context.answers = answers.split(", ")

    async def act():
        return [
            await _play_answers(
                *_make_entry(False, seed, 3), age, context.answers
            )
            for seed in range(plays)
        ]

    context.plays = context.runner.run(act())


@then("it is sent {attempts:d} times, and again only to nodes that were busy")
def step_sent_again(context, attempts):
    for server_ids in context.plays:
        assert len(server_ids) == attempts, server_ids
        for number, answer in enumerate(context.answers):
            later_ids = server_ids[number + 1 :]
            assert answer == "busy" or server_ids[number] not in later_ids, (
                answer,
                server_ids,
            )


@when("two nodes refuse a request of priority {priority:d} {origin} as busy")
def step_refused_as_busy(context, priority, origin):
    parent_id = "" if origin == "of a caller" else PARENT_ID

    async def act():
        entry, sent = _make_entry(False)
        _arrive(context, entry, 1, _request(priority, parent_id))
        for _ in range(2):
            host = HOSTS[int(sent[-1].server_id[2:])]
            entry.handle_peer_reply(host, _answer("busy"))
            entry.handle(await entry.mailbox.receive())
        context.sent = sent[-1]

    context.runner.run(act())


@then("it is sent the third time with rank {rank:d}")
def step_third_rank(context, rank):
    assert context.sent.rank == rank, context.sent


@when(
    "all servers report a queue of {queued:d} calls, and a request arrives "
    "{origin}"
)
def step_queues(context, queued, origin):
    parent_id = "" if origin == "of a caller" else PARENT_ID

    async def act():
        entry, context.sent = _make_entry(context.has_teams)
        for number, host in enumerate(HOSTS):
            load = state.ServerLoad(
                f"i-{number}", 4, queued, 4, 0.1, 0.0, True
            )
            entry.handle(coordination.LoadUpdated(host, load))
        _arrive(context, entry, 1, _request(1, parent_id))

    context.runner.run(act())


@then("the request is sent at once")
def step_is_sent(context):
    assert len(context.sent) == 1 and not context.replies, context.replies


@then("the request is refused at once")
def step_is_refused(context):
    [refusal] = context.replies
    assert not context.sent, context.sent
    assert refusal.kind is state.RefusalKind.OVERLOADED, refusal


@when("the first request of a route has a deadline of {deadline_s:g} s")
def step_first_deadline(context, deadline_s):
    context.first_s = deadline_s


@when("one with a deadline of {deadline_s:g} s follows")
def step_next_deadline(context, deadline_s):
    async def act():
        entry, sent = _make_entry(False)
        for number, limit_s in enumerate((context.first_s, deadline_s)):
            _arrive(context, entry, number, _request(1, "", limit_s))
        context.sent = sent[-1]

    context.runner.run(act())


@then("that is taken for {kind}")
def step_taken_for(context, kind):
    is_patient = context.sent.target_remaining_s == context.sent.remaining_s
    assert is_patient == (kind == "a retry"), context.sent


@when("{tables:d} tables follow each other, each with requests of new routes")
def step_tables(context, tables):
    async def act():
        entry, _ = _make_entry(False)
        for version in range(2, 2 + tables):
            routes = [
                mesh_state_steps.make_route(
                    f"v{version}-{number}", prefix=f"/{number}/"
                )
                for number in range(3)
            ]
            table = mesh_state_steps.make_table(version, routes)
            entry.handle(
                coordination.FleetChanged(
                    state.FleetSnapshot(table, {}, {}, frozenset())
                )
            )
            for number in range(3):
                _arrive(context, entry, number, _request(number))
        context.deadlines = entry._caller_deadlines

    context.runner.run(act())


@then("the deadlines of at most {routes:d} routes are kept")
def step_deadlines_kept(context, routes):
    assert len(context.deadlines) <= routes, len(context.deadlines)


@given("requests of a route with deadlines of {usual} s, {others}")
def step_deadlines(context, usual, others):
    context.deadlines = state.CallerDeadlines()
    rng = random.Random(1)
    if usual == "none":
        return
    if others == "the first one of 0 s":
        context.deadlines.record("r", 0.0)
    bounds = [float(value) for value in usual.split(", ")]
    for number in range(DRAWS):
        deadline_s = rng.uniform(bounds[0], bounds[-1])
        if others.endswith("retries") and number % 10:
            deadline_s *= rng.uniform(0.2, 0.8)
        context.deadlines.record("r", deadline_s)
    if "86400" in others:
        context.deadlines.record("r", 86_400.0)
        for _ in range(DRAWS):
            context.deadlines.record("r", bounds[0])


@then("a deadline of {deadline_s:g} s is that of {kind}")
def step_kind(context, deadline_s, kind):
    is_retry = context.deadlines.is_retry("r", deadline_s)
    assert is_retry == (kind == "a retry")


def _make_gate(policy, slots, cold_s, rate_per_s=1_000.0):
    gate = state.AdmissionController(slots=slots, cold_rate_per_s=rate_per_s)
    gate.mark_server_up("i-1", cold_s, 0.0)
    overshoot = 1.5 if "overshoot" in policy else 1.0
    if policy != "team":
        gate.policy = state.ObjectivePolicy(overshoot)
    return gate


def _call(number, rank=0, target_s=0.6, deadline_s=4.0, now_s=0.0):
    return state.AdmissionRequest(
        number, 0, rank, "r", now_s + deadline_s, now_s + target_s
    )


@given(
    "a gate with {slots:d} slots {phase}, by {policy}, that has seen runs of "
    "{cold_s:g} s cold and {warm_s:g} s warm"
)
def step_gate(context, slots, phase, policy, cold_s, warm_s):
    gate = _make_gate(policy, slots, 0.0)
    for is_cold, run_s in ((False, warm_s), (True, cold_s)):
        gate.cold_until_s = 10.0 if is_cold else 0.0
        for _ in range(50):
            gate.in_flight += 1
            gate.record_completion("r", run_s, False, 0.0)
    gate.cold_until_s = 10.0 if phase == "cold" else 0.0
    context.gate = gate


@when(
    "{running:d} calls run, and another with an objective of {target_s:g} s "
    "and a deadline of {deadline_s:g} s comes"
)
def step_another(context, running, target_s, deadline_s):
    context.gate.in_flight = running
    context.decision = context.gate.submit(
        _call(1, target_s=target_s, deadline_s=deadline_s), 0.0
    )


@then("the other call is {decision:w}")
def step_decision(context, decision):
    kind = {"rejected": state.Reject, "queued": state.Enqueue}[decision]
    assert isinstance(context.decision, kind), context.decision


@when("{calls:d} calls of a low rank {end} while one of a higher rank waits")
def step_leave(context, calls, end):
    gate = context.gate
    gate.in_flight = gate.slots
    now_s = 0.0
    # No call completes, so that the first waits for the whole time.
    assert isinstance(
        gate.submit(_call(0, 0, 1.0, 1e6, now_s), now_s), state.Enqueue
    )
    for number in range(1, calls + 1):
        decision = gate.submit(_call(number, 5, 0.5, 0.5, now_s), now_s)
        assert isinstance(decision, state.Enqueue), decision
        if end == "are cancelled":
            gate.cancel(0, number)
        else:
            now_s += 0.6
        gate.release_queued(now_s)
    context.now_s = now_s


@then(
    "the queue keeps at most {entries:d} entries, and the waiting call starts "
    "next"
)
def step_queue_kept(context, entries):
    gate = context.gate
    assert len(gate._queue) <= entries, len(gate._queue)
    gate.in_flight = 0
    [started] = gate.release_queued(context.now_s).admitted
    assert started.call_id == 0, started


@when(
    "a call of a low rank has {left_s:g} s left, and {others:d} of a higher "
    "rank come at once"
)
def step_overtaken(context, left_s, others):
    gate = context.gate
    gate.in_flight = gate.slots
    late = gate.submit(_call(0, 5, left_s, left_s), 0.0)
    assert isinstance(late, state.Enqueue), late
    for number in range(1, others + 1):
        decision = gate.submit(_call(number, 0, 9.0, 9.0), 0.0)
        assert isinstance(decision, state.Enqueue), decision
    for turn in range(1, 200):
        now_s = 0.01 * turn
        if turn % 10 == 0:
            # All slots end together.
            for _ in range(gate.slots):
                gate.record_completion("r", 0.1, False, now_s)
        released = gate.release_queued(now_s)
        left = (*released.admitted, *released.expired)
        if any(request.call_id == 0 for request in left):
            context.left_at_s = now_s
            return
    raise AssertionError("the call stays queued")


@then(
    "the call of a low rank leaves the queue after {least_s:g} to {most_s:g} s"
)
def step_left(context, least_s, most_s):
    assert least_s <= context.left_at_s <= most_s, context.left_at_s


@given(
    "a gate with {slots:d} slots cold, by {policy}, that takes {rate:g} "
    "calls per second"
)
def step_cold_gate(context, slots, policy, rate):
    context.gate = _make_gate(policy, slots, 60.0, rate)


@when("calls of {run_s:g} s come every {gap_s:g} s for {seconds:g} s")
def step_cold_calls(context, run_s, gap_s, seconds):
    gate = context.gate
    context.starts_s = []
    ends_s = []
    for number in range(round(seconds / gap_s)):
        now_s = number * gap_s
        while ends_s and ends_s[0] <= now_s:
            ends_s.pop(0)
            gate.record_completion("r", run_s, False, now_s)
        decision = gate.submit(_call(number, now_s=now_s), now_s)
        started = [number] if isinstance(decision, state.Admit) else []
        started += gate.release_queued(now_s).admitted
        for _ in started:
            context.starts_s.append(now_s)
            ends_s.append(now_s + run_s)


@then("at most {most:d} start in any second, and at least {least:d} in all")
def step_cold_rate(context, most, least):
    starts_s = context.starts_s
    busiest = max(
        sum(at_s <= other_s < at_s + 1.0 for other_s in starts_s)
        for at_s in starts_s
    )
    assert busiest <= most and len(starts_s) >= least, (busiest, starts_s)


class ColdServices:
    """Two services whose gates decide in virtual time.

    Requests go to the gate with the fewest calls of their service. Those of
    service 0 make a call to service 1 while they run, and fail with it.
    """

    SERVERS = 6
    RATE_PER_S = 5.5
    RUN_S = 0.4
    NESTED_RUN_S = 0.1
    SECONDS = 3.0

    def __init__(self, policy):
        self.rng = random.Random(1)
        self.events = []
        self.numbers = itertools.count(1)
        self.gates = [
            [
                _make_gate(policy, 6, 60.0, self.RATE_PER_S)
                for _ in range(self.SERVERS)
            ]
            for _ in range(2)
        ]
        self.is_by_objective = policy != "team"
        self.started_by_number = {}
        self.runs = 0
        self.ended_well = 0

    def play(self):
        """Let requests come at twice the rate of the cold servers."""
        rate = 2 * self.SERVERS * self.RATE_PER_S
        for service in range(2):
            at_s = 0.0
            while at_s < self.SECONDS:
                self.add(at_s, self.arrive, service)
                at_s += self.rng.expovariate(rate)
        for tick in range(round(100 * self.SECONDS)):
            self.add(tick / 100, self.release)
        while self.events:
            now_s, _, action, arguments = heapq.heappop(self.events)
            action(now_s, *arguments)

    def add(self, at_s, action, *arguments):
        """Schedule an action."""
        event = (at_s, next(self.numbers), action, arguments)
        heapq.heappush(self.events, event)

    def arrive(self, now_s, service):
        """Offer a request of a caller."""
        self.offer(now_s, service, 1, self.RUN_S, lambda at_s, good: None)

    def offer(self, now_s, service, rank, run_s, end):
        """Offer a call to the two least busy gates, then refuse it."""
        number = next(self.numbers)
        gates = sorted(
            self.gates[service],
            key=lambda gate: gate.in_flight + gate.queued,
        )
        request = _call(number, rank, 0.8, 3.0, now_s)
        for gate in gates[:2]:
            self.started_by_number[number] = (gate, service, run_s, end)
            decision = gate.submit(request, now_s)
            if isinstance(decision, state.Admit):
                self.start(now_s, number)
            if not isinstance(decision, state.Reject):
                return
        end(now_s, False)

    def release(self, now_s):
        """Start the queued calls whose turn has come."""
        for gate in itertools.chain(*self.gates):
            released = gate.release_queued(now_s)
            for request in released.admitted:
                self.start(now_s, request.call_id)
            for request in released.expired:
                self.started_by_number[request.call_id][3](now_s, False)

    def start(self, now_s, number):
        """Run a call; a caller's request at service 0 makes a call."""
        gate, service, run_s, end = self.started_by_number[number]
        is_nested = run_s == self.NESTED_RUN_S
        if is_nested or service == 1:
            self.add(now_s + run_s, self.finish, number, True)
            return

        def nested_end(at_s, good):
            left_s = max(0.0, now_s + run_s - at_s)
            self.add(at_s + left_s, self.finish, number, good)

        # A node ranks calls of runs first only by the objective policy.
        rank = -1 if self.is_by_objective else 1
        self.offer(now_s, 1, rank, self.NESTED_RUN_S, nested_end)

    def finish(self, now_s, number, good):
        """End a run."""
        gate, _, run_s, end = self.started_by_number[number]
        gate.record_completion("r", run_s, not good, now_s)
        if run_s != self.NESTED_RUN_S:
            self.runs += 1
            self.ended_well += good
        end(now_s, good)


@given(
    "cold servers of two services by {policy}, at twice the load that they "
    "take"
)
def step_services(context, policy):
    context.services = ColdServices(policy)


@when("half of the requests make a call to the other service while they run")
def step_play(context):
    context.services.play()


@then("{share:g} or more of the runs end well, and at least {least:d} in all")
def step_ended_well(context, share, least):
    services = context.services
    found = (services.ended_well, services.runs)
    assert services.ended_well >= share * services.runs, found
    assert services.ended_well >= least, found


CALL_CLASS = state.CallClass.from_call("r", b"GET", 0, False)


def _make_model(ratio, spread):
    model = state.WorkModel()
    rng = random.Random(1)
    factor = 0.0 if spread == "all alike" else 0.69
    for _ in range(1_000):
        for average_s in (0.1, 0.3):
            run_s = average_s * ratio * rng.lognormvariate(0.0, factor)
            model.record(CALL_CLASS, run_s, average_s)
    return model


@given(
    "a work model that has seen runs of {ratio:g} times the server's "
    "average, {spread}"
)
def step_model(context, ratio, spread):
    context.model = _make_model(ratio, spread)


@then(
    "a call with {left_s:g} s left runs {run_s:g} s, on average "
    "{average_s:g} s"
)
def step_run_time(context, left_s, run_s, average_s):
    context.average_s = average_s
    context.outlook = context.model.outlook(CALL_CLASS, left_s)
    found_s = context.outlook.run_time_s(average_s)
    assert abs(found_s - run_s) <= 0.15 * run_s, found_s


@then("it is late there with a probability from {low:g} to {high:g}")
def step_probability(context, low, high):
    found = context.outlook.late_probability(0.0, context.average_s)
    assert low <= found <= high, found


@given(
    "a server in the own data centre with runs of {near_s:g} s, and two in "
    "another with runs of {far_s:g} s"
)
def step_two_servers(context, near_s, far_s):
    context.placement = state.Placement("10.0.0.9", "a", random.Random(1))
    context.near_far = [
        mesh_directory_steps.make_server(
            "i-near", host="10.0.0.1", data_centre="a"
        ),
        *(
            mesh_directory_steps.make_server(
                f"i-far-{number}", host=f"10.0.0.{number}", data_centre="b"
            )
            for number in (2, 3)
        ),
    ]
    run_times_s = (near_s, far_s, far_s)
    for server, run_s in zip(context.near_far, run_times_s, strict=True):
        load = state.ServerLoad(server.server_id, 1, 0, 6, run_s, 0.0, True)
        context.placement.record_load(server.host, load, 0.0)


@when("calls whose runs vary by a factor of 2 have {left_s:g} s left")
def step_chosen(context, left_s):
    model = _make_model(1.0, "by a factor of 2")
    outlook = model.outlook(CALL_CLASS, left_s)
    chosen = [
        context.placement.choose(context.near_far, (), 0.0, outlook)
        for _ in range(DRAWS)
    ]
    context.near_share = (
        sum(place.server.server_id == "i-near" for place in chosen) / DRAWS
    )


@then("{share} of them go to the own data centre")
def step_share(context, share):
    match share:
        case "all":
            assert context.near_share == 1.0, context.near_share
        case "less than half":
            assert context.near_share < 0.5, context.near_share
        case _:
            raise AssertionError(share)
