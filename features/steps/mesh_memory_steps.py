"""Steps for the budget of bodies in memory."""

import contextlib
import re

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from jasminecrank.mesh import state

MB = 1_000_000
USE_BY_NAME = {use.value: use for use in state.BodyUse}


def claim_text(budget, text):
    """Make the claims that a row of a table names."""
    for size, use in re.findall(r"([\d.]+) MB for a (\w+)", text):
        budget.claim(USE_BY_NAME[use], int(float(size) * MB))
    if "waiting behind" in text:
        for size in (64, 8):
            budget.claim(state.BodyUse.CALLER, size * MB, lambda: None)


@given("the budget of a node with {limit:d} MB that holds {held}")
def step_budget(context, limit, held):
    context.budget = state.MemoryBudget.from_memory_limit(limit * MB)
    claim_text(context.budget, held)


@when("{size:g} MB is claimed for a {use}")
def step_claim(context, size, use):
    on_granted = None if use == "link" else (lambda: None)
    context.decision = context.budget.claim(
        USE_BY_NAME[use], round(size * MB), on_granted
    )


@then("the claim is {decision}")
def step_decision(context, decision):
    match context.decision:
        case state.Granted():
            seen = "granted"
        case state.Waiting():
            seen = "waiting"
        case state.Denied(never):
            seen = "denied forever" if never else "denied"
    assert seen == decision, seen


@when("callers claim 40 MB, 20 MB, 30 MB and 1 MB and the first is released")
def step_order(context):
    context.granted = []
    for size in (40, 20, 30, 1):
        context.budget.claim(
            state.BodyUse.CALLER,
            size * MB,
            lambda size=size: context.granted.append(size),
        )
    context.budget.release(1)


@then("those of 40 MB and 20 MB are granted, and the others wait")
def step_order_seen(context):
    assert context.granted == [40, 20], context.granted
    assert context.budget.waiting == 2


@when("a claim of {size:g} MB grows to {new_size:g} MB")
def step_grow(context, size, new_size):
    budget = context.budget
    held_bytes = budget.held_bytes
    claim = budget.claim(state.BodyUse.CALLER, int(size * MB))
    context.grown = budget.grow(
        claim.claim_id, state.BodyUse.CALLER, int(new_size * MB)
    )
    budget.release(claim.claim_id)
    assert budget.held_bytes == held_bytes


@then("the claim has {outcome}")
def step_grown(context, outcome):
    assert context.grown == (outcome == "grown")


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Claims and releases in any order, beside a list of what is held."""

    def __init__(self):
        super().__init__()
        self.budget = state.MemoryBudget.from_memory_limit(1_000_000)
        self.size_by_held = {}
        self.size_by_waiting = {}

    def _on_granted(self, box):
        claim_id = box[0]
        self.size_by_held[claim_id] = self.size_by_waiting.pop(claim_id)

    @stateful.rule(
        use=strategies.sampled_from(state.BodyUse),
        size=strategies.integers(1, 300_000) | strategies.integers(1, 65_536),
        waits=strategies.booleans(),
    )
    def claim(self, use, size, waits):
        box = []
        decision = self.budget.claim(
            use, size, (lambda: self._on_granted(box)) if waits else None
        )
        match decision:
            case state.Granted(claim_id):
                self.size_by_held[claim_id] = size
            case state.Waiting(claim_id):
                assert waits
                box.append(claim_id)
                self.size_by_waiting[claim_id] = size
                self._check_small(size)
            case state.Denied(never):
                assert never or not waits

    def _check_small(self, size):
        """A small body waits only for other small ones."""
        if size <= state.SMALL_BODY_BYTES:
            small = sum(
                held
                for held in self.size_by_held.values()
                if held <= state.SMALL_BODY_BYTES
            )
            waiting = [
                other
                for other in self.size_by_waiting.values()
                if other <= state.SMALL_BODY_BYTES
            ]
            assert small + sum(waiting) > 0.068 * 1_000_000, small

    @stateful.precondition(lambda self: self.size_by_held)
    @stateful.rule(
        data=strategies.data(), size=strategies.integers(1, 300_000)
    )
    def grow(self, data, size):
        claim_id = data.draw(
            strategies.sampled_from(sorted(self.size_by_held))
        )
        if size > self.size_by_held[claim_id] and self.budget.grow(
            claim_id, state.BodyUse.CALLER, size
        ):
            self.size_by_held[claim_id] = size

    @stateful.precondition(
        lambda self: self.size_by_held or self.size_by_waiting
    )
    @stateful.rule(data=strategies.data())
    def release(self, data):
        ids = sorted({*self.size_by_held, *self.size_by_waiting})
        self._release(data.draw(strategies.sampled_from(ids)))

    def _release(self, claim_id):
        self.size_by_held.pop(claim_id, None)
        self.size_by_waiting.pop(claim_id, None)
        self.budget.release(claim_id)
        with contextlib.suppress(KeyError):
            self.budget.release(claim_id)
            raise AssertionError(f"{claim_id} was given back twice")

    @stateful.invariant()
    def within_budget(self):
        held = sum(self.size_by_held.values())
        assert held == self.budget.held_bytes <= self.budget.limit_bytes
        assert self.budget.limit_bytes <= 550_000

    def teardown(self):
        """Release what is held until nothing waits."""
        while self.size_by_held:
            self._release(min(self.size_by_held))
        assert not self.size_by_waiting and self.budget.held_bytes == 0


@when("{count:d} random sequences of claims and releases are played")
def step_machine(context, count):
    del context
    settings = hypothesis.settings(
        max_examples=count,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
    )
    stateful.run_state_machine_as_test(BudgetMachine, settings=settings)


@then("the budget was never exceeded and every claim was granted in the end")
def step_machine_passed(context):
    del context
