"""Measure the time of one admit and finish, in microseconds.

The number of rounds is fixed. To compare versions, run them side by side and
quote the median.
"""

import statistics
import time

from jasminecrank import state

ROUNDS = 15
CALLS = 5000
VERSION = state.Version(1, "a")
ROWS = (
    state.ServiceRow("ledger", 12, 3, 0.0, 110),
    state.RouteRow(
        "lookup",
        "ledger",
        "GET",
        "/lots",
        state.RouteKind.LOOKUP,
        state.Priority.ORDINARY,
        False,
        1000,
    ),
    state.LimitRow("ledger", "belt", 1, 1e9, 10**9, 24),
    state.HostRow(
        "ledger-1",
        "ledger",
        "north",
        "savo",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        0,
        state.HostState.LIVE,
    ),
    state.KeyRow("ab" * 32, "belt"),
    state.OutageRow("north", state.OutageState.IN_SERVICE),
)
CALL = state.CallRequest("r", "GET", "/lots/1", "ab" * 32, None, None, None)
OUTCOME = state.Outcome(state.OutcomeKind.ANSWERED, 0.001)


def run(admission: state.AdmissionState, start_s: float) -> float:
    """Return the mean time of a call over one round."""
    started_s = time.perf_counter()
    for index in range(CALLS):
        now_s = start_s + index * 0.001
        decision = admission.admit(CALL, now_s)
        admission.finish(decision.permit, OUTCOME, now_s + 0.0005)
    return (time.perf_counter() - started_s) / CALLS * 1e6


def main() -> None:
    """Print the median and the minimum time."""
    admission = state.AdmissionState.from_host("ledger-1", 0.0)
    versions = state.VersionVector(VERSION, VERSION, VERSION, VERSION)
    admission.apply_snapshot(state.Snapshot.from_rows(versions, ROWS), 0.0)
    admission.set_ready(True, 0.0)
    # The only host can use its share after one loan duration.
    admission.quota.tick(0.0)
    admission.quota.tick(5.0)
    run(admission, 10.0)
    costs = [run(admission, 20.0 + round_ * 10) for round_ in range(ROUNDS)]
    print(
        f"admit and finish: median {statistics.median(costs):.1f} us, "
        f"least {min(costs):.1f} us, {ROUNDS} rounds of {CALLS} calls"
    )


if __name__ == "__main__":
    main()
