"""Resource usage of node processes, from their metrics and /proc."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import pathlib
import statistics
import time

from prometheus_client import parser
import urllib3

from jasminecrank.standins import _deployment

_TIMEOUT_S = 5.0


@dataclass(slots=True, frozen=True)
class Reading:
    """Cumulative resource usage of a node process since its start."""

    at_s: float
    process_id: int
    processor_s: float
    control_bytes: float | None
    source_bytes: float | None
    source_calls: float | None
    peak_memory_bytes: int
    threads: int


@dataclass(slots=True, frozen=True)
class Usage:
    """Resource usage of the nodes of a deployment between two readings."""

    nodes: int
    processor_percent_median: float
    processor_percent_max: float
    control_bytes_per_s_median: float | None
    control_bytes_per_s_max: float | None
    source_bytes_per_s_max: float | None
    source_calls_per_s: float | None
    peak_memory_mb_max: float
    threads_max: int


def read_nodes(
    deployment: _deployment.Deployment,
) -> dict[str, Reading]:
    """Return a reading by host, leaving out nodes that do not answer."""
    by_host = {}
    for host, node in deployment.node_by_host.items():
        reading = _read(node)
        if reading is not None:
            by_host[host] = reading
    return by_host


def usage(
    before: Mapping[str, Reading], after: Mapping[str, Reading]
) -> Usage:
    """Return the usage between two readings.

    The rates leave out hosts whose process was restarted in between.
    """
    pairs = [
        (before[host], reading)
        for host, reading in after.items()
        if host in before and before[host].process_id == reading.process_id
    ]
    spans = [(old, new, max(1e-3, new.at_s - old.at_s)) for old, new in pairs]
    processor = [
        100 * (new.processor_s - old.processor_s) / span_s
        for old, new, span_s in spans
    ]
    control = _rates(
        (old.control_bytes, new.control_bytes, span_s)
        for old, new, span_s in spans
    )
    source = _rates(
        (old.source_bytes, new.source_bytes, span_s)
        for old, new, span_s in spans
    )
    calls = _rates(
        (old.source_calls, new.source_calls, span_s)
        for old, new, span_s in spans
    )
    return Usage(
        nodes=len(pairs),
        processor_percent_median=statistics.median(processor or [0.0]),
        processor_percent_max=max(processor, default=0.0),
        control_bytes_per_s_median=(
            statistics.median(control) if control else None
        ),
        control_bytes_per_s_max=max(control, default=None),
        source_bytes_per_s_max=max(source, default=None),
        source_calls_per_s=sum(calls) if calls else None,
        peak_memory_mb_max=max(
            (new.peak_memory_bytes / 1e6 for new in after.values()),
            default=0.0,
        ),
        threads_max=max((new.threads for new in after.values()), default=0),
    )


def _rates(
    values: Iterable[tuple[float | None, float | None, float]],
) -> list[float]:
    return [
        (new - old) / span_s
        for old, new, span_s in values
        if old is not None and new is not None
    ]


def _read(node: _deployment.NodeProcess) -> Reading | None:
    if node.process.poll() is not None:
        return None
    try:
        text = urllib3.request(
            "GET",
            f"http://127.0.0.1:{node.admin_port}/metrics",
            timeout=_TIMEOUT_S,
            retries=False,
        ).data.decode()
        status = _process_status(node.process.pid)
    except (urllib3.exceptions.HTTPError, OSError):
        return None
    by_sample: dict[tuple[str, str], float] = {}
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            key = (sample.name, sample.labels.get("socket", ""))
            by_sample[key] = by_sample.get(key, 0.0) + sample.value
    peer = by_sample.get(("jasminecrank_control_bytes_total", "peer"))
    source = by_sample.get(("jasminecrank_control_bytes_total", "source"))
    known = peer is not None and source is not None
    return Reading(
        at_s=time.monotonic(),
        process_id=node.process.pid,
        processor_s=by_sample.get(("process_cpu_seconds_total", ""), 0.0),
        control_bytes=(peer or 0.0) + (source or 0.0) if known else None,
        source_bytes=source,
        source_calls=by_sample.get(("jasminecrank_source_calls_total", "")),
        peak_memory_bytes=int(status["VmHWM"].split()[0]) * 1024,
        threads=int(status["Threads"]),
    )


def _process_status(process_id: int) -> dict[str, str]:
    lines = pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines()
    return {
        name: value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
