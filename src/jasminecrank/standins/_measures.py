"""Summary of the measurements of a scenario run."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from dataclasses import dataclass
import pathlib
import statistics
import tempfile

from jasminecrank.standins import _callers
from jasminecrank.standins import _deployment
from jasminecrank.standins import _run
from jasminecrank.standins import _scenarios
from jasminecrank.standins import _traffic

SERVICE_TIME_MS = 5.0
_RAMP_S = 10.0
_REFUSAL_CODES = range(200, 300)
_REPEAT_SUFFIX = " repeat"


@dataclass(slots=True, frozen=True)
class Measures:
    """Measurements of one scenario; the field names are printed."""

    scenario: str
    convergence_p50_ms: float | None
    convergence_p99_ms: float | None
    convergence_max_ms: float | None
    not_converged: int
    control_bytes_per_s: float | None
    control_bytes_per_s_max: float | None
    processor_percent: float
    processor_percent_max: float
    served: int
    failed: int
    failed_by_reason: dict[str, int]
    worst_team: str
    worst_team_answered_percent: float | None
    refused_in_rate_percent: float | None
    added_p50_ms: float | None
    added_p99_ms: float | None
    peak_memory_mb: float
    threads: int
    source_calls_per_s: float | None
    booked_twice: int
    overloads: int
    keys_seen: int
    violations: int


def measure(
    directory: pathlib.Path, scenario_name: str, node_python_path: str
) -> Measures:
    """Start a deployment, run a scenario and return its measurements."""
    with (
        tempfile.TemporaryDirectory() as work,
        _deployment.Deployment.from_directory(
            directory,
            pathlib.Path(work),
            service_time_ms=SERVICE_TIME_MS,
            ramp_s=_RAMP_S,
            node_python_path=node_python_path,
        ) as deployment,
    ):
        scenario = next(
            one
            for one in _scenarios.build_scenarios(deployment)
            if one.name == scenario_name
        )
        direct = deployment.start_server(
            deployment.hosts()[0], SERVICE_TIME_MS, 0.0
        )
        try:
            run = _run.ScenarioRun(deployment, scenario, direct.port)
            return summarise(scenario, run.run())
        finally:
            direct.process.terminate()
            direct.process.wait()


def summarise(
    scenario: _scenarios.Scenario, result: _run.RunResult
) -> Measures:
    """Compute the measurements of a finished run.

    A team that exceeds its rate by design does not count as in rate.
    """
    excess = scenario.load.excess_team if scenario.load else ""
    calls = [
        sample
        for sample in result.samples
        if sample.label != _traffic.DIRECT_LABEL
        and not sample.label.endswith(_REPEAT_SUFFIX)
    ]
    in_rate = [one for one in calls if not excess or one.team != excess]
    failed = [one for one in in_rate if not one.answered]
    refused = [one for one in failed if one.result_code in _REFUSAL_CODES]
    worst_team, worst_percent = _find_worst_team(in_rate)
    direct = [
        sample.duration_ms
        for sample in result.samples
        if sample.label == _traffic.DIRECT_LABEL and sample.answered
    ]
    answered = [one.duration_ms for one in in_rate if one.answered]
    use = result.usage
    return Measures(
        scenario=scenario.name,
        convergence_p50_ms=quantile(result.convergence_ms, 0.5),
        convergence_p99_ms=quantile(result.convergence_ms, 0.99),
        convergence_max_ms=max(result.convergence_ms, default=None),
        not_converged=result.not_converged,
        control_bytes_per_s=use.control_bytes_per_s_median,
        control_bytes_per_s_max=use.control_bytes_per_s_max,
        processor_percent=use.processor_percent_median,
        processor_percent_max=use.processor_percent_max,
        served=len(in_rate) - len(failed),
        failed=len(failed),
        failed_by_reason=_count_reasons(failed),
        worst_team=worst_team,
        worst_team_answered_percent=worst_percent,
        refused_in_rate_percent=(
            100 * len(refused) / len(in_rate) if in_rate else None
        ),
        added_p50_ms=_quantile_difference(answered, direct, 0.5),
        added_p99_ms=_quantile_difference(answered, direct, 0.99),
        peak_memory_mb=use.peak_memory_mb_max,
        threads=use.threads_max,
        source_calls_per_s=use.source_calls_per_s,
        **dataclasses.asdict(result.audit),
    )


def quantile(values: Sequence[float], part: float) -> float | None:
    """Return an interpolated quantile, or None without values."""
    if not values:
        return None
    if len(values) == 1:
        return values[0]
    cuts = statistics.quantiles(values, n=1000, method="inclusive")
    return cuts[min(998, int(part * 1000) - 1)]


def _quantile_difference(
    calls: Sequence[float], direct: Sequence[float], part: float
) -> float | None:
    call_ms, direct_ms = quantile(calls, part), quantile(direct, part)
    return (
        None if call_ms is None or direct_ms is None else call_ms - direct_ms
    )


def _find_worst_team(
    calls: Iterable[_callers.Sample],
) -> tuple[str, float | None]:
    answered_by_team: defaultdict[str, list[bool]] = defaultdict(list)
    for sample in calls:
        if sample.team:
            answered_by_team[sample.team].append(sample.answered)
    share_by_team = {
        team: 100 * sum(answered) / len(answered)
        for team, answered in answered_by_team.items()
    }
    if not share_by_team:
        return "", None
    worst = min(share_by_team, key=lambda team: share_by_team[team])
    return worst, share_by_team[worst]


def _count_reasons(failed: Iterable[_callers.Sample]) -> dict[str, int]:
    counts = Counter(
        f"status {one.status}, code {one.result_code}" for one in failed
    )
    return dict(sorted(counts.items()))


def format_table(columns: Sequence[tuple[str, Measures]]) -> Iterator[str]:
    """Yield the lines of a plain-text table with a column for each run."""
    heads = [f"{label}" for label, _ in columns]
    width = max(12, *(len(head) for head in heads)) + 2
    yield f"{'measure':<30}" + "".join(f"{head:>{width}}" for head in heads)
    for field in dataclasses.fields(Measures):
        if field.name in ("scenario", "failed_by_reason"):
            continue
        cells = [_format_cell(getattr(one, field.name)) for _, one in columns]
        yield f"{field.name:<30}" + "".join(
            f"{cell:>{width}}" for cell in cells
        )
    for label, one in columns:
        for reason, count in one.failed_by_reason.items():
            yield f"failed in {label}: {count} with {reason}"


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.2f}" if isinstance(value, float) else str(value)
