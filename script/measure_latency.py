"""Measure the latency that nodes add to calls, against stand-ins.

Each round sends the same calls directly to the stand-in backend server, over
one hop and over two hops, in an order that rotates from round to round. The
added latency is the difference between the quantiles of one round; the medians
over all rounds are printed. The number of calls and the time are bounded.
"""

import argparse
import dataclasses
import http.client
import json
import os
import pathlib
import socket
import statistics
import tempfile
import threading
import time

from jasminecrank import protocol
from jasminecrank import standins

KEY = "latency-key"
TABLES = {
    "services": "service,slots,cold_slots,ramp_s,max_connections\n"
    "ledger,12,12,0,110\ndesk,12,12,0,110\n",
    "routes": "route,service,method,path_prefix,kind,priority,open_to_all,"
    "deadline_ms\nlookup,ledger,GET,/lots,lookup,ordinary,no,2000\n"
    "other,desk,GET,/desk,lookup,ordinary,no,2000\n",
    "limits": "service,team,weight,rate,burst,max_in_flight\n"
    "ledger,probe,1,10000,10000,100\ndesk,probe,1,10000,10000,100\n",
    "keys": f"digest,team\n{protocol.digest_key(KEY)},probe\n",
    "hosts": "host,service,data_centre,region,address,call_port,peer_port,"
    "admin_port,server_port,share_slot,state\n"
    "ledger-1,ledger,north,savo,127.0.0.1,1,2,3,4,0,live\n"
    "desk-1,desk,north,savo,127.0.0.1,1,2,3,4,0,live\n",
    "outages": "data_centre,state\nnorth,in\n",
}


@dataclasses.dataclass(slots=True)
class PacedCaller:
    """Connection of one caller and its measured latencies."""

    port: int
    start_s: float
    period_s: float
    calls: int
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    failures: int = 0

    def run(self) -> None:
        """Send the calls at their scheduled times."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=5
        )
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(self.calls):
            wait_s = self.start_s + number * self.period_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            started_s = time.perf_counter()
            connection.request(
                "GET",
                f"/lots/{number}",
                headers={"Authorization": f"Bearer {KEY}"},
            )
            response = connection.getresponse()
            response.read()
            latency_ms = (time.perf_counter() - started_s) * 1000
            if number:  # the first call opens connections behind the node
                self.latencies_ms.append(latency_ms)
            self.failures += response.status != 200
        connection.close()


def run_callers(arguments: argparse.Namespace, port: int) -> list[float]:
    """Send one round of calls and return the sorted latencies."""
    period_s = arguments.connections / arguments.rate
    started_s = time.monotonic() + 0.05
    callers = [
        PacedCaller(
            port,
            started_s + number / arguments.rate,
            period_s,
            int(arguments.seconds / period_s),
        )
        for number in range(arguments.connections)
    ]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if any(caller.failures for caller in callers):
        raise SystemExit("a call was not answered with 200")
    return sorted(ms for caller in callers for ms in caller.latencies_ms)


def quantile(ordered: list[float], part: float) -> float:
    """Return a quantile of a sorted list."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def processor_s(process_id: int) -> float:
    """Return the processor time used by a process so far."""
    stat = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def measure(
    arguments: argparse.Namespace, deployment: standins.Deployment
) -> dict[str, object]:
    """Run all rounds and return the medians."""
    ports = {
        "direct": deployment.server_by_host["ledger-1"].port,
        "one_hop": deployment.node_by_host["ledger-1"].call_port,
        "two_hops": deployment.node_by_host["desk-1"].call_port,
    }
    rounds: list[dict[str, list[float]]] = []
    node = deployment.node_by_host["ledger-1"].process.pid
    busy_s: list[float] = []
    for number in range(arguments.rounds):
        names = list(ports)
        names = names[number % 3 :] + names[: number % 3]
        seen = {}
        for name in names:
            before_s = processor_s(node)
            seen[name] = run_callers(arguments, ports[name])
            if name == "one_hop":
                busy_s.append(processor_s(node) - before_s)
        rounds.append(seen)
    calls = len(rounds[0]["one_hop"]) + arguments.connections
    values: dict[str, object] = {
        "rounds": len(rounds),
        "calls_per_round_and_path": calls,
        "node_processor_ms_per_call": round(
            statistics.median(busy_s) * 1000 / calls, 3
        ),
    }
    for part, label in ((0.5, "p50"), (0.99, "p99")):
        direct = [quantile(seen["direct"], part) for seen in rounds]
        values[f"direct_{label}_ms"] = round(statistics.median(direct), 3)
        for name in ("one_hop", "two_hops"):
            added = [
                quantile(seen[name], part) - base
                for seen, base in zip(rounds, direct, strict=True)
            ]
            values[f"{name}_added_{label}_ms"] = round(
                statistics.median(added), 3
            )
    if arguments.idle_seconds:
        before_s = processor_s(node)
        time.sleep(arguments.idle_seconds)
        values["idle_node_core_percent"] = round(
            (processor_s(node) - before_s) / arguments.idle_seconds * 100, 2
        )
    return values


def main() -> None:
    """Parse the arguments, measure and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rate", type=float, default=118.0)
    parser.add_argument("--connections", type=int, default=8)
    parser.add_argument("--idle-seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    arguments.rounds = min(arguments.rounds, 50)
    arguments.seconds = min(arguments.seconds, 60.0)
    arguments.idle_seconds = min(arguments.idle_seconds, 60.0)
    with tempfile.TemporaryDirectory() as directory:
        work = pathlib.Path(directory)
        for name, text in TABLES.items():
            (work / f"{name}.csv").write_text(text)
        with standins.Deployment.from_directory(work, work) as deployment:
            document = deployment.publish_hosts(deployment.hosts())
            ready = deployment.await_versions(document, 30.0)
            if ready.keys() != deployment.node_by_host.keys():
                raise SystemExit(f"only {sorted(ready)} are ready")
            print(json.dumps(measure(arguments, deployment), indent=1))


if __name__ == "__main__":
    main()
