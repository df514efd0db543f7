"""Steps for quotas shared by all hosts, in a model without sockets."""

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
TOKEN_TOLERANCE = 1e-6
CLOCK_RATES = (0.97, 1.0, 1.03)
LIMITS = ((10.0, 6), (10.0, 12), (40.0, 40), (5.0, 1))
TIMES = strategies.sampled_from((0.01, 0.2, 1.0, 1.9, 2.3, 5.0))
STEPS = strategies.sampled_from((0.001, 0.004, 0.03, 0.2))
NETWORKS = (  # loss, repetition, maximum delay in seconds
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


class PublishedDocuments:
    """The documents that the platform publishes, as snapshots."""

    def __init__(self, rate, burst):
        self.numbers = dict.fromkeys(state.DocumentName, 1)
        self.host_by_slot = {}
        self.limit = state.LimitRow(SERVICE, TEAM, 1, rate, burst, 9)
        self.outages = frozenset()
        self.started_hosts = 0

    def next_host(self):
        """Return a host name that was not used before."""
        self.started_hosts += 1
        return f"{SERVICE}-{self.started_hosts}"

    def bump_version(self, name):
        """Increase the version of a document."""
        self.numbers[name] += 1

    def snapshot(self):
        """Return a snapshot of the latest versions."""
        rows = [state.ServiceRow(SERVICE, 4, 1, 10.0, 20)]
        if self.limit is not None:
            rows.append(self.limit)
        for slot, host in self.host_by_slot.items():
            centre = "north" if slot % 2 else "south"
            rows.append(host_row(host, slot, centre))
        for centre in self.outages:
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
    """Return the published documents and a fleet that applies them."""
    published = PublishedDocuments(rate, burst)
    for slot in range(hosts):
        published.host_by_slot[slot] = published.next_host()
    fleet = standins.QuotaFleet(SERVICE, policy, random.Random(seed))
    fleet.audit_by_team[TEAM] = standins.WindowAudit()
    for host in published.host_by_slot.values():
        fleet.start(host, published.snapshot())
    return published, fleet


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Hosts of one service under random sequences of faults.

    The row of a host is removed only after its process has ended, and a
    process starts with a version at least as new as that of its
    predecessor: the platform may report a removal late but never early,
    and versions never decrease.
    """

    hosts = strategies.integers(0, 9)

    @stateful.initialize(
        limit=strategies.sampled_from(LIMITS),
        count=strategies.integers(1, 4),
        seed=strategies.integers(0, 999),
    )
    def start(self, limit, count, seed):
        self.published, self.fleet = start_fleet(count, *limit, seed)
        self.fleet.advance(5.0)

    def running_host(self, number):
        running = sorted(self.fleet.by_host)
        return running[number % len(running)] if running else None

    def active_host(self, number):
        host = self.running_host(number)
        if host is None or self.fleet.by_host[host].paused:
            return None
        return host

    @stateful.rule(seconds=TIMES)
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(number=hosts, calls=strategies.integers(1, 20))
    def take(self, number, calls):
        host = self.active_host(number)
        for _ in range(calls if host else 0):
            self.fleet.take(host, TEAM)

    @stateful.rule(number=hosts, rest=TIMES, step=STEPS)
    def load_one_host(self, number, rest, step):
        """Let buckets fill, then empty them from one host and from all."""
        self.fleet.advance(rest)
        for _ in range(25):
            self.take(number, 12)
            self.fleet.advance(step)
        self.take_all_tokens()

    @stateful.rule(rest=TIMES, step=STEPS)
    def load_all_hosts(self, rest, step):
        self.fleet.advance(rest)
        for _ in range(15):
            self.take_all_tokens()
            self.fleet.advance(step)

    @stateful.rule()
    def take_all_tokens(self):
        for host, node in self.fleet.by_host.items():
            while not node.paused and self.fleet.take(host, TEAM):
                pass

    @stateful.rule(number=hosts)
    def take_and_refund(self, number):
        host = self.active_host(number)
        if host and self.fleet.take(host, TEAM):
            self.fleet.refund(host, TEAM)

    @stateful.rule(number=hosts)
    def pause(self, number):
        host = self.running_host(number)
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
        host = self.running_host(number)
        if host:
            snapshot = self.fleet.by_host[host].snapshot
            self.fleet.stop(host)
            self.fleet.start(host, snapshot, offset, rate)

    @stateful.rule(network=strategies.sampled_from(NETWORKS))
    def change_network(self, network):
        fleet_network = self.fleet.network
        (
            fleet_network.loss_probability,
            fleet_network.duplicate_probability,
            fleet_network.delay_max_s,
        ) = network
        fleet_network.side_by_host.clear()

    @stateful.rule(number=hosts, side=strategies.integers(0, 1))
    def cut(self, number, side):
        host = self.running_host(number)
        if host:
            self.fleet.network.side_by_host[host] = side

    @stateful.rule(number=hosts)
    def apply_snapshot_on(self, number):
        host = self.active_host(number)
        if host:
            self.fleet.apply(host, self.published.snapshot())

    @stateful.rule()
    def apply_snapshot_on_all(self):
        for number in range(len(self.fleet.by_host)):
            self.apply_snapshot_on(number)

    @stateful.rule(slot=strategies.integers(0, 5))
    def add_or_replace(self, slot):
        former = self.published.host_by_slot.get(slot)
        if former in self.fleet.by_host:
            self.fleet.stop(former)
        host = self.published.next_host()
        self.published.host_by_slot[slot] = host
        self.published.bump_version(state.DocumentName.HOSTS)
        self.fleet.start(host, self.published.snapshot())

    @stateful.rule(slot=strategies.integers(0, 5))
    def remove(self, slot):
        host = self.published.host_by_slot.pop(slot, None)
        if host in self.fleet.by_host:
            self.fleet.stop(host)
        self.published.bump_version(state.DocumentName.HOSTS)

    @stateful.rule(first=hosts, second=hosts)
    def swap_slots(self, first, second):
        slots = sorted(self.published.host_by_slot)
        if slots:
            first, second = (slots[n % len(slots)] for n in (first, second))
            hosts = self.published.host_by_slot
            hosts[first], hosts[second] = hosts[second], hosts[first]
            self.published.bump_version(state.DocumentName.HOSTS)

    @stateful.rule(limit=strategies.sampled_from(LIMITS))
    def change_limit(self, limit):
        self.published.limit = state.LimitRow(SERVICE, TEAM, 1, *limit, 9)
        self.published.bump_version(state.DocumentName.TABLE)

    @stateful.rule(number=hosts, seconds=TIMES)
    def withdraw_limit_on_one_host(self, number, seconds):
        """Remove the limit and add it again while other hosts keep it."""
        limit, self.published.limit = self.published.limit, None
        self.published.bump_version(state.DocumentName.TABLE)
        self.apply_snapshot_on(number)
        self.fleet.advance(seconds)
        self.published.limit = limit
        self.published.bump_version(state.DocumentName.TABLE)
        self.apply_snapshot_on(number)

    @stateful.rule(out=strategies.sampled_from(((), ("north",), ("south",))))
    def change_outages(self, out):
        self.published.outages = frozenset(out)
        self.published.bump_version(state.DocumentName.OUTAGES)

    @stateful.invariant()
    def within_rate_and_burst(self):
        if hasattr(self, "fleet"):
            worst = self.fleet.worst_excess()[TEAM]
            assert worst <= TOKEN_TOLERANCE, (
                f"{worst} tokens above rate and burst"
            )


@given("hosts that share the quota of a team")
def step_machine(context):
    context.machine = QuotaMachine


@when("messages are lost, repeated and late while hosts start, stop and pause")
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
    """Apply a new version of the host list on all hosts except `skip`."""
    context.published.bump_version(state.DocumentName.HOSTS)
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
    context.published.outages = frozenset(("north",))
    context.published.bump_version(state.DocumentName.OUTAGES)
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
    """Take all available tokens of the hosts every few milliseconds."""
    context.taken = 0
    until_s = context.fleet.now_s + seconds
    while context.fleet.now_s < until_s:
        for host in hosts:
            while context.fleet.take(host, TEAM):
                context.taken += 1
        context.fleet.advance(0.005)


@when("every host takes all available tokens for {seconds:g} s")
def step_take_all(context, seconds):
    take_all(context, sorted(context.fleet.by_host), seconds)


@when("one host takes all available tokens for {seconds:g} s")
def step_take_one(context, seconds):
    take_all(context, [context.published.host_by_slot[0]], seconds)


@then("between {least:d} and {most:d} tokens were taken")
def step_taken(context, least, most):
    assert least <= context.taken <= most, context.taken


@then("no time window has more tokens than rate and burst allow")
def step_windows(context):
    if hasattr(context, "fleet"):
        worst = context.fleet.worst_excess()[TEAM]
        assert worst <= TOKEN_TOLERANCE, worst


@given("a host that requests tokens from a peer twice")
def step_two_requests(context):
    context.published = start_fleet(2, 40.0, 40)[0]
    snapshot = context.published.snapshot()
    lender, borrower = (f"{SERVICE}-{number}" for number in (1, 2))
    context.hosts = (lender, borrower)
    context.quotas = tuple(
        state.QuotaState.from_host(host, 0.0, rng=random.Random(7))
        for host in context.hosts
    )
    for quota, peer in zip(context.quotas, (borrower, lender), strict=True):
        quota.peer_up(peer, 0.0)
        quota.apply_snapshot(snapshot, 0.0)
    context.now_s = 0.0
    while context.now_s < 10.0:
        context.now_s += 0.1
        for quota in context.quotas:
            quota.tick(context.now_s)
        deliver_all(context)
    context.requests = [next_request(context)]
    context.now_s += 0.1
    context.requests.append(next_request(context))
    context.ledger = context.quotas[1].by_limit[SERVICE, TEAM]
    while context.ledger.take(context.now_s):
        pass


def next_request(context):
    """Return the borrower's next request, as if none were pending."""
    quota = context.quotas[1]
    quota.loans.tracker_by_team.clear()
    for _ in range(100):
        quota.take(SERVICE, TEAM, context.now_s)
        outgoing = quota.drain_outbox()
        if outgoing:
            return outgoing[0].message
    raise AssertionError("the borrower sent no loan request")


def deliver_all(context):
    """Deliver all messages between lender and borrower."""
    for number in (0, 1, 0, 1):
        for outgoing in context.quotas[number].drain_outbox():
            context.quotas[1 - number].receive(
                context.hosts[number], outgoing.message, context.now_s
            )


def send_request(context, request):
    """Return the lender's grant for a request."""
    context.quotas[0].receive(context.hosts[1], request, context.now_s)
    return context.quotas[0].drain_outbox()[0].message


def deliver_grant(context, loan_grant):
    """Deliver a grant to the borrower."""
    context.quotas[1].receive(context.hosts[0], loan_grant, context.now_s)


@when("the grants arrive {how}")
def step_grants_arrive(context, how):
    first, second = context.requests
    context.tokens_before = context.ledger.tokens
    match how:
        case "once":
            grants = [send_request(context, second)]
        case "twice":
            grants = [send_request(context, second)] * 2
        case "1.99 s after the ask" | "2.01 s after the ask":
            grants = [send_request(context, second)]
            context.now_s += float(how.split()[0])
        case "to asks that overtook each other":
            grants = [
                send_request(context, second),
                send_request(context, first),
            ]
            grants.reverse()
        case "after that of the later ask":
            late, loan_grant = (
                send_request(context, first),
                send_request(context, second),
            )
            deliver_grant(context, loan_grant)
            grants = [late]
        case "after the process started again":
            grants = [send_request(context, second)]
            context.quotas = (
                context.quotas[0],
                state.QuotaState.from_host(context.hosts[1], context.now_s),
            )
    context.ledger.refill(context.now_s)
    context.tokens_before = context.ledger.tokens
    for loan_grant in grants:
        deliver_grant(context, loan_grant)
    context.granted_tokens = [
        share.tokens for loan_grant in grants for share in loan_grant.shares
    ]


@then("the borrower gained the tokens of one grant")
def step_gained(context):
    gained = context.ledger.tokens - context.tokens_before
    expected = max(context.granted_tokens)
    assert expected > 1.0 and abs(gained - expected) < TOKEN_TOLERANCE, (
        gained,
        expected,
    )


@then("the borrower gained nothing")
def step_gained_nothing(context):
    assert context.ledger.tokens == context.tokens_before, (
        context.granted_tokens
    )


@when("the lender grants a loan and {seconds:g} s pass")
def step_grant(context, seconds):
    loan_grant = send_request(context, context.requests[1])
    assert loan_grant.shares[0].share_ppb > 0, loan_grant
    context.now_s += seconds


@then("the lender owns {part} of its share")
def step_lender_owns(context, part):
    ledger = context.quotas[0].by_limit[SERVICE, TEAM]
    ledger.refill(context.now_s)
    unlent_ppb = ledger.share_ppb(context.now_s)
    own_share_ppb = const.FULL_SHARE_PPB // 2
    assert (unlent_ppb < own_share_ppb) == (part == "less"), unlent_ppb


@when("the lender grants the second request and receives {ask}")
def step_request_after_grant(context, ask):
    first, second = (
        dataclasses.replace(
            request,
            shares=(
                dataclasses.replace(request.shares[0], share_ppb=200_000_000),
            ),
        )
        for request in context.requests
    )
    loan_grant = send_request(context, second)
    assert context.quotas[0].by_limit[SERVICE, TEAM].tokens > 1.0
    context.share_by_name = {
        "no share": 0,
        "the share": loan_grant.shares[0].share_ppb,
    }
    context.now_s += 0.1
    requests = {
        "the first ask": first,
        "the second ask": second,
        "an ask for as much again": dataclasses.replace(
            second, loan_id=second.loan_id + 1
        ),
    }
    context.granted_share = send_request(context, requests[ask]).shares[0]


@then("the grant has {share} and no tokens")
def step_granted_share(context, share):
    assert context.granted_share.share_ppb == context.share_by_name[share], (
        context.granted_share
    )
    assert context.granted_share.tokens == 0.0, context.granted_share


@when("the lender grants a loan and its limit goes and comes back")
def step_limit_returns(context):
    step_grant(context, 0.0)
    limit = context.published.limit
    for limit_row in (None, limit):
        context.published.limit = limit_row
        context.published.bump_version(state.DocumentName.TABLE)
        context.quotas[0].apply_snapshot(
            context.published.snapshot(), context.now_s
        )


@when("the lender grants a loan and two live hosts swap slots")
def step_swap(context):
    step_grant(context, 0.0)
    slots = context.published.host_by_slot
    slots[0], slots[1] = slots[1], slots[0]
    context.published.bump_version(state.DocumentName.HOSTS)
    for quota in context.quotas:
        quota.apply_snapshot(context.published.snapshot(), context.now_s)


@when("the hosts wait for {seconds:g} s")
def step_pass(context, seconds):
    context.now_s += seconds
