"""Run real nodes as processes while the store comes back from a copy."""

import pathlib
import random
import shutil
import signal
import tempfile

import cyclopts

from jasminecrank.standins.soak import restores

app = cyclopts.App(help=__doc__, version_flags=())
MAX_LINES = 5
"""Cases of each kind that are printed for a seed."""


def run_seed(seed: int, hosts: int, node_path: pathlib.Path | None) -> bool:
    """Run one seed and return whether nothing went wrong."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"restore-{seed}-"))
    drawn = restores.draw_restores(seed)
    run = restores.RestoreRun(seed, hosts, drawn, folder, node_path)
    result = run.run()
    passed = not any(result.lines_by_name.values())
    print(
        f"{'ok' if passed else 'FAILED':6} --seed {seed} --hosts {hosts}: "
        f"{result.requests} requests, {result.configurations} configurations "
        "at nodes",
        flush=True,
    )
    for restore in drawn:
        print(f"       restore: {restore}", flush=True)
    for name, lines in result.lines_by_name.items():
        print(f"       {name}: {len(lines)}", flush=True)
        for line in lines[:MAX_LINES]:
            print(f"           {line}", flush=True)
    if passed:
        shutil.rmtree(folder)
    else:
        cases = [
            line for lines in result.lines_by_name.values() for line in lines
        ]
        (folder / "violations").write_text("\n".join(cases))
        print(f"       logs: {folder}", flush=True)
    return passed


@app.default
def main(
    *,
    seed: int | None = None,
    seeds: int = 10,
    hosts: int = 6,
    node_path: pathlib.Path | None = None,
) -> int:
    """Run seeds one after the other; return 1 if something went wrong.

    Parameters
    ----------
    seed
        First seed; a fresh one without it.
    seeds
        Number of seeds, each one above the last.
    hosts
        Hosts of the deployment, 6 or more.
    node_path
        Source folder from which the nodes run, for other revisions.
    """
    # Handle SIGTERM like Ctrl-C, so that the node processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first = random.SystemRandom().randrange(10**6) if seed is None else seed
    failed = sum(
        not run_seed(number, hosts, node_path)
        for number in range(first, first + seeds)
    )
    print(f"{seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(app())
