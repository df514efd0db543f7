"""Steps for the admission actor, with manually advanced timers."""

import contextlib

from behave import given
from behave import then
from behave import when
from features.steps import admission_world
import pykka

from jasminecrank import coordination
from jasminecrank import state

ANSWERED = state.Outcome(state.OutcomeKind.ANSWERED, 0.01)


class ManualTimers:
    """Store timer messages until the test advances the clock."""

    def __init__(self, clock):
        self._clock = clock
        self.entries = []

    def call_later(self, delay_s, mailbox, message):
        """Store a message and its due time."""
        due_s = self._clock.now_s + delay_s
        self.entries.append((due_s, mailbox, message))

    def advance(self, seconds):
        """Advance the clock and send the messages that fall due."""
        end_s = self._clock.now_s + seconds
        while due := [entry for entry in self.entries if entry[0] <= end_s]:
            entry = min(due, key=lambda item: item[0])
            self.entries.remove(entry)
            self._clock.now_s = max(self._clock.now_s, entry[0])
            entry[1].tell(entry[2])
            coordination.ask(entry[1], coordination.GetStatus())
        self._clock.now_s = end_s


class DiscardingMailbox:
    """Replace the membership actor and discard its messages."""

    def tell(self, message):
        """Discard a message."""


def decision_of(reply):
    """Return the decision of a reply, None while it is pending."""
    try:
        return reply.get(timeout=0)
    except pykka.Timeout:
        return None


@given("the admission actor of a node with {count:d} open calls")
def step_actor(context, count):
    context.crashes = []

    class Actor(coordination.AdmissionActor):
        on_crash = staticmethod(lambda: context.crashes.append(1))

    world = admission_world.World()
    clock = state.ManualClock(world.now_s)
    context.timers = ManualTimers(clock)
    context.actor = Actor.start(
        coordination.AdmissionSettings("ledger-1", 48), clock, context.timers
    )
    context.exit_stack = contextlib.ExitStack()
    context.exit_stack.callback(context.actor.stop)
    context.actor.proxy().connect(DiscardingMailbox()).get()
    context.actor.tell(coordination.SnapshotChanged(world.admission.snapshot))
    context.actor.tell(coordination.ReadinessChanged(True, "test"))
    # A node may use its quota share once the other hosts have reported the
    # same hosts version.
    version = world.admission.snapshot.versions.hosts
    for slot, peer in ((1, "ledger-2"), (2, "ledger-3")):
        report = state.ShareReport("ledger", version, frozenset({slot}), None)
        notice = coordination.ShareReportMessage(report)
        context.actor.tell(coordination.PeerMessageReceived(peer, notice))
    wait_until_handled(context)
    context.timers.advance(10.0)
    context.clock = clock
    context.replies = []
    for _ in range(count):
        request_decision(context, None)
    wait_until_handled(context)
    context.running_permits = [
        decision.permit
        for reply in context.replies
        if isinstance(decision := decision_of(reply), state.Admitted)
    ]


def request_decision(context, deadline_at_s):
    """Request a decision on a GET call."""
    reply = pykka.ThreadingFuture()
    call = state.CallRequest(
        f"r{len(context.replies)}",
        "GET",
        "/lots/1",
        admission_world.DIGESTS["large"],
        deadline_at_s,
        None,
        None,
    )
    context.actor.tell(coordination.AdmitCall(call, reply))
    context.replies.append(reply)


@when(
    "for {seconds:d} s calls with a default and a short deadline arrive "
    "every half second"
)
def step_arriving_calls(context, seconds):
    for _ in range(2 * seconds):
        request_decision(context, None)
        request_decision(context, context.clock.now_s + 0.4)
        wait_until_handled(context)
        context.timers.advance(0.5)


@then("at most {count:d} timer messages are pending")
def step_timers(context, count):
    assert not context.crashes
    assert len(context.timers.entries) <= count, context.timers.entries


def wait_until_handled(context):
    """Wait until the actor has handled all messages sent so far."""
    coordination.ask(context.actor, coordination.GetStatus())


@when("a stop is requested")
def step_stop(context):
    context.drain_reply = pykka.ThreadingFuture()
    context.actor.tell(coordination.StopRequested())
    context.actor.tell(coordination.AwaitDrained(context.drain_reply))
    wait_until_handled(context)


@when("the running calls end")
def step_end(context):
    for permit in context.running_permits:
        context.actor.tell(coordination.CallFinished(permit, ANSWERED))
    wait_until_handled(context)


@when("the deadlines pass")
def step_deadlines(context):
    context.timers.advance(3.0)


@when("the caller gives up")
def step_cancel(context):
    context.actor.tell(coordination.CancelCall("r2"))
    wait_until_handled(context)


@when("the running calls end and the {others}")
def step_end_all(context, others):
    step_end(context)
    if others == "deadlines pass":
        step_deadlines(context)
        return
    for reply in context.replies:
        decision = decision_of(reply)
        if isinstance(decision, state.ForwardTo):
            context.actor.tell(
                coordination.ForwardFinished(decision, ANSWERED)
            )
    wait_until_handled(context)


@then("{count:d} queued calls are forwarded")
def step_forwarded(context, count):
    forwarded = [
        reply
        for reply in context.replies
        if isinstance(decision_of(reply), state.ForwardTo)
    ]
    assert len(forwarded) == count, forwarded


@then("the stop is not completed")
def step_not_drained(context):
    assert not context.crashes
    try:
        context.drain_reply.get(timeout=0)
    except pykka.Timeout:
        return
    raise AssertionError("the stop was completed")


@then("the stop is completed")
def step_drained(context):
    context.drain_reply.get(timeout=5)
    assert not context.crashes


@then("the decision on the last call is {decision}")
def step_last(context, decision):
    seen = decision_of(context.replies[-1])
    assert admission_world.describe(seen) == decision, seen
