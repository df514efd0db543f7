"""Run the fault soak: real nodes as processes, faults drawn from a seed."""

import pathlib
import random
import shutil
import signal
import tempfile
import time

import cyclopts

from jasminecrank.standins import soak
from jasminecrank.standins.soak import upgrades

app = cyclopts.App(help=__doc__, version_flags=())


def run_seed(
    seed: int,
    hosts: int,
    duration_s: float,
    planned_only: bool,
    node_path: pathlib.Path | None,
) -> bool:
    """Run one seed and return whether all guarantees held."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = soak.Soak(seed, hosts, duration_s, folder, planned_only, node_path)
    result = run.run()
    passed = result.served > 0 and not result.violations
    verdict = "ok" if passed else "FAILED"
    print(
        f"{verdict:6} --seed {seed} --hosts {hosts} --duration-s "
        f"{duration_s:g}{' --planned-only' if planned_only else ''}: "
        f"{result.requests} requests, {result.served} "
        f"served, {result.faults} faults",
        flush=True,
    )
    for name, count in result.count_by_check.items():
        if count:
            print(f"       {name}: {count}", flush=True)
    for line in result.violations[:20]:
        print(f"       {line}", flush=True)
    if passed:
        shutil.rmtree(folder)
    else:
        (folder / "violations").write_text("\n".join(result.violations))
        print(f"       logs: {folder}", flush=True)
    return passed


def run_upgrade(
    seed: int,
    hosts: int,
    old_path: pathlib.Path,
    node_path: pathlib.Path | None,
    store_era: int | None,
) -> bool:
    """Run an upgrade in turn and back; return whether all went well."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"upgrade-{seed}-"))
    run = upgrades.UpgradeRun(
        seed, hosts, folder, old_path, node_path, store_era
    )
    result = run.run()
    verdict = "FAILED" if result.violations or not result.served else "ok"
    print(
        f"{verdict:6} --upgrade-from {old_path} --seed {seed} --hosts "
        f"{hosts} --store-era {store_era}: {result.requests} requests, "
        f"{result.served} served, {result.configurations} configurations, "
        f"the slowest after {result.slowest_s:.2f} s",
        flush=True,
    )
    for phase in result.phases:
        print(f"       {phase}", flush=True)
    for line in result.violations[:20]:
        print(f"       {line}", flush=True)
    print(f"       logs: {folder}", flush=True)
    return verdict == "ok"


@app.default
def main(
    *,
    seed: int | None = None,
    seeds: int = 1,
    minutes: float = 0.0,
    hosts: int = 8,
    duration_s: float = 30.0,
    planned_only: bool = False,
    node_path: pathlib.Path | None = None,
    upgrade_from: pathlib.Path | None = None,
    store_era: int | None = None,
) -> int:
    """Run seeds one after the other; return 1 if a promise did not hold.

    Parameters
    ----------
    seed
        First seed; a fresh one without it.
    seeds
        Number of seeds, each one above the last.
    minutes
        Go on with further seeds for so long.
    hosts
        Hosts of the deployment; each is one process and one server.
    duration_s
        Seconds that a seed is played.
    planned_only
        Leave out kills, pauses and faults of the network and the store, but
        for restores.
    node_path
        Source folder from which the nodes run, for other revisions.
    upgrade_from
        Source folder of an older revision: replace its nodes in turn, under
        load, then back, and again, with a restore of the store at the end.
    store_era
        Era that the store names in such a run; none without it.
    """
    # Handle SIGTERM like Ctrl-C, so that the node processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first = random.SystemRandom().randrange(10**6) if seed is None else seed
    start_s = time.monotonic()
    failed = 0
    number = first
    while number < first + seeds or time.monotonic() - start_s < 60 * minutes:
        if upgrade_from is not None:
            failed += not run_upgrade(
                number, hosts, upgrade_from, node_path, store_era
            )
        else:
            failed += not run_seed(
                number, hosts, duration_s, planned_only, node_path
            )
        number += 1
    print(f"{number - first - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(app())
