"""Random runs of admission against a model of what it may do."""

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
    dataclasses.replace(admission_world.LIMITS[1], max_in_flight=2),
)
THREADS = 18
SPARED = 4
INTERNAL = state.Priority.INTERNAL
TEAMS = st.sampled_from(["large", "small"])
KEYS = st.sampled_from([None, "plain-1", "plain-2", 1, 2, 3])
ENDS = [kind.value for kind in state.OutcomeKind]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Calls, ends, reports and versions in any order."""

    def __init__(self):
        super().__init__()
        self.world = admission_world.World(
            service=SERVICE, limits=LIMITS, threads=THREADS
        )
        self.ready = True
        self.stopped = False
        self.cold_at_s = self.world.now_s - 10.0
        self.seen = 0
        self.asked = 0
        self.calls = []
        self.run_keys = set()
        self.key_by_permit = {}

    # Events.

    @stateful.rule(
        kind=st.sampled_from(sorted(admission_world.KINDS)),
        team=TEAMS,
        key=KEYS,
        deadline_s=st.sampled_from([None, 0.0, 0.3, 1.0]),
        forwarded=st.booleans(),
        burst=st.integers(1, 6),
    )
    def calls_come(self, kind, team, key, deadline_s, forwarded, burst):
        """Ask for decisions on equal calls."""
        world = self.world
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
            self.look()

    @stateful.rule(kind=st.sampled_from(ENDS), index=st.integers(0, 30))
    def call_ends(self, kind, index):
        """Give a permit back."""
        world = self.world
        if not world.permits:
            return
        index %= len(world.permits)
        permit = world.permits[index]
        if kind in ("not-sent", "shed"):
            self.run_keys.discard(self.key_by_permit[permit.permit_id])
        if kind == "not-sent" and world.now_s < permit.deadline_at_s:
            self.cold_at_s = world.now_s
        world.finish(kind, index)
        self.look()

    @stateful.rule(index=st.integers(0, 30))
    def call_is_cancelled(self, index):
        """Withdraw a call."""
        if self.calls:
            call = self.calls[-1 - index % len(self.calls)]
            self.world.admission.cancel(call.request_id, self.world.now_s)
            self.world.collect()
            self.look()

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
    def health_comes(self, event):
        """Report health."""
        world = self.world
        known = world.server.ramp.started_at_ms is not None
        if event == "health restarted" and known:
            self.cold_at_s = world.now_s
        if event == "server returns" and world.draining:
            self.cold_at_s = world.now_s
        world.do(event)
        self.look()

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
    def version_comes(self, event):
        """Put a new snapshot in force."""
        before = self.host_takes_work()
        self.world.do(event)
        if self.host_takes_work() and not before:
            self.cold_at_s = self.world.now_s
        self.look()
        for call in self.world.call_by_ticket.values():
            assert self.key_is_valid(call), call

    @stateful.rule()
    def keys_return(self):
        """Issue the withdrawn keys again."""
        self.world.withdrawn.clear()
        self.world.publish()
        self.look()

    @stateful.rule(ready=st.booleans())
    def readiness_changes(self, ready):
        """Begin or cease to accept calls."""
        self.ready = ready
        self.world.admission.set_ready(ready, self.world.now_s)
        self.world.collect()
        self.look()

    @stateful.rule(seconds=st.sampled_from([0.1, 0.4, 1.0, 5.0]))
    def time_passes(self, seconds):
        """Let time pass in small steps with answers between them."""
        self.world.advance(seconds)
        self.look()

    @stateful.rule(steps=st.integers(1, 8))
    def server_answers(self, steps):
        """Let the server answer what runs, so that it warms up."""
        for _ in range(steps):
            self.world.advance(0.5)
            self.look()
            if self.world.permits:
                self.world.finish()
                self.look()

    @stateful.precondition(lambda self: not self.stopped)
    @stateful.rule(really=st.integers(0, 9))
    def stop_comes(self, really):
        """Begin a planned stop, seldom."""
        if really == 0:
            self.stopped = True
            self.world.do("stop")
            self.look()

    # What must hold.

    def look(self):
        """Check the decisions made by the last event."""
        new = self.world.results[self.seen :]
        self.seen = len(self.world.results)
        for call, decision in new:
            match decision:
                case state.Admitted():
                    self.check_admitted(call, decision.permit)
                case state.ForwardTo():
                    self.check_forwarded(call, decision)
        self.check_bounds(any(isinstance(d, state.Admitted) for _, d in new))

    def check_admitted(self, call, permit):
        """Check one permit."""
        world = self.world
        assert self.ready
        assert self.host_takes_work()
        assert not self.stopped
        assert not world.draining
        assert self.key_is_valid(call), call
        assert world.now_s < permit.deadline_at_s
        if permit.route.kind is state.RouteKind.BOOKING:
            key = call.idempotency_key or call.request_id
            assert key not in self.run_keys, call
            self.run_keys.add(key)
            self.key_by_permit[permit.permit_id] = key
        else:
            self.key_by_permit[permit.permit_id] = None

    def check_forwarded(self, call, decision):
        """Check one forwarded call."""
        world = self.world
        assert call.forwarded_by is None, call
        assert decision.host.host != "ledger-1"
        assert decision.host.state is state.HostState.LIVE
        assert decision.host.data_centre not in world.out

    def check_bounds(self, admitted):
        """Check the slots, after an event that started calls or not."""
        world = self.world
        ordinary = [
            permit
            for permit in world.permits
            if permit.route.priority is not INTERNAL
        ]
        if admitted:
            elapsed_s = min(world.now_s - self.cold_at_s, SERVICE.ramp_s)
            rise = (SERVICE.slots - SERVICE.cold_slots) / SERVICE.ramp_s
            bears = SERVICE.cold_slots + math.floor(rise * elapsed_s)
            assert len(world.permits) <= bears
            assert len(world.permits) <= world.capacity()
        for row in LIMITS:
            running = [p for p in ordinary if p.team == row.team]
            assert len(running) <= row.max_in_flight
        assert len(ordinary) <= SERVICE.slots - 1
        queue = world.admission.dispatcher.queue
        forwards = [
            decision
            for _, decision in world.results
            if isinstance(decision, state.ForwardTo)
            and decision.route.priority is not INTERNAL
            and decision.deadline_at_s > world.now_s
        ]
        assert queue.ordinary + len(forwards) <= THREADS - SPARED
        if not forwards:
            assert queue.ordinary + len(ordinary) <= THREADS - SPARED
        assert len(queue.internal) <= SPARED

    @stateful.invariant()
    def every_call_has_one_decision_or_waits(self):
        """Check that no decision is lost or given twice."""
        decided = [id(call) for call, _ in self.world.results]
        assert len(decided) == len(set(decided))
        waiting = {id(call) for call in self.world.call_by_ticket.values()}
        assert not waiting & set(decided)
        assert len(waiting) + len(decided) == len(self.calls)

    def teardown(self):
        """Let all deadlines pass: every call has its decision then."""
        self.world.advance(10.0)
        self.look()
        assert not self.world.call_by_ticket
        self.every_call_has_one_decision_or_waits()

    def host_takes_work(self):
        """Return whether the platform lets the host take new work."""
        row = self.world.hosts["ledger-1"]
        return (
            row.state is state.HostState.LIVE and "north" not in self.world.out
        )

    def key_is_valid(self, call):
        """Return whether the key of a call is in force."""
        if call.path == "/board":
            return True
        valid = set(admission_world.DIGESTS) - self.world.withdrawn
        return call.key_digest in {
            admission_world.DIGESTS[team] for team in valid
        }


@then("the admission machine finds no fault")
def step_machine(context):
    del context
    stateful.run_state_machine_as_test(
        AdmissionMachine,
        settings=settings(max_examples=150, stateful_step_count=40),
    )
