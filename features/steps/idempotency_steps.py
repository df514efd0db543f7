"""Steps for bookings with an idempotency key."""

from behave import given
from behave import then
from behave import when
from features.steps import admission_world

from jasminecrank import state

KEY_MADE_MS = admission_world.WALL_MS + 10_000
LEDGER_HOSTS = admission_world.HOSTS[:3]
OUTCOMES = {
    "was answered": "answered",
    "was too long": "answered",
    "timed out": "timed-out",
    "was cut": "broken",
    "was cancelled": "cancelled",
    "was not sent": "not-sent",
    "was shed": "shed",
    "was shed unrun": "shed",
}


def find_key(order, made_ms=KEY_MADE_MS, plain=False):
    """Return a key whose owners rank in the given order."""
    for tail in range(1000):
        key = f"order-{tail}"
        if not plain:
            key = admission_world.uuid7(made_ms, tail)
        ranked = state.rendezvous_rank(LEDGER_HOSTS, key)
        if [row.host for row in ranked][: len(order)] == order:
            return key
    raise AssertionError(order)


def key_fields(context):
    """Return the key, or a fixed request id for a booking without one."""
    if context.key is None:
        return {"request_id": "same"}
    return {"key": context.key}


@given("the owner of a {kind} key")
def step_owner(context, kind):
    context.world = admission_world.World()
    made_ms = KEY_MADE_MS - (20_000 if kind == "old" else 0)
    context.key = None
    if kind != "absent":
        context.key = find_key(["ledger-1"], made_ms, kind == "plain")


@given("a key that {owner} owns")
def step_key(context, owner):
    context.key = find_key([owner])


@when("the first booking {first}")
def step_first(context, first):
    world = context.world
    store = world.admission.dispatcher.bookings.store
    if first == "never came":
        return
    if first in ("waits", "gave up waiting"):
        world.start_calls("large", 2)
    if first == "was too long":
        store.max_stored_bytes = 1
    call, _ = world.call("booking", **key_fields(context), body_digest="one")
    if first == "gave up waiting":
        world.admission.cancel(call.request_id, world.now_s)
    elif first in OUTCOMES:
        world.finish(OUTCOMES[first], not_run=first == "was shed unrun")


@when("the booking is repeated with {repeat}")
def step_repeat(context, repeat):
    context.call, _ = context.world.call(
        "booking",
        "small" if repeat == "another team" else "large",
        **key_fields(context),
        body_digest="two" if repeat == "another body" else "one",
    )


@when("these events happen at {name}: {events}")
def step_events_at(context, name, events):
    context.world = admission_world.World(name)
    context.world.run_actions(events)


@when("a booking with the key arrives {way}")
def step_keyed(context, way):
    context.call, _ = context.world.call(
        "booking", key=context.key, **admission_world.way_fields(way)
    )


@given("a key created {made} its owner leaves")
def step_owner_leaves(context, made):
    world = context.world = admission_world.World()
    made_ms = KEY_MADE_MS + (2000 if made == "after" else 0)
    context.key = find_key(["ledger-2", "ledger-1"], made_ms)
    world.run_actions("wait 1, leaving ledger-2, wait 2")


@when("the next owner gets a booking with the key {way}")
def step_next_owner(context, way):
    former = {"forwarded_by": "ledger-2"}
    context.call, _ = context.world.call(
        "booking",
        key=context.key,
        **(former if way == "from the former owner" else {}),
    )


@given("an owner whose store is full of {kind} keys created {age:d} s ago")
def step_full_store(context, kind, age):
    world = context.world = admission_world.World(
        service=admission_world.WARM_SERVICE
    )
    world.run_actions("leaving ledger-2, leaving ledger-3, wait 1")
    world.admission.dispatcher.bookings.store.max_keys = 4
    context.keys = [
        f"order-{index}"
        if kind == "plain"
        else admission_world.uuid7(world.wall_ms(), index)
        for index in range(4)
    ]
    for key in context.keys:
        world.run_calls("answered", kind="booking", key=key)
    world.advance(age)


@when("a booking with a new key arrives from a caller")
def step_new_key(context):
    world = context.world
    key = admission_world.uuid7(world.wall_ms(), 99)
    context.call, _ = world.call("booking", key=key)


@then("the first of the stored bookings is not run again")
def step_not_again(context):
    call, _ = context.world.call("booking", key=context.keys[0])
    assert context.world.decisions_on(call)[0] in (
        "Replay",
        "REPEAT_OUTCOME_UNKNOWN may-have-run",
    )
