"""Run every hypothesis state machine of the features with more steps."""

from collections.abc import Iterator
import importlib
import pathlib
import sys
import time
import traceback

import cyclopts
import hypothesis
from hypothesis import stateful

ROOT = pathlib.Path(__file__).resolve().parent.parent
STEPS = ROOT / "features" / "steps"
STEPS_PER_EXAMPLE = 50
app = cyclopts.App(help=__doc__, version_flags=())


def find_machines() -> Iterator[type[stateful.RuleBasedStateMachine]]:
    """Yield the state machine classes named *Machine in the steps."""
    sys.path[:0] = [str(STEPS), str(ROOT)]
    for path in sorted(STEPS.glob("*.py")):
        if "Machine" not in path.read_text():
            continue
        module = importlib.import_module(path.stem)
        for name, found in sorted(vars(module).items()):
            if (
                name.endswith("Machine")
                and isinstance(found, type)
                and issubclass(found, stateful.RuleBasedStateMachine)
                and found.__module__ == path.stem
            ):
                yield found


def run_machine(
    machine: type[stateful.RuleBasedStateMachine], seed: int, steps: int
) -> bool:
    """Run one state machine; return whether it passed."""
    settings = hypothesis.settings(
        max_examples=max(1, steps // STEPS_PER_EXAMPLE),
        stateful_step_count=STEPS_PER_EXAMPLE,
        derandomize=False,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=tuple(hypothesis.HealthCheck),
    )
    started_s = time.monotonic()
    try:
        stateful.run_state_machine_as_test(
            hypothesis.seed(seed)(machine), settings=settings
        )
    except Exception:
        traceback.print_exc()
        print(f"FAILED {machine.__name__} --seed {seed} --steps {steps}")
        return False
    duration_s = time.monotonic() - started_s
    print(f"ok     {machine.__name__}, {steps} steps, {duration_s:.1f} s")
    return True


@app.default
def soak(*, seed: int = 1, steps: int = 5_000) -> int:
    """Run all machines and return 1 if one found a fault.

    Parameters
    ----------
    seed
        Seed of the random choices; a failure prints it.
    steps
        Steps of each machine, in examples of 50 steps.
    """
    print(f"seed {seed}", flush=True)
    results = [run_machine(one, seed, steps) for one in find_machines()]
    failed = results.count(False)
    print(f"{len(results) - failed} machines passed, {failed} failed")
    if not results:
        print("no class named *Machine found in features/steps")
        return 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
