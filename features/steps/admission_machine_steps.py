"""State machine test that compares admission with a model."""

import collections
import dataclasses
import math

from behave import then
from features.steps import admission_world
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from jasminecrank import state

SERVICE = state.ServiceRow("ledger", 6, 2, 3.0, 20)
LIMITS = (
    dataclasses.replace(admission_world.LIMITS[0], max_in_flight=4),
    dataclasses.replace(admission_world.LIMITS[1], max_in_flight=3),
)
THREADS = 18
RESERVED_THREADS = 4
INTERNAL = state.Priority.INTERNAL
TEAMS = st.sampled_from(["large", "small"])
KEYS = st.sampled_from([None, "plain-1", "plain-2", 1, 2, 3])
ENDS = [kind.value for kind in state.OutcomeKind]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Submits calls, outcomes, reports and snapshots in any order."""

    def __init__(self):
        super().__init__()
        self.world = admission_world.World(
            service=SERVICE, limits=LIMITS, threads=THREADS
        )
        self.ready = True
        self.stopped = False
        self.cold_at_s = self.world.now_s - 10.0
        self.checked_results = 0
        self.asked = 0
        self.calls = []
        self.keys_run = set()
        self.key_by_permit = {}
        self.both_waited_before = False
        self.spent_tokens = 0
        self.forward_deadlines_s = []
        self.started_by_team = collections.Counter()

    # Events.

    @stateful.rule(
        kind=st.sampled_from(sorted(admission_world.KINDS)),
        team=TEAMS,
        key=KEYS,
        deadline_s=st.sampled_from([None, 0.0, 0.3, 1.0]),
        forwarded=st.booleans(),
        burst=st.integers(1, 6),
        waits=st.lists(st.sampled_from([0.01, 0.05, 0.2]), max_size=3),
    )
    def calls_arrive(
        self, kind, team, key, deadline_s, forwarded, burst, waits=()
    ):
        """Submit equal calls."""
        world = self.world
        world.quota.waits_by_team[team] = list(waits)
        deadline_at_s = None
        if deadline_s is not None:
            deadline_at_s = world.now_s + deadline_s
        if isinstance(key, int):
            key = admission_world.uuid7(admission_world.WALL_MS + 5000, key)
        for _ in range(burst):
            call, _ = world.call(
                kind,
                team,
                key=key,
                deadline_at_s=deadline_at_s,
                forwarded_by="ledger-3" if forwarded else None,
            )
            self.calls.append(call)
            self.check_new_results()

    @stateful.rule(
        kind=st.sampled_from(ENDS),
        index=st.integers(0, 30),
        not_run=st.booleans(),
    )
    def call_ends(self, kind, index, not_run):
        """Release a permit."""
        world = self.world
        if not world.permits:
            return
        index %= len(world.permits)
        permit = world.permits[index]
        not_run = not_run and kind in ("shed", "cancelled")
        if kind == "not-sent" or not_run:
            self.keys_run.discard(self.key_by_permit[permit.permit_id])
            self.spent_tokens -= permit.team in admission_world.DIGESTS
        if kind == "not-sent" and world.now_s < permit.deadline_at_s:
            self.cold_at_s = world.now_s
        world.finish(kind, index, not_run=not_run)
        self.check_new_results()

    @stateful.rule(count=st.integers(1, 8))
    def calls_are_answered(self, count):
        """Answer the calls that have been running longest."""
        for _ in range(count):
            self.call_ends("answered", 0, False)

    @stateful.rule(count=st.integers(1, 16))
    def both_teams_keep_calling(self, count):
        """Answer calls one by one while both teams send more."""
        for _ in range(count):
            for team in ("large", "small"):
                self.calls_arrive("lookup", team, None, None, False, 1)
            self.call_ends("answered", 0, False)

    @stateful.rule(
        seconds=st.sampled_from([0.5, 2.5]), count=st.integers(1, 4)
    )
    def calls_are_answered_late(self, seconds, count):
        """Answer calls before a due timer message is handled."""
        self.world.now_s += seconds
        self.calls_are_answered(count)

    @stateful.rule(index=st.integers(0, 30))
    def call_is_cancelled(self, index):
        """Cancel a call."""
        if self.calls:
            call = self.calls[-1 - index % len(self.calls)]
            self.world.admission.cancel(call.request_id, self.world.now_s)
            self.world.collect()
            self.check_new_results()

    @stateful.rule(
        event=st.sampled_from(
            [
                "health lost",
                "health restarted",
                "server drains",
                "server returns",
                "load 0.0",
                "load 0.5",
                "load 2.0",
            ]
        )
    )
    def health_is_reported(self, event):
        """Submit a health report."""
        world = self.world
        known = world.server.ramp.started_at_ms is not None
        if event == "health restarted" and known:
            self.cold_at_s = world.now_s
        if event == "server returns" and world.draining:
            self.cold_at_s = world.now_s
        world.run_actions(event)
        self.check_new_results()

    @stateful.rule(
        event=st.sampled_from(
            [
                "out north",
                "in north",
                "out south",
                "in south",
                "leaving ledger-1",
                "live ledger-1",
                "leaving ledger-2",
                "live ledger-2",
                "withdraw large",
                "withdraw small",
            ]
        )
    )
    def snapshot_changes(self, event):
        """Apply a new snapshot."""
        before = self.host_accepts_calls()
        self.world.run_actions(event)
        if self.host_accepts_calls() and not before:
            self.cold_at_s = self.world.now_s
        self.check_new_results()
        for call in self.world.call_by_ticket.values():
            assert self.is_key_valid(call), call

    @stateful.rule(warm=st.booleans())
    def host_recovers(self, warm):
        """Undo all that blocks calls and let the server warm up."""
        world = self.world
        before = self.host_accepts_calls()
        if world.draining or not before:
            self.cold_at_s = world.now_s
        world.withdrawn.clear()
        world.out.clear()
        world.hosts.update({row.host: row for row in admission_world.HOSTS})
        world.publish()
        world.run_actions("server returns")
        self.set_ready(True)
        self.check_new_results()
        for index in range(12 if warm and not self.stopped else 0):
            self.calls_arrive("lookup", "large", None, None, False, 1)
            if index > 8:
                self.calls_arrive("lookup", "small", None, None, False, 1)
            world.advance(0.4, self.check_new_results)
            self.check_new_results()
            if index < 8:
                self.call_ends("answered", 0, False)

    @stateful.rule()
    def readiness_is_lost(self):
        """Stop accepting calls."""
        self.set_ready(False)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.4, 1.0, 5.0]))
    def time_passes(self, seconds):
        """Advance the clock and handle the timer messages that are due."""
        self.world.advance(seconds, self.check_new_results)
        self.check_new_results()

    @stateful.precondition(lambda self: not self.stopped)
    @stateful.rule(really=st.integers(0, 9))
    def planned_stop_begins(self, really):
        """Begin a planned stop in a small part of the runs."""
        if really == 0:
            self.stopped = True
            self.world.run_actions("stop")
            self.check_new_results()

    def set_ready(self, ready):
        """Start or stop accepting calls."""
        self.ready = ready
        self.world.admission.set_ready(ready, self.world.now_s)
        self.world.collect()
        self.check_new_results()

    # Checks.

    def check_new_results(self):
        """Check the decisions that the last event caused."""
        new = self.world.results[self.checked_results :]
        self.checked_results = len(self.world.results)
        self.check_shares(new)
        for call, decision in new:
            match decision:
                case state.Admitted():
                    self.check_admitted(call, decision.permit)
                case state.ForwardTo():
                    self.check_forwarded(call, decision)
        started = [
            decision.permit
            for _, decision in new
            if isinstance(decision, state.Admitted)
        ]
        self.check_bounds(started)

    def check_admitted(self, call, permit):
        """Check an admitted call."""
        world = self.world
        self.spent_tokens += permit.team in admission_world.DIGESTS
        assert self.ready
        assert self.host_accepts_calls()
        assert not self.stopped
        assert not world.draining
        assert self.is_key_valid(call), call
        assert world.now_s < permit.deadline_at_s
        if permit.route.kind is state.RouteKind.BOOKING:
            key = call.idempotency_key or call.request_id
            assert key not in self.keys_run, call
            self.keys_run.add(key)
            self.key_by_permit[permit.permit_id] = key
        else:
            self.key_by_permit[permit.permit_id] = None

    def check_forwarded(self, call, decision):
        """Check a forwarded call."""
        world = self.world
        if decision.route.priority is not INTERNAL:
            self.forward_deadlines_s.append(decision.deadline_at_s)
        assert call.forwarded_by is None, call
        assert decision.host.host != "ledger-1"
        assert decision.host.state is state.HostState.LIVE
        assert decision.host.data_centre not in world.out

    def check_shares(self, new):
        """Check that two waiting teams are served by their weights."""
        server = self.world.server
        queue = self.world.admission.dispatcher.queue
        both = all(
            queue.waiting_count(row.team)
            and server.running_by_team[row.team] < row.max_in_flight
            for row in LIMITS
        )
        if not (both and self.both_waited_before):
            self.started_by_team.clear()
        self.both_waited_before = both
        for _, decision in new:
            if isinstance(decision, state.Admitted) and (
                decision.permit.route.priority is not INTERNAL
            ):
                self.started_by_team[decision.permit.team] += 1
        if both:
            large = self.started_by_team["large"]
            small = self.started_by_team["small"]
            assert large <= 3 * (small + 2), self.started_by_team
            assert small <= large / 3 + 2, self.started_by_team

    def check_bounds(self, started):
        """Check the limits after an event that may have started calls."""
        world = self.world
        ordinary = [
            permit
            for permit in world.permits
            if permit.route.priority is not INTERNAL
        ]
        if started:
            elapsed_s = min(world.now_s - self.cold_at_s, SERVICE.ramp_s)
            rise = (SERVICE.slots - SERVICE.cold_slots) / SERVICE.ramp_s
            cold_limit = SERVICE.cold_slots + math.floor(rise * elapsed_s)
            assert len(world.permits) <= cold_limit
            assert len(world.permits) <= world.capacity()
        if any(permit.route.priority is not INTERNAL for permit in started):
            assert len(ordinary) <= world.capacity() - 1
        for row in LIMITS:
            running = [p for p in ordinary if p.team == row.team]
            assert len(running) <= row.max_in_flight
        queue = world.admission.dispatcher.queue
        forwards = self.forward_deadlines_s = [
            deadline_at_s
            for deadline_at_s in self.forward_deadlines_s
            if deadline_at_s > world.now_s
        ]
        waiting = queue.ordinary_count + len(
            world.admission.dispatcher.token_wait
        )
        assert waiting + len(forwards) <= THREADS - RESERVED_THREADS
        if not forwards:
            assert waiting + len(ordinary) <= THREADS - RESERVED_THREADS
        spent = sum(world.quota.spent_by_team.values())
        queued = sum(
            entry.checked.team in admission_world.DIGESTS for entry in queue
        )
        assert spent == self.spent_tokens + queued
        assert len(queue.internal) <= RESERVED_THREADS

    @stateful.invariant()
    def every_call_has_one_decision_or_waits(self):
        """Check that no decision is lost or made twice."""
        decided = [call.request_id for call, _ in self.world.results]
        assert len(decided) == len(set(decided))
        waiting = {
            call.request_id for call in self.world.call_by_ticket.values()
        }
        assert not waiting & set(decided)
        assert len(waiting) + len(decided) == len(self.calls)

    def teardown(self):
        """Let all deadlines pass; every call must have a decision by then."""
        self.world.advance(10.0, self.check_new_results)
        self.check_new_results()
        assert not self.world.call_by_ticket
        self.every_call_has_one_decision_or_waits()

    def host_accepts_calls(self):
        """Return whether the tables let the host accept new calls."""
        row = self.world.hosts["ledger-1"]
        return (
            row.state is state.HostState.LIVE and "north" not in self.world.out
        )

    def is_key_valid(self, call):
        """Return whether the API key of a call is valid."""
        if call.path == "/board":
            return True
        valid = set(admission_world.DIGESTS) - self.world.withdrawn
        return call.key_digest in {
            admission_world.DIGESTS[team] for team in valid
        }


@then("the state machine test of admission finds no violation")
def step_machine(context):
    del context
    stateful.run_state_machine_as_test(
        AdmissionMachine,
        settings=settings(max_examples=150, stateful_step_count=40),
    )
