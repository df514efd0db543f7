"""Compare equal static shares with loans in a model without sockets.

Every request of a team is also offered to one ideal bucket with the team's
whole rate and burst. A refusal that the ideal bucket would not have given is
wrongful. Of a team above its rate, the ideal bucket and the hosts may answer
different requests, so it counts by how many fewer the hosts answer. The model
is seeded; two runs print the same figures.
"""

import argparse
from dataclasses import dataclass
from dataclasses import field
import heapq
import pathlib
import random

from jasminecrank import coordination
from jasminecrank import operators
from jasminecrank import protocol
from jasminecrank import standins
from jasminecrank import state

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCENARIOS = ("even", "one host", "five times", "host lost", "partition")
WARM_UP_S = 10.0
PEER_SILENCE_S = 15.0


@dataclass(slots=True)
class Bucket:
    """Ideal token bucket with the whole quota of a team."""

    limit: state.LimitRow
    tokens: float
    at_s: float

    def take(self, now_s):
        """Take a token and return whether one was available."""
        minted = (now_s - self.at_s) * self.limit.rate
        self.tokens = min(self.limit.burst, self.tokens + minted)
        self.at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class Count:
    """Number of requests within rate and burst, answered and refused."""

    above_rate: bool
    inside: int = 0
    answered: int = 0
    refused_inside: int = 0

    @property
    def refused(self):
        """Return the number of wrongful refusals."""
        if self.above_rate:
            return max(0, self.inside - self.answered)
        return self.refused_inside

    def refused_fraction(self):
        """Return the fraction of requests that were wrongly refused."""
        return self.refused / self.inside if self.inside else 0.0


@dataclass(slots=True)
class Run:
    """Simulation of one service with one policy in one scenario."""

    scenario: str
    fleet: standins.QuotaFleet
    rng: random.Random
    options: argparse.Namespace
    bucket_by_team: dict = field(default_factory=dict)
    count_by_team: dict = field(default_factory=dict)
    hosts: list = field(default_factory=list)
    waits_s: list = field(default_factory=list)
    last_host: str = ""

    def run(self):
        """Send the requests of the scenario."""
        fleet = self.fleet
        fleet.advance(WARM_UP_S)
        begin_s = fleet.now_s
        third_s = self.options.seconds / 3
        heap = []
        for number, team in enumerate(sorted(self.bucket_by_team)):
            self.bucket_by_team[team].at_s = begin_s
            self.bucket_by_team[team].tokens = self.bucket_by_team[
                team
            ].limit.burst
            heapq.heappush(heap, (begin_s, number, team, None, 0.0, False))
        faults = [(begin_s + third_s, 1), (begin_s + 2 * third_s, 2)]
        sequence = len(heap)
        while heap:
            at_s, _, team, host, requested_s, inside = heapq.heappop(heap)
            if faults and at_s >= faults[0][0]:
                self.fault(faults.pop(0)[1])
            fleet.advance(max(0.0, at_s - fleet.now_s))
            if host is None:
                sequence += 1
                next_s = at_s + self.rng.expovariate(self.rate(team))
                if next_s < begin_s + self.options.seconds:
                    heapq.heappush(
                        heap, (next_s, sequence, team, None, 0.0, False)
                    )
                inside = self.bucket_by_team[team].take(at_s)
                self.count_by_team[team].inside += inside
                requested_s = at_s
            retry_s = self.offer(team, host, at_s, requested_s, inside)
            if retry_s is not None:
                sequence += 1
                target = host or self.last_host
                heapq.heappush(
                    heap,
                    (retry_s, sequence, team, target, requested_s, inside),
                )

    def offer(self, team, host, at_s, requested_s, inside):
        """Offer a request to a node; return the time of a retry, or None."""
        repeated = host is not None
        if host is None or host not in self.fleet.by_host:
            host = self.pick_host(team)
        self.last_host = host
        wait_s = self.fleet.try_take(host, team, repeated)
        if wait_s is None:
            self.waits_s.append(at_s - requested_s)
            self.count_by_team[team].answered += 1
            return None
        retry_s = at_s + max(wait_s, 0.0005)
        if retry_s - requested_s <= self.options.wait_ms / 1000:
            return retry_s
        self.count_by_team[team].refused_inside += inside
        return None

    def rate(self, team):
        """Return the requests per second that a team sends."""
        rate = self.bucket_by_team[team].limit.rate
        if self.scenario == "five times" and team == self.excess_team():
            return 5.0 * rate
        return self.options.load * rate

    def excess_team(self):
        """Return the team that exceeds its rate: the one with the highest."""
        by_rate = sorted(
            self.bucket_by_team,
            key=lambda team: (-self.bucket_by_team[team].limit.rate, team),
        )
        return by_rate[0]

    def pick_host(self, team):
        """Return the node that the next request of a team goes to."""
        del team
        if self.scenario == "one host":
            return self.hosts[0]
        return self.rng.choice(self.hosts)

    def fault(self, number):
        """Begin (1) or end (2) the fault of the scenario."""
        if self.scenario == "host lost" and number == 1:
            self.fleet.stop(self.hosts.pop())
        if self.scenario == "partition":
            half = len(self.hosts) // 2
            sides = dict.fromkeys(self.hosts[:half], 1)
            self.fleet.network.side_by_host = sides if number == 1 else {}


def frame_bytes(host, message):
    """Return the size of a message as encoded for a peer link."""
    match message:
        case state.LoanRequest():
            peer_message = coordination.LoanRequestMessage(message)
        case state.LoanGrant():
            peer_message = coordination.LoanGrantMessage(message)
        case state.ShareReport():
            peer_message = coordination.ShareReportMessage(message)
    stamp = state.Stamp(1_796_000_000_000, 1, host)
    envelope = coordination.Envelope(host, stamp, peer_message)
    return len(protocol.encode_envelope(envelope))


def snapshot_of(example):
    """Return the snapshot from the table files of an example."""
    files = operators.TableFiles.from_directory(ROOT / "examples" / example)
    rows = [row for rows in files.rows_by_name.values() for row in rows]
    versions = state.VersionVector(
        table=state.Version(1, "ab" * 32), hosts=state.Version(1, "ab" * 32)
    )
    return state.Snapshot.from_rows(versions, rows)


def run_service(snapshot, service, policy, scenario, options):
    """Run one service and return the run."""
    rng = random.Random(f"{options.seed}/{service}/{scenario}")
    network = standins.Network(options.delay_ms / 2e3, options.delay_ms / 1e3)
    fleet = standins.QuotaFleet(
        service, policy, random.Random(options.seed), network
    )
    fleet.size_of = frame_bytes
    run = Run(scenario, fleet, rng, options)
    for (owner, team), limit in sorted(snapshot.by_limit.items()):
        if owner == service:
            run.bucket_by_team[team] = Bucket(limit, limit.burst, 0.0)
            fleet.audit_by_team[team] = standins.WindowAudit()
    for team in run.bucket_by_team:
        above_rate = scenario == "five times" and team == run.excess_team()
        run.count_by_team[team] = Count(above_rate)
    for host in snapshot.hosts_by_service[service]:
        fleet.start(host.host, snapshot)
        run.hosts.append(host.host)
    run.run()
    return run


def report(example, scenario, policy, runs, options):
    """Print one line of figures."""
    inside = sum(c.inside for r in runs for c in r.count_by_team.values())
    refused = sum(c.refused for r in runs for c in r.count_by_team.values())
    worst = min(
        1.0 - count.refused_fraction()
        for r in runs
        for count in r.count_by_team.values()
    )
    excess = max(
        max(r.fleet.worst_excess().values(), default=0.0) for r in runs
    )
    waits = sorted(wait for r in runs for wait in r.waits_s)
    p99_ms = 1000 * waits[int(0.99 * (len(waits) - 1))] if waits else 0.0
    seconds = options.seconds + WARM_UP_S
    sent = max(max(r.fleet.sent_by_host.values()) / seconds for r in runs)
    print(
        f"{example:10} {scenario:10} {policy.value:12} {inside:7d} "
        f"{100 * refused / max(1, inside):9.3f}% {100 * worst:8.2f}% "
        f"{max(0.0, excess):7.3f} {p99_ms:7.1f} {sent:8.0f}"
    )


def parse():
    """Return the command line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--load", type=float, default=0.8)
    parser.add_argument("--wait-ms", type=float, default=100.0)
    parser.add_argument("--delay-ms", type=float, default=2.0)
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    parser.add_argument(
        "--example", choices=("kuopio", "landesamt"), action="append"
    )
    return parser.parse_args()


def main():
    """Run all scenarios under both policies."""
    options = parse()
    print(
        f"seed {options.seed}, {options.seconds:g} s, load {options.load:g} "
        f"of each rate, waits up to {options.wait_ms:g} ms"
    )
    print(
        "example    scenario   policy        inside  wrongful     worst  "
        "excess  p99 ms  bytes/s"
    )
    for example in options.example or ("kuopio", "landesamt"):
        snapshot = snapshot_of(example)
        for scenario in options.scenario or SCENARIOS:
            for policy in state.QuotaPolicy:
                runs = [
                    run_service(snapshot, service, policy, scenario, options)
                    for service in sorted(snapshot.by_service)
                ]
                report(example, scenario, policy, runs, options)


if __name__ == "__main__":
    main()
