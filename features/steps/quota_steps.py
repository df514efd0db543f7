"""Steps on quotas over all hosts, in a model without sockets."""

import dataclasses
import random

from behave import given
from behave import then
from behave import when
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from jasminecrank import const
from jasminecrank import standins
from jasminecrank import state

SERVICE = "ledger"
TEAM = "belt"
ROUNDING = 1e-6
CLOCK_RATES = (0.97, 1.0, 1.03)
LIMITS = ((10.0, 6), (10.0, 12), (40.0, 40), (5.0, 1))
TIMES = strategies.sampled_from((0.01, 0.2, 1.0, 1.9, 2.3, 5.0))
STEPS = strategies.sampled_from((0.001, 0.004, 0.03, 0.2))
NETWORKS = (  # loss, repeat, longest delay in seconds
    (0.0, 0.0, 0.002),
    (0.0, 1.0, 0.01),
    (0.0, 1.0, 0.1),
    (0.0, 0.0, 0.2),
    (0.5, 0.5, 0.2),
    (0.2, 0.5, 3.0),
)


def host_row(host, slot, data_centre):
    """Return the row of a host on a share slot."""
    return state.HostRow(
        host,
        SERVICE,
        data_centre,
        "savo",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        slot,
        state.HostState.LIVE,
    )


class Published:
    """The documents that the platform shows, as a snapshot."""

    def __init__(self, rate, burst):
        self.numbers = dict.fromkeys(state.DocumentName, 1)
        self.host_by_slot = {}
        self.limit = state.LimitRow(SERVICE, TEAM, 1, rate, burst, 9)
        self.out = frozenset()
        self.started = 0

    def next_host(self):
        """Return the name of a host that never existed before."""
        self.started += 1
        return f"{SERVICE}-{self.started}"

    def change(self, name):
        """Give a document its next version."""
        self.numbers[name] += 1

    def snapshot(self):
        """Return the newest snapshot."""
        rows = [state.ServiceRow(SERVICE, 4, 1, 10.0, 20)]
        if self.limit is not None:
            rows.append(self.limit)
        for slot, host in self.host_by_slot.items():
            centre = "north" if slot % 2 else "south"
            rows.append(host_row(host, slot, centre))
        for centre in self.out:
            rows.append(
                state.OutageRow(centre, state.OutageState.OUT_OF_SERVICE)
            )
        versions = state.VersionVector(
            **{
                name.value: state.Version(number, f"{number:02x}")
                for name, number in self.numbers.items()
            }
        )
        return state.Snapshot.from_rows(versions, rows)


def start_fleet(hosts, rate, burst, seed=0, policy=state.QuotaPolicy.LOANS):
    """Return the published documents and the fleet that follows them."""
    published = Published(rate, burst)
    for slot in range(hosts):
        published.host_by_slot[slot] = published.next_host()
    fleet = standins.QuotaFleet(SERVICE, policy, random.Random(seed))
    fleet.audit_by_team[TEAM] = standins.WindowAudit()
    for host in published.host_by_slot.values():
        fleet.start(host, published.snapshot())
    return published, fleet


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Hosts of one service under every fault, in any order.

    A host's own row goes only after its process has ended, and a process
    starts with a version no older than that of the process before it: the
    platform reports removals late, never early, and does not go back.
    """

    hosts = strategies.integers(0, 9)

    @stateful.initialize(
        limit=strategies.sampled_from(LIMITS),
        count=strategies.integers(1, 4),
        seed=strategies.integers(0, 999),
    )
    def begin(self, limit, count, seed):
        self.published, self.fleet = start_fleet(count, *limit, seed)
        self.fleet.advance(5.0)

    def pick(self, number):
        running = sorted(self.fleet.by_host)
        return running[number % len(running)] if running else None

    def awake(self, number):
        host = self.pick(number)
        if host is None or self.fleet.by_host[host].paused:
            return None
        return host

    @stateful.rule(seconds=TIMES)
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(number=hosts, calls=strategies.integers(1, 20))
    def take(self, number, calls):
        host = self.awake(number)
        for _ in range(calls if host else 0):
            self.fleet.take(host, TEAM)

    @stateful.rule(number=hosts, rest=TIMES, step=STEPS)
    def lean_on_one_host(self, number, rest, step):
        """Let buckets fill, empty them by one host, then by all."""
        self.fleet.advance(rest)
        for _ in range(25):
            self.take(number, 12)
            self.fleet.advance(step)
        self.take_everything()

    @stateful.rule(rest=TIMES, step=STEPS)
    def lean_on_all_hosts(self, rest, step):
        self.fleet.advance(rest)
        for _ in range(15):
            self.take_everything()
            self.fleet.advance(step)

    @stateful.rule()
    def take_everything(self):
        for host, node in self.fleet.by_host.items():
            while not node.paused and self.fleet.take(host, TEAM):
                pass

    @stateful.rule(number=hosts)
    def take_and_refund(self, number):
        host = self.awake(number)
        if host and self.fleet.take(host, TEAM):
            self.fleet.refund(host, TEAM)

    @stateful.rule(number=hosts)
    def pause(self, number):
        host = self.pick(number)
        if host:
            self.fleet.by_host[host].paused = True

    @stateful.rule(calls=strategies.integers(0, 9))
    def resume_all(self, calls):
        for host, node in self.fleet.by_host.items():
            if node.paused:
                self.fleet.resume(host, TEAM, calls)

    @stateful.rule(
        number=hosts,
        rate=strategies.sampled_from(CLOCK_RATES),
        offset=strategies.sampled_from((0.0, 1e6)),
    )
    def restart(self, number, rate, offset):
        host = self.pick(number)
        if host:
            snapshot = self.fleet.by_host[host].snapshot
            self.fleet.stop(host)
            self.fleet.start(host, snapshot, offset, rate)

    @stateful.rule(network=strategies.sampled_from(NETWORKS))
    def change_network(self, network):
        ours = self.fleet.network
        ours.loss, ours.repeat, ours.delay_max_s = network
        ours.side_by_host.clear()

    @stateful.rule(number=hosts, side=strategies.integers(0, 1))
    def cut(self, number, side):
        host = self.pick(number)
        if host:
            self.fleet.network.side_by_host[host] = side

    @stateful.rule(number=hosts)
    def follow(self, number):
        host = self.awake(number)
        if host:
            self.fleet.apply(host, self.published.snapshot())

    @stateful.rule()
    def follow_all(self):
        for number in range(len(self.fleet.by_host)):
            self.follow(number)

    @stateful.rule(slot=strategies.integers(0, 5))
    def add_or_replace(self, slot):
        former = self.published.host_by_slot.get(slot)
        if former in self.fleet.by_host:
            self.fleet.stop(former)
        host = self.published.next_host()
        self.published.host_by_slot[slot] = host
        self.published.change(state.DocumentName.HOSTS)
        self.fleet.start(host, self.published.snapshot())

    @stateful.rule(slot=strategies.integers(0, 5))
    def remove(self, slot):
        host = self.published.host_by_slot.pop(slot, None)
        if host in self.fleet.by_host:
            self.fleet.stop(host)
        self.published.change(state.DocumentName.HOSTS)

    @stateful.rule(first=hosts, second=hosts)
    def swap_slots(self, first, second):
        slots = sorted(self.published.host_by_slot)
        if slots:
            first, second = (slots[n % len(slots)] for n in (first, second))
            hosts = self.published.host_by_slot
            hosts[first], hosts[second] = hosts[second], hosts[first]
            self.published.change(state.DocumentName.HOSTS)

    @stateful.rule(limit=strategies.sampled_from(LIMITS))
    def change_limit(self, limit):
        self.published.limit = state.LimitRow(SERVICE, TEAM, 1, *limit, 9)
        self.published.change(state.DocumentName.TABLE)

    @stateful.rule(number=hosts, seconds=TIMES)
    def withdraw_limit_on_one_host(self, number, seconds):
        """Take the limit away and back, while the others keep it."""
        limit, self.published.limit = self.published.limit, None
        self.published.change(state.DocumentName.TABLE)
        self.follow(number)
        self.fleet.advance(seconds)
        self.published.limit = limit
        self.published.change(state.DocumentName.TABLE)
        self.follow(number)

    @stateful.rule(out=strategies.sampled_from(((), ("north",), ("south",))))
    def change_outages(self, out):
        self.published.out = frozenset(out)
        self.published.change(state.DocumentName.OUTAGES)

    @stateful.invariant()
    def within_rate_and_burst(self):
        if hasattr(self, "fleet"):
            worst = self.fleet.worst_excess()[TEAM]
            assert worst <= ROUNDING, f"{worst} tokens above rate and burst"


@given("hosts that share the quota of a team")
def step_machine(context):
    context.machine = QuotaMachine


@when("messages are lost, doubled and late while hosts come, go and pause")
def step_run_machine(context):
    stateful.run_state_machine_as_test(
        context.machine,
        settings=settings(max_examples=150, stateful_step_count=50),
    )


@given("{hosts:d} hosts that share rate {rate:g} and burst {burst:d}")
def step_fleet(context, hosts, rate, burst):
    context.published, context.fleet = start_fleet(hosts, rate, burst)
    context.fleet.advance(10.0)


@when("nothing fails")
def step_nothing(context):
    del context


@when("a host stops")
def step_stop(context):
    context.fleet.stop(context.published.host_by_slot[0])


@when("a host restarts")
def step_restart(context):
    host = context.published.host_by_slot[0]
    context.fleet.stop(host)
    context.fleet.start(host, context.published.snapshot())


@when("all hosts restart")
def step_restart_all(context):
    hosts = tuple(context.fleet.by_host)
    for host in hosts:
        context.fleet.stop(host)
    for host in hosts:
        context.fleet.start(host, context.published.snapshot())


def publish_hosts(context, skip=None):
    """Put a new version of the host list in force on all hosts but one."""
    context.published.change(state.DocumentName.HOSTS)
    for host in context.fleet.by_host:
        if host != skip:
            context.fleet.apply(host, context.published.snapshot())


@when("a host is replaced")
def step_replace(context):
    context.fleet.stop(context.published.host_by_slot[0])
    host = context.published.next_host()
    context.published.host_by_slot[0] = host
    publish_hosts(context)
    context.fleet.start(host, context.published.snapshot())


@when("a host is added")
def step_add(context, skip=None):
    host = context.published.next_host()
    context.published.host_by_slot[9] = host
    publish_hosts(context, skip)
    context.fleet.start(host, context.published.snapshot())


@when("a host misses a version")
def step_miss(context):
    step_add(context, context.published.host_by_slot[0])


@when("a host is removed")
def step_remove(context):
    context.fleet.stop(context.published.host_by_slot.pop(0))
    publish_hosts(context)


@when("a data centre is out")
def step_out(context):
    context.published.out = frozenset(("north",))
    context.published.change(state.DocumentName.OUTAGES)
    for host in context.fleet.by_host:
        context.fleet.apply(host, context.published.snapshot())


@when("a host drains")
def step_drain(context):
    host = context.published.host_by_slot[1]
    context.fleet.by_host[host].quota.start_draining()


@when("half of the hosts are cut")
def step_cut(context):
    for slot in (2, 3):
        host = context.published.host_by_slot[slot]
        context.fleet.network.side_by_host[host] = 1


def take_all(context, hosts, seconds):
    """Take whatever the hosts give, every few milliseconds."""
    context.taken = 0
    until_s = context.fleet.now_s + seconds
    while context.fleet.now_s < until_s:
        for host in hosts:
            while context.fleet.take(host, TEAM):
                context.taken += 1
        context.fleet.advance(0.005)


@when("every host takes all it can for {seconds:g} s")
def step_take_all(context, seconds):
    take_all(context, sorted(context.fleet.by_host), seconds)


@when("one host takes all it can for {seconds:g} s")
def step_take_one(context, seconds):
    take_all(context, [context.published.host_by_slot[0]], seconds)


@then("between {least:d} and {most:d} tokens were taken")
def step_taken(context, least, most):
    assert least <= context.taken <= most, context.taken


@then("no window has more tokens than its rate and burst")
def step_windows(context):
    if hasattr(context, "fleet"):
        worst = context.fleet.worst_excess()[TEAM]
        assert worst <= ROUNDING, worst


@given("a host that asks another twice for tokens")
def step_two_asks(context):
    context.published = start_fleet(2, 40.0, 40)[0]
    snapshot = context.published.snapshot()
    lender, borrower = (f"{SERVICE}-{number}" for number in (1, 2))
    context.names = (lender, borrower)
    context.pair = tuple(
        state.QuotaState.from_host(host, 0.0, rng=random.Random(7))
        for host in context.names
    )
    for quota, peer in zip(context.pair, (borrower, lender), strict=True):
        quota.peer_up(peer, 0.0)
        quota.apply_snapshot(snapshot, 0.0)
    context.now_s = 0.0
    while context.now_s < 10.0:
        context.now_s += 0.1
        for quota in context.pair:
            quota.tick(context.now_s)
        exchange(context)
    context.asks = [ask_again(context)]
    context.now_s += 0.1
    context.asks.append(ask_again(context))
    context.ledger = context.pair[1].by_limit[SERVICE, TEAM]
    while context.ledger.take(context.now_s):
        pass


def ask_again(context):
    """Return the borrower's next ask, as if none were under way."""
    quota = context.pair[1]
    quota.loans.asks_by_team.clear()
    for _ in range(100):
        quota.take(SERVICE, TEAM, context.now_s)
        outgoing = quota.drain()
        if outgoing:
            return outgoing[0].message
    raise AssertionError("no ask")


def exchange(context):
    """Deliver all messages between the two hosts."""
    for number in (0, 1, 0, 1):
        for outgoing in context.pair[number].drain():
            context.pair[1 - number].receive(
                context.names[number], outgoing.message, context.now_s
            )


def grant(context, ask):
    """Return the lender's answer to an ask."""
    context.pair[0].receive(context.names[1], ask, context.now_s)
    return context.pair[0].drain()[0].message


def arrive(context, offer):
    """Let an answer reach the borrower."""
    context.pair[1].receive(context.names[0], offer, context.now_s)


@when("the answers arrive {how}")
def step_answers_arrive(context, how):
    first, second = context.asks
    context.before = context.ledger.tokens
    match how:
        case "once":
            offers = [grant(context, second)]
        case "twice":
            offers = [grant(context, second)] * 2
        case "1.99 s after the ask" | "2.01 s after the ask":
            offers = [grant(context, second)]
            context.now_s += float(how.split()[0])
        case "to asks that overtook each other":
            offers = [grant(context, second), grant(context, first)]
            offers.reverse()
        case "after that of the later ask":
            late, offer = grant(context, first), grant(context, second)
            arrive(context, offer)
            offers = [late]
        case "after the process started again":
            offers = [grant(context, second)]
            context.pair = (
                context.pair[0],
                state.QuotaState.from_host(context.names[1], context.now_s),
            )
    context.ledger.mint(context.now_s)
    context.before = context.ledger.tokens
    for offer in offers:
        arrive(context, offer)
    context.granted = [part.tokens for offer in offers for part in offer.parts]


@then("the borrower gained the tokens of one grant")
def step_gained(context):
    gained = context.ledger.tokens - context.before
    most = max(context.granted)
    assert most > 1.0 and abs(gained - most) < ROUNDING, (gained, most)


@then("the borrower gained nothing")
def step_gained_nothing(context):
    assert context.ledger.tokens == context.before, context.granted


@when("the lender grants a loan and {seconds:g} s pass")
def step_grant(context, seconds):
    offer = grant(context, context.asks[1])
    assert offer.parts[0].share_ppb > 0, offer
    context.now_s += seconds


@then("the lender owns {part} of its share")
def step_lender_owns(context, part):
    ledger = context.pair[0].by_limit[SERVICE, TEAM]
    ledger.mint(context.now_s)
    owned = ledger.share_ppb(context.now_s)
    whole = const.SHARE_WHOLE // 2
    assert (owned < whole) == (part == "less"), owned


@when("the lender grants the second ask and gets {ask}")
def step_ask_after_grant(context, ask):
    first, second = (
        dataclasses.replace(
            ask,
            wants=(dataclasses.replace(ask.wants[0], share_ppb=200_000_000),),
        )
        for ask in context.asks
    )
    offer = grant(context, second)
    assert context.pair[0].by_limit[SERVICE, TEAM].tokens > 1.0
    context.shares = {"no share": 0, "the share": offer.parts[0].share_ppb}
    context.now_s += 0.1
    asks = {
        "the first ask": first,
        "the second ask": second,
        "an ask for as much again": dataclasses.replace(
            second, loan_id=second.loan_id + 1
        ),
    }
    context.part = grant(context, asks[ask]).parts[0]


@then("the answer has {share} and no tokens")
def step_answer(context, share):
    assert context.part.share_ppb == context.shares[share], context.part
    assert context.part.tokens == 0.0, context.part


@when("the lender grants a loan and its limit goes and comes back")
def step_limit_returns(context):
    step_grant(context, 0.0)
    limit = context.published.limit
    for shown in (None, limit):
        context.published.limit = shown
        context.published.change(state.DocumentName.TABLE)
        context.pair[0].apply_snapshot(
            context.published.snapshot(), context.now_s
        )


@when("the lender grants a loan and two live hosts swap slots")
def step_swap(context):
    step_grant(context, 0.0)
    slots = context.published.host_by_slot
    slots[0], slots[1] = slots[1], slots[0]
    context.published.change(state.DocumentName.HOSTS)
    for quota in context.pair:
        quota.apply_snapshot(context.published.snapshot(), context.now_s)


@when("the hosts wait for {seconds:g} s")
def step_pass(context, seconds):
    context.now_s += seconds
