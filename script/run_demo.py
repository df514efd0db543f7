"""Run the demonstration and print one line for each check."""

import pathlib
import signal
import sys
import tempfile
import time

from jasminecrank.standins import _demo
from jasminecrank.standins import _deployment

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIME_LIMIT_S = 100


def show(check: _demo.Check) -> None:
    """Print the result of a check immediately."""
    mark = "ok    " if check.held else "FAILED"
    print(f"{mark} {check.name} ({check.detail})", flush=True)


def main() -> int:
    """Run the demonstration; return 0 if every check passed."""
    # Without these handlers the signals would leave the deployment running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGALRM, signal.default_int_handler)
    signal.alarm(TIME_LIMIT_S)
    started_s = time.monotonic()
    print("kuopio: 10 backend servers and 10 nodes start", flush=True)
    with (
        tempfile.TemporaryDirectory() as work,
        _deployment.Deployment.from_directory(
            ROOT / "examples" / "kuopio", pathlib.Path(work), ramp_s=10.0
        ) as deployment,
    ):
        demo = _demo.Demo(deployment, show)
        held = demo.run()
    failed = sum(not check.held for check in demo.checks)
    print(
        f"{len(demo.checks) - failed} checks held, {failed} failed, "
        f"{time.monotonic() - started_s:.0f} s"
    )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
